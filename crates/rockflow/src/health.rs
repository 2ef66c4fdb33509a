//! Host health from the outcomes of attempts, and outlier ejection.

use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use std::time::Duration;

/// Minimum share of failures among recent outcomes at which a host may be ejected.
const EJECTION_FAILURE_SHARE: f64 = 0.25;
/// How many times worse than the best odds of its role the odds of an ejected host must be.
/// Hosts that all fail alike are not ejected, as the cause is then likely to be a source that they share.
const EJECTION_ODDS: f64 = 2.0;
/// Share of requests that still try an ejected host when it is first in hash order, so that its recovery is noticed.
const EJECTED_TRY_SHARE: f64 = 0.25;

/// How much one outcome adds to the successes and to the failures of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HealthSample {
    /// Added to the successes, from 0 to 1.
    pub(crate) success: f64,
    /// Added to the failures, from 0 to 1.
    pub(crate) failure: f64,
}

impl HealthSample {
    /// Leaves the health of the host unchanged.
    pub(crate) const NONE: HealthSample = HealthSample { success: 0.0, failure: 0.0 };
    /// A whole success.
    pub(crate) const SUCCESS: HealthSample = HealthSample { success: 1.0, failure: 0.0 };
    /// A whole failure.
    pub(crate) const FAILURE: HealthSample = HealthSample { success: 0.0, failure: 1.0 };
    /// Half a failure, for each of two hosts when it is unknown which one failed.
    pub(crate) const HALF_FAILURE: HealthSample = HealthSample { success: 0.0, failure: 0.5 };
    /// Half a success and half a failure, for a host that answered slowly.
    pub(crate) const SLOW: HealthSample = HealthSample { success: 0.5, failure: 0.5 };
}

/// Exponentially decaying counts of the successes and failures of a host.
#[derive(Debug)]
pub(crate) struct HostHealth {
    successes: DecayingSum,
    failures: DecayingSum,
}

impl HostHealth {
    /// A host without observations. `empty_sum` sets the time constant of both sums.
    pub(crate) fn new(empty_sum: DecayingSum) -> Self {
        HostHealth { successes: empty_sum, failures: empty_sum }
    }

    /// Adds one outcome to the decayed counts.
    pub(crate) fn record(&mut self, now: Duration, sample: HealthSample) {
        self.successes.add(now, sample.success);
        self.failures.add(now, sample.failure);
    }

    /// Successes per failure, with one failure added so that a host without failures has finite odds.
    pub(crate) fn odds(&self, now: Duration) -> f64 {
        self.successes.read(now) / (self.failures.read(now) + 1.0)
    }

    /// Share of successes among the recent outcomes, from 0 to 1; 1 without any outcomes.
    pub(crate) fn success_rate(&self, now: Duration) -> f64 {
        let successes = self.successes.read(now);
        let failures = self.failures.read(now);
        if successes + failures > 0.0 {
            successes / (successes + failures)
        } else {
            1.0
        }
    }

    /// Whether the host fails far more often than the best of its role, whose odds are `best_odds`. Only then is the
    /// host itself the likely cause of its failures.
    pub(crate) fn is_outlier(&self, now: Duration, best_odds: f64) -> bool {
        let successes = self.successes.read(now);
        let failures = self.failures.read(now);
        failures >= MIN_OBSERVATIONS
            && failures >= EJECTION_FAILURE_SHARE * (successes + failures)
            && failures * best_odds > EJECTION_ODDS * (successes + 1.0)
    }
}

/// Whether the random draw of a request, from 0 to 1, lets it try an ejected host. Callers try only the first host in
/// hash order, so that the attempts of many dispatchers don't overload an ejected host.
pub(crate) fn may_try_ejected(draw: f64) -> bool {
    (draw / EJECTED_TRY_SHARE).fract() < EJECTED_TRY_SHARE
}
