//! What a follower is owed, on a virtual clock.

use rockflow_management::{Subscription, Trigger, Update};
use rockflow_yang::{data, json, DataTree, NodeScope, Pattern, Schema};
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tree(schema: &Schema, marks: &[(&str, &str)]) -> DataTree {
    let marks: Vec<_> =
        marks.iter().map(|(host, why)| serde_json::json!({"host": host, "reason": why})).collect();
    let value = serde_json::json!({"rockflow-router:router": {"marks": {"mark": marks}}});
    json::read(schema, None, &value, NodeScope::ConfigOnly).unwrap()
}

fn on_change(schema: &Schema, dampening: u64, heartbeat: Option<u64>) -> Subscription {
    let pattern = Pattern::parse(schema, "/router/marks/mark[host=*]/reason").unwrap();
    let trigger = Trigger::OnChange { dampening: at(dampening), heartbeat: heartbeat.map(at) };
    Subscription::new(vec![pattern], trigger, false, at(0))
}

fn changed(update: Option<Update>) -> (usize, u32) {
    match update {
        Some(Update::Changes(changes)) => {
            (changes.len(), changes.values().map(|changed| changed.coalesced).sum())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_picture_then_changes_no_more_often_than_told() {
    let schema = Schema::published();
    let mut follower = on_change(&schema, 100, None);
    let (one, two, three) =
        (tree(&schema, &[("c1", "a")]), tree(&schema, &[("c1", "b")]), tree(&schema, &[("c1", "c")]));
    assert!(matches!(follower.take(at(1), || one.clone()), Some(Update::Snapshot(all)) if all.len() == 1));
    assert_eq!(follower.due(), None);
    // Two changes of the same value within the dampening are one, and it says so.
    follower.offer(&data::diff(&one, &two));
    assert_eq!(follower.due(), Some(at(101)));
    assert!(follower.take(at(50), DataTree::new).is_none());
    follower.offer(&data::diff(&two, &three));
    assert_eq!(changed(follower.take(at(101), DataTree::new)), (1, 1));
    // What it does not follow is not owed.
    follower.offer(&data::diff(&tree(&schema, &[]), &DataTree::new()));
    assert_eq!(follower.due(), None);
}

#[test]
fn a_heartbeat_tells_the_whole_where_nothing_changes() {
    let schema = Schema::published();
    let mut follower = on_change(&schema, 0, Some(1000));
    let one = tree(&schema, &[("c1", "a")]);
    follower.take(at(0), || one.clone());
    assert_eq!(follower.due(), Some(at(1000)));
    assert!(matches!(follower.take(at(1000), || one), Some(Update::Snapshot(_))));
    assert_eq!(follower.due(), Some(at(2000)));
}

#[test]
fn one_that_never_reads_is_owed_the_whole_in_place_of_more_than_the_cap() {
    let schema = Schema::published();
    let mut follower = on_change(&schema, 10, None);
    follower.take(at(0), DataTree::new);
    let most = rockflow_management::subscription::MAX_WAITING;
    for start in (0..most + 10).step_by(1000) {
        let names: Vec<_> = (start..start + 1000).map(|number| format!("c{number}")).collect();
        let marks: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        follower.offer(&data::diff(&DataTree::new(), &tree(&schema, &marks)));
    }
    assert!(matches!(follower.take(at(20), DataTree::new), Some(Update::Snapshot(_))));
}

#[test]
fn periods_keep_their_places_and_may_leave_out_what_stays() {
    let schema = Schema::published();
    let pattern = Pattern::parse(&schema, "/router/marks").unwrap();
    let trigger = Trigger::Periodic { period: at(100), suppress: true, heartbeat: Some(at(300)) };
    let mut follower = Subscription::new(vec![pattern], trigger, false, at(0));
    let one = tree(&schema, &[("c1", "a"), ("c2", "b")]);
    let two = tree(&schema, &[("c1", "z")]);
    assert!(matches!(follower.take(at(0), || one.clone()), Some(Update::Snapshot(_))));
    assert!(follower.take(at(130), || one.clone()).is_none());
    assert_eq!(follower.due(), Some(at(200)));
    // One changed; the other's two leaves are gone.
    assert_eq!(changed(follower.take(at(200), || two.clone())), (3, 0));
    assert!(matches!(follower.take(at(300), || two.clone()), Some(Update::Snapshot(_))));
    // Long late: what was missed is not made up for.
    follower.take(at(900), || two.clone());
    assert_eq!(follower.due(), Some(at(1000)));
}

#[test]
fn updates_only_owes_no_picture_at_the_start() {
    let schema = Schema::published();
    let pattern = Pattern::parse(&schema, "/router/marks").unwrap();
    let trigger = Trigger::OnChange { dampening: at(0), heartbeat: None };
    let mut follower = Subscription::new(vec![pattern], trigger, true, at(0));
    assert!(follower.take(at(5), DataTree::new).is_none());
    follower.offer(&data::diff(&DataTree::new(), &tree(&schema, &[("c1", "a")])));
    assert_eq!(changed(follower.take(at(6), DataTree::new)), (2, 0));
}
