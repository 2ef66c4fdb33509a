//! The load that a host in slow start tolerates from all dispatchers together, and the load that it received.
//!
//! The load is compared in every window of the length of [`SLOW_START`]`.window` that begins with an attempt.

use crate::deployment::SLOW_START;
use std::time::Duration;

/// A host in slow start that receives attempts of equal size.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartHost {
    /// When the host started, and with it its slow start.
    pub started: Duration,
    /// The capacity of its link: the number of simultaneous transfers at full rate.
    pub weight: f64,
    /// The transfer time of an attempt at full rate, in seconds.
    pub attempt_s: f64,
}

impl SlowStartHost {
    /// The number of attempts above the bound, in the window where it is greatest. Negative: every window is below its
    /// bound; `f64::MIN` if nothing was sent.
    ///
    /// The bound of a window allows for random variation: with N attempts tolerated by the capacity at the start of the
    /// window, it is N + 2 √N + 2. `sent` holds the times of the attempts in ascending order.
    pub fn max_excess(&self, sent: &[Duration]) -> f64 {
        let excess_in = |window: Window| {
            let tolerated = self.tolerated_attempts(window.begin);
            window.attempts - tolerated - 2.0 * tolerated.sqrt() - 2.0
        };
        windows(sent).map(excess_in).fold(f64::MIN, f64::max)
    }

    /// The number of attempts divided by the bound of [`max_excess`](Self::max_excess), in the window where this is
    /// greatest. 0 if nothing was sent.
    pub fn max_share_of_bound(&self, sent: &[Duration]) -> f64 {
        let share_in = |window: Window| {
            let tolerated = self.tolerated_attempts(window.begin);
            window.attempts / (tolerated + 2.0 * tolerated.sqrt() + 2.0)
        };
        windows(sent).map(share_in).fold(0.0, f64::max)
    }

    /// The work divided by the tolerated work, in the window where this is greatest, without allowance for random
    /// variation. 0 if nothing was sent.
    ///
    /// # Panics
    /// If an attempt was sent before the host started.
    pub fn max_relative_work(&self, sent: &[Duration]) -> f64 {
        let relative_work_in = |window: Window| {
            assert!(window.begin >= self.started, "sent at {:?}, before the host started", window.begin);
            window.attempts * self.attempt_s / self.tolerated_work_s(window.begin)
        };
        windows(sent).map(relative_work_in).fold(0.0, f64::max)
    }

    /// The number of attempts that the host tolerates in a window that begins at the given time.
    fn tolerated_attempts(&self, begin: Duration) -> f64 {
        self.tolerated_work_s(begin) / self.attempt_s
    }

    /// The work that the host tolerates in a window, in seconds of transfers at full rate. It follows from the capacity
    /// at the start of the window.
    fn tolerated_work_s(&self, begin: Duration) -> f64 {
        let ramp_progress = begin.saturating_sub(self.started).as_secs_f64() / SLOW_START.ramp.as_secs_f64();
        let capacity_share =
            (SLOW_START.initial_share + (1.0 - SLOW_START.initial_share) * ramp_progress).min(1.0);
        SLOW_START.overload_multiple * capacity_share * self.weight * SLOW_START.window.as_secs_f64()
    }
}

/// A window that begins with an attempt, and the number of attempts in it.
#[derive(Clone, Copy, Debug)]
struct Window {
    begin: Duration,
    attempts: f64,
}

fn windows(sent: &[Duration]) -> impl Iterator<Item = Window> + '_ {
    sent.iter().enumerate().map(|(index, begin)| {
        let end = *begin + SLOW_START.window;
        let attempts = sent[index..].iter().take_while(|at| **at < end).count() as f64;
        Window { begin: *begin, attempts }
    })
}
