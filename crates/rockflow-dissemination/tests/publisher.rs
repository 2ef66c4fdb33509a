//! Which of the purges announced by the notice board an active or standby control node publishes.

use rockflow_dissemination::{Publication, Publisher, PublisherRole, Purge};
use rockflow_dissemination::{MAX_NOTICES_PER_PURGE, MAX_PENDING_PURGES, MAX_PUBLISHED_PURGES};
use std::time::Duration;
use test_case::test_case;

const PURGE_WINDOW: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The publication of an object's purge, with its age in milliseconds.
fn publication(object: u64, age_ms: u64) -> Publication {
    Publication::Purge { purge: Purge::object(object), age: ms(age_ms) }
}

fn role(is_active: bool) -> PublisherRole {
    if is_active {
        PublisherRole::Active
    } else {
        PublisherRole::Standby
    }
}

/// The purge of object 1.
fn purge_of_one() -> Purge {
    Purge::object(1)
}

#[test]
fn active_publisher_publishes_at_once_and_once() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(10_000), purge_of_one(), ms(30));
    assert_eq!(publisher.tick(ms(10_010), PublisherRole::Active), [publication(1, 40)]);
    assert_eq!(publisher.tick(ms(10_500), PublisherRole::Active), []);
    // The same notice again, as the board repeats it on a new connection.
    publisher.on_purge_notice(ms(11_000), purge_of_one(), ms(1030));
    assert_eq!(publisher.tick(ms(11_000), PublisherRole::Active), []);
    publisher.on_purge_notice(ms(11_001), purge_of_one(), ms(5));
    assert_eq!(publisher.tick(ms(11_001), PublisherRole::Active), [publication(1, 5)]);
}

#[test_case(0; "clocks agree")]
#[test_case(1500; "age is lower by this clock")]
#[test_case(-1500; "age is higher by this clock")]
fn published_purge_is_not_published_again(clock_skew_ms: i64) {
    let skewed_age = |age_ms: u64| ms(age_ms.saturating_add_signed(-clock_skew_ms));
    for is_published_first in [true, false] {
        let mut publisher = Publisher::new(PURGE_WINDOW);
        if is_published_first {
            publisher.on_published(ms(20_000), purge_of_one(), ms(2000));
            publisher.on_purge_notice(ms(20_010), purge_of_one(), skewed_age(2010));
        } else {
            publisher.on_purge_notice(ms(20_000), purge_of_one(), skewed_age(2000));
            publisher.on_published(ms(20_010), purge_of_one(), ms(2000));
        }
        for at in 0..10 {
            assert_eq!(publisher.tick(ms(20_000 + at * 1000), PublisherRole::Standby), []);
        }
        assert!(
            publisher.tick(ms(20_100), PublisherRole::Standby).is_empty(),
            "published first: {is_published_first}"
        );
    }
}

#[test]
fn active_publisher_does_not_rely_on_matches() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), purge_of_one(), ms(0));
    assert_eq!(publisher.tick(ms(20_000), PublisherRole::Active), [publication(1, 0)]);
    // Another active control node has published the same purge; the board's next notice still is a new purge.
    publisher.on_published(ms(20_100), purge_of_one(), ms(100));
    publisher.on_purge_notice(ms(20_500), purge_of_one(), ms(0));
    assert_eq!(publisher.tick(ms(20_500), PublisherRole::Active), [publication(1, 0)]);
}

#[test]
fn second_purge_of_an_object_is_not_mistaken_for_the_first() {
    for is_published_first in [true, false] {
        let mut publisher = Publisher::new(PURGE_WINDOW);
        if is_published_first {
            publisher.on_published(ms(20_000), purge_of_one(), ms(0));
        }
        publisher.on_purge_notice(ms(20_010), purge_of_one(), ms(5));
        publisher.on_purge_notice(ms(20_300), purge_of_one(), ms(0));
        if !is_published_first {
            publisher.on_published(ms(20_310), purge_of_one(), ms(300));
        }
        assert_eq!(
            publisher.tick(ms(24_400), PublisherRole::Standby),
            [publication(1, 4100)],
            "published first: {is_published_first}"
        );
    }
}

