//! A small fleet with message loss, failed nodes, partitions, and concurrent or rejected settings.

mod support;

use rockflow_dissemination::*;
use support::*;
use test_case::test_case;

#[test]
fn all_members_join_and_follow_their_first_parent() {
    let fleet = settled(1);
    for index in fleet.members() {
        let status = fleet.status(index);
        assert!(status.place.is_some(), "{} has no place", fleet.nodes[index].name);
        assert!(status.first_parent);
        assert!(status.staleness.expect("a heartbeat") < ms(700), "{:?}", status.staleness);
    }
    for control in 0..3 {
        let status = fleet.control(control);
        assert_eq!((status.expected_members, status.present), (12, 12), "{status:?}");
        assert!(status.missing.is_empty());
    }
}

#[test]
fn purge_is_applied_once_and_reported_as_replicated() {
    let mut fleet = settled(2);
    let id = fleet.purge(0, 7);
    fleet.run(s(3));
    for index in fleet.members() {
        assert_eq!(fleet.purge_count(index, 7), 1, "{}", fleet.nodes[index].name);
        assert_eq!(fleet.nodes[index].caller.full_purges, 0);
    }
    for control in 0..3 {
        assert!(fleet.everywhere(control, id), "{control}");
    }
    let replicated = &fleet.nodes[0].caller.replicated;
    assert_eq!(replicated.len(), 1);
    let (_, _, time_since_publication, _) = replicated[0];
    assert!(time_since_publication < s(3), "{time_since_publication:?}");
    assert!(fleet.largest_message_bytes <= 1400, "{}", fleet.largest_message_bytes);
}

#[test_case(11, 0.05)]
#[test_case(12, 0.2)]
#[test_case(13, 0.4)]
fn applies_each_purge_once_despite_loss_duplicates_and_reordering(seed: u64, loss: f64) {
    let mut fleet = settled(seed);
    fleet.loss = loss;
    fleet.duplication = 0.2;
    fleet.delay = (5, 900);
    let mut published = Vec::new();
    for object in 0..60 {
        let id = fleet.purge((object % 3) as usize, object);
        published.push((object, id, fleet.now));
        fleet.run(ms(150));
    }
    fleet.loss = 0.0;
    fleet.delay = (5, 30);
    fleet.run(s(15));
    for (object, id, published_at) in published {
        for index in fleet.members() {
            assert!(fleet.purge_count(index, object) <= 1, "{object} twice at {}", fleet.nodes[index].name);
            assert!(
                fleet.covered(index, object, published_at),
                "{object} not at {}",
                fleet.nodes[index].name
            );
        }
        assert!(fleet.everywhere(0, id));
    }
}

#[test]
fn members_switch_to_another_parent_when_theirs_fails() {
    let mut fleet = settled(21);
    let parents: Vec<_> =
        fleet.members().map(|index| fleet.status(index).parent.expect("a parent").node).collect();
    let killed = fleet
        .members()
        .find(|index| parents.contains(&fleet.nodes[*index].config.identity.node))
        .expect("a parent");
    fleet.kill(killed);
    let id = fleet.purge(1, 5);
    fleet.run(s(8));
    for index in fleet.members().filter(|index| *index != killed) {
        assert_eq!(fleet.purge_count(index, 5), 1, "{}", fleet.nodes[index].name);
        assert_eq!(fleet.nodes[index].caller.full_purges, 0);
    }
    assert!(!fleet.everywhere(1, id), "the failed member has not applied it");
    let control = fleet.control(1);
    assert_eq!(control.missing, [fleet.nodes[killed].name.clone()]);

    fleet.restart(killed, INCARNATION + 60_000);
    fleet.run(s(25));
    assert!(fleet.everywhere(1, id));
    for index in fleet.members() {
        assert!(
            fleet.status(index).first_parent,
            "{} has not returned to its first parent",
            fleet.nodes[index].name
        );
    }
    assert_eq!(fleet.control(1).present, 12);
}

