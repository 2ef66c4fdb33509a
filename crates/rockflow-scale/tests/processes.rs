//! What `run` rests on, without processes: the places of its members, its schedule, its ledger, and what it reads of
//! control's log.

use rockflow_dissemination::Purge;
use rockflow_process_harness::datagrams::TrafficCounts;
use rockflow_process_harness::Place;
use rockflow_scale::run::ledger::{Cause, Ledger, Waited};
use rockflow_scale::run::minutes::Minutes;
use rockflow_scale::run::schedule::{plan, Node, Step};
use rockflow_scale::run::watch::Effect;
use rockflow_scale::run::{layout, watch};
use rockflow_scale::target::Target;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

const LENGTH: Duration = Duration::from_secs(600);

fn target() -> Target {
    Target::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity/target.toml"))).unwrap()
}

fn places() -> Vec<Place> {
    layout::members(&target(), 300, 20).0
}

#[test]
fn sites_and_regions_are_as_many_as_the_target_has_for_so_many() {
    let (places, real) = layout::members(&target(), 1000, 50);
    let count = |of: fn(&Place) -> &str| places.iter().map(of).collect::<BTreeSet<_>>().len();
    assert_eq!((places.len(), count(|place| &place.name)), (1050, 1050));
    assert_eq!((count(|place| &place.region), count(|place| &place.site)), (17, 82));
    assert_eq!(real.iter().filter(|real| **real).count(), 50);
    // Spread: no site has more than two real ones.
    let mut by_site: BTreeMap<&str, usize> = BTreeMap::new();
    for (place, real) in places.iter().zip(&real) {
        *by_site.entry(&place.site).or_default() += usize::from(*real);
    }
    assert!(by_site.values().all(|count| *count <= 2), "{by_site:?}");
    // A site is in one region alone.
    let regions: BTreeSet<_> = places.iter().map(|place| (&place.site, &place.region)).collect();
    assert_eq!(regions.len(), 82);
}

#[test]
fn a_seed_repeats_the_schedule_and_another_does_not() {
    let places = places();
    assert_eq!(plan(7, LENGTH, &places, 6), plan(7, LENGTH, &places, 6));
    assert_ne!(plan(7, LENGTH, &places, 6), plan(8, LENGTH, &places, 6));
}

#[test]
fn whatever_begins_ends_and_no_node_has_two_faults_at_once() {
    let places = places();
    for seed in 0..200 {
        let steps = plan(seed, LENGTH, &places, 6);
        let (mut paths, mut down) = (BTreeSet::new(), BTreeMap::new());
        for at in &steps {
            match &at.step {
                Step::Path { id, from, to, .. } => {
                    assert!(paths.insert(*id) && !from.is_empty() && !to.is_empty());
                    assert!(from.iter().chain(to).all(|member| *member < places.len() + 6));
                }
                Step::Mend { id } => assert!(paths.remove(id)),
                Step::Kill(node) | Step::End(node) => {
                    assert!(down.insert(*node, false).is_none(), "{seed} {node:?}")
                }
                Step::Stop(node) => assert!(down.insert(*node, true).is_none(), "{seed} {node:?}"),
                Step::Wake(node) => assert_eq!(down.remove(node), Some(true), "{seed} {node:?}"),
                Step::Start(node) => assert_eq!(down.remove(node), Some(false), "{seed} {node:?}"),
            }
        }
        assert!(paths.is_empty() && down.is_empty(), "{seed}");
        assert!(steps.windows(2).all(|two| two[0].at <= two[1].at));
        let (first, last) = (steps[0].at, steps[steps.len() - 1].at);
        assert!(
            first >= LENGTH / 5 && last <= LENGTH * 4 / 5 + Duration::from_secs(31),
            "{seed} {first:?} {last:?}"
        );
        // A wave of restarts is in each.
        let ends = steps.iter().filter(|at| matches!(at.step, Step::End(Node::Member(_)))).count();
        assert!(ends >= places.len() / 20, "{seed}: {ends}");
    }
}

