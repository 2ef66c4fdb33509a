//! A small fleet whose nodes pause, stop, restart, move to other parents, or receive more than their limits.

mod support;

use rockflow_dissemination::*;
use std::time::Duration;
use support::*;
use test_case::test_case;

/// A member that keeps changing its parent is in the reports of several parents at once. It must count only once, so
/// that no entry is reported as replicated to all while another member is missing.
#[test]
fn moving_member_does_not_count_for_a_missing_one() {
    let mut fleet = settled(30);
    let moving = fleet.index("m-0-0-4");
    let missing = fleet.index("m-0-0-3");
    fleet.kill(missing);
    for object in 0..12 {
        let parent_address = fleet.status(moving).parent.expect("a parent").address;
        let parent = (0..fleet.nodes.len()).find(|index| address(*index) == parent_address);
        let parent = parent.expect("a node at the parent's address");
        fleet.cut = [(parent.min(moving), parent.max(moving))].into();
        let id = fleet.purge(object % 3, object as u64);
        fleet.run(s(2));
        for control in 0..3 {
            assert!(!fleet.everywhere(control, id), "{} is missing", fleet.nodes[missing].name);
        }
    }
}

#[test]
fn unconfirmed_entry_is_not_replicated_to_all() {
    let mut fleet = settled(31);
    let member = fleet.index("m-0-1-1");
    fleet.nodes[member].caller.withholds_confirmations = true;
    let first = fleet.purge(0, 1);
    fleet.run(s(1));
    let second = fleet.purge(0, 2);
    fleet.run(s(6));
    assert_eq!(fleet.purge_count(member, 2), 1);
    assert!(!fleet.everywhere(0, first));
    let lagging = fleet.control(0).lagging;
    assert!(lagging.contains(&("m-0-1-1".to_owned(), first.0, SequenceNumber(0))), "{lagging:?}");
    // The later token is confirmed first, which doesn't count as long as the earlier one is not confirmed.
    let tokens = std::mem::take(&mut fleet.nodes[member].caller.unconfirmed_tokens);
    for token in tokens.into_iter().rev() {
        assert!(!fleet.everywhere(0, first));
        let now = fleet.now;
        let outputs = fleet.nodes[member].node.confirm_applied(now, token);
        fleet.handle_outputs(member, outputs);
    }
    fleet.run(s(4));
    assert!(fleet.everywhere(0, second));
}

#[test]
fn reports_replication_of_entry_that_the_log_has_dropped() {
    let mut fleet = settled(33);
    let member = fleet.index("m-0-1-1");
    fleet.nodes[member].caller.withholds_confirmations = true;
    let id = fleet.purge(0, 1);
    // The log holds purges for the purge window and a quarter of it more.
    fleet.run(s(15));
    fleet.nodes[member].caller.withholds_confirmations = false;
    for token in std::mem::take(&mut fleet.nodes[member].caller.unconfirmed_tokens) {
        let now = fleet.now;
        let outputs = fleet.nodes[member].node.confirm_applied(now, token);
        fleet.handle_outputs(member, outputs);
    }
    fleet.run(s(6));
    for control in 0..3 {
        assert!(fleet.everywhere(control, id), "not replicated to all at control {control}");
        let replicated = &fleet.nodes[control].caller.replicated;
        assert!(
            replicated.iter().any(|(stream, number, ..)| (*stream, *number) == id),
            "control {control}: {replicated:?}"
        );
    }
}

#[test]
fn paused_member_keeps_its_parent() {
    let mut fleet = settled(32);
    let paused = fleet.members().max_by_key(|index| fleet.status(*index).children).expect("a member");
    let parent_changes = fleet.counters(paused).parent_changes;
    let control_pauses = fleet.counters(0).process_pauses;
    fleet.pause(paused);
    fleet.run(s(60));
    fleet.resume(paused);
    assert_eq!(fleet.counters(paused).process_pauses, 1);
    let staleness = fleet.status(paused).staleness.expect("a heartbeat was received");
    assert!(staleness > s(50), "heartbeats from before the pause don't count as fresh: {staleness:?}");
    fleet.run(s(3));
    assert_eq!(fleet.counters(paused).parent_changes, parent_changes, "it keeps its parent");
    assert!(fleet.status(paused).staleness.expect("a heartbeat was received") < s(1));
    fleet.run(s(25));
    assert!(fleet.members().all(|index| fleet.status(index).first_parent));
    assert_eq!(fleet.counters(0).process_pauses, control_pauses);
    assert_eq!(fleet.control(0).present, 12);
}

/// A member stops while a control node is paused. The control node must not count the reports from before its pause, in
/// which that member is present.
#[test]
fn paused_control_node_ignores_reports_from_before_the_pause() {
    let mut fleet = settled(33);
    fleet.pause(1);
    let id = fleet.purge(0, 1);
    let member = fleet.index("m-0-0-1");
    fleet.run(ms(100));
    fleet.kill(member);
    fleet.run(s(60));
    fleet.resume(1);
    assert_eq!(
        fleet.nodes[1].node.publisher_role(fleet.now),
        PublisherRole::Standby,
        "after its own pause it does not assume that the first control node is gone"
    );
    fleet.run(s(10));
    assert!(!fleet.everywhere(1, id));
    assert_eq!(fleet.control(1).missing, ["m-0-0-1"]);
}

