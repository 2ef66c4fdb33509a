//! The ages of purges in the backlog are computed by discovery's clock, whatever its offset from the local
//! one.

use rockflow_dispatcher::purge_backlog::{PurgeBacklog, CATCH_UP_CHECK_INTERVAL, MAX_HELD_PURGES};
use rockflow_dispatcher::{Purge, PurgeTimestamp};
use std::time::Duration;
use test_case::test_case;

const PURGE_WINDOW: Duration = Duration::from_secs(8);
/// Current time on discovery's clock.
const NOW: Duration = Duration::from_secs(1_000_000);

fn purge_made_before(age_ms: u64) -> Purge {
    Purge::everything(PurgeTimestamp::Unix((NOW - Duration::from_millis(age_ms)).as_millis() as u64))
}

fn ages(backlog: &mut PurgeBacklog, now: Duration) -> Vec<u64> {
    backlog.take(now).iter().map(|held| held.age.as_millis() as u64).collect()
}

#[test_case(0, [8050, 7850, 1000, 50]; "synchronized")]
#[test_case(60, [8050, 7850, 7000, 7000]; "local clock a minute ahead")]
#[test_case(-60, [8050, 7850, 950, 0]; "local clock a minute behind")]
fn clock_skew_does_not_expire_purges_in_effect(skew: i64, expected: [u64; 4]) {
    let now = Duration::from_secs(NOW.as_secs().saturating_add_signed(skew));
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    // The first two have expired by discovery's clock.
    for age_ms in [300_000, 30_000, 8100, 7900, 1000, 50] {
        backlog.hold(now, purge_made_before(age_ms));
    }
    assert_eq!(ages(&mut backlog, now), expected);
}

#[test]
fn timestamp_far_in_the_future_does_not_age_other_purges() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    backlog.hold(NOW, purge_made_before(1000));
    backlog.hold(NOW, Purge::everything(PurgeTimestamp::Unix((NOW.as_millis() as u64) + 600_000)));
    assert_eq!(ages(&mut backlog, NOW), [1000, 0]);
}

#[test]
fn is_complete_once_timestamps_advance_with_local_clock() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    assert!(!backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL * 9, false));
    assert!(!backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL * 4, true));
    for (intervals_left, age_ms) in [(3, 100_000), (2, 2000)] {
        backlog.hold(NOW, purge_made_before(age_ms));
        let check_time = NOW - CATCH_UP_CHECK_INTERVAL * intervals_left;
        assert!(!backlog.is_complete(check_time - Duration::from_millis(1), true));
        assert!(!backlog.is_complete(check_time, true), "{intervals_left}");
    }
    backlog.hold(NOW, purge_made_before(1400));
    assert!(backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL, true));
}

#[test]
fn is_complete_without_any_purge() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    assert!(!backlog.is_complete(NOW, true));
    assert!(backlog.is_complete(NOW + CATCH_UP_CHECK_INTERVAL, true));
}

#[test]
fn overflow_is_replaced_by_purge_of_everything() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    (0..MAX_HELD_PURGES).for_each(|_| backlog.hold(NOW, purge_made_before(10)));
    assert!(!backlog.has_overflowed(NOW));
    backlog.hold(NOW, purge_made_before(10));
    assert!(backlog.has_overflowed(NOW));
    assert_eq!(backlog.take(NOW).len(), 1);
}

#[test]
fn overflow_of_expired_purges_needs_no_replacement() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    (0..=MAX_HELD_PURGES).for_each(|_| backlog.hold(NOW, purge_made_before(3_600_000)));
    assert!(!backlog.has_overflowed(NOW));
    backlog.hold(NOW, purge_made_before(10));
    assert!(!backlog.has_overflowed(NOW));
    assert_eq!(ages(&mut backlog, NOW), [10]);
}

#[test]
fn take_omits_purges_expired_by_either_clock() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    [75_100, 75_000].into_iter().for_each(|age_ms| backlog.hold(NOW, purge_made_before(age_ms)));
    assert_eq!(ages(&mut backlog, NOW), [7000]);
}
