//! What a subscriber is sent, on a virtual clock.

use rockflow_management::{Subscription, Trigger, Update};
use rockflow_yang::{data, json, DataTree, NodeScope, Pattern, Schema};
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn overrides(schema: &Schema, marks: &[(&str, &str)]) -> DataTree {
    let marks: Vec<_> =
        marks.iter().map(|(host, why)| serde_json::json!({"host": host, "reason": why})).collect();
    let value = serde_json::json!({"rockflow-router:router": {"marks": {"mark": marks}}});
    json::read(schema, None, &value, NodeScope::ConfigOnly).unwrap()
}

fn on_change_subscription(schema: &Schema, dampening: u64, heartbeat: Option<u64>) -> Subscription {
    let pattern = Pattern::parse(schema, "/router/marks/mark[host=*]/reason").unwrap();
    let trigger = Trigger::OnChange { dampening: at(dampening), heartbeat: heartbeat.map(at) };
    Subscription::new(vec![pattern], trigger, false, at(0))
}

fn change_counts(update: Option<Update>) -> (usize, u32) {
    match update {
        Some(Update::Changes(changes)) => {
            (changes.len(), changes.values().map(|change_counts| change_counts.coalesced).sum())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn sends_snapshot_then_changes_no_more_often_than_the_dampening() {
    let schema = Schema::published();
    let mut subscription = on_change_subscription(&schema, 100, None);
    let (one, two, three) = (
        overrides(&schema, &[("c1", "a")]),
        overrides(&schema, &[("c1", "b")]),
        overrides(&schema, &[("c1", "c")]),
    );
    assert!(
        matches!(subscription.take_update(at(1), || one.clone()), Some(Update::Snapshot(all)) if all.len() == 1)
    );
    assert_eq!(subscription.next_due(), None);
    // Two changes of the same value within the dampening are one, and it says so.
    subscription.record_changes(&data::diff(&one, &two));
    assert_eq!(subscription.next_due(), Some(at(101)));
    assert!(subscription.take_update(at(50), DataTree::new).is_none());
    subscription.record_changes(&data::diff(&two, &three));
    assert_eq!(change_counts(subscription.take_update(at(101), DataTree::new)), (1, 1));
    // What it does not follow is not owed.
    subscription.record_changes(&data::diff(&overrides(&schema, &[]), &DataTree::new()));
    assert_eq!(subscription.next_due(), None);
}

#[test]
fn heartbeat_sends_snapshot_where_nothing_changes() {
    let schema = Schema::published();
    let mut subscription = on_change_subscription(&schema, 0, Some(1000));
    let one = overrides(&schema, &[("c1", "a")]);
    subscription.take_update(at(0), || one.clone());
    assert_eq!(subscription.next_due(), Some(at(1000)));
    assert!(matches!(subscription.take_update(at(1000), || one), Some(Update::Snapshot(_))));
    assert_eq!(subscription.next_due(), Some(at(2000)));
}

#[test]
fn slow_reader_gets_snapshot_in_place_of_more_changes_than_may_wait() {
    let schema = Schema::published();
    let mut subscription = on_change_subscription(&schema, 10, None);
    subscription.take_update(at(0), DataTree::new);
    let most = rockflow_management::subscription::MAX_WAITING;
    for start in (0..most + 10).step_by(1000) {
        let names: Vec<_> = (start..start + 1000).map(|number| format!("c{number}")).collect();
        let marks: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        subscription.record_changes(&data::diff(&DataTree::new(), &overrides(&schema, &marks)));
    }
    assert!(matches!(subscription.take_update(at(20), DataTree::new), Some(Update::Snapshot(_))));
}

#[test]
fn periods_stay_on_their_grid_and_suppress_unchanged_values() {
    let schema = Schema::published();
    let pattern = Pattern::parse(&schema, "/router/marks").unwrap();
    let trigger = Trigger::Periodic { period: at(100), suppress: true, heartbeat: Some(at(300)) };
    let mut subscription = Subscription::new(vec![pattern], trigger, false, at(0));
    let one = overrides(&schema, &[("c1", "a"), ("c2", "b")]);
    let two = overrides(&schema, &[("c1", "z")]);
    assert!(matches!(subscription.take_update(at(0), || one.clone()), Some(Update::Snapshot(_))));
    assert!(subscription.take_update(at(130), || one.clone()).is_none());
    assert_eq!(subscription.next_due(), Some(at(200)));
    // One changed; the other's two leaves are gone.
    assert_eq!(change_counts(subscription.take_update(at(200), || two.clone())), (3, 0));
    assert!(matches!(subscription.take_update(at(300), || two.clone()), Some(Update::Snapshot(_))));
    // Long late: what was missed is not made up for.
    subscription.take_update(at(900), || two.clone());
    assert_eq!(subscription.next_due(), Some(at(1000)));
}

#[test]
fn updates_only_sends_no_snapshot_at_the_start() {
    let schema = Schema::published();
    let pattern = Pattern::parse(&schema, "/router/marks").unwrap();
    let trigger = Trigger::OnChange { dampening: at(0), heartbeat: None };
    let mut subscription = Subscription::new(vec![pattern], trigger, true, at(0));
    assert!(subscription.take_update(at(5), DataTree::new).is_none());
    subscription.record_changes(&data::diff(&DataTree::new(), &overrides(&schema, &[("c1", "a")])));
    assert_eq!(change_counts(subscription.take_update(at(6), DataTree::new)), (2, 0));
}
