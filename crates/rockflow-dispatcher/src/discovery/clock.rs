//! The age of the purges that discovery sends, whatever its clock differs from this one. Decides; does no I/O.

use crate::purge_backlog::MAX_DELIVERY_DELAY;
use std::time::Duration;

/// By discovery's timestamps alone, purges seem older by as much as its clock is behind. So the age of a purge is counted
/// from the youngest of those received lately, itself among them: never more than it is, as that one was made before it
/// was received. Where the clocks agree, an age is short by as long as the youngest took to arrive, which is never laxer.
#[derive(Debug)]
pub struct DiscoveryClock {
    /// What was received lately: between one and two of these.
    window: Duration,
    max_age: Duration,
    window_start: Duration,
    /// The smallest apparent age in this window.
    youngest: Option<Duration>,
    /// The smallest apparent age in the window before.
    previous_youngest: Option<Duration>,
}

impl DiscoveryClock {
    /// A purge is in effect for `purge_window`: after that, a clock that was set has no effect any more.
    pub fn new(purge_window: Duration, now: Duration) -> DiscoveryClock {
        DiscoveryClock {
            window: purge_window,
            max_age: MAX_DELIVERY_DELAY.min(purge_window),
            window_start: now,
            youngest: None,
            previous_youngest: None,
        }
    }

    /// The age of a purge that is received now and has `apparent_age` by its timestamp. It is no older than an event takes
    /// to arrive: what was made while discovery was unreachable seems younger for it.
    pub fn age(&mut self, now: Duration, apparent_age: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= self.window {
            self.previous_youngest = self.youngest.take().filter(|_| elapsed < self.window * 2);
            self.window_start = now;
        }
        let youngest = self.youngest.map_or(apparent_age, |youngest| youngest.min(apparent_age));
        self.youngest = Some(youngest);
        let youngest = self.previous_youngest.map_or(youngest, |previous| previous.min(youngest));
        (apparent_age - youngest).min(self.max_age)
    }
}
