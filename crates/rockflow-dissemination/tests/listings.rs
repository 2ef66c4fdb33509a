//! What pulses say of the directory, passed on from parent to child.

mod world;

use rockflow_dissemination::*;
use world::*;

fn joins(world: &World) -> u64 {
    world.members().map(|index| world.counters(index).messages_out.join).sum()
}

/// All control nodes begin anew, with a directory of an earlier version.
#[test]
fn after_an_earlier_directory_places_are_not_asked_for_without_end() {
    let regions: &[&[usize]] = &[&[9, 5], &[6]];
    let mut world = World::new(3, regions, 90);
    let later = csv(7, 3, regions).replace("m-0-1-2,region0,site-0-1", "m-0-1-2,region1,site-1-0");
    world.directory = Directory::parse(&later).expect("a directory");
    for control in 0..3 {
        let (now, directory) = (world.now, world.directory.clone());
        let outputs = world.nodes[control].node.set_directory(now, directory);
        world.take(control, outputs);
    }
    world.run(s(20));
    world.directory = Directory::parse(&csv(3, 3, regions)).expect("a directory");
    for control in 0..3 {
        world.restart(control, LIFE + 100_000);
    }
    // Places by the earlier one are taken when they are asked for anew, whatever is heard.
    world.run(s(1800));
    for index in world.members() {
        assert_eq!(world.status(index).directory, 3, "{}", world.nodes[index].name);
    }
    let before = joins(&world);
    world.run(s(60));
    let asked = joins(&world) - before;
    assert!(asked <= world.members().len() as u64, "{asked} in 60 s");
}

/// One pulse of the parent names a directory without end.
#[test]
fn a_directory_without_end_in_one_pulse_is_forgotten_with_the_next() {
    let mut world = World::new(3, &[&[9, 5], &[6]], 91);
    world.run(s(6));
    for index in world.members() {
        let parent = world.status(index).parent.expect("a parent");
        let (now, me) = (world.now, Identity { node: parent.node, incarnation: Incarnation(LIFE) });
        let pulse = Message::Heartbeat {
            staleness_ms: 0,
            directory_version: u64::MAX,
            listing_hash: 1,
            tips: Vec::new(),
            settings_digest: None,
        };
        let outputs = world.nodes[index].node.on_message(now, me, parent.address, pulse);
        world.take(index, outputs);
    }
    world.run(s(10));
    let before = joins(&world);
    world.run(s(60));
    let asked = joins(&world) - before;
    assert!(asked <= world.members().len() as u64, "{asked} in 60 s");
}
