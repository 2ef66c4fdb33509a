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

/// Number of deadlines up to which obsolete ones are not looked for.
const MIN_COMPACTED: usize = 1024;

/// A priority queue of deadlines. When one is due, its attempt, request or health check may already have ended: such
/// obsolete deadlines are removed only from time to time.
#[derive(Default)]
pub(super) struct DeadlineQueue {
    heap: BinaryHeap<Reverse<(Duration, Deadline)>>,
    /// Number of deadlines that were left by the last compaction.
    compacted: usize,
}

impl DeadlineQueue {
    /// Whether the queue has doubled since the last compaction.
    pub(super) fn is_compaction_due(&self) -> bool {
        self.heap.len() >= 2 * self.compacted.max(MIN_COMPACTED)
    }

    /// Removes the deadlines that are no longer needed.
    pub(super) fn compact(&mut self, is_needed: impl Fn(&Deadline) -> bool) {
        self.heap.retain(|Reverse((_, deadline))| is_needed(deadline));
        self.compacted = self.heap.len();
        self.heap.shrink_to(2 * self.compacted.max(MIN_COMPACTED));
    }

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
