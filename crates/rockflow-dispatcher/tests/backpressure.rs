//! The number of purges and callers that wait for an actor is bounded, and the excess is handled without losing an
//! effect.

use rockflow_dispatcher::backpressure::{CoalescingSlot, PurgeQuota, PutOutcome, MAX_CALLERS, MAX_PURGES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[test]
fn rejects_purges_past_quota_until_released() {
    let quota = Arc::new(PurgeQuota::default());
    let all = quota.reserve(MAX_PURGES).expect("room for all");
    assert!(quota.reserve(1).is_none());
    drop(all);
    let nearly_all = quota.reserve(MAX_PURGES - 1);
    assert!(quota.reserve(2).is_none() && quota.reserve(1).is_some());
    drop(nearly_all);
    assert!(quota.reserve(MAX_PURGES).is_some());
}

#[test]
fn slot_joins_values_and_notifies_all_callers() {
    let (slot, notified) = (CoalescingSlot::<u32, u32>::default(), Arc::new(AtomicUsize::new(0)));
    let done = || {
        let notified = notified.clone();
        Box::new(move |by: u32| {
            notified.fetch_add(by as usize, Ordering::Relaxed);
        })
    };
    let largest = |new: u32| move |before: Option<u32>| before.map_or(new, |before| before.max(new));
    assert_eq!(slot.put(largest(7), done()), PutOutcome { was_empty: true, dropped_caller: false });
    assert_eq!(slot.put(largest(3), done()), PutOutcome { was_empty: false, dropped_caller: false });
    let (value, notify) = slot.take().expect("a value");
    assert_eq!(value, 7);
    // A value that is put after `take` belongs to the next `take`.
    assert_eq!(slot.put(largest(1), done()), PutOutcome { was_empty: true, dropped_caller: false });
    notify(10);
    assert_eq!(notified.load(Ordering::Relaxed), 20);
    assert_eq!(slot.take().map(|(value, _)| value), Some(1));
    assert!(slot.take().is_none());
}

/// Past the cap, the callers that waited longest are dropped and all others are notified.
#[test]
fn slot_drops_earliest_caller_past_its_cap() {
    const BEYOND: usize = 100;
    let (slot, notified) = (CoalescingSlot::<usize, ()>::default(), Arc::new(Mutex::new(Vec::new())));
    let all = (0..MAX_CALLERS + BEYOND).map(|n| {
        let notified = notified.clone();
        slot.put(|_| n, Box::new(move |()| notified.lock().unwrap().push(n))).dropped_caller
    });
    assert_eq!(all.filter(|dropped| *dropped).count(), BEYOND);
    let (value, notify) = slot.take().expect("a value");
    assert_eq!(value, MAX_CALLERS + BEYOND - 1);
    notify(());
    assert!(notified.lock().unwrap().iter().copied().eq(BEYOND..MAX_CALLERS + BEYOND));
}
