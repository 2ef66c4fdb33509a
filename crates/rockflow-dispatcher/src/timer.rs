//! Timers for the dispatcher's coroutines: parks with a timeout, and sleeps. A thread waits for the earliest deadline;
//! a coroutine on the runtime's worker then unparks the coroutines whose deadline has passed. No other work is done on
//! the thread.
//!
//! Replaces `may`'s own timers because of the faults below. The only one of them still in use is the timeout of a
//! connect, which runs on the worker.
//! - They run the coroutines that they wake on the timer thread, in parallel with the worker. Either thread still
//!   writes
//!   to a coroutine after passing it on. If the coroutine has meanwhile continued and ended on the other thread, that is
//!   a write to freed memory.
//! - A park that is delayed between setting its timer and its own last step misses the timer, and never returns.
//! - A coroutine that another thread unparks during the last step of its park continues inside that step. If it ends
//!   there, the worker waits forever for the step to complete. Therefore no thread except the worker may unpark a
//!   coroutine that can end.
//! - With more than 1,024 distinct wait durations, a coroutine may remove the timer of another one, which then sleeps
//!   forever.

use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The shortest park. Keeps closely spaced deadlines from each waking the thread.
const MIN_PARK: Duration = Duration::from_millis(1);
/// The longest park; a longer wait takes several parks.
const MAX_PARK: Duration = Duration::from_secs(3600);

/// Orders timers by deadline. The number makes timers with the same deadline distinct.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Instant,
    number: u64,
}

struct Deadlines {
    /// Coroutines whose deadline has not passed.
    waiting: BTreeMap<TimerKey, Coroutine>,
    /// Coroutines whose deadline has passed and that still have to be unparked.
    due: Vec<Coroutine>,
    /// The number that the next timer gets.
    next_number: u64,
    /// Whether the thread and the coroutine that unparks were started; the first timer starts them.
    started: bool,
    /// The deadline for which the thread waits. `None`: it waits for a notification of [`EARLIER_DEADLINE`].
    watched_deadline: Option<Instant>,
}

static DEADLINES: Mutex<Deadlines> = Mutex::new(Deadlines {
    waiting: BTreeMap::new(),
    due: Vec::new(),
    next_number: 0,
    started: false,
    watched_deadline: None,
});
/// Wakes the thread when a timer is set whose deadline is earlier than the watched one.
static EARLIER_DEADLINE: Condvar = Condvar::new();

/// Locks the deadlines. The caller must not yield its coroutine while it holds the lock, so the wait for it is short.
fn lock_deadlines() -> MutexGuard<'static, Deadlines> {
    DEADLINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A timer that unparks the coroutine that set it. Dropping it removes the timer.
struct Timer(TimerKey);

impl Timer {
    /// Sets a timer for the running coroutine, at least [`MIN_PARK`] and at most [`MAX_PARK`] from now.
    fn set(wait: Duration) -> Timer {
        let deadline = Instant::now() + wait.clamp(MIN_PARK, MAX_PARK);
        let mut deadlines = lock_deadlines();
        if !deadlines.started {
            let waker = may::go!(unpark_due).coroutine().clone();
            let thread = std::thread::Builder::new().name("timers".to_string());
            thread.spawn(move || watch_deadlines(&waker)).expect("failed to start the timer thread");
            deadlines.started = true;
        }
        let key = TimerKey { deadline, number: deadlines.next_number };
        deadlines.next_number += 1;
        deadlines.waiting.insert(key, coroutine::current());
        if deadlines.watched_deadline.is_none_or(|watched| deadline < watched) {
            deadlines.watched_deadline = Some(deadline);
            drop(deadlines);
            EARLIER_DEADLINE.notify_one();
        }
        Timer(key)
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        lock_deadlines().waiting.remove(&self.0);
    }
}

/// Body of the coroutine that unparks the due coroutines. Never returns.
fn unpark_due() {
    loop {
        let due = std::mem::take(&mut lock_deadlines().due);
        for coroutine in due {
            coroutine.unpark();
        }
        coroutine::park();
    }
}

/// Body of the thread: moves the coroutines whose deadline has passed to `due`, wakes `waker` to unpark them, and waits
/// for the next deadline. Never returns.
fn watch_deadlines(waker: &Coroutine) {
    let mut deadlines = lock_deadlines();
    loop {
        let now = Instant::now();
        let pending = deadlines.waiting.split_off(&TimerKey { deadline: now, number: u64::MAX });
        let due = std::mem::replace(&mut deadlines.waiting, pending);
        if !due.is_empty() {
            deadlines.due.extend(due.into_values());
            drop(deadlines);
            waker.unpark();
            deadlines = lock_deadlines();
            continue;
        }
        deadlines.watched_deadline = deadlines.waiting.keys().next().map(|key| key.deadline);
        deadlines = match deadlines.watched_deadline {
            Some(deadline) => {
                let wait_result =
                    EARLIER_DEADLINE.wait_timeout(deadlines, deadline.saturating_duration_since(now));
                wait_result.unwrap_or_else(PoisonError::into_inner).0
            }
            None => EARLIER_DEADLINE.wait(deadlines).unwrap_or_else(PoisonError::into_inner),
        };
    }
}

/// Parks the running coroutine until it is unparked or `wait` has passed. May return early, so callers have to check
/// the time.
pub fn park(wait: Duration) {
    let _timer = Timer::set(wait);
    coroutine::park();
}

/// Suspends the running coroutine for at least `wait`. An unpark during the sleep is lost, so an actor has to read its
/// mailbox afterwards, before it parks again.
pub fn sleep(wait: Duration) {
    let start = Instant::now();
    while let Some(remaining) = wait.checked_sub(start.elapsed()).filter(|remaining| !remaining.is_zero()) {
        park(remaining);
    }
}
