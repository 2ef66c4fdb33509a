//! Detects that nothing has been received from discovery for too long. Pure logic without I/O.

use std::time::Duration;

/// Tracks how long nothing has been received, and reports each silence that exceeds the limit once.
#[derive(Debug)]
pub struct SilenceDetector {
    /// When something was last received, or when detection began.
    last_received: Duration,
    limit: Duration,
    is_reported: bool,
}

impl SilenceDetector {
    /// Starts detection at `now`; a silence is reported when it exceeds `limit`.
    pub fn new(now: Duration, limit: Duration) -> SilenceDetector {
        SilenceDetector { last_received: now, limit, is_reported: false }
    }

    /// The longest silence that is not reported.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Records that something was received. If the silence before it was reported, returns its length.
    pub fn on_received(&mut self, now: Duration) -> Option<Duration> {
        let silence = now.saturating_sub(std::mem::replace(&mut self.last_received, now));
        std::mem::take(&mut self.is_reported).then_some(silence)
    }

    /// Returns the length of the current silence the first time that it exceeds the limit, otherwise `None`.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let silence = now.saturating_sub(self.last_received);
        if self.is_reported || silence <= self.limit {
            return None;
        }
        self.is_reported = true;
        Some(silence)
    }
}
