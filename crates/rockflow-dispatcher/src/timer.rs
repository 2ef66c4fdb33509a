//! Every wait of the dispatcher's coroutines for a time. One thread watches the deadlines; a coroutine unparks those that
//! wait, so that all of it but the watching is done on the runtime's worker.
//!
//! Guards against faults of `may`'s own timers; none is used here but that of a connect, which runs on the worker:
//! - They run the coroutines that they wake on their own thread, beside the worker. Where either has given a coroutine
//!   away it still writes into it; one that continued and ended meanwhile on the other thread is freed memory by then.
//! - A park that is delayed between its timer and its own last step misses that timer, and lasts for ever.
//! - One that another thread unparks in the last step of its park continues inside of that step. If it ends there, the
//!   worker waits for ever for the step to end; so no other thread unparks a coroutine that ends.
//! - Past 1,024 lengths of wait a coroutine may take back another's timer, and that one sleeps for ever.

use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The shortest park: keeps timers that follow close on each other from waking the thread for each.
const MIN_PARK: Duration = Duration::from_millis(1);
/// The longest park.
const MAX_PARK: Duration = Duration::from_secs(3600);

/// A deadline, and a number that tells it from others of the same time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    deadline: Instant,
    number: u64,
}

struct Deadlines {
    waiting: BTreeMap<Key, Coroutine>,
    /// Those whose deadline has passed and that are not unparked yet.
    due: Vec<Coroutine>,
    next_number: u64,
    /// The thread and its coroutine are running.
    started: bool,
    /// The deadline until which the thread waits; none: until it is notified of one.
    watched: Option<Instant>,
}

static DEADLINES: Mutex<Deadlines> = Mutex::new(Deadlines {
    waiting: BTreeMap::new(),
    due: Vec::new(),
    next_number: 0,
    started: false,
    watched: None,
});
/// Notified when a deadline is set that is earlier than the watched one.
static EARLIER: Condvar = Condvar::new();

/// No coroutine gives way while it holds this lock, so it is never waited for long.
fn deadlines() -> MutexGuard<'static, Deadlines> {
    DEADLINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A deadline of the running coroutine; removed when it is dropped.
struct Timer(Key);

impl Timer {
    fn set(wait: Duration) -> Timer {
        let deadline = Instant::now() + wait.clamp(MIN_PARK, MAX_PARK);
        let mut deadlines = deadlines();
        if !deadlines.started {
            let waker = may::go!(unpark_due).coroutine().clone();
            let thread = std::thread::Builder::new().name("timers".to_string());
            thread.spawn(move || watch_deadlines(&waker)).expect("a thread for timers");
            deadlines.started = true;
        }
        let key = Key { deadline, number: deadlines.next_number };
        deadlines.next_number += 1;
        deadlines.waiting.insert(key, coroutine::current());
        if deadlines.watched.is_none_or(|watched| deadline < watched) {
            deadlines.watched = Some(deadline);
            drop(deadlines);
            EARLIER.notify_one();
        }
        Timer(key)
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        deadlines().waiting.remove(&self.0);
    }
}

/// The coroutine, which never ends: unparks those whose deadline has passed.
fn unpark_due() {
    loop {
        let due = std::mem::take(&mut deadlines().due);
        for waiting in due {
            waiting.unpark();
        }
        coroutine::park();
    }
}

/// The thread: has those unparked whose deadline has passed, and waits for the next deadline.
fn watch_deadlines(waker: &Coroutine) {
    let mut held = deadlines();
    loop {
        let now = Instant::now();
        let later = held.waiting.split_off(&Key { deadline: now, number: u64::MAX });
        let due = std::mem::replace(&mut held.waiting, later);
        if !due.is_empty() {
            held.due.extend(due.into_values());
            drop(held);
            waker.unpark();
            held = deadlines();
            continue;
        }
        held.watched = held.waiting.keys().next().map(|key| key.deadline);
        held = match held.watched {
            Some(until) => {
                let woken = EARLIER.wait_timeout(held, until.saturating_duration_since(now));
                woken.unwrap_or_else(PoisonError::into_inner).0
            }
            None => EARLIER.wait(held).unwrap_or_else(PoisonError::into_inner),
        };
    }
}

/// Parks until the coroutine is woken or the wait has passed, or returns early: whoever parks checks the time anyway.
pub fn park(wait: Duration) {
    let _timer = Timer::set(wait);
    coroutine::park();
}

/// Sleeps for the whole wait. A wake-up meanwhile is lost: the mailbox is read after it and before the next park.
pub fn sleep(wait: Duration) {
    let start = Instant::now();
    while let Some(left) = wait.checked_sub(start.elapsed()).filter(|left| !left.is_zero()) {
        park(left);
    }
}
