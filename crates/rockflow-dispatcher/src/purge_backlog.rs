//! What discovery sends to who has begun to follow it: all its earlier purges. Decides; does no I/O.

use crate::purge::{Purge, PurgeTimestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// The longest that an event of discovery takes to arrive at dispatchers.
pub const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(7);
/// The furthest that discovery's clock and this one are taken to differ.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);
/// Purges that are held. When full, one of everything replaces them.
pub const MAX_HELD_PURGES: usize = 16_384;
/// How often it is checked whether what arrives is recent by now.
pub const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// What arrives is recent where discovery's time advances by no more than so many times as much as it does here.
const MAX_RECENT_RATE: u32 = 2;

/// A purge, and its Unix time by discovery.
#[derive(Debug)]
struct HeldPurge {
    purge: Purge,
    purged_at: Duration,
}

/// A purge of the backlog, and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedPurge {
    /// The purge.
    pub purge: Purge,
    /// How long ago it was made.
    pub age: Duration,
}

/// When the backlog was last checked, and the newest timestamp at that time.
#[derive(Clone, Copy, Debug)]
struct CatchUpCheck {
    at: Duration,
    newest: Duration,
}

/// Holds purges until discovery has caught up with the present, so that the newest of them gives the age of the others by
/// discovery's own clock. Released too early, they only seem younger.
#[derive(Debug)]
pub struct PurgeBacklog {
    purge_window: Duration,
    held: VecDeque<HeldPurge>,
    newest: Duration,
    /// The newest timestamp at the time when purges last exceeded the cap.
    overflowed_at: Option<Duration>,
    /// None: nothing has been received from discovery.
    last_check: Option<CatchUpCheck>,
}

impl PurgeBacklog {
    /// A purge is in effect for `purge_window`.
    pub fn new(purge_window: Duration) -> PurgeBacklog {
        PurgeBacklog {
            purge_window,
            held: VecDeque::new(),
            newest: Duration::ZERO,
            overflowed_at: None,
            last_check: None,
        }
    }

    /// Holds a purge that discovery sent.
    pub fn hold(&mut self, now: Duration, purge: Purge) {
        let PurgeTimestamp::Unix(ms) = purge.purged_at else { return };
        let purged_at = Duration::from_millis(ms);
        // Guards against a wrong timestamp that would make all others old.
        if purged_at <= now + MAX_CLOCK_SKEW {
            self.newest = self.newest.max(purged_at);
        }
        while self.held.front().is_some_and(|held| self.is_expired(held.purged_at)) {
            self.held.pop_front();
        }
        if self.held.len() >= MAX_HELD_PURGES {
            self.held.clear();
            self.overflowed_at = Some(self.newest);
        }
        self.held.push_back(HeldPurge { purge, purged_at });
    }

    /// Whether all is held that discovery sent before; `has_received`: it has sent anything.
    pub fn is_complete(&mut self, now: Duration, has_received: bool) -> bool {
        let check = CatchUpCheck { at: now, newest: self.newest };
        let Some(last) = self.last_check else {
            self.last_check = has_received.then_some(check);
            return false;
        };
        let elapsed = now.saturating_sub(last.at);
        if elapsed < CATCH_UP_CHECK_INTERVAL {
            return false;
        }
        self.last_check = Some(check);
        self.newest - last.newest <= elapsed * MAX_RECENT_RATE
    }

    /// Takes the purges that may be in effect, in their order. Only by discovery's own clock is one past its time.
    pub fn take(&mut self, now: Duration) -> Vec<AgedPurge> {
        let mut taken = Vec::new();
        for HeldPurge { purge, purged_at } in std::mem::take(&mut self.held) {
            if self.may_be_in_effect(now, purged_at) {
                let local_age = now.saturating_sub(purged_at).min(MAX_DELIVERY_DELAY).min(self.purge_window);
                let age = self.newest.saturating_sub(purged_at).max(local_age);
                taken.push(AgedPurge { purge, age });
            }
        }
        taken
    }

    /// Whether purges that may be in effect exceeded the cap: one of everything replaces them.
    pub fn has_overflowed(&self, now: Duration) -> bool {
        self.overflowed_at.is_some_and(|newest| self.may_be_in_effect(now, newest))
    }

    /// A publication of it may have to be told from that of a later one for a while after it has expired.
    fn is_expired(&self, purged_at: Duration) -> bool {
        self.newest.saturating_sub(purged_at) > self.purge_window * 2 + MAX_DELIVERY_DELAY
    }

    /// Neither expired by discovery's clock nor by this one, whatever they differ.
    fn may_be_in_effect(&self, now: Duration, purged_at: Duration) -> bool {
        let max_age = self.purge_window + MAX_CLOCK_SKEW + MAX_DELIVERY_DELAY;
        !self.is_expired(purged_at) && now.saturating_sub(purged_at) <= max_age
    }
}
