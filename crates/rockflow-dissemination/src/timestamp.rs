//! Timestamps on a node's own clock. They may be earlier than the origin of that clock.

use std::time::Duration;

/// Microseconds since the origin of the node's clock; negative before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Timestamp(i64);

impl Timestamp {
    /// The time `age` before `now`.
    pub fn ago(now: Duration, age: Duration) -> Timestamp {
        Timestamp(as_micros(now).saturating_sub(as_micros(age)))
    }

    /// The time `age_ms` milliseconds before `now`.
    pub fn ms_ago(now: Duration, age_ms: u32) -> Timestamp {
        Timestamp::ago(now, Duration::from_millis(u64::from(age_ms)))
    }

    /// Time from this timestamp to `now`; zero for a timestamp after `now`.
    pub fn age(self, now: Duration) -> Duration {
        Duration::from_micros(u64::try_from(as_micros(now).saturating_sub(self.0)).unwrap_or(0))
    }

    /// The age in whole milliseconds, rounded down so that nothing counts as older than it is.
    pub fn age_ms(self, now: Duration) -> u32 {
        u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX)
    }
}

fn as_micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
