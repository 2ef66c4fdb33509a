//! The counts and latencies of a load's requests.

use std::time::Duration;

/// What became of a load's requests.
#[derive(Clone, Debug, Default)]
pub struct LoadSummary {
    /// Answered with 200 or 304.
    pub succeeded: u64,
    /// Answered with 429 or 503: load was shed.
    pub rejected: u64,
    /// Answered with any other status.
    pub failed: u64,
    /// Sent, and not answered in whole.
    pub unanswered: u64,
    /// Answered more than once.
    pub duplicated: u64,
    /// The latency of each answered request, in microseconds.
    pub latencies_us: Vec<u32>,
}

impl LoadSummary {
    /// The number of answered requests.
    pub fn answered(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// The latency within which the given share (0 to 1) of the answers came; zero without answers.
    pub fn latency_percentile(&self, share: f64) -> Duration {
        let mut latencies = self.latencies_us.clone();
        latencies.sort_unstable();
        let rank = (latencies.len() as f64 * share).ceil() as usize;
        let index = rank.clamp(1, latencies.len().max(1)) - 1;
        Duration::from_micros(latencies.get(index).copied().unwrap_or(0).into())
    }

    /// Adds the requests of another summary.
    pub(super) fn add(&mut self, other: LoadSummary) {
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.duplicated += other.duplicated;
        self.latencies_us.extend(other.latencies_us);
    }

    /// Counts an answered request.
    pub(super) fn record_answer(&mut self, status: u16, latency: Duration) {
        match status {
            200 | 304 => self.succeeded += 1,
            429 | 503 => self.rejected += 1,
            _ => self.failed += 1,
        }
        self.latencies_us.push(latency.as_micros() as u32);
    }
}
