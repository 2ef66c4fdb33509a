//! Bounds on the messages that callers on other threads queue for an actor. Excess messages are replaced by a single
//! one; what replaces purges always covers at least as much as they did.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of queued purges; one purge of everything replaces the excess. The decision logic scans all its
/// purges with each new one, so a larger number would delay requests.
pub const MAX_PURGES: usize = 4096;
/// Maximum number of callers that wait for one value. An additional caller displaces the one that has waited longest,
/// which is then never notified.
pub const MAX_CALLERS: usize = 4096;

/// Called once by the actor that has completed the operation, on its coroutine; it must not block.
pub type CompletionCallback<T> = Box<dyn FnOnce(T) + Send>;

/// Counts the queued purges against [`MAX_PURGES`].
#[derive(Default)]
pub struct PurgeQuota {
    queued: AtomicUsize,
}

/// A reserved part of a [`PurgeQuota`], released on drop.
pub struct PurgeReservation {
    quota: Arc<PurgeQuota>,
    count: usize,
}

impl PurgeQuota {
    /// Reserves quota for `count` purges. Returns `None` if not enough is left.
    pub fn reserve(self: &Arc<Self>, count: usize) -> Option<PurgeReservation> {
        let reservation = PurgeReservation { quota: self.clone(), count };
        let queued_before = self.queued.fetch_add(count, Ordering::Relaxed);
        (queued_before + count <= MAX_PURGES).then_some(reservation)
    }
}

impl Drop for PurgeReservation {
    fn drop(&mut self) {
        self.quota.queued.fetch_sub(self.count, Ordering::Relaxed);
    }
}

/// The result of [`CoalescingSlot::put`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PutOutcome {
    /// Whether the slot was empty, so that the caller must notify its reader.
    pub was_empty: bool,
    /// Whether the earliest waiting caller was displaced and will never be notified.
    pub dropped_caller: bool,
}

/// The value in a slot, and the callbacks of the callers to notify about it.
struct PendingValue<T, R> {
    value: T,
    callers: VecDeque<CompletionCallback<R>>,
}

/// Holds at most one value: those put before the reader takes it are merged into one. All their callers are notified
/// once the merged value is processed.
pub struct CoalescingSlot<T, R> {
    pending: Mutex<Option<PendingValue<T, R>>>,
}

impl<T, R> Default for CoalescingSlot<T, R> {
    fn default() -> Self {
        CoalescingSlot { pending: Mutex::new(None) }
    }
}

impl<T, R: Clone> CoalescingSlot<T, R> {
    /// Puts a value. `merge` computes it from the value in the slot, which is `None` if the slot is empty.
    pub fn put(&self, merge: impl FnOnce(Option<T>) -> T, done: CompletionCallback<R>) -> PutOutcome {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let (previous, mut callers) = match pending.take() {
            Some(PendingValue { value, callers }) => (Some(value), callers),
            None => (None, VecDeque::new()),
        };
        let outcome =
            PutOutcome { was_empty: previous.is_none(), dropped_caller: callers.len() >= MAX_CALLERS };
        if outcome.dropped_caller {
            callers.pop_front();
        }
        callers.push_back(done);
        *pending = Some(PendingValue { value: merge(previous), callers });
        outcome
    }

    /// Takes the value, and a function that notifies all callers that wait for it. Returns `None` if the slot is empty.
    pub fn take(&self) -> Option<(T, impl FnOnce(R) + use<T, R>)> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner).take();
        pending.map(|PendingValue { value, callers }| {
            let notify = move |reply: R| {
                for done in callers {
                    done(reply.clone());
                }
            };
            (value, notify)
        })
    }
}
