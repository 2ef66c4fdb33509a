//! The deadline queue of the decision actor.

use crate::attempt::AttemptKey;
use rockflow::{RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What happens at a deadline. Deadlines at the same time run in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// An attempt times out.
    AttemptTimeout(AttemptKey),
    /// An attempt that is still unsent is withdrawn.
    SendBy(AttemptKey),
    /// A request that still has no response fails: the decision logic missed its deadline.
    Response(RequestId),
    /// A timer set by the decision logic fires.
    Timer(TimerId),
    /// A health check times out; the value is its tag.
    HealthCheck(u64),
}

/// A priority queue of deadlines. They are not removed early: when one is due, its attempt, request or health check may
/// already have ended.
#[derive(Default)]
pub(super) struct DeadlineQueue {
    heap: BinaryHeap<Reverse<(Duration, Deadline)>>,
}

impl DeadlineQueue {
    pub(super) fn push(&mut self, at: Duration, deadline: Deadline) {
        self.heap.push(Reverse((at, deadline)));
    }

    /// When the next deadline is due. `None` if there is none.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next deadline that is due by `time`.
    pub(super) fn pop_due(&mut self, time: Duration) -> Option<Deadline> {
        if self.next_at()? > time {
            return None;
        }
        self.heap.pop().map(|Reverse((_, deadline))| deadline)
    }
}
