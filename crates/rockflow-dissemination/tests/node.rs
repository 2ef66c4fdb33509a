//! Scenarios of a small fleet.

mod world;

use rockflow_dissemination::*;
use test_case::test_case;
use world::*;

#[test]
fn all_join_and_follow() {
    let world = settled(1);
    for index in world.members() {
        let status = world.status(index);
        assert!(status.place.is_some(), "{} has no place", world.nodes[index].name);
        assert!(status.first_parent);
        assert!(status.staleness.expect("heard") < ms(700), "{:?}", status.staleness);
    }
    for control in 0..3 {
        let status = world.control(control);
        assert_eq!((status.expected_members, status.present), (12, 12), "{status:?}");
        assert!(status.missing.is_empty());
    }
}

#[test]
fn a_purge_is_in_effect_once_and_known_to_be_everywhere() {
    let mut world = settled(2);
    let id = world.purge(0, 7);
    world.run(s(3));
    for index in world.members() {
        assert_eq!(world.times(index, 7), 1, "{}", world.nodes[index].name);
        assert_eq!(world.nodes[index].done.floors, 0);
    }
    for control in 0..3 {
        assert!(world.everywhere(control, id), "{control}");
    }
    let replicated = &world.nodes[0].done.replicated;
    assert_eq!(replicated.len(), 1);
    assert!(replicated[0].2 < s(3), "{:?}", replicated[0].2);
    assert!(world.largest <= 1400, "{}", world.largest);
}

#[test_case(11, 0.05)]
#[test_case(12, 0.2)]
#[test_case(13, 0.4)]
fn with_loss_doubles_and_disorder_each_is_in_effect_once(seed: u64, loss: f64) {
    let mut world = settled(seed);
    world.loss = loss;
    world.doubled = 0.2;
    world.delay = (5, 900);
    let mut published = Vec::new();
    for object in 0..60 {
        let id = world.purge((object % 3) as usize, object);
        published.push((object, id, world.now));
        world.run(ms(150));
    }
    world.loss = 0.0;
    world.delay = (5, 30);
    world.run(s(15));
    for (object, id, at) in published {
        for index in world.members() {
            assert!(world.times(index, object) <= 1, "{object} twice at {}", world.nodes[index].name);
            assert!(world.covered(index, object, at), "{object} not at {}", world.nodes[index].name);
        }
        assert!(world.everywhere(0, id));
    }
}

#[test]
fn a_killed_head_is_passed_by_and_left_out() {
    let mut world = settled(21);
    let parents: Vec<_> =
        world.members().map(|index| world.status(index).parent.expect("one").node).collect();
    let head = world
        .members()
        .find(|index| parents.contains(&world.nodes[*index].config.identity.node))
        .expect("a parent");
    world.kill(head);
    let id = world.purge(1, 5);
    world.run(s(8));
    for index in world.members().filter(|index| *index != head) {
        assert_eq!(world.times(index, 5), 1, "{}", world.nodes[index].name);
        assert_eq!(world.nodes[index].done.floors, 0);
    }
    assert!(!world.everywhere(1, id), "one is missing");
    let control = world.control(1);
    assert_eq!(control.missing, [world.nodes[head].name.clone()]);

    world.restart(head, LIFE + 60_000);
    world.run(s(25));
    assert!(world.everywhere(1, id));
    for index in world.members() {
        assert!(world.status(index).first_parent, "{} is on a backup", world.nodes[index].name);
    }
    assert_eq!(world.control(1).present, 12);
}

#[test]
fn a_lost_tail_is_found_by_pulses() {
    let mut world = settled(22);
    world.purge(0, 1);
    world.run(s(2));
    world.eats = Some(Box::new(|_, _, message| matches!(message, Message::Batch { .. })));
    world.purge(0, 2);
    world.run(ms(600));
    world.eats = None;
    world.run(s(3));
    for index in world.members() {
        assert_eq!((world.times(index, 1), world.times(index, 2)), (1, 1));
        assert_eq!(world.nodes[index].done.floors, 0);
    }
}

#[test]
fn what_is_ahead_of_a_gap_is_in_effect_before_it() {
    let mut world = settled(23);
    let mut batches = 0;
    world.eats = Some(Box::new(move |from, _, message| {
        let batch = from == 0 && matches!(message, Message::Batch { .. });
        batches += u64::from(batch);
        batch && batches <= 4
    }));
    world.purge(0, 1);
    world.run(ms(520));
    world.eats = Some(Box::new(|_, _, message| matches!(message, Message::RepairRequest { .. })));
    world.purge(0, 2);
    world.run(ms(1000));
    let member = world.members().next().expect("one");
    assert_eq!((world.times(member, 1), world.times(member, 2)), (0, 1));
    assert_eq!(world.status(member).streams[0].applied, SequenceNumber(0));
    world.eats = None;
    world.run(s(3));
    assert_eq!((world.times(member, 1), world.times(member, 2)), (1, 1));
    assert_eq!(world.status(member).streams[0].applied, SequenceNumber(2));
}

