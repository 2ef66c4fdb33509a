//! A small fleet whose nodes stand still, end, begin anew, or are given more than they hold.

mod world;

use rockflow_dissemination::*;
use std::time::Duration;
use test_case::test_case;
use world::*;

#[test]
fn a_member_that_moves_does_not_stand_for_one_that_is_missing() {
    let mut world = settled(30);
    let moves = world.index("m-0-0-4");
    let missing = world.index("m-0-0-3");
    world.kill(missing);
    // It changes its parents again and again, and is reported by several.
    for turn in 0..12 {
        let parent = world.status(moves).parent.expect("a parent").address;
        let parent = (0..world.nodes.len()).find(|index| address(*index) == parent).expect("one");
        world.cut = [(parent.min(moves), parent.max(moves))].into();
        let id = world.purge(turn % 3, turn as u64);
        world.run(s(2));
        for control in 0..3 {
            assert!(!world.everywhere(control, id), "without {}", world.nodes[missing].name);
        }
    }
}

#[test]
fn what_the_caller_has_not_confirmed_is_not_everywhere() {
    let mut world = settled(31);
    let member = world.index("m-0-1-1");
    world.nodes[member].done.withholds = true;
    let first = world.purge(0, 1);
    world.run(s(1));
    let second = world.purge(0, 2);
    world.run(s(6));
    assert_eq!(world.times(member, 2), 1);
    assert!(!world.everywhere(0, first));
    let behind = world.control(0).lagging;
    assert!(behind.contains(&("m-0-1-1".to_owned(), first.0, SequenceNumber(0))), "{behind:?}");
    // The later one first: nothing is in force in a row yet.
    let tokens = std::mem::take(&mut world.nodes[member].done.tokens);
    for token in tokens.into_iter().rev() {
        assert!(!world.everywhere(0, first));
        let now = world.now;
        let outputs = world.nodes[member].node.confirm_applied(now, token);
        world.take(member, outputs);
    }
    world.run(s(4));
    assert!(world.everywhere(0, second));
}

#[test]
fn what_is_everywhere_only_after_the_log_has_let_it_go_is_said_all_the_same() {
    let mut world = settled(33);
    let member = world.index("m-0-1-1");
    world.nodes[member].done.withholds = true;
    let id = world.purge(0, 1);
    // Past the window and the quarter for which a log holds more.
    world.run(s(15));
    world.nodes[member].done.withholds = false;
    for token in std::mem::take(&mut world.nodes[member].done.tokens) {
        let now = world.now;
        let outputs = world.nodes[member].node.confirm_applied(now, token);
        world.take(member, outputs);
    }
    world.run(s(6));
    for control in 0..3 {
        assert!(world.everywhere(control, id), "control {control} does not know it");
        let said = &world.nodes[control].done.replicated;
        assert!(
            said.iter().any(|(stream, number, ..)| (*stream, *number) == id),
            "control {control}: {said:?}"
        );
    }
}

#[test]
fn one_that_stood_still_takes_nobody_for_lost() {
    let mut world = settled(32);
    let head = world.members().max_by_key(|index| world.status(*index).children).expect("one");
    let changes = world.counters(head).parent_changes;
    let control = world.counters(0).process_pauses;
    world.stop(head);
    world.run(s(60));
    world.wake(head);
    assert_eq!(world.counters(head).process_pauses, 1);
    let stale = world.status(head).staleness.expect("heard");
    assert!(stale > s(50), "an old pulse isn't passed as fresh: {stale:?}");
    world.run(s(3));
    assert_eq!(world.counters(head).parent_changes, changes, "it stays with its parent");
    assert!(world.status(head).staleness.expect("heard") < s(1));
    world.run(s(25));
    assert!(world.members().all(|index| world.status(index).first_parent));
    assert_eq!(world.counters(0).process_pauses, control);
    assert_eq!(world.control(0).present, 12);
}

#[test]
fn a_control_node_that_stood_still_says_nothing_by_old_reports() {
    let mut world = settled(33);
    world.stop(1);
    let id = world.purge(0, 1);
    let member = world.index("m-0-0-1");
    world.run(ms(100));
    world.kill(member);
    world.run(s(60));
    world.wake(1);
    assert!(!world.nodes[1].node.is_publishing(world.now), "the first is alive as far as it knows");
    world.run(s(10));
    assert!(!world.everywhere(1, id));
    assert_eq!(world.control(1).missing, ["m-0-0-1"]);
}

