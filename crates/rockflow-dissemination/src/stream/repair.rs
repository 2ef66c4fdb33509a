//! Schedules and builds the requests for missing entries of a stream.

use super::{Stream, MAX_REPAIRABLE_GAP};
use crate::entry::SequenceNumber;
use crate::message::MAX_RANGES;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest interval between two requests for the same gap, in heartbeat intervals.
const MAX_REPAIR_BACKOFF_HEARTBEATS: u32 = 16;
/// Number of requests for the same gap that are sent one heartbeat interval apart before the backoff grows.
const MAX_QUICK_REPAIR_REQUESTS: u32 = 16;

/// Schedule of the requests for missing entries of one stream.
#[derive(Clone, Debug, Default)]
pub(super) struct RepairSchedule {
    /// Requests sent since the stream last advanced.
    attempts: u32,
    /// The number up to which entries had been received at the previous request.
    received_at_last: SequenceNumber,
    /// When the next request is due; `None` if no entry is missing.
    pub due: Option<Duration>,
    /// Address of the node that last advertised a further end of the stream.
    pub advertised_by: Option<SocketAddr>,
}

impl RepairSchedule {
    /// Clears the schedule, as no entry is missing.
    pub fn reset(&mut self) {
        self.due = None;
        self.attempts = 0;
    }

    /// Makes a request due at `due`, unless one is scheduled already.
    pub fn schedule(&mut self, due: Duration) {
        self.due = self.due.or(Some(due));
    }
}

/// A request that is to be sent now.
pub(crate) struct Repair {
    /// Number of requests before this one since the stream last advanced; determines which node is asked.
    pub attempt: u32,
    /// Address of the node that last advertised a further end of the stream.
    pub advertised_by: Option<SocketAddr>,
    /// First and last number of each missing range; empty to ask for a snapshot.
    pub ranges: Vec<(SequenceNumber, SequenceNumber)>,
}

impl Stream {
    /// When missing entries are to be requested; `None` if no entry is missing.
    pub fn repair_due(&self) -> Option<Duration> {
        self.repairs.due
    }

    /// Makes a request due at `due`, whether or not one is scheduled.
    pub fn request_repair_at(&mut self, due: Duration) {
        self.repairs.due = Some(due);
    }

    /// Builds the request for the entries that are missing now, and schedules the next request.
    pub fn next_repair(&mut self, now: Duration, heartbeat_interval: Duration) -> Repair {
        if self.repairs.received_at_last != self.received() {
            self.repairs.received_at_last = self.received();
            self.repairs.attempts = 0;
        }
        let attempt = self.repairs.attempts;
        self.repairs.attempts = attempt.saturating_add(1);
        let backoff =
            attempt.saturating_sub(MAX_QUICK_REPAIR_REQUESTS).clamp(1, MAX_REPAIR_BACKOFF_HEARTBEATS);
        self.repairs.due = Some(now + heartbeat_interval * backoff);
        Repair { attempt, advertised_by: self.repairs.advertised_by, ranges: self.missing_ranges() }
    }

    /// The first missing ranges, at most [`MAX_RANGES`]; empty if a snapshot is to be requested.
    fn missing_ranges(&self) -> Vec<(SequenceNumber, SequenceNumber)> {
        if !self.start_known || self.last.saturating_sub(self.received) > MAX_REPAIRABLE_GAP {
            return Vec::new();
        }
        let mut ranges = Vec::new();
        let mut next = self.received.saturating_add(1);
        for (number, _) in self.log.range(next..) {
            if *number > next {
                ranges.push((SequenceNumber(next), SequenceNumber(number - 1)));
            }
            next = number.saturating_add(1);
            if ranges.len() >= MAX_RANGES {
                return ranges;
            }
        }
        if next <= self.last {
            ranges.push((SequenceNumber(next), SequenceNumber(self.last)));
        }
        ranges
    }
}
