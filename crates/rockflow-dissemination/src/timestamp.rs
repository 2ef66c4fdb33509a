//! Timestamps on the node's own clock, which may lie before its origin.

use std::time::Duration;

/// A moment in microseconds since the origin of the node's time; negative before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Timestamp(i64);

impl Timestamp {
    /// The moment that was `age` ago.
    pub fn ago(now: Duration, age: Duration) -> Timestamp {
        Timestamp(as_micros(now).saturating_sub(as_micros(age)))
    }

    /// The moment that was `age_ms` milliseconds ago.
    pub fn ms_ago(now: Duration, age_ms: u32) -> Timestamp {
        Timestamp::ago(now, Duration::from_millis(u64::from(age_ms)))
    }

    /// The time since then; zero for a moment in the future.
    pub fn age(self, now: Duration) -> Duration {
        Duration::from_micros(u64::try_from(as_micros(now).saturating_sub(self.0)).unwrap_or(0))
    }

    /// The same in whole milliseconds, rounded down so that nothing counts as older than it is.
    pub fn age_ms(self, now: Duration) -> u32 {
        u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX)
    }
}

fn as_micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}
