//! Waits: few lengths, and nobody sleeps for ever.

use rockflow_dispatcher::timer::{park, piece, sleep, LONGEST};
use std::collections::BTreeSet;
use std::sync::mpsc;
use std::time::{Duration, Instant};

#[test]
fn waits_are_made_of_few_lengths_and_come_out_whole() {
    let mut lengths = BTreeSet::new();
    for ms in (1..20_000).chain((20_000..LONGEST * 3).step_by(997)) {
        for wait in [Duration::from_millis(ms), Duration::from_micros(ms * 37 + 1)] {
            let first = piece(wait);
            assert!(first >= Duration::from_millis(1) && first < wait + Duration::from_millis(1));
            assert!(first * 17 >= wait * 16 || first == Duration::from_millis(LONGEST), "{wait:?}");
            lengths.insert(first);
        }
    }
    assert!(lengths.len() <= 512, "{}", lengths.len());
    assert_eq!(piece(Duration::ZERO), Duration::from_millis(1));
}

/// Fails where each wait is a length of its own: sleepers are left behind, or the process dies of it.
#[test]
fn nobody_sleeps_for_ever_among_thousands_of_waits() {
    may::config().set_workers(1).set_stack_size(0x2000);
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
