//! The checker of virtual fleets finds each thing that may never happen, and does not cry at what may.

use rockflow_dissemination::{
    ControlId, DesiredState, Entry, Incarnation, Purge, SequenceNumber, StreamId, StreamKind,
};
use rockflow_scale::virtual_fleet::checker::{Checker, Violation, What};
use rockflow_scale::virtual_fleet::layout::{Layout, Shape};
use rockflow_scale::virtual_fleet::traffic::{Traffic, TrafficDirection};
use std::collections::BTreeMap;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(8700);
const CHANGE: Duration = Duration::from_millis(4000);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn stream(kind: StreamKind) -> StreamId {
    StreamId { control: ControlId(0), kind, incarnation: Incarnation(1) }
}

/// Three members that live, and one purge of an object, number 1, at one second.
fn checker() -> (Checker, usize) {
    let mut checker = Checker::new(3, WINDOW, CHANGE);
    (0..3).for_each(|member| checker.on_start(ms(0), member));
    let entry = checker.record_publication(ms(1000), What::Purge(Purge::object(7)), None, 0);
    checker.numbered(entry, stream(StreamKind::Purges), SequenceNumber(1));
    (checker, entry)
}

fn gives(checker: &mut Checker, at: Duration, member: usize) {
    checker.purged(at, at, member, &[(Purge::object(7), at - ms(1000))]);
}

fn only(checker: &Checker, what: Violation) {
    assert_eq!(checker.broken.keys().copied().collect::<Vec<_>>(), [what], "{checker}");
}

#[test]
fn all_is_well() {
    let (mut checker, _) = checker();
    for member in 0..3 {
        gives(&mut checker, ms(1200 + member as u64 * 100), member);
    }
    checker.everywhere(ms(1500), stream(StreamKind::Purges), SequenceNumber(1), 0);
    checker.ends_quiet(ms(60_000), true);
    assert_eq!(checker.violations(), 0, "{checker}");
    assert_eq!(checker.times(None, true), [ms(400)]);
    assert_eq!(checker.known(None, true), (vec![ms(500)], 0));
}

#[test]
fn a_purge_given_twice() {
    let (mut checker, _) = checker();
    gives(&mut checker, ms(1200), 1);
    gives(&mut checker, ms(1300), 1);
    only(&checker, Violation::Twice);
}

#[test]
fn a_purge_that_two_numbers_brought_may_come_twice_and_not_three_times() {
    let (mut checker, entry) = checker();
    checker.numbered(
        entry,
        StreamId { control: ControlId(1), ..stream(StreamKind::Purges) },
        SequenceNumber(1),
    );
    gives(&mut checker, ms(1200), 1);
    gives(&mut checker, ms(1300), 1);
    assert_eq!(checker.violations(), 0, "{checker}");
    gives(&mut checker, ms(1400), 1);
    only(&checker, Violation::Twice);
}

#[test]
fn a_new_life_may_hear_it_again() {
    let (mut checker, _) = checker();
    gives(&mut checker, ms(1200), 1);
    checker.on_exit(1);
    checker.on_start(ms(2000), 1);
    gives(&mut checker, ms(2500), 1);
    assert_eq!(checker.violations(), 0, "{checker}");
}

#[test]
fn a_purge_passed_over() {
    let (mut checker, _) = checker();
    gives(&mut checker, ms(1200), 0);
    gives(&mut checker, ms(1200), 1);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::PassedOver);
}

#[test]
fn a_floor_covers_what_was_published_before_it_and_nothing_after() {
    let (mut checker, _) = checker();
    for member in 0..2 {
        gives(&mut checker, ms(1200), member);
    }
    checker.disturbed_at_all = true;
    checker.purged(ms(3000), ms(3000), 2, &[(Purge::Everything, ms(1999))]);
    assert_eq!((checker.floors, checker.covered, checker.violations()), (1, 1, 0), "{checker}");
    let (mut checker, _) = self::checker();
    checker.disturbed_at_all = true;
    checker.purged(ms(3000), ms(3000), 2, &[(Purge::Everything, ms(2001))]);
    assert_eq!((checker.floors, checker.covered), (1, 0));
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::PassedOver);
    assert_eq!(checker.broken[&Violation::PassedOver], 3);
}

