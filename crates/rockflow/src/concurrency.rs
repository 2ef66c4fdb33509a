//! Concurrency limit of fills: cuts their number while they come late.

use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use std::time::Duration;

/// The share of late fills at which their number is limited.
const LATE_SHARE: f64 = 0.15;
/// The part of the fills in flight at which the limit starts.
const INITIAL_PART: f64 = 0.5;
/// The part of the limit that a round of late fills takes off.
const LATE_CUT: f64 = 0.5;
/// The least limit, as a share of the fills that are wanted.
const MIN_LIMIT: f64 = 0.1;
/// How long the limit holds after the last late fill, as a part of the longest deadline.
const HOLD_PART: f64 = 0.3;

/// Whether a fill came in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// Before its latency objective.
    Timely,
    /// After its latency objective, or never.
    Late,
}

/// Limits fills that crowd a full link or a slow source.
///
/// When fills come late their number is cut until those admitted come in time. Below one they are admitted by random
/// draw, as one for each of many dispatchers can be too many. A burst of answers that are late for another reason
/// costs some misses.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    in_flight: usize,
    /// Fills at once; below one, the share of fills that are admitted.
    limit: f64,
    late: DecayingSum,
    timely: DecayingSum,
    last_late: Option<Duration>,
}

impl ConcurrencyLimit {
    /// No limit; `empty` has the memory of the longest deadline.
    pub(crate) fn new(empty: DecayingSum) -> Self {
        ConcurrencyLimit { in_flight: 0, limit: 1.0, late: empty, timely: empty, last_late: None }
    }

    /// A fill was sent.
    pub(crate) fn fill_sent(&mut self) {
        self.in_flight += 1;
    }

    /// A fill ended.
    pub(crate) fn fill_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether fills have lately come late. Where few are admitted few can show it: then it lasts longer.
    pub(crate) fn is_constrained(&self, now: Duration) -> bool {
        let hold_s = self.late.memory_s() * HOLD_PART / self.limit.min(1.0);
        let hold = Duration::from_secs_f64(hold_s);
        self.last_late.is_some_and(|late| now < late + hold)
    }

    /// Whether a fill of a request with this random draw is not admitted.
    pub(crate) fn is_limited(&self, now: Duration, draw: f64) -> bool {
        self.is_constrained(now) && (self.in_flight as f64 >= self.limit.max(1.0) || draw > self.limit)
    }

    /// Records whether a fill came in time, and adapts the limit.
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
            self.limit *= 1.0 - LATE_CUT / self.limit.max(1.0);
        } else if late >= MIN_OBSERVATIONS && !is_mostly_timely(late, timely) {
            self.limit = (self.in_flight as f64 * INITIAL_PART).max(1.0);
        } else {
            return;
        }
        self.limit = self.limit.max(MIN_LIMIT);
        self.last_late = Some(now);
    }
}

/// Whether no more than the tolerated share of fills was late.
pub(crate) fn is_mostly_timely(late: f64, timely: f64) -> bool {
    late <= LATE_SHARE * (late + timely)
}
