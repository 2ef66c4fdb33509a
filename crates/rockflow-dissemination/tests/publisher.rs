//! Which purges of the board a control node publishes.

use rockflow_dissemination::{Publication, Publisher, PublisherRole, Purge};
use rockflow_dissemination::{MAX_NOTICES_PER_PURGE, MAX_PENDING_PURGES, MAX_PUBLISHED_PURGES};
use std::time::Duration;
use test_case::test_case;

const PURGE_WINDOW: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn purge(object: u64, age: u64) -> Publication {
    Publication::Purge { purge: Purge::object(object), age: ms(age) }
}

fn role(publishing: bool) -> PublisherRole {
    if publishing {
        PublisherRole::Active
    } else {
        PublisherRole::Standby
    }
}

fn one() -> Purge {
    Purge::object(1)
}

#[test]
fn active_publisher_publishes_at_once_and_once() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(10_000), one(), ms(30));
    assert_eq!(publisher.tick(ms(10_010), PublisherRole::Active), [purge(1, 40)]);
    assert_eq!(publisher.tick(ms(10_500), PublisherRole::Active), []);
    // The same notice again, as a board repeats it on a new connection.
    publisher.on_purge_notice(ms(11_000), one(), ms(1030));
    assert_eq!(publisher.tick(ms(11_000), PublisherRole::Active), []);
    publisher.on_purge_notice(ms(11_001), one(), ms(5));
    assert_eq!(publisher.tick(ms(11_001), PublisherRole::Active), [purge(1, 5)]);
}

#[test_case(0; "clocks agree")]
#[test_case(1500; "this clock tells a younger age")]
#[test_case(-1500; "this clock tells an older age")]
fn published_purge_is_not_published_again(skew: i64) {
    let age = |age: u64| ms(age.saturating_add_signed(-skew));
    for seen_first in [true, false] {
        let mut publisher = Publisher::new(PURGE_WINDOW);
        if seen_first {
            publisher.on_published(ms(20_000), one(), ms(2000));
            publisher.on_purge_notice(ms(20_010), one(), age(2010));
        } else {
            publisher.on_purge_notice(ms(20_000), one(), age(2000));
            publisher.on_published(ms(20_010), one(), ms(2000));
        }
        for at in 0..10 {
            assert_eq!(publisher.tick(ms(20_000 + at * 1000), PublisherRole::Standby), []);
        }
        assert!(publisher.tick(ms(20_100), PublisherRole::Standby).is_empty(), "seen first: {seen_first}");
    }
}

#[test]
fn active_publisher_does_not_rely_on_matches() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), one(), ms(0));
    assert_eq!(publisher.tick(ms(20_000), PublisherRole::Active), [purge(1, 0)]);
    // Another active control node has published the same; the board's next notice is a new purge all the same.
    publisher.on_published(ms(20_100), one(), ms(100));
    publisher.on_purge_notice(ms(20_500), one(), ms(0));
    assert_eq!(publisher.tick(ms(20_500), PublisherRole::Active), [purge(1, 0)]);
}

#[test]
fn second_purge_of_an_object_is_not_taken_for_the_first() {
    for seen_first in [true, false] {
        let mut publisher = Publisher::new(PURGE_WINDOW);
        if seen_first {
            publisher.on_published(ms(20_000), one(), ms(0));
        }
        publisher.on_purge_notice(ms(20_010), one(), ms(5));
        publisher.on_purge_notice(ms(20_300), one(), ms(0));
        if !seen_first {
            publisher.on_published(ms(20_310), one(), ms(300));
        }
        assert_eq!(
            publisher.tick(ms(24_400), PublisherRole::Standby),
            [purge(1, 4100)],
            "seen first: {seen_first}"
        );
    }
}

#[test]
fn standby_publishes_overdue_purge() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), one(), ms(0));
    assert_eq!(publisher.tick(ms(23_900), PublisherRole::Standby), []);
    assert_eq!(publisher.tick(ms(24_000), PublisherRole::Standby), [purge(1, 4000)]);
    assert_eq!(publisher.tick(ms(24_500), PublisherRole::Standby), []);
}

#[test]
fn new_active_publisher_publishes_what_is_left() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), one(), ms(0));
    publisher.on_purge_notice(ms(20_000), Purge::object(2), ms(0));
    publisher.on_published(ms(20_500), one(), ms(490));
    assert_eq!(publisher.tick(ms(21_000), PublisherRole::Standby), []);
    assert_eq!(publisher.tick(ms(22_000), PublisherRole::Active), [purge(2, 2000)]);
}

#[test]
fn purge_of_everything_covers_all_before_it() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), one(), ms(0));
    publisher.on_purge_notice(ms(20_900), Purge::object(2), ms(0));
    publisher.on_published(ms(21_000), Purge::Everything, ms(500));
    publisher.on_purge_notice(ms(21_000), Purge::object(3), ms(700));
    assert_eq!(publisher.tick(ms(21_000), PublisherRole::Active), [purge(2, 100)]);
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
    let said = publisher.tick(ms(20_000), PublisherRole::Active);
    assert!(said.contains(&Publication::Purge { purge: Purge::Everything, age: ms(0) }), "{}", said.len());
    assert!(said.len() <= 2);
}