#[test]
fn heartbeats_reveal_that_the_last_entry_was_lost() {
    let mut fleet = settled(22);
    fleet.purge(0, 1);
    fleet.run(s(2));
    fleet.drop_rule = Some(Box::new(|_, _, message| matches!(message, Message::Batch { .. })));
    fleet.purge(0, 2);
    fleet.run(ms(600));
    fleet.drop_rule = None;
    fleet.run(s(3));
    for index in fleet.members() {
        assert_eq!((fleet.purge_count(index, 1), fleet.purge_count(index, 2)), (1, 1));
        assert_eq!(fleet.nodes[index].caller.full_purges, 0);
    }
}

#[test]
fn applies_entries_ahead_of_a_gap() {
    let mut fleet = settled(23);
    let mut batches = 0;
    fleet.drop_rule = Some(Box::new(move |from, _, message| {
        let is_batch = from == 0 && matches!(message, Message::Batch { .. });
        batches += u64::from(is_batch);
        is_batch && batches <= 4
    }));
    fleet.purge(0, 1);
    fleet.run(ms(520));
    fleet.drop_rule = Some(Box::new(|_, _, message| matches!(message, Message::RepairRequest { .. })));
    fleet.purge(0, 2);
    fleet.run(ms(1000));
    let member = fleet.members().next().expect("a member");
    assert_eq!((fleet.purge_count(member, 1), fleet.purge_count(member, 2)), (0, 1));
    assert_eq!(fleet.status(member).streams[0].applied, SequenceNumber(0));
    fleet.drop_rule = None;
    fleet.run(s(3));
    assert_eq!((fleet.purge_count(member, 1), fleet.purge_count(member, 2)), (1, 1));
    assert_eq!(fleet.status(member).streams[0].applied, SequenceNumber(2));
}

#[test]
fn lost_entries_are_replaced_by_one_full_purge() {
    let mut fleet = settled(24);
    let member = fleet.index("m-1-0-2");
    // The member receives heartbeats, but neither entries nor snapshots.
    fleet.drop_rule = Some(Box::new(move |_, to, message| {
        to == member && matches!(message, Message::Batch { .. } | Message::Snapshot { .. })
    }));
    let published_at = fleet.now;
    let id = fleet.purge(0, 1);
    fleet.run(s(4));
    assert!(!fleet.everywhere(0, id));
    assert_eq!(fleet.nodes[member].caller.full_purges, 0);
    fleet.run(s(4));
    assert_eq!(fleet.nodes[member].caller.full_purges, 1);
    assert!(fleet.covered(member, 1, published_at));
    assert!(fleet.everywhere(0, id));
}

#[test]
fn restarted_member_continues_from_a_snapshot_and_the_log_after_it() {
    let mut fleet = settled(25);
    for object in 0..40 {
        fleet.purge(0, object);
        fleet.run(ms(1000));
    }
    let member = fleet.index("m-0-0-1");
    fleet.restart(member, INCARNATION + 100_000);
    fleet.run(s(4));
    let caller = &fleet.nodes[member].caller;
    let purges = caller.purges.len();
    assert!((5..=14).contains(&purges), "{purges}");
    assert_eq!(
        caller.full_purges, 0,
        "a restarted member has stored nothing that older entries could concern"
    );
    assert_eq!(fleet.status(member).streams[0].applied, SequenceNumber(40));
}

#[test]
fn full_purge_replaces_entries_dropped_during_a_long_partition() {
    let mut fleet = settled(26);
    fleet.purge(0, 1);
    fleet.run(s(2));
    let member = fleet.index("m-0-0-1");
    for other in 0..fleet.nodes.len() {
        fleet.cut.insert((member.min(other), member.max(other)));
    }
    let mut published = Vec::new();
    for object in 10..50 {
        published.push((object, fleet.now));
        fleet.purge(0, object);
        fleet.run(ms(1000));
    }
    fleet.cut.clear();
    fleet.run(s(45));
    let purges = fleet.nodes[member].caller.purges.clone();
    for (object, published_at) in published {
        assert!(fleet.covered(member, object, published_at), "{object}: {purges:?}");
    }
    assert!(fleet.nodes[member].caller.full_purges >= 1);
}

