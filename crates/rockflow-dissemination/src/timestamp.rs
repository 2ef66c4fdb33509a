//! Moments before and after the start of this machine.

use std::time::Duration;

/// A moment by this machine's own clock, in microseconds since its start; before it: negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

impl Timestamp {
    pub fn ago(now: Duration, age: Duration) -> Timestamp {
        Timestamp(micros(now).saturating_sub(micros(age)))
    }

    pub fn ms_ago(now: Duration, age_ms: u32) -> Timestamp {
        Timestamp::ago(now, Duration::from_millis(u64::from(age_ms)))
    }

    pub fn age(self, now: Duration) -> Duration {
        Duration::from_micros(u64::try_from(micros(now).saturating_sub(self.0)).unwrap_or(0))
    }

    /// Never more than the true age, so that nothing counts as older than it is.
    pub fn age_ms(self, now: Duration) -> u32 {
        u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX)
    }
}
