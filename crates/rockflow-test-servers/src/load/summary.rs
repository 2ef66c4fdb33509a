//! Counts the requests of a load by outcome, with their latencies.

use std::time::Duration;

/// The outcomes and latencies of the requests of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadSummary {
    /// Requests answered with status 200 or 304.
    pub succeeded: u64,
    /// Requests answered with status 429 or 503, by which the dispatcher sheds load.
    pub rejected: u64,
    /// Requests answered with any other status.
    pub failed: u64,
    /// Requests that were sent and got no complete answer.
    pub unanswered: u64,
    /// Requests after whose answer more bytes arrived, which would be a second answer.
    pub duplicated: u64,
    /// The latency of each answered request, in microseconds.
    pub latencies_us: Vec<u32>,
}

impl LoadSummary {
    /// The number of requests that got a complete answer, whatever its status.
    pub fn answered(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// The latency within which the given share (0 to 1) of the answers arrived; zero if there are no answers.
    pub fn latency_percentile(&self, share: f64) -> Duration {
        let mut latencies = self.latencies_us.clone();
        latencies.sort_unstable();
        let rank = (latencies.len() as f64 * share).ceil() as usize;
        let index = rank.clamp(1, latencies.len().max(1)) - 1;
        Duration::from_micros(latencies.get(index).copied().unwrap_or(0).into())
    }

    /// Adds the counts and latencies of another summary.
    pub(super) fn add(&mut self, other: LoadSummary) {
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.duplicated += other.duplicated;
        self.latencies_us.extend(other.latencies_us);
    }

    /// Counts an answered request by its status.
    pub(super) fn record_answer(&mut self, status: u16, latency: Duration) {
        match status {
            200 | 304 => self.succeeded += 1,
            429 | 503 => self.rejected += 1,
            _ => self.failed += 1,
        }
        self.latencies_us.push(latency.as_micros() as u32);
    }
}
