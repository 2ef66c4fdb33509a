//! What a host in slow start tolerates of all dispatchers together.

use crate::deployment::SLOW_START;
use std::time::Duration;

/// A host in slow start, and the size of what it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartHost {
    /// When it started.
    pub started: Duration,
    /// The capacity of its link, in transfers at full rate.
    pub weight: f64,
    /// The transfer time of an attempt at full rate, in seconds.
    pub attempt_s: f64,
}

impl SlowStartHost {
    /// By how many attempts it got more than it tolerates with chance, in the worst of its windows. Negative: it got less.
    ///
    /// Where it tolerates N in a window by the capacity at the window's begin, chance adds two roots of N and two more.
    /// `sent` holds the times of the attempts in order.
    pub fn max_excess(&self, sent: &[Duration]) -> f64 {
        let excess = |window: Window| {
            let tolerated = self.tolerated_attempts(window.begin);
            window.attempts - tolerated - 2.0 * tolerated.sqrt() - 2.0
        };
        windows(sent).map(excess).fold(f64::MIN, f64::max)
    }

    /// The attempts of the worst window over what it tolerates with chance, as in [`max_excess`](Self::max_excess).
    pub fn max_share_of_bound(&self, sent: &[Duration]) -> f64 {
        let share = |window: Window| {
            let tolerated = self.tolerated_attempts(window.begin);
            window.attempts / (tolerated + 2.0 * tolerated.sqrt() + 2.0)
        };
        windows(sent).map(share).fold(0.0, f64::max)
    }

    /// The work of the worst window over what it tolerates, without allowance for chance.
    ///
    /// # Panics
    /// If an attempt was sent before the host started.
    pub fn max_relative_work(&self, sent: &[Duration]) -> f64 {
        let relative = |window: Window| {
            assert!(window.begin >= self.started, "sent at {:?}, before the start", window.begin);
            window.attempts * self.attempt_s / self.tolerated_work_s(window.begin)
        };
        windows(sent).map(relative).fold(0.0, f64::max)
    }

    fn tolerated_attempts(&self, begin: Duration) -> f64 {
        self.tolerated_work_s(begin) / self.attempt_s
    }

    /// The work that it tolerates in a window, in seconds, by its capacity when the window begins.
    fn tolerated_work_s(&self, begin: Duration) -> f64 {
        let age = begin.saturating_sub(self.started).as_secs_f64() / SLOW_START.ramp.as_secs_f64();
        let share = (SLOW_START.initial_share + (1.0 - SLOW_START.initial_share) * age).min(1.0);
        SLOW_START.overload_multiple * share * self.weight * SLOW_START.window.as_secs_f64()
    }
}

/// A window that begins with an attempt.
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
