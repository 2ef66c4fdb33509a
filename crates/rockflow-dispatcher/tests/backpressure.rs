//! What waits for an actor is bounded, and what has no place is covered by something stricter.

use rockflow_dispatcher::backpressure::{CoalescingSlot, PurgeQuota, PutOutcome, MAX_CALLERS, MAX_PURGES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[test]
fn places_end_and_come_back() {
    let waiting = Arc::new(PurgeQuota::default());
    let all = waiting.reserve(MAX_PURGES).expect("room for all");
    assert!(waiting.reserve(1).is_none());
    drop(all);
    let most = waiting.reserve(MAX_PURGES - 1);
    assert!(waiting.reserve(2).is_none() && waiting.reserve(1).is_some());
    drop(most);
    assert!(waiting.reserve(MAX_PURGES).is_some());
}

#[test]
fn a_slot_holds_one_value_and_tells_those_who_wait_for_it() {
    let (slot, told) = (CoalescingSlot::<u32, u32>::default(), Arc::new(AtomicUsize::new(0)));
    let done = || {
        let told = told.clone();
        Box::new(move |by: u32| {
            told.fetch_add(by as usize, Ordering::Relaxed);
        })
    };
    let largest = |new: u32| move |before: Option<u32>| before.map_or(new, |before| before.max(new));
    assert_eq!(slot.put(largest(7), done()), PutOutcome { was_empty: true, dropped_caller: false });
    assert_eq!(slot.put(largest(3), done()), PutOutcome { was_empty: false, dropped_caller: false });
    let (value, tell) = slot.take().expect("a value");
    assert_eq!(value, 7);
    // What comes from now on is for the next to take.
    assert_eq!(slot.put(largest(1), done()), PutOutcome { was_empty: true, dropped_caller: false });
    tell(10);
    assert_eq!(told.load(Ordering::Relaxed), 20);
    assert_eq!(slot.take().map(|(value, _)| value), Some(1));
    assert!(slot.take().is_none());
}

/// The latest are told, the earliest are not.
#[test]
fn those_who_wait_for_a_slot_are_bounded() {
    const BEYOND: usize = 100;
    let (slot, told) = (CoalescingSlot::<usize, ()>::default(), Arc::new(Mutex::new(Vec::new())));
    let all = (0..MAX_CALLERS + BEYOND).map(|n| {
        let told = told.clone();
        slot.put(|_| n, Box::new(move |()| told.lock().unwrap().push(n))).dropped_caller
    });
    // Whether somebody gave way.
    assert_eq!(all.filter(|dropped| *dropped).count(), BEYOND);
    let (value, tell) = slot.take().expect("a value");
    assert_eq!(value, MAX_CALLERS + BEYOND - 1);
    tell(());
    assert!(told.lock().unwrap().iter().copied().eq(BEYOND..MAX_CALLERS + BEYOND));
}
