//! Adaptive concurrency limit for fills: reduced while fills miss their latency objective.

use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use std::time::Duration;

/// Share of late fills above which a limit starts.
const LATE_SHARE: f64 = 0.15;
/// Initial limit, as a part of the fills in flight.
const INITIAL_PART: f64 = 0.5;
/// Part by which the limit falls when as many fills are late as the limit admits at once.
const LATE_REDUCTION: f64 = 0.5;
/// Lowest limit, as the share of fills that are admitted.
const MIN_LIMIT: f64 = 0.1;
/// How long the limit stays in effect after the last late fill, as a part of the longest deadline.
const HOLD_PART: f64 = 0.3;

/// Whether a fill met its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// The fill ended within its latency objective.
    Timely,
    /// The fill ended after its latency objective or never.
    Late,
}

/// Limits the number of fills over a saturated link or from a slow source.
///
/// While fills are late, the limit is reduced until the admitted fills meet their latency objective. Below a limit of
/// one, fills are admitted by random draw, because one fill at each of many dispatchers can still be too many. A burst
/// of responses that are late for another reason also triggers the limit, and some misses are then not filled.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    in_flight: usize,
    /// Maximum number of fills in flight; below one, the share of fills that are admitted.
    limit: f64,
    late: DecayingSum,
    timely: DecayingSum,
    /// The last late fill that started or reduced the limit. `None`: the limit was never in effect.
    last_late: Option<Duration>,
}

impl ConcurrencyLimit {
    /// A limit that is not in effect. The time constant of `empty_sum` is the longest deadline.
    pub(crate) fn new(empty_sum: DecayingSum) -> Self {
        ConcurrencyLimit { in_flight: 0, limit: 1.0, late: empty_sum, timely: empty_sum, last_late: None }
    }

    /// Counts a fill sent.
    pub(crate) fn fill_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Removes an ended fill from those in flight.
    pub(crate) fn fill_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether the limit is in effect because fills were recently late. It stays in effect longer when it admits only a
    /// share of the fills, as there are then fewer fills to measure.
    pub(crate) fn is_constrained(&self, now: Duration) -> bool {
        let hold_s = self.late.time_constant_s() * HOLD_PART / self.limit.min(1.0);
        let hold = Duration::from_secs_f64(hold_s);
        self.last_late.is_some_and(|late| now < late + hold)
    }

    /// Whether the limit rejects a fill for a request with this random draw, from 0 to 1.
    pub(crate) fn is_limited(&self, now: Duration, draw: f64) -> bool {
        self.is_constrained(now) && (self.in_flight as f64 >= self.limit.max(1.0) || draw > self.limit)
    }

    /// Records whether a fill met its latency objective, and adapts the limit.
    pub(crate) fn record(&mut self, now: Duration, timeliness: Timeliness) {
        match timeliness {
            Timeliness::Timely => {
                self.timely.add(now, 1.0);
                self.limit += self.limit.min(1.0 / self.limit);
            }
            Timeliness::Late => self.record_late(now),
        }
    }

    fn record_late(&mut self, now: Duration) {
        self.late.add(now, 1.0);
        let late = self.late.read(now);
        let timely = self.timely.read(now);
        if self.is_constrained(now) {
            self.limit *= 1.0 - LATE_REDUCTION / self.limit.max(1.0);
        } else if late >= MIN_OBSERVATIONS && !is_mostly_timely(late, timely) {
            self.limit = (self.in_flight as f64 * INITIAL_PART).max(1.0);
        } else {
            return;
        }
        self.limit = self.limit.max(MIN_LIMIT);
        self.last_late = Some(now);
    }
}

/// Whether the late fills are at most the tolerated share of all fills. Takes decayed counts.
pub(crate) fn is_mostly_timely(late: f64, timely: f64) -> bool {
    late <= LATE_SHARE * (late + timely)
}
