//! A worker that is held up in the middle of a wait that it has just begun for a coroutine, as load holds it up: the
//! wait passes meanwhile. Forced by a gate in the system call with which the worker wakes the thread of the timers.

use rockflow_dispatcher::timer;
use rockflow_dispatcher::Service;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Mutex, Once, PoisonError};
use std::time::Duration;

/// Memory that is freed is another's at once, and never what it was before.
struct Overwritten;

unsafe impl GlobalAlloc for Overwritten {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        memory.write_bytes(0xA5, layout.size());
    }
}

#[global_allocator]
static OVERWRITTEN: Overwritten = Overwritten;

thread_local! {
    /// The next wake from this thread is held up.
    static HELD_UP: Cell<bool> = const { Cell::new(false) };
}
/// The thread that watches the time waits for the first coroutine's deadline.
static WATCHED: AtomicBool = AtomicBool::new(false);
/// The coroutine whose wait it is has gone on.
static WENT_ON: AtomicBool = AtomicBool::new(false);
/// It has ended, and so has one behind it.
static ENDED: AtomicBool = AtomicBool::new(false);
/// The worker was held up, and whether the coroutine went on meanwhile.
static GATED: AtomicBool = AtomicBool::new(false);
static RAN_IN_PARALLEL: AtomicBool = AtomicBool::new(false);

/// Stands before the C library's own; the standard library wakes threads by it.
///
/// # Safety
/// As that of the call it stands for.
#[no_mangle]
pub unsafe extern "C" fn syscall(
    number: libc::c_long,
    a: libc::c_long,
    b: libc::c_long,
    c: libc::c_long,
    d: libc::c_long,
    e: libc::c_long,
    f: libc::c_long,
) -> libc::c_long {
    type Call = unsafe extern "C" fn(libc::c_long, ...) -> libc::c_long;
    let real =
        std::mem::transmute::<*mut libc::c_void, Call>(libc::dlsym(libc::RTLD_NEXT, c"syscall".as_ptr()));
    let operation = if number == libc::SYS_futex { b as i32 & !libc::FUTEX_PRIVATE_FLAG } else { -1 };
    // The test's own threads wait for seconds or without a limit.
    if operation == libc::FUTEX_WAIT_BITSET && d != 0 && is_within_a_second(&*(d as *const libc::timespec)) {
        WATCHED.store(true, Ordering::SeqCst);
    }
    let wake = operation == libc::FUTEX_WAKE;
    let result = real(number, a, b, c, d, e, f);
    if wake && HELD_UP.replace(false) {
        let errno = *libc::__errno_location();
        GATED.store(true, Ordering::SeqCst);
        for _ in 0..1000 {
            if ENDED.load(Ordering::SeqCst) {
                break;
            }
            libc::usleep(1000);
        }
        RAN_IN_PARALLEL.store(WENT_ON.load(Ordering::SeqCst), Ordering::SeqCst);
        *libc::__errno_location() = errno;
    }
    result
}

/// Whether it is within the second, on the monotonic clock.
fn is_within_a_second(deadline: &libc::timespec) -> bool {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut now) };
    let nanos = |time: &libc::timespec| time.tv_sec as i128 * 1_000_000_000 + time.tv_nsec as i128;
    nanos(deadline) - nanos(&now) < 1_000_000_000
}

/// One at a time: a held up worker is every test's.
static ALONE: Mutex<()> = Mutex::new(());
static SET_UP: Once = Once::new();

fn passes_while_the_worker_is_held_up(wait: fn(Duration)) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    SET_UP.call_once(Service::set_up);
    [&WATCHED, &WENT_ON, &ENDED, &GATED, &RAN_IN_PARALLEL]
        .iter()
        .for_each(|flag| flag.store(false, Ordering::SeqCst));
    let (done, ended) = mpsc::channel();
    let (other, third) = (done.clone(), done.clone());
    // Goes on behind the other, on the thread of whoever woke both.
    may::go!(move || {
        timer::sleep(Duration::from_millis(512));
        ENDED.store(true, Ordering::SeqCst);
        other.send("behind").unwrap();
    });
    // From here on whoever sets an earlier deadline has to wake the thread.
    while !WATCHED.load(Ordering::SeqCst) {
        std::thread::yield_now();
    }
    may::go!(move || {
        HELD_UP.set(true);
        wait(Duration::from_millis(20));
        WENT_ON.store(true, Ordering::SeqCst);
        done.send("first").unwrap();
    });
    let next = || ended.recv_timeout(Duration::from_secs(20));
    assert_eq!((next(), next()), (Ok("first"), Ok("behind")));
    may::go!(move || third.send("after").unwrap());
    assert_eq!(next(), Ok("after"), "the worker goes on");
    assert!(GATED.load(Ordering::SeqCst), "the worker was not held up");
    assert!(!RAN_IN_PARALLEL.load(Ordering::SeqCst), "went on beside its worker");
}

/// Fails with the runtime's timers: they run the coroutine to its end on their own thread, and the worker then writes
/// into what was the coroutine's, which is another's by then; the process dies of it.
#[test]
fn sleep_that_passes_while_worker_is_delayed_ends_behind_it() {
    passes_while_the_worker_is_held_up(timer::sleep);
}

/// Fails with the runtime's timers: they find nobody to wake yet, and the park lasts for ever.
#[test]
fn park_that_passes_while_worker_is_delayed_ends_behind_it() {
    passes_while_the_worker_is_held_up(timer::park);
}