#[test]
fn control_node_with_clock_set_back_continues_under_a_greater_incarnation() {
    let mut fleet = settled(27);
    fleet.purge(0, 1);
    fleet.run(s(3));
    fleet.restart(0, INCARNATION - 1_000_000);
    fleet.purge(0, 2);
    fleet.run(s(10));
    assert!(!fleet.nodes[0].caller.superseded_by.is_empty());
    let incarnation = fleet.nodes[0].config.identity.incarnation;
    assert!(incarnation > Incarnation(INCARNATION));
    let id = fleet.purge(0, 3);
    assert_eq!(id.0.incarnation, incarnation);
    fleet.run(s(5));
    for index in fleet.members() {
        assert_eq!(fleet.purge_count(index, 1), 1);
        assert!(fleet.purge_count(index, 2) >= 1, "{}", fleet.nodes[index].name);
        assert_eq!(fleet.purge_count(index, 3), 1);
        assert_eq!(fleet.nodes[index].caller.full_purges, 0);
    }
    assert!(fleet.everywhere(0, id) && fleet.everywhere(2, id));
}

#[test]
fn more_cautious_of_concurrent_settings_wins() {
    let mut fleet = settled(28);
    // All are published before the next heartbeat, from which the other control nodes learn of them.
    fleet.set_desired_state(0, "a", DesiredState::Gone);
    fleet.set_desired_state(1, "a", DesiredState::Draining);
    fleet.set_desired_state(1, "b", DesiredState::Draining);
    fleet.run(s(8));
    for index in 0..fleet.nodes.len() {
        let desired = fleet.status(index).desired;
        assert_eq!(desired.get("a"), Some(&DesiredState::Gone), "{}", fleet.nodes[index].name);
        assert_eq!(desired.get("b"), Some(&DesiredState::Draining));
        assert_eq!(fleet.status(index).concurrent_settings.len(), 2, "both versions are listed");
    }
    let id = fleet.set_desired_state(2, "a", DesiredState::Listed);
    fleet.run(s(5));
    for index in fleet.members() {
        assert_eq!(fleet.nodes[index].caller.settings.get("a"), None);
        assert!(fleet.status(index).concurrent_settings.is_empty());
    }
    assert!(fleet.everywhere(2, id));
}

#[test]
fn rejected_setting_does_not_block_and_is_retried() {
    let mut fleet = settled(29);
    let member = fleet.index("m-1-0-0");
    fleet.nodes[member].caller.rejected_hosts.insert("a".to_owned());
    let id = fleet.set_desired_state(0, "a", DesiredState::Gone);
    fleet.run(s(5));
    assert!(fleet.everywhere(0, id));
    assert_eq!(fleet.status(member).rejected, [(id.0, id.1, RejectionReason::LastOne)]);
    for control in 0..3 {
        let rejected = fleet.control(control).rejected;
        assert_eq!(rejected, [(id.0, id.1, RejectionReason::LastOne, 1)], "{control}");
    }
    let other = fleet.index("m-1-0-1");
    assert_eq!(fleet.nodes[other].caller.settings.get("a"), Some(&DesiredState::Gone));

    fleet.nodes[member].caller.rejected_hosts.clear();
    fleet.set_desired_state(0, "b", DesiredState::Draining);
    fleet.run(s(5));
    assert!(fleet.status(member).rejected.is_empty());
    assert_eq!(fleet.nodes[member].caller.settings.get("a"), Some(&DesiredState::Gone));
    assert!(fleet.control(0).rejected.is_empty());
}
