//! The one clock: monotonic for the decisions, and the only place where Unix time is converted.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts on from the Unix time of the start, so that hosts started before it have their place on the same
/// scale and a step of the system's clock moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Duration,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock { unix_at_start: unix(), start: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.unix_at_start + self.start.elapsed()
    }

    /// A Unix time on this clock; the same for the same time, whenever it is asked.
    pub fn at(&self, unix_ms: u64) -> Duration {
        Duration::from_millis(unix_ms)
    }

    /// How long ago a Unix time was, by the system's clock.
    pub fn ago(&self, unix_ms: u64) -> Duration {
        unix().saturating_sub(Duration::from_millis(unix_ms))
    }
}

fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