#[test]
fn without_control_what_one_has_reaches_its_region() {
    let mut world = settled(34);
    let leaf = world.index("m-0-0-4");
    // Only the leaf hears of it before all control nodes end.
    world.eats = Some(Box::new(move |_, to, message| to != leaf && matches!(message, Message::Batch { .. })));
    let stream = StreamId { control: ControlId(0), kind: StreamKind::Purges, incarnation: Incarnation(LIFE) };
    let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(9)) }];
    let batch = Message::Batch { stream, first: SequenceNumber(1), entries };
    let from = world.nodes[0].config.identity;
    let now = world.now;
    let outputs = world.nodes[leaf].node.on_message(now, from, address(0), batch);
    for control in 0..3 {
        world.kill(control);
    }
    world.take(leaf, outputs);
    world.run(ms(100));
    world.eats = None;
    world.run(s(30));
    for index in world.members().filter(|index| world.nodes[*index].name.starts_with("m-0")) {
        assert_eq!(world.times(index, 9), 1, "{}", world.nodes[index].name);
    }
}

#[test]
fn settings_come_back_to_control_nodes_that_have_all_begun_anew() {
    let mut world = settled(35);
    world.want(0, "a", DesiredState::Gone);
    world.want(1, "b", DesiredState::Draining);
    world.run(s(5));
    for control in 0..3 {
        world.restart(control, LIFE + 100_000);
    }
    world.run(s(20));
    for index in 0..world.nodes.len() {
        assert_eq!(world.status(index).desired.len(), 2, "{}", world.nodes[index].name);
    }
    let id = world.want(0, "a", DesiredState::Listed);
    world.run(s(5));
    assert!(world.everywhere(0, id));
    assert!(world.members().all(|index| world.nodes[index].done.settings.len() == 1));
}

#[test]
fn a_new_directory_moves_members_without_a_restart() {
    let mut world = settled(36);
    let text = csv(2, 3, SMALL).replace("m-0-1-2,region0,site-0-1", "m-0-1-2,region1,site-1-1");
    let directory = Directory::parse(&text).expect("a directory");
    for control in 0..3 {
        let now = world.now;
        let outputs = world.nodes[control].node.set_directory(now, directory.clone());
        world.take(control, outputs);
    }
    world.run(s(12));
    let id = world.purge(2, 1);
    world.run(s(4));
    assert!(world.everywhere(2, id));
    let moved = world.status(world.index("m-0-1-2"));
    assert_eq!(moved.place.map(|(region, _, slots)| (region, slots)), Some((1, 5)));
    assert_eq!(world.control(0).present, 12);
}

#[test]
fn more_than_can_wait_is_folded_into_a_purge_of_everything() {
    let mut world = settled(37);
    let many =
        (0..20_000).map(|object| Publication::Purge { purge: Purge::object(object), age: Duration::ZERO });
    let at = world.now;
    let ids = world.publish(0, many.collect());
    assert_eq!(ids.len(), 20_000);
    let counters = world.counters(0);
    assert_eq!(counters.publications_folded, 20_000 - MAX_UNSENT_PUBLICATIONS);
    assert_eq!(ids.last().map(|id| id.1), Some(SequenceNumber(MAX_UNSENT_PUBLICATIONS + 1)));
    world.run(s(60));
    for index in world.members() {
        assert!(world.nodes[index].done.floors >= 1);
        for object in (0..20_000).step_by(997) {
            assert!(world.covered(index, object, at), "{object} at {}", world.nodes[index].name);
        }
    }
    assert!(world.everywhere(0, ids[ids.len() - 1]));
}

#[test_case(1)]
#[test_case(2)]
fn one_seed_is_one_course(seed: u64) {
    let course = |seed| {
        let mut world = settled(seed);
        world.loss = 0.1;
        for object in 0..10 {
            world.purge(0, object);
            world.run(ms(300));
        }
        world.run(s(5));
        let members = world.members().map(|index| (world.status(index), world.counters(index)));
        (members.collect::<Vec<_>>(), world.bytes)
    };
    assert_eq!(course(seed), course(seed));
}
