//! Statistics of a request class: transfer times, and how well its large requests are served beside the rest.

use crate::config::Class;
use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use std::time::Duration;

/// The decayed number of transfers from which their mean is used.
const MIN_TRANSFERS: f64 = 0.5;
/// Standard deviations above the mean up to which a transfer of unknown size is usual.
const USUAL_DEVIATIONS: f64 = 3.0;
/// A request is large from this multiple of the mean transfer time of its class on.
const LARGE_FROM: f64 = 2.0;
/// Large requests are under-served when their success rate is below this part of that of the class.
const LARGE_SUCCESS_PART: f64 = 0.6;

/// How long the transfer of a response takes at full rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferEstimate {
    /// The expected time, in seconds: by the size of the response, or the mean of its class.
    pub(crate) expected_s: f64,
    /// The longest usual time, in seconds.
    pub(crate) usual_max_s: f64,
}

/// Moments of the transfer times seen.
#[derive(Debug)]
struct TransferTimes {
    count: DecayingSum,
    seconds: DecayingSum,
    squared_seconds: DecayingSum,
}

/// Requests received and succeeded.
#[derive(Debug)]
struct SuccessRate {
    received: DecayingSum,
    succeeded: DecayingSum,
}

/// A request class with its statistics.
#[derive(Debug)]
pub(crate) struct ClassStats {
    class: Class,
    transfers: TransferTimes,
    all: SuccessRate,
    large: SuccessRate,
}

impl ClassStats {
    /// A class without observations; `empty` sets the memory of its sums.
    pub(crate) fn new(class: &Class, empty: DecayingSum) -> Self {
        ClassStats {
            class: class.clone(),
            transfers: TransferTimes { count: empty, seconds: empty, squared_seconds: empty },
            all: SuccessRate { received: empty, succeeded: empty },
            large: SuccessRate { received: empty, succeeded: empty },
        }
    }

    /// The configuration of the class.
    pub(crate) fn class(&self) -> &Class {
        &self.class
    }

    /// The transfer time of a request of the class whose size is unknown.
    pub(crate) fn transfer_estimate(&self, now: Duration) -> TransferEstimate {
        let count = self.transfers.count.read(now);
        let seconds = self.transfers.seconds.read(now);
        let squared_seconds = self.transfers.squared_seconds.read(now);
        if count < MIN_TRANSFERS {
            // Nothing seen yet: the part of the latency objective that the stretch leaves to the transfer.
            let guess = self.class.latency_objective.as_secs_f64() / (1.0 + self.class.transfer_stretch);
            return TransferEstimate { expected_s: guess, usual_max_s: guess * (1.0 + USUAL_DEVIATIONS) };
        }
        let mean = seconds / count;
        let deviation = libm::sqrt((squared_seconds / count - mean * mean).max(0.0));
        TransferEstimate { expected_s: mean, usual_max_s: mean + USUAL_DEVIATIONS * deviation }
    }

    /// Records the transfer time of a request.
    pub(crate) fn record_transfer(&mut self, now: Duration, seconds: f64) {
        self.transfers.count.add(now, 1.0);
        self.transfers.seconds.add(now, seconds);
        self.transfers.squared_seconds.add(now, seconds * seconds);
    }

    /// Records that a request arrived that takes this many seconds to transfer.
    pub(crate) fn record_received(&mut self, now: Duration, transfer_s: f64) {
        let large = self.count_if_large(now, transfer_s);
        self.all.received.add(now, 1.0);
        self.large.received.add(now, large);
    }

    /// Records that a request succeeded that takes this many seconds to transfer.
    pub(crate) fn record_succeeded(&mut self, now: Duration, transfer_s: f64) {
        let large = self.count_if_large(now, transfer_s);
        self.all.succeeded.add(now, 1.0);
        self.large.succeeded.add(now, large);
    }

    /// Whether large requests succeed far less often than the rest of the class.
    ///
    /// In a lasting overload they are the first to be shed, as they are the first to be late. While this holds they
    /// are admitted on the terms of a request of mean size, at the cost that some come late and crowd others.
    pub(crate) fn is_large_under_served(&self, now: Duration) -> bool {
        let received = self.all.received.read(now);
        let succeeded = self.all.succeeded.read(now);
        let large_received = self.large.received.read(now);
        let large_succeeded = self.large.succeeded.read(now);
        large_received >= MIN_OBSERVATIONS
            && large_succeeded * received < LARGE_SUCCESS_PART * succeeded * large_received
    }

    fn count_if_large(&self, now: Duration, transfer_s: f64) -> f64 {
        if transfer_s >= LARGE_FROM * self.transfer_estimate(now).expected_s {
            1.0
        } else {
            0.0
        }
    }
}