const SETTLE: Duration = Duration::from_secs(2);

fn started() -> Publisher {
    Publisher::new(PURGE_WINDOW).settling(SETTLE)
}

/// Everything that is published in twenty seconds.
fn published_from(publisher: &mut Publisher, from: u64, publishing: bool) -> Vec<Publication> {
    (0..200).flat_map(|at| publisher.tick(ms(from + at * 100), role(publishing))).collect()
}

#[test_case(true, 0, 30; "to publish, the streams before the board")]
#[test_case(true, 1500, 30; "to publish, the board before the streams")]
#[test_case(false, 0, 30; "of another, the streams before the board")]
#[test_case(false, 3500, 30; "of another, the board before the streams")]
#[test_case(true, 1500, 0; "clocks agree")]
#[test_case(true, 1500, 1900; "this clock tells a younger age")]
#[test_case(true, 1500, -6900; "this clock tells an older age")]
fn published_backlog_is_not_published_again(publishing: bool, streams: u64, younger: i64) {
    let mut publisher = started();
    let published = |publisher: &mut Publisher| {
        for object in 0..9 {
            publisher.on_published(ms(20_000 + streams), Purge::object(object), ms(object * 900 + streams));
        }
    };
    if streams == 0 {
        published(&mut publisher);
    }
    for object in 0..9_u64 {
        let age = (object * 900).saturating_add_signed(-younger).min(8000);
        publisher.on_backlog_notice(ms(20_000), Purge::object(object), ms(age));
    }
    for now in (20_000..20_000 + streams).step_by(100) {
        assert_eq!(publisher.tick(ms(now), role(publishing)), []);
    }
    if streams > 0 {
        published(&mut publisher);
    }
    assert_eq!(published_from(&mut publisher, 20_000 + streams, publishing), []);
}

#[test]
fn unpublished_backlog_is_published() {
    for (publishing, wait) in [(true, 2000), (false, 4000)] {
        let mut publisher = started();
        publisher.on_backlog_notice(ms(20_000), one(), ms(7900));
        publisher.on_backlog_notice(ms(20_000), Purge::object(2), ms(0));
        assert_eq!(publisher.tick(ms(19_900 + wait), role(publishing)), []);
        let said = publisher.tick(ms(20_000 + wait), role(publishing));
        assert_eq!(said, [purge(1, 7900 + wait), purge(2, wait)]);
        assert_eq!(published_from(&mut publisher, 20_000 + wait, publishing), []);
    }
}

/// The later of two purges of an object is published, though the publication of the first may look like its own.
#[test_case(4000, 1000, 4000; "clocks agree")]
#[test_case(7000, 7000, 4000; "this clock is ahead")]
#[test_case(3000, 0, 4000; "this clock is behind")]
#[test_case(9000, 1500, 3000; "the first is past the window and who published it told it younger")]
fn one_publication_matches_one_notice_of_a_backlog(first: u64, second: u64, published: u64) {
    for seen_first in [true, false] {
        let mut publisher = started();
        if seen_first {
            publisher.on_published(ms(20_000), one(), ms(published));
        }
        publisher.on_backlog_notice(ms(20_000), one(), ms(first));
        publisher.on_backlog_notice(ms(20_000), one(), ms(second));
        if !seen_first {
            publisher.on_published(ms(20_000), one(), ms(published));
        }
        let said = published_from(&mut publisher, 20_000, true);
        assert_eq!(said, [purge(1, second + 2000)], "seen first: {seen_first}");
    }
}

#[test]
fn purge_of_everything_covers_only_surely_older_backlog() {
    for seen_first in [true, false] {
        let mut publisher = started();
        if seen_first {
            publisher.on_published(ms(20_000), Purge::Everything, ms(500));
        }
        publisher.on_backlog_notice(ms(20_000), one(), ms(7600));
        publisher.on_backlog_notice(ms(20_000), Purge::object(2), ms(7000));
        if !seen_first {
            publisher.on_published(ms(20_000), Purge::Everything, ms(500));
        }
        assert_eq!(
            published_from(&mut publisher, 20_000, true),
            [purge(2, 9000)],
            "seen first: {seen_first}"
        );
    }
}

#[test]
fn purge_after_the_backlog_is_published_at_once() {
    let mut publisher = started();
    publisher.on_backlog_notice(ms(20_000), one(), ms(100));
    publisher.on_purge_notice(ms(20_500), Purge::object(2), ms(0));
    assert_eq!(publisher.tick(ms(20_500), PublisherRole::Active), [purge(2, 0)]);
}

/// What streams bring to a node that has just started arrives later than half the window after the purge was made.
#[test]
fn overdue_time_counts_from_receipt() {
    let mut publisher = Publisher::new(PURGE_WINDOW);
    publisher.on_purge_notice(ms(20_000), one(), ms(4500));
    assert_eq!(publisher.tick(ms(20_100), PublisherRole::Standby), []);
    publisher.on_published(ms(20_500), one(), ms(5000));
    assert_eq!(published_from(&mut publisher, 20_500, false), []);
}