#[test]
fn a_purge_too_late_at_a_member_that_nothing_held_up() {
    let (mut checker, _) = checker();
    gives(&mut checker, ms(9800), 1);
    only(&checker, Violation::Late);
    let (mut checker, _) = self::checker();
    checker.record_disturbance(1, ms(9000));
    gives(&mut checker, ms(9800), 1);
    assert_eq!(checker.violations(), 0, "{checker}");
}

#[test]
fn a_purge_said_to_be_older_than_it_is() {
    let (mut checker, _) = checker();
    checker.purged(ms(1200), ms(1200), 1, &[(Purge::object(7), ms(201))]);
    only(&checker, Violation::Laxer);
    // By as much as the board's word seemed older than it was, and no more.
    let (mut checker, entry) = self::checker();
    checker.overstated_age(entry, ms(100));
    checker.purged(ms(1200), ms(1200), 1, &[(Purge::object(7), ms(300))]);
    assert_eq!(checker.violations(), 0, "{checker}");
    checker.purged(ms(1200), ms(1200), 2, &[(Purge::object(7), ms(301))]);
    only(&checker, Violation::Laxer);
}

#[test]
fn a_purge_that_nobody_said() {
    let (mut checker, _) = checker();
    checker.purged(ms(1200), ms(1200), 1, &[(Purge::object(8), ms(1))]);
    only(&checker, Violation::Unknown);
}

#[test]
fn everywhere_said_while_one_has_it_not() {
    for dead in [false, true] {
        let (mut checker, _) = checker();
        gives(&mut checker, ms(1200), 0);
        gives(&mut checker, ms(1200), 1);
        if dead {
            checker.on_exit(2);
        }
        checker.everywhere(ms(1500), stream(StreamKind::Purges), SequenceNumber(1), 0);
        only(&checker, Violation::EverywhereTooEarly);
    }
    // One that the directory does not name is not asked.
    let (mut checker, _) = checker();
    gives(&mut checker, ms(1200), 0);
    gives(&mut checker, ms(1200), 1);
    checker.set_listed(2, false);
    checker.everywhere(ms(1500), stream(StreamKind::Purges), SequenceNumber(1), 0);
    assert_eq!(checker.violations(), 0, "{checker}");
}

#[test]
fn everywhere_said_while_one_that_took_anothers_place_has_it_not() {
    let mut checker = Checker::new(4, WINDOW, CHANGE);
    checker.set_listed(3, false);
    (0..3).for_each(|member| checker.on_start(ms(0), member));
    let entry = checker.record_publication(ms(1000), What::Purge(Purge::object(7)), None, 0);
    checker.numbered(entry, stream(StreamKind::Purges), SequenceNumber(1));
    (0..3).for_each(|member| gives(&mut checker, ms(1200), member));
    checker.on_exit(0);
    checker.on_replacement(3, 0);
    checker.on_start(ms(1300), 3);
    checker.on_contact(ms(1400), 3);
    checker.everywhere(ms(1500), stream(StreamKind::Purges), SequenceNumber(1), 0);
    only(&checker, Violation::EverywhereTooEarly);
}

#[test]
fn what_an_outlived_life_published_may_come_once_more_and_nothing_else() {
    let later = StreamId { incarnation: Incarnation(2), ..stream(StreamKind::Purges) };
    let (mut checker, _) = checker();
    let other = checker.record_publication(ms(1000), What::Purge(Purge::object(8)), None, 0);
    checker.numbered(
        other,
        StreamId { control: ControlId(1), ..stream(StreamKind::Purges) },
        SequenceNumber(1),
    );
    (0..3).for_each(|_| checker.sent_anew(later, SequenceNumber(1), &Entry::Purge(Purge::object(7))));
    gives(&mut checker, ms(1200), 1);
    gives(&mut checker, ms(1300), 1);
    assert_eq!(checker.violations(), 0, "{checker}");
    gives(&mut checker, ms(1400), 1);
    only(&checker, Violation::Twice);
    checker.broken.clear();
    (0..2).for_each(|_| checker.purged(ms(1500), ms(1500), 1, &[(Purge::object(8), ms(500))]));
    only(&checker, Violation::Twice);
    // Under its number there it is not everywhere before all have it.
    checker.broken.clear();
    checker.everywhere(ms(1500), later, SequenceNumber(1), 0);
    only(&checker, Violation::EverywhereTooEarly);
    checker.broken.clear();
    checker.sent_anew(later, SequenceNumber(2), &Entry::Purge(Purge::object(9)));
    only(&checker, Violation::Unknown);
}

