//! The computed age of a purge never exceeds its true age. Up to the maximum delivery delay, it is smaller only
//! by the delivery time of the youngest recent purge.

use rockflow_dispatcher::discovery::clock::DiscoveryClock;
use rockflow_dispatcher::purge_backlog::MAX_DELIVERY_DELAY;
use std::time::Duration;
use test_case::test_case;

const PURGE_WINDOW: Duration = Duration::from_millis(8700);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the true and the computed ages of purges that arrive every 20 ms. Discovery's clock is `behind`,
/// and purge number `n` arrives `delivery_time(n)` after it was made.
fn ages(behind: Duration, delivery_time: impl Fn(u64) -> Duration) -> Vec<(Duration, Duration)> {
    let mut clock = DiscoveryClock::new(PURGE_WINDOW, Duration::ZERO);
    let arrivals = (0..2000).map(|n| (ms(20 * n), delivery_time(n)));
    arrivals.map(|(now, true_age)| (true_age, clock.age(now, true_age + behind))).collect()
}

#[test_case(0; "synchronized")]
#[test_case(3_000; "3 s behind")]
#[test_case(60_000; "a minute behind")]
fn no_age_exceeds_the_true_age(behind: u64) {
    let delivery_time = |n| ms(5 + n * 7919 % 6500);
    for (true_age, age) in ages(ms(behind), delivery_time) {
        assert!(age <= true_age, "{age:?} of {true_age:?}");
    }
}

#[test_case(0; "synchronized")]
#[test_case(60_000; "a minute behind")]
fn age_is_reduced_by_delivery_time_of_youngest_purge(behind: u64) {
    let delivery_time = |n| if n % 100 == 0 { ms(10) } else { ms(3000) };
    for (true_age, age) in ages(ms(behind), delivery_time) {
        assert_eq!(age, true_age - ms(10));
    }
}

#[test]
fn no_age_exceeds_the_delivery_delay() {
    let delivery_time = |n| if n == 0 { ms(10) } else { ms(100_000) };
    for (_, age) in ages(Duration::ZERO, delivery_time) {
        assert!(age <= MAX_DELIVERY_DELAY);
    }
}

/// Discovery's clock is set back: after at most two windows, ages are correct by the new time.
#[test]
fn clock_adjustment_has_no_lasting_effect() {
    let mut clock = DiscoveryClock::new(PURGE_WINDOW, Duration::ZERO);
    clock.age(Duration::ZERO, ms(10));
    let ages = (1..1500).map(|n| clock.age(ms(20 * n), ms(60_010))).collect::<Vec<_>>();
    assert_eq!(ages[0], MAX_DELIVERY_DELAY);
    assert!(ages[900..].iter().all(Duration::is_zero));
}

#[test]
fn purges_before_a_long_silence_are_disregarded() {
    let mut clock = DiscoveryClock::new(PURGE_WINDOW, Duration::ZERO);
    clock.age(Duration::ZERO, ms(10));
    assert_eq!(clock.age(PURGE_WINDOW * 3, ms(5000)), Duration::ZERO);
}
