//! The one clock: monotonic for the decisions, and the only place where Unix time is converted.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts on from the Unix time of the start, so that hosts started before it have their place on the same scale and a
/// step of the system's clock moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Duration,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { unix_at_start: unix_now(), start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.start.elapsed()
    }

    /// A Unix time in milliseconds on this clock; always the same for the same time.
    pub fn at(&self, unix_ms: u64) -> Duration {
        Duration::from_millis(unix_ms)
    }

    /// How long ago a Unix time in milliseconds was, by the system's clock.
    pub fn age(&self, unix_ms: u64) -> Duration {
        unix_now().saturating_sub(Duration::from_millis(unix_ms))
    }
}

fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
