//! Changes of the directory, which members learn from heartbeats that parents pass on.

mod support;

use rockflow_dissemination::*;
use support::*;

/// Number of join messages that all members have sent.
fn joins_sent(fleet: &Fleet) -> u64 {
    fleet.members().map(|index| fleet.counters(index).messages_out.join).sum()
}

/// All control nodes restart with an earlier directory. Members still know the later version, and must not keep sending
/// joins because of it.
#[test]
fn earlier_directory_does_not_cause_endless_joins() {
    let regions: &[&[usize]] = &[&[9, 5], &[6]];
    let mut fleet = Fleet::new(3, regions, 90);
    let later_directory = csv(7, 3, regions).replace("m-0-1-2,region0,site-0-1", "m-0-1-2,region1,site-1-0");
    fleet.directory = Directory::parse(&later_directory).expect("a directory");
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
    // Members accept placements by the earlier directory at their next join.
    fleet.run(s(1800));
    for index in fleet.members() {
        assert_eq!(fleet.status(index).directory, 3, "{}", fleet.nodes[index].name);
    }
    let joins_before = joins_sent(&fleet);
    fleet.run(s(60));
    let new_joins = joins_sent(&fleet) - joins_before;
    assert!(new_joins <= fleet.members().len() as u64, "{new_joins} joins in 60 s");
}

/// One heartbeat of the parent has an impossible directory version.
#[test]
fn absurd_directory_version_is_forgotten_with_the_next_heartbeat() {
    let mut fleet = Fleet::new(3, &[&[9, 5], &[6]], 91);
    fleet.run(s(6));
    for index in fleet.members() {
        let parent = fleet.status(index).parent.expect("a parent");
        let now = fleet.now;
        let sender = Identity { node: parent.node, incarnation: Incarnation(INCARNATION) };
        let heartbeat = Message::Heartbeat {
            staleness_ms: 0,
            directory_version: u64::MAX,
            listing_hash: 1,
            tips: Vec::new(),
            settings_digest: None,
        };
        let outputs = fleet.nodes[index].node.on_message(now, sender, parent.address, heartbeat);
        fleet.handle_outputs(index, outputs);
    }
    fleet.run(s(10));
    let joins_before = joins_sent(&fleet);
    fleet.run(s(60));
    let new_joins = joins_sent(&fleet) - joins_before;
    assert!(new_joins <= fleet.members().len() as u64, "{new_joins} joins in 60 s");
}
