//! Collects the history of purges that discovery sends to a new follower. Pure logic without I/O.

use crate::purge::{Purge, PurgeTimestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Upper limit of the time that an event of discovery takes to arrive at a dispatcher.
pub const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(7);
/// Upper limit assumed for the offset between discovery's clock and the local one.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);
/// Cap on the number of held purges. Beyond it, a purge of everything replaces them.
pub const MAX_HELD_PURGES: usize = 16_384;
/// Interval of the checks whether the received purges have reached the present.
pub const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The history is complete when the newest timestamp advances at most this many times as fast as the local
/// clock; while history is being replayed, it advances much faster.
const MAX_TIMESTAMP_RATE: u32 = 2;

/// A purge and its time on discovery's clock.
#[derive(Debug)]
struct HeldPurge {
    purge: Purge,
    /// Unix time.
    purged_at: Duration,
}

/// A purge taken from the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedPurge {
    /// The purge.
    pub purge: Purge,
    /// How long ago the purge was made when it was taken from the backlog.
    pub age: Duration,
}

/// The newest timestamp at the time of a check for completeness.
#[derive(Clone, Copy, Debug)]
struct CatchUpCheck {
    /// Local time of the check.
    checked_at: Duration,
    /// Time on discovery's clock.
    newest_timestamp: Duration,
}

/// Holds purges until discovery has sent its whole history. The newest purge then shows the current time of
/// discovery's clock, by which the ages of the others are computed. If the backlog is taken too early, the
/// ages come out too small, which only makes the purges stricter.
#[derive(Debug)]
pub struct PurgeBacklog {
    purge_window: Duration,
    held: VecDeque<HeldPurge>,
    /// The newest plausible timestamp, as Unix time by discovery's clock.
    newest_timestamp: Duration,
    /// The newest timestamp when the cap was last exceeded; `None` if it never was.
    newest_at_overflow: Option<Duration>,
    /// `None` until something has been received from discovery.
    last_check: Option<CatchUpCheck>,
}

impl PurgeBacklog {
    /// `purge_window` is how long a purge stays in effect.
    pub fn new(purge_window: Duration) -> PurgeBacklog {
        PurgeBacklog {
            purge_window,
            held: VecDeque::new(),
            newest_timestamp: Duration::ZERO,
            newest_at_overflow: None,
            last_check: None,
        }
    }

    /// Adds a purge sent by discovery. `now`, here and below, is the time of the local
    /// [`Clock`](crate::Clock).
    pub fn hold(&mut self, now: Duration, purge: Purge) {
        let PurgeTimestamp::Unix(ms) = purge.purged_at else { return };
        let purged_at = Duration::from_millis(ms);
        // A wrong timestamp far in the future would make all other purges look expired.
        if purged_at <= now + MAX_CLOCK_SKEW {
            self.newest_timestamp = self.newest_timestamp.max(purged_at);
        }
        while self.held.front().is_some_and(|held| self.is_expired(held.purged_at)) {
            self.held.pop_front();
        }
        if self.held.len() >= MAX_HELD_PURGES {
            self.held.clear();
            self.newest_at_overflow = Some(self.newest_timestamp);
        }
        self.held.push_back(HeldPurge { purge, purged_at });
    }

    /// Whether the whole history has been received. `has_received` tells whether discovery has sent anything
    /// yet. To be called repeatedly; it compares the newest timestamps at two checks.
    pub fn is_complete(&mut self, now: Duration, has_received: bool) -> bool {
        let check = CatchUpCheck { checked_at: now, newest_timestamp: self.newest_timestamp };
        let Some(last) = self.last_check else {
            self.last_check = has_received.then_some(check);
            return false;
        };
        let elapsed = now.saturating_sub(last.checked_at);
        if elapsed < CATCH_UP_CHECK_INTERVAL {
            return false;
        }
        self.last_check = Some(check);
        self.newest_timestamp - last.newest_timestamp <= elapsed * MAX_TIMESTAMP_RATE
    }

    /// Removes all purges and returns those that may still be in effect, in the order of arrival.
    pub fn take(&mut self, now: Duration) -> Vec<AgedPurge> {
        let mut taken = Vec::new();
        for HeldPurge { purge, purged_at } in std::mem::take(&mut self.held) {
            if self.may_be_in_effect(now, purged_at) {
                let local_age = now.saturating_sub(purged_at).min(MAX_DELIVERY_DELAY).min(self.purge_window);
                let age = self.newest_timestamp.saturating_sub(purged_at).max(local_age);
                taken.push(AgedPurge { purge, age });
            }
        }
        taken
    }

    /// Whether the cap was exceeded by purges that may still be in effect, so that a purge of everything must
    /// replace them.
    pub fn has_overflowed(&self, now: Duration) -> bool {
        self.newest_at_overflow.is_some_and(|newest_timestamp| self.may_be_in_effect(now, newest_timestamp))
    }

    /// Whether a purge is of no use any more by discovery's clock. Purges are kept beyond the time in which
    /// they are in effect, because the publication of an expired purge may have to be distinguished from that
    /// of a later one for a while.
    fn is_expired(&self, purged_at: Duration) -> bool {
        self.newest_timestamp.saturating_sub(purged_at) > self.purge_window * 2 + MAX_DELIVERY_DELAY
    }

    /// Whether a purge is expired neither by discovery's clock nor, allowing for the maximum clock skew, by
    /// the local one.
    fn may_be_in_effect(&self, now: Duration, purged_at: Duration) -> bool {
        let max_age = self.purge_window + MAX_CLOCK_SKEW + MAX_DELIVERY_DELAY;
        !self.is_expired(purged_at) && now.saturating_sub(purged_at) <= max_age
    }
}