/// So many milliseconds after the first.
fn at(ms: u64) -> Instant {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    *FIRST.get_or_init(Instant::now) + Duration::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn what_is_neither_in_effect_nor_covered_is_passed_over() {
    let mut ledger = Ledger::default();
    let object = |id: u64| Purge::object(id);
    ledger.tell(at(0), 1);
    for member in 0..3 {
        ledger.begin(at(1), member);
    }
    (2..=5).for_each(|id| ledger.tell(at(id), id));
    // One has all, one a gap, one a gap that a floor of now covers, but for what is told after it.
    (2..=5).for_each(|id| ledger.purge(at(6), 0, object(id), Duration::ZERO));
    [2, 4, 5].into_iter().for_each(|id| ledger.purge(at(6), 1, object(id), Duration::ZERO));
    ledger.purge(at(6), 2, Purge::Everything, Duration::ZERO);
    ledger.tell(at(7), 6);
    ledger.purge(at(8), 0, object(6), Duration::ZERO);
    ledger.purge(at(8), 1, object(6), Duration::ZERO);
    let judged = ledger.judge(at(9));
    assert_eq!((judged[&0].passed_over, judged[&0].by_floor), (0, 0));
    assert_eq!((judged[&1].passed_over, judged[&1].by_floor), (1, 0));
    assert_eq!((judged[&2].passed_over, judged[&2].by_floor), (1, 4));
    // Told after what is judged: it has time.
    assert_eq!(ledger.judge(ledger.purges[4].at)[&1].passed_over, 1);
    assert_eq!((ledger.floors(), ledger.again()), (1, 0));
    ledger.purge(at(9), 0, object(3), Duration::ZERO);
    assert_eq!(ledger.again(), 1);
    // A floor that is older than what was told covers none of it.
    ledger.purge(at(9), 1, Purge::Everything, ms(8));
    assert_eq!(ledger.judge(at(9))[&1].passed_over, 1);
    // A life that is over owes nothing.
    ledger.end(1);
    assert!(!ledger.judge(at(9)).contains_key(&1));
}

#[test]
fn only_lives_that_were_there_count_for_the_time_to_all() {
    let mut ledger = Ledger::new([0]);
    ledger.begin(at(0), 0);
    ledger.begin(at(0), 1);
    ledger.tell(at(1), 1);
    ledger.begin(at(2), 2);
    (0..3).for_each(|member| ledger.purge(at(5), member, Purge::object(1), Duration::ZERO));
    let told = ledger.purges[0];
    assert_eq!((told.count, told.worst), (1, ms(4)));
    let waited = |count, worst, member| Waited { count, worst: ms(worst), member };
    assert_eq!((told.real, told.hollow), (waited(1, 4, 0), waited(1, 4, 1)));
    // What an earlier life said before it ended is none of the present one's.
    ledger.tell(at(6), 2);
    ledger.begin(at(8), 0);
    ledger.purge(at(7), 0, Purge::object(2), Duration::ZERO);
    assert_eq!(ledger.purges[1].real.count, 0);
}

#[test]
fn who_was_held_up_is_kept_apart_from_whom_nothing_held_up() {
    let mut ledger = Ledger::default();
    (0..5).for_each(|member| ledger.begin(at(0), member));
    // Over before it was told; meanwhile; begun after it was in force; lossy, which holds nobody up.
    ledger.troubled(at(10), 0, Cause::Stopped);
    ledger.untroubled(at(99), 0, Cause::Stopped);
    ledger.troubled(at(50), 1, Cause::Stopped);
    ledger.troubled(at(60), 2, Cause::CutOff);
    ledger.troubled(at(60), 2, Cause::Late);
    ledger.troubled(at(50), 4, Cause::Lossy);
    ledger.tell(at(100), 1);
    ledger.purge(at(400), 0, Purge::object(1), Duration::ZERO);
    ledger.untroubled(at(9000), 1, Cause::Stopped);
    ledger.purge(at(9500), 1, Purge::object(1), Duration::ZERO);
    // By a floor that covers it, while it is still cut off.
    ledger.purge(at(700), 2, Purge::Everything, ms(600));
    ledger.purge(at(900), 3, Purge::object(1), Duration::ZERO);
    ledger.troubled(at(1000), 3, Cause::Stopped);
    ledger.purge(at(800), 4, Purge::object(1), Duration::ZERO);
    let told = ledger.purges[0];
    assert_eq!(told.free(), Some(Waited { count: 3, worst: ms(800), member: 3 }));
    let [stopped, cut_off, lossy, late] = told.by_cause;
    assert_eq!(stopped, Waited { count: 1, worst: ms(500), member: 1 });
    assert_eq!(cut_off, Waited { count: 1, worst: Duration::ZERO, member: 2 });
    assert_eq!(lossy, Waited { count: 1, worst: ms(700), member: 4 });
    assert_eq!(late.count, 0);
    // The entry itself comes after its floor: it was in force before.
    ledger.purge(at(9600), 2, Purge::object(1), Duration::ZERO);
    assert_eq!((ledger.purges[0].by_cause[1], ledger.again()), (cut_off, 0));
    // A floor that is older than what was told puts it in force nowhere.
    ledger.tell(at(10_000), 2);
    ledger.purge(at(10_500), 0, Purge::Everything, ms(501));
    assert_eq!(ledger.purges[1].free(), None);
}

#[test]
fn changes_are_in_force_where_they_are_named_first() {
    let mut ledger = Ledger::new([1]);
    (0..2).for_each(|member| ledger.begin(at(0), member));
    ledger.change(at(10), "h1");
    ledger.configure(at(30), 0, &["h1".to_string(), "other".to_string()]);
    ledger.configure(at(50), 1, &["h1".to_string()]);
    ledger.configure(at(90), 0, &["h1".to_string()]);
    let told = ledger.changes[0];
    assert_eq!((told.hollow.worst, told.real.worst, told.count), (ms(20), ms(40), 1));
}

#[test]
fn the_greatest_minute_is_any_minute() {
    let mut minutes = Minutes::default();
    let mut bytes = 0;
    // 100 bytes a second, and from 90 to 120 s five times as many.
    for second in 0..=240 {
        let carried = TrafficCounts {
            bytes_out: bytes,
            frames_out: bytes / 100,
            bytes_in: 7 * second,
            ..TrafficCounts::default()
        };
        minutes.take(at(1000 * second), vec![carried], second <= 100, |_| second as usize);
        bytes += if (90..120).contains(&second) { 500 } else { 100 };
    }
    let (ordinary, whole) = (minutes.ordinary[0], minutes.whole[0]);
    assert_eq!((whole.out, whole.back, whole.frames), (300.0, 7.0, 3.0));
    assert_eq!((whole.at, whole.children), (Duration::from_secs(120), 120));
    // Ten of its seconds.
    assert_eq!(ordinary.out, (50.0 * 100.0 + 10.0 * 500.0) / 60.0);
    // What lasts less than a minute has none.
    let mut short = Minutes::default();
    (0..60).for_each(|second| {
        let carried = TrafficCounts { bytes_out: 1000 * second, ..TrafficCounts::default() };
        short.take(at(1000 * second), vec![carried], true, |_| 0);
    });
    assert_eq!(short.whole[0].out, 0.0);
}

#[test]
fn a_line_of_a_dispatcher_says_what_it_goes_by() {
    let since = Instant::now();
    let stamp = |ago: Duration| {
        let at = time::OffsetDateTime::from(SystemTime::now() - ago);
        at.format(&time::format_description::well_known::Rfc3339).unwrap()
    };
    let line = |what: &str| format!("{} DEBUG rockflow::beside::dissemination: {what}", stamp(ms(0)));
    let (at, effect) =
        watch::effect(&line("purges in effect objects=00000000000000ff,0000000000000001")).unwrap();
    assert!(at >= since - ms(1) && at <= Instant::now(), "{:?}", since.elapsed());
    let two = [255, 1].map(|id| (Purge::object(id), Duration::ZERO)).to_vec();
    assert_eq!(effect, Effect::Purges(two));
    let (_, effect) = watch::effect(&line("purges in effect objects= wider_seconds=1.5")).unwrap();
    assert_eq!(effect, Effect::Purges(vec![(Purge::Everything, ms(1500))]));
    let (_, effect) = watch::effect(&line("marks in effect hosts=h1,h2")).unwrap();
    assert_eq!(effect, Effect::Changes(vec!["h1".to_string(), "h2".to_string()]));
    assert_eq!(watch::effect(&line("the fleet's marks marks=1 changed=1")), None);
}

#[test]
fn a_line_of_control_says_what_is_everywhere() {
    let line = "2026-01-01T00:00:00Z  INFO rockflow::control: everywhere control=2 kind=Purges number=17 seconds=1.25";
    let said = watch::parse_convergence_report(4, line).unwrap();
    assert_eq!((said.by, said.control, said.purges, said.number), (4, 2, true, 17));
    assert_eq!(said.after, Duration::from_millis(1250));
    let other = "2026-01-01T00:00:00Z  WARN rockflow::control: not in force everywhere told=7 present=6";
    assert_eq!(watch::parse_convergence_report(4, other), None);
}