#[test]
fn entry_spreads_in_its_region_without_control_nodes() {
    let mut fleet = settled(34);
    let leaf = fleet.index("m-0-0-4");
    // Only the leaf receives the entry before all control nodes stop.
    fleet.drop_rule =
        Some(Box::new(move |_, to, message| to != leaf && matches!(message, Message::Batch { .. })));
    let stream =
        StreamId { control: ControlId(0), kind: StreamKind::Purges, incarnation: Incarnation(INCARNATION) };
    let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(9)) }];
    let batch = Message::Batch { stream, first: SequenceNumber(1), entries };
    let from = fleet.nodes[0].config.identity;
    let now = fleet.now;
    let outputs = fleet.nodes[leaf].node.on_message(now, from, address(0), batch);
    for control in 0..3 {
        fleet.kill(control);
    }
    fleet.handle_outputs(leaf, outputs);
    fleet.run(ms(100));
    fleet.drop_rule = None;
    fleet.run(s(30));
    for index in fleet.members().filter(|index| fleet.nodes[*index].name.starts_with("m-0")) {
        assert_eq!(fleet.purge_count(index, 9), 1, "{}", fleet.nodes[index].name);
    }
}

#[test]
fn control_nodes_recover_settings_after_all_have_restarted() {
    let mut fleet = settled(35);
    fleet.set_desired_state(0, "a", DesiredState::Gone);
    fleet.set_desired_state(1, "b", DesiredState::Draining);
    fleet.run(s(5));
    for control in 0..3 {
        fleet.restart(control, INCARNATION + 100_000);
    }
    fleet.run(s(20));
    for index in 0..fleet.nodes.len() {
        assert_eq!(fleet.status(index).desired.len(), 2, "{}", fleet.nodes[index].name);
    }
    let id = fleet.set_desired_state(0, "a", DesiredState::Listed);
    fleet.run(s(5));
    assert!(fleet.everywhere(0, id));
    assert!(fleet.members().all(|index| fleet.nodes[index].caller.settings.len() == 1));
}

#[test]
fn new_directory_moves_members_without_a_restart() {
    let mut fleet = settled(36);
    let text = csv(2, 3, TWO_REGIONS).replace("m-0-1-2,region0,site-0-1", "m-0-1-2,region1,site-1-1");
    let directory = Directory::parse(&text).expect("a directory");
    for control in 0..3 {
        let now = fleet.now;
        let outputs = fleet.nodes[control].node.set_directory(now, directory.clone());
        fleet.handle_outputs(control, outputs);
    }
    fleet.run(s(12));
    let id = fleet.purge(2, 1);
    fleet.run(s(4));
    assert!(fleet.everywhere(2, id));
    let moved = fleet.status(fleet.index("m-0-1-2"));
    assert_eq!(moved.place.map(|(region, _, slots)| (region, slots)), Some((1, 5)));
    assert_eq!(fleet.control(0).present, 12);
}

#[test]
fn publications_beyond_the_limit_are_replaced_by_a_purge_of_everything() {
    let mut fleet = settled(37);
    let purges =
        (0..20_000).map(|object| Publication::Purge { purge: Purge::object(object), age: Duration::ZERO });
    let published_at = fleet.now;
    let ids = fleet.publish(0, purges.collect());
    assert_eq!(ids.len(), 20_000);
    let counters = fleet.counters(0);
    assert_eq!(counters.publications_folded, 20_000 - MAX_UNSENT_PUBLICATIONS);
    assert_eq!(ids.last().map(|id| id.1), Some(SequenceNumber(MAX_UNSENT_PUBLICATIONS + 1)));
    fleet.run(s(60));
    for index in fleet.members() {
        assert!(fleet.nodes[index].caller.full_purges >= 1);
        for object in (0..20_000).step_by(997) {
            let is_purged = fleet.covered(index, object, published_at);
            assert!(is_purged, "object {object} is not purged at {}", fleet.nodes[index].name);
        }
    }
    assert!(fleet.everywhere(0, ids[ids.len() - 1]));
}

#[test_case(1)]
#[test_case(2)]
fn same_seed_gives_the_same_run(seed: u64) {
    let run = |seed| {
        let mut fleet = settled(seed);
        fleet.loss = 0.1;
        for object in 0..10 {
            fleet.purge(0, object);
            fleet.run(ms(300));
        }
        fleet.run(s(5));
        let members = fleet.members().map(|index| (fleet.status(index), fleet.counters(index)));
        (members.collect::<Vec<_>>(), fleet.bytes)
    };
    assert_eq!(run(seed), run(seed));
}