#[test]
fn standby_publisher_publishes_overdue_purge() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), purge_of_one(), ms(0));
    assert_eq!(publisher.tick(ms(23_900), PublisherRole::Standby), []);
    assert_eq!(publisher.tick(ms(24_000), PublisherRole::Standby), [publication(1, 4000)]);
    assert_eq!(publisher.tick(ms(24_500), PublisherRole::Standby), []);
}

#[test]
fn publisher_that_becomes_active_publishes_unpublished_purges() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), purge_of_one(), ms(0));
    publisher.on_purge_notice(ms(20_000), Purge::object(2), ms(0));
    publisher.on_published(ms(20_500), purge_of_one(), ms(490));
    assert_eq!(publisher.tick(ms(21_000), PublisherRole::Standby), []);
    assert_eq!(publisher.tick(ms(22_000), PublisherRole::Active), [publication(2, 2000)]);
}

#[test]
fn purge_of_everything_covers_earlier_purges() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), purge_of_one(), ms(0));
    publisher.on_purge_notice(ms(20_900), Purge::object(2), ms(0));
    publisher.on_published(ms(21_000), Purge::Everything, ms(500));
    publisher.on_purge_notice(ms(21_000), Purge::object(3), ms(700));
    assert_eq!(publisher.tick(ms(21_000), PublisherRole::Active), [publication(2, 100)]);
}

#[test]
fn full_queue_is_replaced_by_a_purge_of_everything() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    for object in 0..=MAX_PENDING_PURGES as u64 {
        publisher.on_purge_notice(ms(20_000), Purge::object(object), ms(10));
        publisher.on_purge_notice(ms(20_000), Purge::object(1), ms(10));
        publisher.on_published(ms(20_000), Purge::Group(object), ms(10));
    }
    assert!(publisher.entry_count() <= MAX_PENDING_PURGES + MAX_NOTICES_PER_PURGE + MAX_PUBLISHED_PURGES);
    let published = publisher.tick(ms(20_000), PublisherRole::Active);
    assert!(
        published.contains(&Publication::Purge { purge: Purge::Everything, age: ms(0) }),
        "{}",
        published.len()
    );
    assert!(published.len() <= 2);
}

const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The publisher of a control node that has just started, and waits before it publishes the backlog.
fn publisher_after_start() -> Publisher {
    Publisher::new(PURGE_WINDOW).settling(SETTLING_TIME)
}

/// Everything that is published within 20 s of `start_ms`.
fn publications_from(publisher: &mut Publisher, start_ms: u64, is_active: bool) -> Vec<Publication> {
    (0..200).flat_map(|step| publisher.tick(ms(start_ms + step * 100), role(is_active))).collect()
}

/// `streams_delay_ms` is the time from the notices of the board to the publications in the streams; `age_error_ms` is
/// subtracted from the ages that the board states.
#[test_case(true, 0, 30; "active, the streams before the board")]
#[test_case(true, 1500, 30; "active, the board before the streams")]
#[test_case(false, 0, 30; "standby, the streams before the board")]
#[test_case(false, 3500, 30; "standby, the board before the streams")]
#[test_case(true, 1500, 0; "clocks agree")]
#[test_case(true, 1500, 1900; "age is lower by this clock")]
#[test_case(true, 1500, -6900; "age is higher by this clock")]
fn published_backlog_is_not_published_again(is_active: bool, streams_delay_ms: u64, age_error_ms: i64) {
    let mut publisher = publisher_after_start();
    let receive_published = |publisher: &mut Publisher| {
        for object in 0..9 {
            publisher.on_published(
                ms(20_000 + streams_delay_ms),
                Purge::object(object),
                ms(object * 900 + streams_delay_ms),
            );
        }
    };
    if streams_delay_ms == 0 {
        receive_published(&mut publisher);
    }
    for object in 0..9_u64 {
        let age = (object * 900).saturating_add_signed(-age_error_ms).min(8000);
        publisher.on_backlog_notice(ms(20_000), Purge::object(object), ms(age));
    }
    for now in (20_000..20_000 + streams_delay_ms).step_by(100) {
        assert_eq!(publisher.tick(ms(now), role(is_active)), []);
    }
    if streams_delay_ms > 0 {
        receive_published(&mut publisher);
    }
    assert_eq!(publications_from(&mut publisher, 20_000 + streams_delay_ms, is_active), []);
}

