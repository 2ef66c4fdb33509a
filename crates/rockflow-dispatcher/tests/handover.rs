//! Guards against a race between a wait and its timer: the worker is delayed, as it is under load, while it parks a
//! coroutine, and the wait elapses meanwhile. The tests force this by delaying the system call with which the worker
//! wakes the timer thread.

use rockflow_dispatcher::timer;
use rockflow_dispatcher::Service;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Mutex, Once, PoisonError};
use std::time::Duration;

/// Overwrites freed memory, so that a use after free shows at once.
struct OverwriteOnFree;

unsafe impl GlobalAlloc for OverwriteOnFree {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        memory.write_bytes(0xA5, layout.size());
    }
}

#[global_allocator]
static ALLOCATOR: OverwriteOnFree = OverwriteOnFree;

thread_local! {
    /// Whether the next futex wake by this thread is delayed.
    static DELAY_NEXT_WAKE: Cell<bool> = const { Cell::new(false) };
}
/// The timer thread waits for the deadline of the long sleeper.
static TIMER_THREAD_WAITS: AtomicBool = AtomicBool::new(false);
/// The coroutine under test has continued after its wait.
static CONTINUED: AtomicBool = AtomicBool::new(false);
/// The long sleeper has woken. It is woken after the coroutine under test, by the same thread.
static LONG_SLEEPER_WOKE: AtomicBool = AtomicBool::new(false);
/// The worker was delayed.
static WORKER_DELAYED: AtomicBool = AtomicBool::new(false);
/// The coroutine under test continued while the worker was delayed, so on another thread.
static RAN_IN_PARALLEL: AtomicBool = AtomicBool::new(false);

/// Overrides `syscall` of the C library, which the standard library calls to wait for and wake threads.
///
/// # Safety
/// The same as for `syscall` of the C library, which it calls.
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
    type Syscall = unsafe extern "C" fn(libc::c_long, ...) -> libc::c_long;
    let original =
        std::mem::transmute::<*mut libc::c_void, Syscall>(libc::dlsym(libc::RTLD_NEXT, c"syscall".as_ptr()));
    let futex_operation = if number == libc::SYS_futex { b as i32 & !libc::FUTEX_PRIVATE_FLAG } else { -1 };
    // The timer thread waits for less than a second here; the test's own threads wait for longer or without a limit.
    if futex_operation == libc::FUTEX_WAIT_BITSET
        && d != 0
        && is_within_a_second(&*(d as *const libc::timespec))
    {
        TIMER_THREAD_WAITS.store(true, Ordering::SeqCst);
    }
    let is_wake = futex_operation == libc::FUTEX_WAKE;
    let result = original(number, a, b, c, d, e, f);
    if is_wake && DELAY_NEXT_WAKE.replace(false) {
        let errno = *libc::__errno_location();
        WORKER_DELAYED.store(true, Ordering::SeqCst);
        for _ in 0..1000 {
            if LONG_SLEEPER_WOKE.load(Ordering::SeqCst) {
                break;
            }
            libc::usleep(1000);
        }
        RAN_IN_PARALLEL.store(CONTINUED.load(Ordering::SeqCst), Ordering::SeqCst);
        *libc::__errno_location() = errno;
    }
    result
}

/// Whether `deadline`, on the monotonic clock, is less than a second away.
fn is_within_a_second(deadline: &libc::timespec) -> bool {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut now) };
    let nanos = |time: &libc::timespec| time.tv_sec as i128 * 1_000_000_000 + time.tv_nsec as i128;
    nanos(deadline) - nanos(&now) < 1_000_000_000
}

/// Serializes the tests, which share the flags and the worker.
static TEST_LOCK: Mutex<()> = Mutex::new(());
static SET_UP: Once = Once::new();

fn check_wait_that_elapses_while_worker_is_delayed(wait: fn(Duration)) {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    SET_UP.call_once(Service::set_up);
    [&TIMER_THREAD_WAITS, &CONTINUED, &LONG_SLEEPER_WOKE, &WORKER_DELAYED, &RAN_IN_PARALLEL]
        .iter()
        .for_each(|flag| flag.store(false, Ordering::SeqCst));
    let (sender, receiver) = mpsc::channel();
    let (long_sleeper_sender, last_sender) = (sender.clone(), sender.clone());
    // Wakes after the coroutine under test, on the thread that woke both.
    may::go!(move || {
        timer::sleep(Duration::from_millis(512));
        LONG_SLEEPER_WOKE.store(true, Ordering::SeqCst);
        long_sleeper_sender.send("long sleeper").unwrap();
    });
    // Once the timer thread waits for that deadline, setting an earlier one has to wake it.
    while !TIMER_THREAD_WAITS.load(Ordering::SeqCst) {
        std::thread::yield_now();
    }
    may::go!(move || {
        DELAY_NEXT_WAKE.set(true);
        wait(Duration::from_millis(20));
        CONTINUED.store(true, Ordering::SeqCst);
        sender.send("under test").unwrap();
    });
    let next = || receiver.recv_timeout(Duration::from_secs(20));
    assert_eq!((next(), next()), (Ok("under test"), Ok("long sleeper")));
    may::go!(move || last_sender.send("last").unwrap());
    assert_eq!(next(), Ok("last"), "the worker no longer runs coroutines");
    assert!(WORKER_DELAYED.load(Ordering::SeqCst), "the worker was not delayed");
    assert!(!RAN_IN_PARALLEL.load(Ordering::SeqCst), "the coroutine ran in parallel with the worker");
}

/// Fails with the runtime's timers: they run the coroutine to its end on the timer thread, and the worker then writes
/// to the freed memory of the coroutine, which crashes the process.
#[test]
fn sleep_that_elapses_while_worker_is_delayed_ends_after_the_delay() {
    check_wait_that_elapses_while_worker_is_delayed(timer::sleep);
}

/// Fails with the runtime's timers: the timer fires before the park is complete and wakes nothing, so the park never
/// ends.
#[test]
fn park_that_elapses_while_worker_is_delayed_ends_after_the_delay() {
    check_wait_that_elapses_while_worker_is_delayed(timer::park);
}
