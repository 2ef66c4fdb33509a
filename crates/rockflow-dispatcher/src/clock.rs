//! The dispatcher's monotonic clock. Unix timestamps are converted only here.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the Unix time at which the dispatcher started. Start times of hosts, which are Unix
/// timestamps, can be compared with it, and a step of the system clock doesn't change it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Duration,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        Clock { unix_at_start: unix_now(), start: Instant::now() }
    }

    /// The time on this clock: the Unix time at its start plus the time elapsed since.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.start.elapsed()
    }

    /// Converts a Unix time in milliseconds to this clock. The result depends on the argument alone.
    pub fn at(&self, unix_ms: u64) -> Duration {
        Duration::from_millis(unix_ms)
    }

    /// Time elapsed since a Unix time in milliseconds, by the system clock; zero if that time is in the future.
    pub fn age(&self, unix_ms: u64) -> Duration {
        unix_now().saturating_sub(Duration::from_millis(unix_ms))
    }
}

fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