#[test]
fn what_nobody_brings_is_given_up_for_one_floor() {
    let mut world = settled(24);
    let member = world.index("m-1-0-2");
    // No batch reaches it, but the pulses do.
    world.eats = Some(Box::new(move |_, to, message| {
        to == member && matches!(message, Message::Batch { .. } | Message::Snapshot { .. })
    }));
    let at = world.now;
    let id = world.purge(0, 1);
    world.run(s(4));
    assert!(!world.everywhere(0, id));
    assert_eq!(world.nodes[member].done.floors, 0);
    world.run(s(4));
    assert_eq!(world.nodes[member].done.floors, 1);
    assert!(world.covered(member, 1, at));
    assert!(world.everywhere(0, id));
}

#[test]
fn a_member_that_begins_takes_a_snapshot_and_the_log_behind_it() {
    let mut world = settled(25);
    for object in 0..40 {
        world.purge(0, object);
        world.run(ms(1000));
    }
    let member = world.index("m-0-0-1");
    world.restart(member, LIFE + 100_000);
    world.run(s(4));
    let done = &world.nodes[member].done;
    let purges = done.purges.len();
    assert!((5..=14).contains(&purges), "{purges}");
    assert_eq!(done.floors, 0, "what is before the log binds nobody");
    assert_eq!(world.status(member).streams[0].applied, SequenceNumber(40));
}

#[test]
fn who_was_cut_off_for_long_takes_a_floor_for_what_is_no_longer_held() {
    let mut world = settled(26);
    world.purge(0, 1);
    world.run(s(2));
    let member = world.index("m-0-0-1");
    for other in 0..world.nodes.len() {
        world.cut.insert((member.min(other), member.max(other)));
    }
    let mut published = Vec::new();
    for object in 10..50 {
        published.push((object, world.now));
        world.purge(0, object);
        world.run(ms(1000));
    }
    world.cut.clear();
    world.run(s(45));
    let purges = world.nodes[member].done.purges.clone();
    for (object, at) in published {
        assert!(world.covered(member, object, at), "{object}: {purges:?}");
    }
    assert!(world.nodes[member].done.floors >= 1);
}

#[test]
fn a_control_node_whose_clock_was_set_back_begins_above() {
    let mut world = settled(27);
    world.purge(0, 1);
    world.run(s(3));
    world.restart(0, LIFE - 1_000_000);
    world.purge(0, 2);
    world.run(s(10));
    assert!(!world.nodes[0].done.outlived.is_empty());
    let life = world.nodes[0].config.identity.incarnation;
    assert!(life > Incarnation(LIFE));
    let id = world.purge(0, 3);
    assert_eq!(id.0.incarnation, life);
    world.run(s(5));
    for index in world.members() {
        assert_eq!(world.times(index, 1), 1);
        assert!(world.times(index, 2) >= 1, "{}", world.nodes[index].name);
        assert_eq!(world.times(index, 3), 1);
        assert_eq!(world.nodes[index].done.floors, 0);
    }
    assert!(world.everywhere(0, id) && world.everywhere(2, id));
}

#[test]
fn of_settings_that_did_not_know_of_each_other_the_more_careful_holds() {
    let mut world = settled(28);
    // All before the next pulse, by which the control nodes hear of it.
    world.want(0, "a", DesiredState::Gone);
    world.want(1, "a", DesiredState::Draining);
    world.want(1, "b", DesiredState::Draining);
    world.run(s(8));
    for index in 0..world.nodes.len() {
        let desired = world.status(index).desired;
        assert_eq!(desired.get("a"), Some(&DesiredState::Gone), "{}", world.nodes[index].name);
        assert_eq!(desired.get("b"), Some(&DesiredState::Draining));
        assert_eq!(world.status(index).concurrent_settings.len(), 2, "both are shown");
    }
    let id = world.want(2, "a", DesiredState::Listed);
    world.run(s(5));
    for index in world.members() {
        assert_eq!(world.nodes[index].done.settings.get("a"), None);
        assert!(world.status(index).concurrent_settings.is_empty());
    }
    assert!(world.everywhere(2, id));
}

#[test]
fn a_refused_setting_holds_nothing_back_and_is_judged_again() {
    let mut world = settled(29);
    let member = world.index("m-1-0-0");
    world.nodes[member].done.refuse.insert("a".to_owned());
    let id = world.want(0, "a", DesiredState::Gone);
    world.run(s(5));
    assert!(world.everywhere(0, id));
    assert_eq!(world.status(member).rejected, [(id.0, id.1, RejectionReason::LastOne)]);
    for control in 0..3 {
        let refused = world.control(control).rejected;
        assert_eq!(refused, [(id.0, id.1, RejectionReason::LastOne, 1)], "{control}");
    }
    let other = world.index("m-1-0-1");
    assert_eq!(world.nodes[other].done.settings.get("a"), Some(&DesiredState::Gone));

    world.nodes[member].done.refuse.clear();
    world.want(0, "b", DesiredState::Draining);
    world.run(s(5));
    assert!(world.status(member).rejected.is_empty());
    assert_eq!(world.nodes[member].done.settings.get("a"), Some(&DesiredState::Gone));
    assert!(world.control(0).rejected.is_empty());
}
