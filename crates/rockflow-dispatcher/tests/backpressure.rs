//! Bounds on what waits for an actor: the quota rejects excess purges, and a slot drops the notification of excess
//! callers.

use rockflow_dispatcher::backpressure::{CoalescingSlot, PurgeQuota, PutOutcome, MAX_CALLERS, MAX_PURGES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[test]
fn rejects_purges_past_quota_until_released() {
    let quota = Arc::new(PurgeQuota::default());
    let full_reservation = quota.reserve(MAX_PURGES).expect("quota for MAX_PURGES");
    assert!(quota.reserve(1).is_none());
    drop(full_reservation);
    let partial_reservation = quota.reserve(MAX_PURGES - 1);
    assert!(quota.reserve(2).is_none() && quota.reserve(1).is_some());
    drop(partial_reservation);
    assert!(quota.reserve(MAX_PURGES).is_some());
}

#[test]
fn slot_merges_values_and_notifies_all_callers() {
    let (slot, notified) = (CoalescingSlot::<u32, u32>::default(), Arc::new(AtomicUsize::new(0)));
    let done = || {
        let notified = notified.clone();
        Box::new(move |amount: u32| {
            notified.fetch_add(amount as usize, Ordering::Relaxed);
        })
    };
    let keep_largest =
        |new: u32| move |previous: Option<u32>| previous.map_or(new, |previous| previous.max(new));
    assert_eq!(slot.put(keep_largest(7), done()), PutOutcome { was_empty: true, dropped_caller: false });
    assert_eq!(slot.put(keep_largest(3), done()), PutOutcome { was_empty: false, dropped_caller: false });
    let (value, notify) = slot.take().expect("a pending value");
    assert_eq!(value, 7);
    // A value that is put after `take` belongs to the next `take`.
    assert_eq!(slot.put(keep_largest(1), done()), PutOutcome { was_empty: true, dropped_caller: false });
    notify(10);
    assert_eq!(notified.load(Ordering::Relaxed), 20);
    assert_eq!(slot.take().map(|(value, _)| value), Some(1));
    assert!(slot.take().is_none());
}

/// Past the cap, the callers that waited longest are dropped and all others are notified.
#[test]
fn slot_drops_earliest_caller_past_its_cap() {
    const EXCESS_CALLERS: usize = 100;
    let (slot, notified) = (CoalescingSlot::<usize, ()>::default(), Arc::new(Mutex::new(Vec::new())));
    let dropped_callers = (0..MAX_CALLERS + EXCESS_CALLERS).map(|n| {
        let notified = notified.clone();
        slot.put(|_| n, Box::new(move |()| notified.lock().unwrap().push(n))).dropped_caller
    });
    assert_eq!(dropped_callers.filter(|dropped| *dropped).count(), EXCESS_CALLERS);
    let (value, notify) = slot.take().expect("a pending value");
    assert_eq!(value, MAX_CALLERS + EXCESS_CALLERS - 1);
    notify(());
    assert!(notified.lock().unwrap().iter().copied().eq(EXCESS_CALLERS..MAX_CALLERS + EXCESS_CALLERS));
}
