//! Waits: they come out whole, nobody sleeps for ever, and whoever waits runs on the runtime's worker alone.

use rockflow_dispatcher::timer::{park, sleep};
use rockflow_dispatcher::Service;
use std::collections::HashSet;
use std::sync::{mpsc, Once};
use std::time::{Duration, Instant};

fn set_up() {
    static ONCE: Once = Once::new();
    ONCE.call_once(Service::set_up);
}

/// Every length is one of its own: past 1,024 of them the runtime's timers lose some.
#[test]
fn sleeps_of_thousands_of_lengths_are_complete() {
    set_up();
    let (done, ended) = mpsc::channel();
    for n in 0..4000 {
        let done = done.clone();
        may::go!(move || {
            let (start, wait) = (Instant::now(), Duration::from_micros(n * 97));
            sleep(wait);
            done.send((wait, start.elapsed())).unwrap();
        });
    }
    for n in 0..4000 {
        let (wait, took) =
            ended.recv_timeout(Duration::from_secs(20)).unwrap_or_else(|_| panic!("{n} of 4000 woke"));
        assert!(took >= wait, "{took:?} of {wait:?}");
    }
}

/// Fails where each wait is a length of its own: sleepers are left behind, or the process dies of it.
#[test]
fn every_sleeper_wakes_among_thousands() {
    set_up();
    let (done, ended) = mpsc::channel();
    for n in 0..3000 {
        let done = done.clone();
        may::go!(move || {
            let until = Instant::now() + Duration::from_millis(200 + n);
            while let Some(left) = until.checked_duration_since(Instant::now()) {
                park(left);
            }
            done.send(()).unwrap();
        });
    }
    for n in 0..300 {
        let done = done.clone();
        may::go!(move || {
            (0..100).for_each(|round| sleep(Duration::from_millis(5 + (n + round) % 40)));
            done.send(()).unwrap();
        });
    }
    for n in 0..3300 {
        ended.recv_timeout(Duration::from_secs(20)).unwrap_or_else(|_| panic!("{n} of 3300 woke"));
    }
}

/// Fails with the runtime's timers, which run whom they wake on a thread of their own, beside the worker.
#[test]
fn waiting_coroutines_run_on_the_worker_alone() {
    set_up();
    let (done, ended) = mpsc::channel();
    may::go!(move || {
        let mut threads = HashSet::from([std::thread::current().id()]);
        for _ in 0..20 {
            sleep(Duration::from_millis(1));
            threads.insert(std::thread::current().id());
            park(Duration::from_millis(1));
            threads.insert(std::thread::current().id());
        }
        done.send(threads.len()).unwrap();
    });
    assert_eq!(ended.recv_timeout(Duration::from_secs(20)), Ok(1));
}