#[test]
fn everywhere_is_held_against_the_directory_that_the_control_node_has_read() {
    let mut checker = Checker::new(4, WINDOW, CHANGE);
    checker.set_listed(3, false);
    (0..3).for_each(|member| checker.on_start(ms(0), member));
    let entry = checker.record_publication(ms(1000), What::Purge(Purge::object(7)), None, 0);
    checker.numbered(entry, stream(StreamKind::Purges), SequenceNumber(1));
    gives(&mut checker, ms(1200), 0);
    gives(&mut checker, ms(1200), 1);
    checker.on_exit(0);
    checker.on_replacement(3, 0);
    // By the directory before, which one control node still goes by, the third is missing; by the last the fourth too.
    checker.on_directory_read(9, vec![true, true, true, false]);
    checker.everywhere(ms(1500), stream(StreamKind::Purges), SequenceNumber(1), 9);
    assert_eq!(checker.broken[&Violation::EverywhereTooEarly], 1, "{checker}");
    checker.everywhere(ms(1500), stream(StreamKind::Purges), SequenceNumber(1), 8);
    assert_eq!(checker.broken[&Violation::EverywhereTooEarly], 3, "{checker}");
}

#[test]
fn everywhere_of_a_number_that_nobody_published() {
    let (mut checker, _) = checker();
    checker.everywhere(
        ms(1500),
        StreamId { incarnation: Incarnation(2), ..stream(StreamKind::Purges) },
        SequenceNumber(1),
        0,
    );
    only(&checker, Violation::Unknown);
}

#[test]
fn everywhere_never_said() {
    let (mut checker, _) = checker();
    (0..3).for_each(|member| gives(&mut checker, ms(1200), member));
    checker.ends_quiet(ms(60_000), true);
    only(&checker, Violation::EverywhereNotSaid);
}

#[test]
fn settings_twice_missing_and_wrong() {
    let say = |checker: &mut Checker| {
        let what = What::Setting { host: "a".to_string(), wanted: DesiredState::Gone };
        let entry = checker.record_publication(ms(1000), what, None, 0);
        checker.numbered(entry, stream(StreamKind::Configuration), SequenceNumber(1));
    };
    let table = |wanted| BTreeMap::from([("a".to_string(), wanted)]);
    let id = ((stream(StreamKind::Configuration), SequenceNumber(1)), "a".to_string());
    let mut checker = Checker::new(1, WINDOW, CHANGE);
    checker.on_start(ms(0), 0);
    say(&mut checker);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::PassedOver);
    let mut checker = Checker::new(1, WINDOW, CHANGE);
    checker.on_start(ms(0), 0);
    say(&mut checker);
    checker.configured(ms(1100), 0, table(DesiredState::Gone), std::slice::from_ref(&id));
    assert_eq!((checker.violations(), checker.times(None, false)), (0, vec![ms(100)]));
    checker.configured(ms(1200), 0, table(DesiredState::Gone), std::slice::from_ref(&id));
    only(&checker, Violation::Twice);
    checker.broken.clear();
    checker.configured(ms(1300), 0, table(DesiredState::Draining), &[]);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::WrongSetting);
}

/// Members that live, and a setting of a host, number 1, at one second.
fn with_setting(members: usize) -> (Checker, usize) {
    let mut checker = Checker::new(members, WINDOW, CHANGE);
    (0..members).for_each(|member| checker.on_start(ms(0), member));
    let entry = set(&mut checker, 1, ms(1000), DesiredState::Gone);
    (checker, entry)
}

fn set(checker: &mut Checker, number: u64, at: Duration, wanted: DesiredState) -> usize {
    let entry = checker.record_publication(at, What::Setting { host: "a".to_string(), wanted }, None, 0);
    checker.numbered(entry, stream(StreamKind::Configuration), SequenceNumber(number));
    entry
}

fn goes_by(checker: &mut Checker, at: Duration, member: usize, number: u64, wanted: DesiredState) {
    let id = (stream(StreamKind::Configuration), SequenceNumber(number));
    checker.configured(at, member, BTreeMap::from([("a".to_string(), wanted)]), &[(id, "a".to_string())]);
}

