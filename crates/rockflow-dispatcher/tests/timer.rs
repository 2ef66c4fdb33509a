//! Timer tests: a sleep is never too short, every sleeper wakes, and coroutines run only on the runtime's worker.

use rockflow_dispatcher::timer::{park, sleep};
use rockflow_dispatcher::Service;
use std::collections::HashSet;
use std::sync::{mpsc, Once};
use std::time::{Duration, Instant};

/// Time to wait for the next coroutine to end before a test fails.
const TIMEOUT: Duration = Duration::from_secs(20);

fn set_up() {
    static ONCE: Once = Once::new();
    ONCE.call_once(Service::set_up);
}

/// All sleeps have different durations: with more than 1,024 of these, the runtime's timers lose some.
#[test]
fn sleeps_of_thousands_of_durations_are_complete() {
    set_up();
    let (sender, receiver) = mpsc::channel();
    for n in 0..4000 {
        let sender = sender.clone();
        may::go!(move || {
            let (start, wait) = (Instant::now(), Duration::from_micros(n * 97));
            sleep(wait);
            sender.send((wait, start.elapsed())).unwrap();
        });
    }
    for n in 0..4000 {
        let (wait, elapsed) =
            receiver.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("only {n} of 4000 sleepers woke"));
        assert!(elapsed >= wait, "slept {elapsed:?} instead of {wait:?}");
    }
}

/// Fails with the runtime's timers if the waits have many different durations: some sleepers never wake, or the process
/// crashes.
#[test]
fn every_sleeper_wakes_among_thousands() {
    set_up();
    let (sender, receiver) = mpsc::channel();
    for n in 0..3000 {
        let sender = sender.clone();
        may::go!(move || {
            let deadline = Instant::now() + Duration::from_millis(200 + n);
            while let Some(remaining) = deadline.checked_duration_since(Instant::now()) {
                park(remaining);
            }
            sender.send(()).unwrap();
        });
    }
    for n in 0..300 {
        let sender = sender.clone();
        may::go!(move || {
            (0..100).for_each(|round| sleep(Duration::from_millis(5 + (n + round) % 40)));
            sender.send(()).unwrap();
        });
    }
    for n in 0..3300 {
        receiver.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("only {n} of 3300 sleepers woke"));
    }
}

/// Fails with the runtime's timers, which run the coroutines that they wake on the timer thread, in parallel with the
/// worker.
#[test]
fn woken_coroutines_run_only_on_the_worker() {
    set_up();
    let (sender, receiver) = mpsc::channel();
    may::go!(move || {
        let mut threads = HashSet::from([std::thread::current().id()]);
        for _ in 0..20 {
            sleep(Duration::from_millis(1));
            threads.insert(std::thread::current().id());
            park(Duration::from_millis(1));
            threads.insert(std::thread::current().id());
        }
        sender.send(threads.len()).unwrap();
    });
    assert_eq!(receiver.recv_timeout(TIMEOUT), Ok(1));
}
