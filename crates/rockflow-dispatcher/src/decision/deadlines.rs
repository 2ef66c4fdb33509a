//! Deadlines of the decisions' actor.

use crate::attempt::AttemptKey;
use rockflow::{RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What happens at a deadline. Deadlines of the same time are due in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// The time limit of an attempt passes.
    AttemptTimeout(AttemptKey),
    /// An attempt that has not been sent may not be sent any more.
    SendBy(AttemptKey),
    /// The decisions are late with the response to a request.
    Response(RequestId),
    /// A timer of the decisions fires.
    Timer(TimerId),
    /// The time limit of a health check passes.
    HealthCheck(u64),
}

/// Deadlines in the order of their time. None is removed before it is due: what it is for may have ended by then.
#[derive(Default)]
pub(super) struct DeadlineQueue {
    heap: BinaryHeap<Reverse<(Duration, Deadline)>>,
}

impl DeadlineQueue {
    pub(super) fn push(&mut self, at: Duration, deadline: Deadline) {
        self.heap.push(Reverse((at, deadline)));
    }

    /// When the next one is due.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next one that is due by `time`.
    pub(super) fn pop_due(&mut self, time: Duration) -> Option<Deadline> {
        if self.next_at()? > time {
            return None;
        }
        self.heap.pop().map(|Reverse((_, deadline))| deadline)
    }
}
