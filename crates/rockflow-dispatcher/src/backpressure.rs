//! Bounds on what callers of other threads leave waiting for an actor, and what replaces that which exceeds them. What
//! replaces a purge is never laxer than the purge.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Purges that may wait; a purge of everything replaces those beyond. The decisions look at all they hold with each, so
/// that more would delay requests.
pub const MAX_PURGES: usize = 4096;
/// Callers that may wait for one value. With one more, the earliest is not notified.
pub const MAX_CALLERS: usize = 4096;

/// Called once, in the actor that has done what was requested; it must not wait.
pub type CompletionCallback<T> = Box<dyn FnOnce(T) + Send>;

/// Counts the purges that wait.
#[derive(Default)]
pub struct PurgeQuota {
    waiting: AtomicUsize,
}

/// A part of the quota, which is released when this is dropped.
pub struct PurgeReservation {
    quota: Arc<PurgeQuota>,
    count: usize,
}

impl PurgeQuota {
    /// Reserves room for `count` purges; none: there is not enough left.
    pub fn reserve(self: &Arc<Self>, count: usize) -> Option<PurgeReservation> {
        let reservation = PurgeReservation { quota: self.clone(), count };
        let before = self.waiting.fetch_add(count, Ordering::Relaxed);
        (before + count <= MAX_PURGES).then_some(reservation)
    }
}

impl Drop for PurgeReservation {
    fn drop(&mut self) {
        self.quota.waiting.fetch_sub(self.count, Ordering::Relaxed);
    }
}

/// What became of a value that was put into a [`CoalescingSlot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PutOutcome {
    /// The slot was empty, so that its reader must be notified.
    pub was_empty: bool,
    /// A caller that waited longest gave way and will not be notified.
    pub dropped_caller: bool,
}

struct Waiting<T, R> {
    value: T,
    callers: VecDeque<CompletionCallback<R>>,
}

/// Holds one value in place of all that were put before it, and the callers that wait for it to be processed.
pub struct CoalescingSlot<T, R> {
    waiting: Mutex<Option<Waiting<T, R>>>,
}

impl<T, R> Default for CoalescingSlot<T, R> {
    fn default() -> Self {
        CoalescingSlot { waiting: Mutex::new(None) }
    }
}

impl<T, R: Clone> CoalescingSlot<T, R> {
    /// Puts the value that `join` makes from the one that waits, if any.
    pub fn put(&self, join: impl FnOnce(Option<T>) -> T, done: CompletionCallback<R>) -> PutOutcome {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let (before, mut callers) = match waiting.take() {
            Some(Waiting { value, callers }) => (Some(value), callers),
            None => (None, VecDeque::new()),
        };
        let outcome =
            PutOutcome { was_empty: before.is_none(), dropped_caller: callers.len() >= MAX_CALLERS };
        if outcome.dropped_caller {
            callers.pop_front();
        }
        callers.push_back(done);
        *waiting = Some(Waiting { value: join(before), callers });
        outcome
    }

    /// Takes the value, and a function that notifies all callers that wait for it.
    pub fn take(&self) -> Option<(T, impl FnOnce(R) + use<T, R>)> {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner).take();
        waiting.map(|Waiting { value, callers }| {
            let notify = move |reply: R| {
                for done in callers {
                    done(reply.clone());
                }
            };
            (value, notify)
        })
    }
}
