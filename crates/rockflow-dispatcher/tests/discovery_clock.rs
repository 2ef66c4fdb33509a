//! The age of a purge that discovery sends is never more than its true age, and not always zero.

use rockflow_dispatcher::discovery::clock::DiscoveryClock;
use rockflow_dispatcher::purge_backlog::MAX_DELIVERY_DELAY;
use std::time::Duration;
use test_case::test_case;

const PURGE_WINDOW: Duration = Duration::from_millis(8700);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Ages with a clock that is `behind`; a purge arrives each 20 ms, `took` after it was made.
fn ages(behind: Duration, took: impl Fn(u64) -> Duration) -> Vec<(Duration, Duration)> {
    let mut clock = DiscoveryClock::new(PURGE_WINDOW, Duration::ZERO);
    let told = |n| (ms(20 * n), took(n));
    (0..2000).map(told).map(|(now, took)| (took, clock.age(now, took + behind))).collect()
}

#[test_case(0; "right")]
#[test_case(3_000; "3 s behind")]
#[test_case(60_000; "a minute behind")]
fn no_age_exceeds_the_true_age(behind: u64) {
    let took = |n| ms(5 + n * 7919 % 6500);
    for (took, age) in ages(ms(behind), took) {
        assert!(age <= took, "{age:?} of {took:?}");
    }
}

#[test_case(0; "right")]
#[test_case(60_000; "a minute behind")]
fn age_is_short_by_that_of_the_youngest(behind: u64) {
    let took = |n| if n % 100 == 0 { ms(10) } else { ms(3000) };
    for (took, age) in ages(ms(behind), took) {
        assert_eq!(age, took - ms(10));
    }
}

#[test]
fn no_age_exceeds_the_delivery_delay() {
    let took = |n| if n == 0 { ms(10) } else { ms(100_000) };
    for (_, age) in ages(Duration::ZERO, took) {
        assert!(age <= MAX_DELIVERY_DELAY);
    }
}

/// A clock of discovery that is set back: within two windows purges are aged by the new one.
#[test]
fn clock_that_is_set_has_no_lasting_effect() {
    let mut clock = DiscoveryClock::new(PURGE_WINDOW, Duration::ZERO);
    clock.age(Duration::ZERO, ms(10));
    let ages = (1..1500).map(|n| clock.age(ms(20 * n), ms(60_010))).collect::<Vec<_>>();
    assert_eq!(ages[0], MAX_DELIVERY_DELAY);
    assert!(ages[900..].iter().all(Duration::is_zero));
}

#[test]
fn after_a_long_silence_only_recent_purges_count() {
    let mut clock = DiscoveryClock::new(PURGE_WINDOW, Duration::ZERO);
    clock.age(Duration::ZERO, ms(10));
    assert_eq!(clock.age(PURGE_WINDOW * 3, ms(5000)), Duration::ZERO);
}
