//! The updates that a subscriber is sent, and when, on a virtual clock.

use rockflow_management::{Subscription, Trigger, Update};
use rockflow_yang::{data, json, DataTree, NodeScope, Pattern, Schema};
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn overrides(schema: &Schema, marks: &[(&str, &str)]) -> DataTree {
    let marks: Vec<_> =
        marks.iter().map(|(host, reason)| serde_json::json!({"host": host, "reason": reason})).collect();
    let value = serde_json::json!({"rockflow-router:router": {"marks": {"mark": marks}}});
    json::read(schema, None, &value, NodeScope::ConfigOnly).unwrap()
}

fn on_change_subscription(schema: &Schema, dampening: u64, heartbeat: Option<u64>) -> Subscription {
    let pattern = Pattern::parse(schema, "/router/marks/mark[host=*]/reason").unwrap();
    let trigger = Trigger::OnChange { dampening: at(dampening), heartbeat: heartbeat.map(at) };
    Subscription::new(vec![pattern], trigger, false, at(0))
}

/// The number of changed values in an update, and the number of earlier changes that they replaced.
fn change_counts(update: Option<Update>) -> (usize, u32) {
    match update {
        Some(Update::Changes(changes)) => {
            (changes.len(), changes.values().map(|change| change.coalesced).sum())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn sends_snapshot_then_changes_no_more_often_than_the_dampening() {
    let schema = Schema::published();
    let mut subscription = on_change_subscription(&schema, 100, None);
    let (first, second, third) = (
        overrides(&schema, &[("c1", "a")]),
        overrides(&schema, &[("c1", "b")]),
        overrides(&schema, &[("c1", "c")]),
    );
    assert!(
        matches!(subscription.take_update(at(1), || first.clone()), Some(Update::Snapshot(values)) if values.len() == 1)
    );
    assert_eq!(subscription.next_due(), None);
    // Two changes of one value within the dampening period are sent as one, with a count of the replaced one.
    subscription.record_changes(&data::diff(&first, &second));
    assert_eq!(subscription.next_due(), Some(at(101)));
    assert!(subscription.take_update(at(50), DataTree::new).is_none());
    subscription.record_changes(&data::diff(&second, &third));
    assert_eq!(change_counts(subscription.take_update(at(101), DataTree::new)), (1, 1));
    // Changes outside the subscription cause no update.
    subscription.record_changes(&data::diff(&overrides(&schema, &[]), &DataTree::new()));
    assert_eq!(subscription.next_due(), None);
}

#[test]
fn heartbeat_sends_snapshot_where_nothing_changes() {
    let schema = Schema::published();
    let mut subscription = on_change_subscription(&schema, 0, Some(1000));
    let values = overrides(&schema, &[("c1", "a")]);
    subscription.take_update(at(0), || values.clone());
    assert_eq!(subscription.next_due(), Some(at(1000)));
    assert!(matches!(subscription.take_update(at(1000), || values), Some(Update::Snapshot(_))));
    assert_eq!(subscription.next_due(), Some(at(2000)));
}

#[test]
fn slow_reader_gets_snapshot_when_too_many_paths_have_unsent_changes() {
    let schema = Schema::published();
    let mut subscription = on_change_subscription(&schema, 10, None);
    subscription.take_update(at(0), DataTree::new);
    let max_unsent = rockflow_management::subscription::MAX_UNSENT_CHANGES;
    for start in (0..max_unsent + 10).step_by(1000) {
        let names: Vec<_> = (start..start + 1000).map(|number| format!("c{number}")).collect();
        let marks: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        subscription.record_changes(&data::diff(&DataTree::new(), &overrides(&schema, &marks)));
    }
    assert!(matches!(subscription.take_update(at(20), DataTree::new), Some(Update::Snapshot(_))));
}

#[test]
fn periodic_updates_keep_their_schedule_and_suppress_unchanged_values() {
    let schema = Schema::published();
    let pattern = Pattern::parse(&schema, "/router/marks").unwrap();
    let trigger = Trigger::Periodic { period: at(100), suppress: true, heartbeat: Some(at(300)) };
    let mut subscription = Subscription::new(vec![pattern], trigger, false, at(0));
    let first = overrides(&schema, &[("c1", "a"), ("c2", "b")]);
    let second = overrides(&schema, &[("c1", "z")]);
    assert!(matches!(subscription.take_update(at(0), || first.clone()), Some(Update::Snapshot(_))));
    assert!(subscription.take_update(at(130), || first.clone()).is_none());
    assert_eq!(subscription.next_due(), Some(at(200)));
    // The reason of c1 has changed, and the two leaves of c2 are deleted.
    assert_eq!(change_counts(subscription.take_update(at(200), || second.clone())), (3, 0));
    assert!(matches!(subscription.take_update(at(300), || second.clone()), Some(Update::Snapshot(_))));
    // After a delay of several periods the missed updates are skipped.
    subscription.take_update(at(900), || second.clone());
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
