//! How old what a board tells is, whatever its clock is apart from this one. Decides; does no I/O.

use crate::purge_backlog::TOLD_WITHIN;
use std::time::Duration;

/// By the board's time alone, news seem older by as much as its clock is behind. So the age of a purge is counted from the
/// youngest of those told lately, itself among them: never more than it is, as that one was made before it was told. Where
/// a clock is right, an age is short by as long as the board took to tell of the youngest. Stricter.
#[derive(Debug)]
pub struct DiscoveryClock {
    /// What was told lately: between one and two of these.
    lately: Duration,
    oldest: Duration,
    since: Duration,
    /// By the board's time, the age of the youngest since then, and of the youngest in the span before.
    youngest: Option<Duration>,
    before: Option<Duration>,
}

impl DiscoveryClock {
    /// A purge binds for so long: after that, a clock that was set counts no more.
    pub fn new(binds: Duration, now: Duration) -> DiscoveryClock {
        let oldest = TOLD_WITHIN.min(binds);
        DiscoveryClock { lately: binds, oldest, since: now, youngest: None, before: None }
    }

    /// The age of a purge that is told now and is so old by the board's time. Nor is it older than a board takes to tell:
    /// what was made in a break of the board seems younger for it.
    pub fn age(&mut self, now: Duration, seems: Duration) -> Duration {
        let gone = now.saturating_sub(self.since);
        if gone >= self.lately {
            self.before = self.youngest.take().filter(|_| gone < self.lately * 2);
            self.since = now;
        }
        let youngest = self.youngest.map_or(seems, |youngest| youngest.min(seems));
        self.youngest = Some(youngest);
        let youngest = self.before.map_or(youngest, |before| before.min(youngest));
        (seems - youngest).min(self.oldest)
    }
}
