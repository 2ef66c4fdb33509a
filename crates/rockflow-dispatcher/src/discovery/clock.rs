//! Computes the age of received purges independently of the offset between discovery's clock and the local
//! one. Pure logic without I/O.

use crate::purge_backlog::MAX_DELIVERY_DELAY;
use std::time::Duration;

/// Corrects purge ages for the offset of discovery's clock.
///
/// If that clock is behind, every purge looks too old by the offset. The age of a purge is therefore its
/// apparent age less the smallest apparent age received recently, its own included. The result never exceeds
/// the true age, because the youngest purge was made before it was received. With synchronized clocks, ages
/// are too small by the delivery time of the youngest purge, which only makes a purge stricter.
#[derive(Debug)]
pub struct DiscoveryClock {
    /// "Recently" spans between one and two windows.
    window: Duration,
    /// Upper limit of the computed ages.
    max_age: Duration,
    window_start: Duration,
    /// The smallest apparent age in the current window; `None` if nothing was received in it.
    youngest: Option<Duration>,
    /// The same for the preceding window.
    previous_youngest: Option<Duration>,
}

impl DiscoveryClock {
    /// `purge_window` is how long a purge stays in effect. It is also the length of a window, so an
    /// adjustment of discovery's clock stops distorting ages after two of them.
    pub fn new(purge_window: Duration, now: Duration) -> DiscoveryClock {
        DiscoveryClock {
            window: purge_window,
            max_age: MAX_DELIVERY_DELAY.min(purge_window),
            window_start: now,
            youngest: None,
            previous_youngest: None,
        }
    }

    /// Returns the corrected age of a purge received now whose timestamp gives `apparent_age`. The result is
    /// at most the maximum delivery delay, so a purge made while discovery was unreachable counts as younger
    /// than it is.
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
