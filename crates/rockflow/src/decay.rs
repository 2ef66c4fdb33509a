//! Exponentially decaying sums, which all counts and rates of recent events are based on.

use std::time::Duration;

/// Shortest time constant of a sum, in seconds. Prevents a division by zero.
const MIN_TIME_CONSTANT_S: f64 = 1e-6;

/// Minimum decayed count of observations before a limit, an ejection or a rate comparison may rely on them.
pub(crate) const MIN_OBSERVATIONS: f64 = 2.0;

/// A sum that decays by a factor of e within its time constant. The decay is computed at each read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    sum: f64,
    /// The time to which `sum` is decayed.
    updated: Duration,
    time_constant_s: f64,
}

impl DecayingSum {
    /// An empty sum that decays with this time constant.
    pub(crate) fn new(time_constant: Duration) -> Self {
        DecayingSum {
            sum: 0.0,
            updated: Duration::ZERO,
            time_constant_s: time_constant.as_secs_f64().max(MIN_TIME_CONSTANT_S),
        }
    }

    /// An empty sum with the same time constant.
    pub(crate) fn emptied(&self) -> Self {
        self.emptied_with_scaled_time_constant(1.0)
    }

    /// An empty sum whose time constant is that of this one times `factor`.
    pub(crate) fn emptied_with_scaled_time_constant(&self, factor: f64) -> Self {
        DecayingSum { sum: 0.0, updated: Duration::ZERO, time_constant_s: self.time_constant_s * factor }
    }

    /// The time constant, in seconds.
    pub(crate) fn time_constant_s(&self) -> f64 {
        self.time_constant_s
    }

    /// The sum, decayed to `now`.
    pub(crate) fn read(&self, now: Duration) -> f64 {
        self.sum * libm::exp(-now.saturating_sub(self.updated).as_secs_f64() / self.time_constant_s)
    }

    /// Adds an amount, which may be negative; the sum never falls below zero.
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.sum = (self.read(now) + amount).max(0.0);
        self.updated = now;
    }
}