#[test]
fn unpublished_backlog_is_published() {
    for (is_active, wait_ms) in [(true, 2000), (false, 4000)] {
        let mut publisher = publisher_after_start();
        publisher.on_backlog_notice(ms(20_000), purge_of_one(), ms(7900));
        publisher.on_backlog_notice(ms(20_000), Purge::object(2), ms(0));
        assert_eq!(publisher.tick(ms(19_900 + wait_ms), role(is_active)), []);
        let published = publisher.tick(ms(20_000 + wait_ms), role(is_active));
        assert_eq!(published, [publication(1, 7900 + wait_ms), publication(2, wait_ms)]);
        assert_eq!(publications_from(&mut publisher, 20_000 + wait_ms, is_active), []);
    }
}

/// The later of two purges of an object is published, although the publication of the first could match it too. The
/// parameters are the ages in milliseconds by the two notices and by the publication of the first purge.
#[test_case(4000, 1000, 4000; "clocks agree")]
#[test_case(7000, 7000, 4000; "this clock is ahead")]
#[test_case(3000, 0, 4000; "this clock is behind")]
#[test_case(9000, 1500, 3000; "the first is past the window, but younger by its publication")]
fn one_publication_matches_one_notice_of_a_backlog(first_ms: u64, second_ms: u64, published_ms: u64) {
    for is_published_first in [true, false] {
        let mut publisher = publisher_after_start();
        if is_published_first {
            publisher.on_published(ms(20_000), purge_of_one(), ms(published_ms));
        }
        publisher.on_backlog_notice(ms(20_000), purge_of_one(), ms(first_ms));
        publisher.on_backlog_notice(ms(20_000), purge_of_one(), ms(second_ms));
        if !is_published_first {
            publisher.on_published(ms(20_000), purge_of_one(), ms(published_ms));
        }
        let published = publications_from(&mut publisher, 20_000, true);
        assert_eq!(published, [publication(1, second_ms + 2000)], "published first: {is_published_first}");
    }
}

#[test]
fn purge_of_everything_covers_only_backlog_that_is_certainly_older() {
    for is_published_first in [true, false] {
        let mut publisher = publisher_after_start();
        if is_published_first {
            publisher.on_published(ms(20_000), Purge::Everything, ms(500));
        }
        publisher.on_backlog_notice(ms(20_000), purge_of_one(), ms(7600));
        publisher.on_backlog_notice(ms(20_000), Purge::object(2), ms(7000));
        if !is_published_first {
            publisher.on_published(ms(20_000), Purge::Everything, ms(500));
        }
        assert_eq!(
            publications_from(&mut publisher, 20_000, true),
            [publication(2, 9000)],
            "published first: {is_published_first}"
        );
    }
}

#[test]
fn purge_after_the_backlog_is_published_at_once() {
    let mut publisher = publisher_after_start();
    publisher.on_backlog_notice(ms(20_000), purge_of_one(), ms(100));
    publisher.on_purge_notice(ms(20_500), Purge::object(2), ms(0));
    assert_eq!(publisher.tick(ms(20_500), PublisherRole::Active), [publication(2, 0)]);
}

/// When a node has just started, its streams may bring the publication of a purge more than half the window after the
/// purge was made. The purge must not count as overdue by then.
#[test]
fn purge_becomes_overdue_by_the_time_since_its_notice() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), purge_of_one(), ms(4500));
    assert_eq!(publisher.tick(ms(20_100), PublisherRole::Standby), []);
    publisher.on_published(ms(20_500), purge_of_one(), ms(5000));
    assert_eq!(publications_from(&mut publisher, 20_500, false), []);
}
