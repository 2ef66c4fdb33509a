//! When missing entries of a stream are requested.

use super::{Stream, MAX_REPAIRABLE_GAP};
use crate::entry::SequenceNumber;
use crate::message::MAX_RANGES;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest interval between two requests for the same gap.
const MAX_REPAIR_BACKOFF_HEARTBEATS: u32 = 16;
/// Requests for the same gap that follow each other at one heartbeat interval, before the interval grows.
const MAX_QUICK_REPAIR_REQUESTS: u32 = 16;

/// The requests for missing entries.
#[derive(Clone, Debug, Default)]
pub(super) struct RepairSchedule {
    /// Requests since the stream last advanced.
    attempts: u32,
    /// The last number received at the previous request.
    received_at_last: SequenceNumber,
    /// When the next request is due.
    pub due: Option<Duration>,
    /// Who has advertised the stream's end.
    pub advertised_by: Option<SocketAddr>,
}

impl RepairSchedule {
    /// Nothing is missing.
    pub fn reset(&mut self) {
        self.due = None;
        self.attempts = 0;
    }

    /// A request is due at this time, unless one is already.
    pub fn schedule(&mut self, due: Duration) {
        self.due = self.due.or(Some(due));
    }
}

/// A request that is to be sent now.
pub(crate) struct Repair {
    /// Requests before this one since the stream last advanced; chooses whom to ask.
    pub attempt: u32,
    /// Who has advertised the stream's end.
    pub advertised_by: Option<SocketAddr>,
    /// What is missing; empty: a snapshot is wanted.
    pub ranges: Vec<(SequenceNumber, SequenceNumber)>,
}

impl Stream {
    /// When missing entries are to be requested.
    pub fn repair_due(&self) -> Option<Duration> {
        self.repairs.due
    }

    /// Makes a request due at this time.
    pub fn request_repair_at(&mut self, due: Duration) {
        self.repairs.due = Some(due);
    }

    /// The request for what is missing now; the next one is due later.
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

    /// The first missing ranges; empty: a snapshot is to be requested.
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