#[test]
fn a_change_has_less_time_than_a_purge() {
    let (mut checker, _) = with_setting(3);
    goes_by(&mut checker, ms(5000), 0, 1, DesiredState::Gone);
    assert_eq!(checker.violations(), 0, "{checker}");
    goes_by(&mut checker, ms(5001), 1, 1, DesiredState::Gone);
    only(&checker, Violation::Late);
    // Held up at its publisher, and no more after that.
    let (mut checker, entry) = with_setting(3);
    checker.held_up(entry, ms(3000));
    goes_by(&mut checker, ms(7000), 0, 1, DesiredState::Gone);
    assert_eq!(checker.violations(), 0, "{checker}");
    goes_by(&mut checker, ms(7001), 1, 1, DesiredState::Gone);
    only(&checker, Violation::Late);
    // Who was held up itself catches up within the window.
    let (mut checker, _) = with_setting(3);
    (0..2).for_each(|member| checker.record_disturbance(member, ms(3000)));
    goes_by(&mut checker, ms(11_700), 0, 1, DesiredState::Gone);
    assert_eq!(checker.violations(), 0, "{checker}");
    goes_by(&mut checker, ms(11_701), 1, 1, DesiredState::Gone);
    only(&checker, Violation::Late);
}

#[test]
fn a_setting_in_doubt_is_owed_to_all_once_one_has_it() {
    let (mut checker, entry) = with_setting(3);
    checker.doubt(entry);
    checker.ends_quiet(ms(60_000), false);
    assert_eq!(checker.violations(), 0, "{checker}");
    goes_by(&mut checker, ms(1200), 1, 1, DesiredState::Gone);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::PassedOver);
    assert_eq!(checker.broken[&Violation::PassedOver], 2);
    // One that goes by what nobody said, or by what was before.
    let (mut checker, _) = with_setting(3);
    let later = set(&mut checker, 2, ms(2000), DesiredState::Listed);
    (0..3).for_each(|member| goes_by(&mut checker, ms(1200), member, 1, DesiredState::Gone));
    checker.doubt(later);
    checker.ends_quiet(ms(60_000), false);
    assert_eq!(checker.violations(), 0, "{checker}");
    checker.configured(ms(3000), 2, BTreeMap::from([("a".to_string(), DesiredState::Draining)]), &[]);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::WrongSetting);
    checker.broken.clear();
    goes_by(&mut checker, ms(3100), 2, 2, DesiredState::Listed);
    checker.ends_quiet(ms(60_000), false);
    assert_eq!(checker.broken[&Violation::WrongSetting], 2, "{checker}");
}

#[test]
fn nothing_is_right_at_one_that_is_not_there() {
    let well = || {
        let (mut checker, _) = checker();
        (0..3).for_each(|member| gives(&mut checker, ms(1200), member));
        checker
    };
    let mut checker = well();
    checker.on_exit(2);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::NotJudged);
    let mut checker = well();
    checker.set_stopped(2, true);
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::NotJudged);
    let mut checker = well();
    checker.record_disturbance(2, ms(55_000));
    checker.ends_quiet(ms(60_000), false);
    only(&checker, Violation::NotJudged);
    // One that the directory does not name any more.
    let mut checker = well();
    checker.on_exit(2);
    checker.set_listed(2, false);
    checker.ends_quiet(ms(60_000), false);
    assert_eq!(checker.violations(), 0, "{checker}");
}

#[test]
fn a_floor_that_nothing_called_for() {
    let (mut checker, _) = checker();
    checker.purged(ms(3000), ms(3000), 2, &[(Purge::Everything, ms(0))]);
    only(&checker, Violation::NeedlessFloor);
    // One that was published, once.
    let (mut checker, _) = self::checker();
    let entry = checker.record_publication(ms(2000), What::Purge(Purge::Everything), None, 0);
    checker.numbered(entry, stream(StreamKind::Purges), SequenceNumber(2));
    checker.purged(ms(3000), ms(3000), 2, &[(Purge::Everything, ms(1000))]);
    assert_eq!(checker.violations(), 0, "{checker}");
    checker.purged(ms(3100), ms(3100), 2, &[(Purge::Everything, ms(1100))]);
    only(&checker, Violation::NeedlessFloor);
}

