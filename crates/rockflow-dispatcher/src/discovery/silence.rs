//! Detects that nothing has been received for too long. Decides; does no I/O.

use std::time::Duration;

/// How long nothing has been received, and whether that has been reported.
#[derive(Debug)]
pub struct SilenceDetector {
    since: Duration,
    limit: Duration,
    is_reported: bool,
}

impl SilenceDetector {
    /// Silence from now on is reported once it is longer than `limit`.
    pub fn new(now: Duration, limit: Duration) -> SilenceDetector {
        SilenceDetector { since: now, limit, is_reported: false }
    }

    /// The longest silence that is not reported.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Something was received; returns how long the silence was, if it had been reported.
    pub fn on_received(&mut self, now: Duration) -> Option<Duration> {
        let silence = now.saturating_sub(std::mem::replace(&mut self.since, now));
        std::mem::take(&mut self.is_reported).then_some(silence)
    }

    /// Returns how long the silence is, the first time that it is past the limit.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let silence = now.saturating_sub(self.since);
        if self.is_reported || silence <= self.limit {
            return None;
        }
        self.is_reported = true;
        Some(silence)
    }
}
