//! Health of a host by the outcomes of its attempts, and when it is ejected as an outlier.

use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use std::time::Duration;

/// The share of failures from which a host may be ejected.
const EJECTION_FAILURE_SHARE: f64 = 0.25;
/// How many times worse its odds must be than the best of its role: what strikes all alike lies behind them.
const EJECTION_ODDS: f64 = 2.0;
/// The share of requests that try an ejected host, where it is first in hash order.
const EJECTED_TRY_SHARE: f64 = 0.25;

/// What one outcome says of a host, as parts of a success and of a failure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HealthSample {
    /// The part that counts as a success.
    pub(crate) success: f64,
    /// The part that counts as a failure.
    pub(crate) failure: f64,
}

impl HealthSample {
    /// The outcome says nothing of the host.
    pub(crate) const NONE: HealthSample = HealthSample { success: 0.0, failure: 0.0 };
    /// A success.
    pub(crate) const SUCCESS: HealthSample = HealthSample { success: 1.0, failure: 0.0 };
    /// A failure.
    pub(crate) const FAILURE: HealthSample = HealthSample { success: 0.0, failure: 1.0 };
    /// Half a failure: the other half is another host's.
    pub(crate) const HALF_FAILURE: HealthSample = HealthSample { success: 0.0, failure: 0.5 };
    /// Half a success and half a failure: it answered, but slowly.
    pub(crate) const SLOW: HealthSample = HealthSample { success: 0.5, failure: 0.5 };
}

/// Recent successes and failures of a host.
#[derive(Debug)]
pub(crate) struct HostHealth {
    successes: DecayingSum,
    failures: DecayingSum,
}

impl HostHealth {
    /// A host without observations; `empty` sets the memory.
    pub(crate) fn new(empty: DecayingSum) -> Self {
        HostHealth { successes: empty, failures: empty }
    }

    /// Records an outcome.
    pub(crate) fn record(&mut self, now: Duration, sample: HealthSample) {
        self.successes.add(now, sample.success);
        self.failures.add(now, sample.failure);
    }

    /// The odds of a success.
    pub(crate) fn odds(&self, now: Duration) -> f64 {
        self.successes.read(now) / (self.failures.read(now) + 1.0)
    }

    /// The share of successes among the recent outcomes, 1 without any.
    pub(crate) fn success_rate(&self, now: Duration) -> f64 {
        let successes = self.successes.read(now);
        let failures = self.failures.read(now);
        if successes + failures > 0.0 {
            successes / (successes + failures)
        } else {
            1.0
        }
    }

    /// Whether the host fails far more often than the best of its role: then the fault is its own.
    pub(crate) fn is_outlier(&self, now: Duration, best_odds: f64) -> bool {
        let successes = self.successes.read(now);
        let failures = self.failures.read(now);
        failures >= MIN_OBSERVATIONS
            && failures >= EJECTION_FAILURE_SHARE * (successes + failures)
            && failures * best_odds > EJECTION_ODDS * (successes + 1.0)
    }
}

/// Whether a request tries an ejected host, by its random draw. Only the first in hash order is tried, so that the
/// attempts of many dispatchers are no load of their own.
pub(crate) fn may_try_ejected(draw: f64) -> bool {
    (draw / EJECTED_TRY_SHARE).fract() < EJECTED_TRY_SHARE
}
