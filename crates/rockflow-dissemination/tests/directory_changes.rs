//! What heartbeats say of the directory, passed on from parent to child.

mod support;

use rockflow_dissemination::*;
use support::*;

fn joins(fleet: &Fleet) -> u64 {
    fleet.members().map(|index| fleet.counters(index).messages_out.join).sum()
}

/// All control nodes restart with a directory of an earlier version.
#[test]
fn earlier_directory_does_not_cause_endless_joins() {
    let regions: &[&[usize]] = &[&[9, 5], &[6]];
    let mut fleet = Fleet::new(3, regions, 90);
    let later = csv(7, 3, regions).replace("m-0-1-2,region0,site-0-1", "m-0-1-2,region1,site-1-0");
    fleet.directory = Directory::parse(&later).expect("a directory");
    for control in 0..3 {
        let (now, directory) = (fleet.now, fleet.directory.clone());
        let outputs = fleet.nodes[control].node.set_directory(now, directory);
        fleet.handle_outputs(control, outputs);
    }
    fleet.run(s(20));
    fleet.directory = Directory::parse(&csv(3, 3, regions)).expect("a directory");
    for control in 0..3 {
        fleet.restart(control, INCARNATION + 100_000);
    }
    // Places of the earlier directory are accepted at the next join.
    fleet.run(s(1800));
    for index in fleet.members() {
        assert_eq!(fleet.status(index).directory, 3, "{}", fleet.nodes[index].name);
    }
    let before = joins(&fleet);
    fleet.run(s(60));
    let asked = joins(&fleet) - before;
    assert!(asked <= fleet.members().len() as u64, "{asked} in 60 s");
}

/// One heartbeat of the parent has an absurd directory version.
#[test]
fn absurd_directory_version_is_forgotten_with_the_next_heartbeat() {
    let mut fleet = Fleet::new(3, &[&[9, 5], &[6]], 91);
    fleet.run(s(6));
    for index in fleet.members() {
        let parent = fleet.status(index).parent.expect("a parent");
        let (now, me) = (fleet.now, Identity { node: parent.node, incarnation: Incarnation(INCARNATION) });
        let pulse = Message::Heartbeat {
            staleness_ms: 0,
            directory_version: u64::MAX,
            listing_hash: 1,
            tips: Vec::new(),
            settings_digest: None,
        };
        let outputs = fleet.nodes[index].node.on_message(now, me, parent.address, pulse);
        fleet.handle_outputs(index, outputs);
    }
    fleet.run(s(10));
    let before = joins(&fleet);
    fleet.run(s(60));
    let asked = joins(&fleet) - before;
    assert!(asked <= fleet.members().len() as u64, "{asked} in 60 s");
}
