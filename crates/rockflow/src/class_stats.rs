//! Statistics of a request class: transfer times, and the success rate of its large requests compared with all.

use crate::config::Class;
use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use std::time::Duration;

/// Minimum decayed count of transfers for their mean to be used.
const MIN_TRANSFERS: f64 = 0.5;
/// Standard deviations above the mean up to which the transfer time of a response of unknown size counts as usual.
const USUAL_DEVIATIONS: f64 = 3.0;
/// Multiple of the mean transfer time of its class from which a request counts as large.
const LARGE_FROM: f64 = 2.0;
/// Large requests are under-served when their success rate is below this part of the success rate of the class.
const LARGE_SUCCESS_PART: f64 = 0.6;

/// Estimated time to transfer a response at full rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferEstimate {
    /// Expected time in seconds, from the size of the response or else the mean of its class.
    pub(crate) expected_s: f64,
    /// Longest usual time in seconds; equal to the expected time where the size is known.
    pub(crate) usual_max_s: f64,
}

/// Decayed count, sum and sum of squares of the transfer times.
#[derive(Debug)]
struct TransferTimes {
    count: DecayingSum,
    seconds: DecayingSum,
    squared_seconds: DecayingSum,
}

/// Decayed counts of the requests received and of those that succeeded.
#[derive(Debug)]
struct SuccessRate {
    received: DecayingSum,
    succeeded: DecayingSum,
}

/// The configuration and statistics of a request class.
#[derive(Debug)]
pub(crate) struct ClassStats {
    class: Class,
    transfers: TransferTimes,
    all: SuccessRate,
    large: SuccessRate,
}

impl ClassStats {
    /// A class without observations. `empty_sum` sets the time constant of all sums.
    pub(crate) fn new(class: &Class, empty_sum: DecayingSum) -> Self {
        ClassStats {
            class: class.clone(),
            transfers: TransferTimes { count: empty_sum, seconds: empty_sum, squared_seconds: empty_sum },
            all: SuccessRate { received: empty_sum, succeeded: empty_sum },
            large: SuccessRate { received: empty_sum, succeeded: empty_sum },
        }
    }

    /// The configuration of the class.
    pub(crate) fn class(&self) -> &Class {
        &self.class
    }

    /// The estimated transfer time of a request of the class whose size is unknown.
    pub(crate) fn transfer_estimate(&self, now: Duration) -> TransferEstimate {
        let count = self.transfers.count.read(now);
        let seconds = self.transfers.seconds.read(now);
        let squared_seconds = self.transfers.squared_seconds.read(now);
        if count < MIN_TRANSFERS {
            // Without transfers to measure: the transfer time that would use up the latency objective together with
            // its stretch.
            let default_s = self.class.latency_objective.as_secs_f64() / (1.0 + self.class.transfer_stretch);
            return TransferEstimate {
                expected_s: default_s,
                usual_max_s: default_s * (1.0 + USUAL_DEVIATIONS),
            };
        }
        let mean = seconds / count;
        let deviation = libm::sqrt((squared_seconds / count - mean * mean).max(0.0));
        TransferEstimate { expected_s: mean, usual_max_s: mean + USUAL_DEVIATIONS * deviation }
    }

    /// Records a transfer time, in seconds.
    pub(crate) fn record_transfer(&mut self, now: Duration, seconds: f64) {
        self.transfers.count.add(now, 1.0);
        self.transfers.seconds.add(now, seconds);
        self.transfers.squared_seconds.add(now, seconds * seconds);
    }

    /// Records the arrival of a request whose response takes `transfer_s` seconds to transfer.
    pub(crate) fn record_received(&mut self, now: Duration, transfer_s: f64) {
        let large = self.count_if_large(now, transfer_s);
        self.all.received.add(now, 1.0);
        self.large.received.add(now, large);
    }

    /// Records the success of a request whose response takes `transfer_s` seconds to transfer.
    pub(crate) fn record_succeeded(&mut self, now: Duration, transfer_s: f64) {
        let large = self.count_if_large(now, transfer_s);
        self.all.succeeded.add(now, 1.0);
        self.large.succeeded.add(now, large);
    }

    /// Whether the success rate of large requests is far below that of the class.
    ///
    /// In a lasting overload, load shedding rejects large requests first, because they are the first to be late. While
    /// they are under-served, they are admitted like a request of mean size, at the cost that some of them are late and
    /// slow down others.
    pub(crate) fn is_large_under_served(&self, now: Duration) -> bool {
        let received = self.all.received.read(now);
        let succeeded = self.all.succeeded.read(now);
        let large_received = self.large.received.read(now);
        let large_succeeded = self.large.succeeded.read(now);
        large_received >= MIN_OBSERVATIONS
            && large_succeeded * received < LARGE_SUCCESS_PART * succeeded * large_received
    }

    /// What a request adds to the counts of large requests: 1 if it is large, else 0.
    fn count_if_large(&self, now: Duration, transfer_s: f64) -> f64 {
        if transfer_s >= LARGE_FROM * self.transfer_estimate(now).expected_s {
            1.0
        } else {
            0.0
        }
    }
}