#[test]
fn late_counts_from_when_what_held_a_member_up_is_over() {
    let (mut checker, _) = checker();
    checker.record_disturbance(1, ms(3000));
    gives(&mut checker, ms(11_800), 1);
    only(&checker, Violation::Late);
    // Long before the entry was said.
    let (mut checker, _) = self::checker();
    checker.record_disturbance(1, ms(500));
    gives(&mut checker, ms(9800), 1);
    only(&checker, Violation::Late);
    // On the other side, and long met.
    let (mut checker, _) = self::checker();
    checker.on_partition(vec![Some(0), Some(1), Some(1)], ms(4000));
    let entry = checker.record_publication(ms(2000), What::Purge(Purge::object(8)), Some(0), 0);
    checker.numbered(entry, stream(StreamKind::Purges), SequenceNumber(2));
    checker.purged(ms(12_800), ms(12_800), 1, &[(Purge::object(8), ms(10_800))]);
    only(&checker, Violation::Late);
}

#[test]
fn a_floor_after_the_first_time_makes_no_second_time_right() {
    let (mut checker, _) = checker();
    checker.disturbed_at_all = true;
    gives(&mut checker, ms(1200), 1);
    checker.purged(ms(1300), ms(1300), 1, &[(Purge::Everything, ms(0))]);
    assert_eq!(checker.violations(), 0, "{checker}");
    gives(&mut checker, ms(1400), 1);
    only(&checker, Violation::Twice);
    // Before the first time: given once, all the same, and no more.
    let (mut checker, _) = self::checker();
    checker.disturbed_at_all = true;
    checker.purged(ms(1300), ms(1300), 1, &[(Purge::Everything, ms(0))]);
    gives(&mut checker, ms(1400), 1);
    assert_eq!(checker.violations(), 0, "{checker}");
    gives(&mut checker, ms(1500), 1);
    only(&checker, Violation::Twice);
}

#[test]
fn who_was_held_up_for_less_than_the_window_owes_what_binds_still() {
    for (until, owes) in [(ms(5400), true), (ms(8100), true), (ms(8200), false)] {
        let (mut checker, _) = checker();
        (0..2).for_each(|member| gives(&mut checker, ms(1200), member));
        checker.record_disturbance(2, until);
        checker.ends_quiet(ms(60_000), false);
        match owes {
            true => only(&checker, Violation::PassedOver),
            false => assert_eq!((checker.violations(), checker.expired), (0, 1), "{checker}"),
        }
    }
}

#[test]
fn traffic_by_second_and_sliding_minute() {
    let mut traffic = Traffic::new(2);
    for second in 0..120u64 {
        traffic.sent(Duration::from_secs(second), 0, 100);
        traffic.record_received(
            Duration::from_secs(second),
            1,
            if (30..60).contains(&second) { 300 } else { 100 },
        );
    }
    assert_eq!(traffic.rate(&[0, 1], 0, 120, TrafficDirection::Out).mean, 50.0);
    assert_eq!(traffic.rate(&[1], 0, 120, TrafficDirection::In).worst, 150.0);
    assert_eq!(traffic.sliding(&[0, 1], 0, 120, 60, TrafficDirection::In).worst, 200.0);
    assert_eq!(traffic.worst_second(&[0, 1], 0, 120, TrafficDirection::In).worst, 300.0);
}

#[test]
fn a_layout_spreads_all_and_knows_its_addresses() {
    let shape = Shape { sites: 140, zones: 104, regions: 29, ..Shape::of(1800) };
    let mut rng = oorandom::Rand64::new(1);
    let layout = Layout::new(shape, 0, &mut rng);
    assert_eq!((layout.member_slots, layout.nodes()), (1800, 1806));
    let count =
        |key: &dyn Fn(usize) -> usize| (0..1800).map(key).collect::<std::collections::BTreeSet<_>>().len();
    assert_eq!(count(&|at| layout.places[at].site), 140);
    assert_eq!(count(&|at| layout.places[at].zone), 104);
    assert_eq!(count(&|at| layout.places[at].region), 29);
    assert!((0..layout.nodes()).all(|at| layout.at(Layout::address(at)) == Some(at)));
    // Nearer is never slower.
    let (site, far) = (layout.site(0), layout.region(14));
    assert!(layout.delay(site[0], site[1]) < shape.near);
    assert!(layout.delay(site[0], far[0]) >= shape.far.mul_f64(0.9));
}
