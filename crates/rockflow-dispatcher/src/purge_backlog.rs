//! What a board says to who has begun to follow it: all that it said before. Decides; does no I/O.

use crate::purge::{Purge, PurgeTimestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// The longest that a board takes to tell of a purge, as it is told to dispatchers.
pub const TOLD_WITHIN: Duration = Duration::from_secs(7);
/// The furthest that the board's clock and this one are taken to be apart.
pub const CLOCKS_APART: Duration = Duration::from_secs(60);
/// Purges that are held. When full, one of everything stands for them.
pub const MAX_HELD: usize = 16_384;
/// How often it is looked whether what comes is news by now.
pub const LOOK: Duration = Duration::from_millis(500);
/// What comes is news where the board's time goes on by no more than so many times as much as it does here.
const NEWS: u32 = 2;

/// Holds purges until the board has caught up with the present, so that the newest of them tells the age of the others by
/// the board's own clock. Let go of too early, they only seem younger.
#[derive(Debug)]
pub struct PurgeBacklog {
    binds: Duration,
    /// With their Unix time by the board.
    held: VecDeque<(Purge, Duration)>,
    newest: Duration,
    /// The newest at the time when the last ones found no place.
    overflown: Option<Duration>,
    /// When it was last looked, and the newest at that time; none: nothing was heard of the board.
    looked: Option<(Duration, Duration)>,
}

impl PurgeBacklog {
    /// A purge binds for so long.
    pub fn new(binds: Duration) -> PurgeBacklog {
        PurgeBacklog { binds, held: VecDeque::new(), newest: Duration::ZERO, overflown: None, looked: None }
    }

    pub fn hold(&mut self, now: Duration, purge: Purge) {
        let PurgeTimestamp::Unix(ms) = purge.purged_at else { return };
        let made = Duration::from_millis(ms);
        // Guards against one that is told wrongly, and would make all others old.
        if made <= now + CLOCKS_APART {
            self.newest = self.newest.max(made);
        }
        while self.held.front().is_some_and(|(_, made)| self.is_over(*made)) {
            self.held.pop_front();
        }
        if self.held.len() >= MAX_HELD {
            self.held.clear();
            self.overflown = Some(self.newest);
        }
        self.held.push_back((purge, made));
    }

    /// A publication of it may have to be told from that of a later one for a while after it has ceased to bind.
    fn is_over(&self, made: Duration) -> bool {
        self.newest.saturating_sub(made) > self.binds * 2 + TOLD_WITHIN
    }

    /// Also not over by this clock, whatever it is apart from the board's.
    fn may_bind(&self, now: Duration, made: Duration) -> bool {
        !self.is_over(made) && now.saturating_sub(made) <= self.binds + CLOCKS_APART + TOLD_WITHIN
    }

    /// Whether all is held that the board said before; `heard`: it has answered.
    pub fn is_whole(&mut self, now: Duration, heard: bool) -> bool {
        let Some((at, newest)) = self.looked else {
            self.looked = heard.then_some((now, self.newest));
            return false;
        };
        let gone = now.saturating_sub(at);
        if gone < LOOK {
            return false;
        }
        self.looked = Some((now, self.newest));
        self.newest - newest <= gone * NEWS
    }

    /// The purges in their order, and their ages. Only by the board's own clock is one past the time that it binds.
    pub fn take(&mut self, now: Duration) -> Vec<(Purge, Duration)> {
        let held = std::mem::take(&mut self.held);
        let left = held.into_iter().filter(|(_, made)| self.may_bind(now, *made));
        let aged = left.map(|(purge, made)| {
            let here = now.saturating_sub(made).min(TOLD_WITHIN).min(self.binds);
            (purge, self.newest.saturating_sub(made).max(here))
        });
        aged.collect()
    }

    /// Whether some that may bind found no place: a purge of everything stands for them.
    pub fn is_overflown(&self, now: Duration) -> bool {
        self.overflown.is_some_and(|newest| self.may_bind(now, newest))
    }
}
