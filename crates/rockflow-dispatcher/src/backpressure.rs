//! What waits for an actor from a thread of its own: how many purges may, and what stands for those that have no place.
//! Stricter, never laxer.

use crate::messages::CompletionCallback;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Purges that may wait; a purge of everything stands for those beyond. The decisions look at all they hold with each, so
/// that more would keep requests waiting.
pub const MAX_PURGES: usize = 4096;
/// Callers that may wait for one thing. With one more the earliest is not told: as many tickets as that a member of the fleet
/// holds open, and gives up all of them with the next.
pub const MAX_CALLERS: usize = 4096;

/// How many purges wait.
#[derive(Default)]
pub struct PurgeQuota(AtomicUsize);

/// Places of purges that wait; free again once it is dropped.
pub struct PurgeReservation(Arc<PurgeQuota>, usize);

impl Drop for PurgeReservation {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

impl PurgeQuota {
    /// None: there is no place for so many.
    pub fn places(self: &Arc<Self>, count: usize) -> Option<PurgeReservation> {
        let places = PurgeReservation(self.clone(), count);
        let before = self.0.fetch_add(count, Ordering::Relaxed);
        (before + count <= MAX_PURGES).then_some(places)
    }
}

type Held<T, R> = Option<(T, VecDeque<CompletionCallback<R>>)>;

/// One value that waits in place of all that came before it, and who waits for it.
pub struct CoalescingSlot<T, R>(Mutex<Held<T, R>>);

impl<T, R> Default for CoalescingSlot<T, R> {
    fn default() -> Self {
        CoalescingSlot(Mutex::new(None))
    }
}

impl<T, R: Clone> CoalescingSlot<T, R> {
    /// Whether the slot was empty, so that its reader must be told, and whether all who wait will be; else the earliest
    /// is not.
    pub fn put(&self, join: impl FnOnce(Option<T>) -> T, done: CompletionCallback<R>) -> (bool, bool) {
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (before, mut callers) =
            held.take().map_or((None, VecDeque::new()), |(value, all)| (Some(value), all));
        let (new, whole) = (before.is_none(), callers.len() < MAX_CALLERS);
        if !whole {
            callers.pop_front();
        }
        callers.push_back(done);
        *held = Some((join(before), callers));
        (new, whole)
    }

    /// The value, and what tells all who wait for it.
    pub fn take(&self) -> Option<(T, impl FnOnce(R) + use<T, R>)> {
        let held = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        held.map(|(value, callers)| {
            (value, move |reply: R| callers.into_iter().for_each(|done| done(reply.clone())))
        })
    }
}
