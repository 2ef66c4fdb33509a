//! The backlog is aged by discovery's own clock, whatever this one says.

use rockflow_dispatcher::purge_backlog::{PurgeBacklog, CATCH_UP_CHECK_INTERVAL, MAX_HELD_PURGES};
use rockflow_dispatcher::{Purge, PurgeTimestamp};
use std::time::Duration;
use test_case::test_case;

const PURGE_WINDOW: Duration = Duration::from_secs(8);
/// By discovery's clock.
const NOW: Duration = Duration::from_secs(1_000_000);

fn purge(ago_ms: u64) -> Purge {
    Purge::everything(PurgeTimestamp::Unix((NOW - Duration::from_millis(ago_ms)).as_millis() as u64))
}

fn ages(backlog: &mut PurgeBacklog, now: Duration) -> Vec<u64> {
    backlog.take(now).iter().map(|held| held.age.as_millis() as u64).collect()
}

#[test_case(0, [8050, 7850, 1000, 50]; "right")]
#[test_case(60, [8050, 7850, 7000, 7000]; "a minute ahead")]
#[test_case(-60, [8050, 7850, 950, 0]; "a minute behind")]
fn no_clock_skew_makes_a_purge_in_effect_too_old(skew: i64, expected: [u64; 4]) {
    let now = Duration::from_secs(NOW.as_secs().saturating_add_signed(skew));
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    // The first two have long expired by discovery's clock.
    for ago in [300_000, 30_000, 8100, 7900, 1000, 50] {
        backlog.hold(now, purge(ago));
    }
    assert_eq!(ages(&mut backlog, now), expected);
}

#[test]
fn timestamp_far_ahead_makes_no_other_purge_old() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    backlog.hold(NOW, purge(1000));
    backlog.hold(NOW, Purge::everything(PurgeTimestamp::Unix((NOW.as_millis() as u64) + 600_000)));
    assert_eq!(ages(&mut backlog, NOW), [1000, 0]);
}

#[test]
fn is_complete_once_discovery_time_advances_like_ours() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    assert!(!backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL * 9, false));
    assert!(!backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL * 4, true));
    for (look, ago) in [(3, 100_000), (2, 2000)] {
        backlog.hold(NOW, purge(ago));
        assert!(!backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL * look - Duration::from_millis(1), true));
        assert!(!backlog.is_complete(NOW - CATCH_UP_CHECK_INTERVAL * look, true), "{look}");
    }
    backlog.hold(NOW, purge(1400));
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
    (0..MAX_HELD_PURGES).for_each(|_| backlog.hold(NOW, purge(10)));
    assert!(!backlog.has_overflowed(NOW));
    backlog.hold(NOW, purge(10));
    assert!(backlog.has_overflowed(NOW));
    assert_eq!(backlog.take(NOW).len(), 1);
}

#[test]
fn overflow_of_expired_purges_needs_no_replacement() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    (0..=MAX_HELD_PURGES).for_each(|_| backlog.hold(NOW, purge(3_600_000)));
    assert!(!backlog.has_overflowed(NOW));
    backlog.hold(NOW, purge(10));
    assert!(!backlog.has_overflowed(NOW));
    assert_eq!(ages(&mut backlog, NOW), [10]);
}

#[test]
fn leaves_out_purges_expired_by_any_clock() {
    let mut backlog = PurgeBacklog::new(PURGE_WINDOW);
    [75_100, 75_000].into_iter().for_each(|ago| backlog.hold(NOW, purge(ago)));
    assert_eq!(ages(&mut backlog, NOW), [7000]);
}
