//! Dissemination among real processes under faults: killed processes, cut paths, lost and late datagrams, wrong clocks.
//! The fleets run one at a time.
#![cfg(feature = "dissemination")]

mod test_fleet;

use rockflow_dissemination::{Directory, Identity, Incarnation, NodeId, Output, Peer};
use rockflow_process_harness::datagrams::{MemberSet, PathConditions, Rule};
use rockflow_process_harness::wait_until;
use rockflow_transport::dissemination::{AddressScope, Command, FrameCodec, Handle, NodeOptions};
use serde_json::json;
use std::time::Duration;
use test_case::test_case;
use test_fleet::*;

/// A control node that was killed right after its first entry numbers the next one 1 as well. Guards against counting
/// the two as one entry.
#[test]
fn highest_numbers_add_up_over_the_incarnations_of_a_control_node() {
    let line = |incarnation: u64, number: u64| {
        format!(
            "INFO everywhere control=0 kind=Purges number={number} seconds=0.1 incarnation={incarnation}\n"
        )
    };
    let log: String = [line(7, 1), line(9, 1), line(9, 2), line(9, 5)].concat();
    assert_eq!(highest_replicated(&log, "Purges").values().sum::<u64>(), 6);
    assert!(highest_replicated(&log, "Configuration").is_empty());
}

#[test]
fn no_dispatcher_serves_a_purged_copy() {
    let mut fleet = TestFleet::start();
    let number = fleet.purge_and_wait_for_effect(1);
    fleet.wait_until_replicated(0..2);
    // Later purges are of other objects: the copies filled since the first purge stay.
    fleet.publish_purges(20);
    fleet.wait_until_replicated(0..2);
    (0..MEMBER_COUNT)
        .for_each(|member| assert_eq!(fleet.request_object(member, number).as_deref(), Ok("copy 2")));
    fleet.assert_no_purge_repeated();
}

#[test]
fn a_relaying_member_killed_in_a_burst_restarts_without_state() {
    let mut fleet = TestFleet::start();
    let root = fleet.root_member();
    fleet.fill_next_objects(0..MEMBER_COUNT, 120);
    for batch in 0..4 {
        fleet.publish_purges(30);
        if batch == 1 {
            fleet.processes.members[root].kill();
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
    let last = fleet.purged_objects;
    for member in fleet.members_except(root) {
        // Purges from before the kill, around it, and after it.
        [last - 100, last - 80, last - 60, last]
            .into_iter()
            .for_each(|number| fleet.wait_for_purge_effect(member, number));
    }
    fleet.processes.start_member(root).unwrap();
    assert!(wait_until(WAIT_TIMEOUT, || fleet.processes.members[root].is_ready()));
    fleet.wait_until_replicated(0..2);
    // The restarted member applies what it missed, and new purges. Its host still has the copies from before the burst.
    fleet.wait_for_purge_effect(root, last);
    fleet.purge_and_wait_for_effect(1);
    fleet.wait_until_replicated(0..2);
    fleet.assert_no_purge_repeated();
}

#[test]
fn a_relaying_member_restarts_without_state_during_a_burst() {
    let mut fleet = TestFleet::start();
    let root = fleet.root_member();
    fleet.fill_next_objects(0..MEMBER_COUNT, 120);
    for batch in 0..4 {
        fleet.publish_purges(30);
        match batch {
            1 => fleet.processes.members[root].kill(),
            2 => fleet.processes.start_member(root).unwrap(),
            _ => std::thread::sleep(HEARTBEAT_INTERVAL),
        }
    }
    let last = fleet.purged_objects;
    for member in fleet.members_except(root) {
        [last - 119, last - 80, last - 45, last]
            .into_iter()
            .for_each(|number| fleet.wait_for_purge_effect(member, number));
    }
    assert!(wait_until(WAIT_TIMEOUT, || fleet.processes.members[root].is_ready()), "{}", fleet.logs());
    fleet.wait_for_purge_effect(root, last);
    fleet.wait_until_replicated(0..2);
    fleet.purge_and_wait_for_effect(1);
    fleet.wait_until_replicated(0..2);
    fleet.assert_no_purge_repeated();
}

#[test]
fn a_site_that_receives_nothing_keeps_serving_and_catches_up() {
    let mut fleet = TestFleet::start();
    fleet.fill_next_objects(0..MEMBER_COUNT, 10);
    let cut_off = site_members(1);
    let rule = fleet.cut_paths(fleet.all_except(cut_off.clone()), fleet.only_members(cut_off.clone()));
    let number = fleet.publish_purges(10);
    site_members(0).for_each(|member| fleet.wait_for_purge_effect(member, number));
    for member in cut_off.clone() {
        assert_eq!(
            fleet.request_object(member, number).as_deref(),
            Ok("copy 1"),
            "n{member} received a purge over a cut path"
        );
    }
    assert!(fleet.replicated_entries(0, "Purges") < number as u64, "{}", fleet.logs());
    fleet.processes.proxy.remove(rule);
    cut_off.for_each(|member| fleet.wait_for_purge_effect(member, number));
    fleet.wait_until_replicated(0..2);
    fleet.assert_no_purge_repeated();
}

#[test]
fn a_site_that_cannot_send_is_not_reported_up_to_date_and_catches_up() {
    let mut fleet = TestFleet::start();
    let cut_off = site_members(1);
    let rule = fleet.cut_paths(fleet.only_members(cut_off.clone()), fleet.all_except(cut_off.clone()));
    // Until the reports that the site sent before have expired.
    std::thread::sleep(STATE_EXPIRY);
    fleet.fill_next_objects(0..MEMBER_COUNT, 10);
    let number = fleet.publish_purges(10);
    site_members(0).for_each(|member| fleet.wait_for_purge_effect(member, number));
    assert!(fleet.replicated_entries(0, "Purges") < number as u64, "{}", fleet.logs());
    fleet.processes.proxy.remove(rule);
    cut_off.for_each(|member| fleet.wait_for_purge_effect(member, number));
    fleet.wait_until_replicated(0..2);
    fleet.assert_no_purge_repeated();
}

#[test]
fn another_control_node_takes_over_when_the_publisher_is_killed_in_a_burst() {
    let mut fleet = TestFleet::start();
    fleet.fill_next_objects(0..MEMBER_COUNT, 90);
    for batch in 0..3 {
        fleet.publish_purges(30);
        if batch == 1 {
            fleet.processes.control[0].kill();
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
    let last = fleet.purged_objects;
    for member in 0..MEMBER_COUNT {
        [last - 80, last - 45, last - 20, last]
            .into_iter()
            .for_each(|number| fleet.wait_for_purge_effect(member, number));
    }
    // The restarted control node has no state, and becomes the publisher again.
    fleet.processes.start_control(0).unwrap();
    fleet.purge_and_wait_for_effect(5);
}

#[test]
fn two_of_six_control_nodes_are_killed_one_after_the_other_while_publishing() {
    let mut fleet = TestFleet::start_with(FleetOptions { control_nodes: 6, ..FleetOptions::default() });
    for killed in 0..2 {
        fleet.fill_next_objects(0..MEMBER_COUNT, 90);
        for batch in 0..3 {
            fleet.publish_purges(30);
            if batch == 1 {
                fleet.processes.control[killed].kill();
            }
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
        let last = fleet.purged_objects;
        for member in 0..MEMBER_COUNT {
            [last - 80, last - 45, last - 20, last]
                .into_iter()
                .for_each(|number| fleet.wait_for_purge_effect(member, number));
        }
    }
    // The remaining control nodes know that the purges are replicated.
    fleet.wait_until_replicated(2..6);
    (0..2).for_each(|control| fleet.processes.start_control(control).unwrap());
    fleet.purge_and_wait_for_effect(5);
    fleet.wait_until_replicated(2..6);
}

#[test]
fn the_stricter_of_two_conflicting_overrides_applies() {
    let mut fleet = TestFleet::start();
    // The control nodes don't receive each other's datagrams, and members don't pass on one's overrides to the other.
    let rules = [
        fleet.cut_paths(MemberSet::One(0), MemberSet::One(1)),
        fleet.cut_paths(MemberSet::One(1), MemberSet::One(0)),
    ];
    fleet.set_overrides_at(0, &[("c2", "draining")]);
    fleet.set_overrides_at(1, &[("c2", "gone")]);
    for member in 0..MEMBER_COUNT {
        fleet.wait_for_state(member, "c2", "Gone");
    }
    rules.into_iter().for_each(|rule| fleet.processes.proxy.remove(rule));
    fleet.purge_and_wait_for_effect(1);
    for member in 0..MEMBER_COUNT {
        let log = fleet.processes.members[member].log();
        let last = log
            .lines()
            .rfind(|line| line.contains("effective") && log_field(line, "endpoint") == Some("\"c2\""));
        assert_eq!(last.and_then(|line| log_field(line, "state")), Some("Gone"), "n{member}");
    }
}

#[test]
fn a_control_node_whose_clock_was_set_back_continues_above_its_earlier_incarnation() {
    let mut fleet = TestFleet::prepare(FleetOptions::default());
    // The earlier incarnation of control node 0, whose clock was an hour ahead. It runs in this process, at the socket
    // address of the control node behind the proxy.
    let peer = |control: usize| Peer {
        node: NodeId::of(&fleet.processes.control[control].name),
        address: fleet.processes.control_address(control),
    };
    let ahead_incarnation = Incarnation(now_unix_ms() + 3_600_000);
    let text =
        std::fs::read_to_string(fleet.processes.layout().folder.join("control-0.directory.csv")).unwrap();
    let options = NodeOptions {
        codec: FrameCodec::new("processes", 2, AddressScope::LoopbackOnly),
        config: rockflow_dissemination::NodeConfig {
            identity: Identity { node: peer(0).node, incarnation: ahead_incarnation },
            control_id: Some(rockflow_dissemination::ControlId(0)),
            control: (0..2).map(peer).collect(),
            seeds: Vec::new(),
            purge_window: PURGE_WINDOW,
            bytes_per_second: 65_536,
            heartbeat_interval: HEARTBEAT_INTERVAL,
        },
        directory: Some(Directory::parse(&text).unwrap()),
        listen: fleet.processes.control[0].socket_address,
        seed: 1,
    };
    let (sender, replicated) = std::sync::mpsc::channel();
    let earlier_node = Handle::start(options, move |_, output| {
        if let Output::ReplicatedToAll { number, .. } = output {
            let _ = sender.send(number);
        }
    });
    let earlier_node = earlier_node.unwrap();
    fleet.processes.start_control(1).unwrap();
    fleet.start_members();
    for number in 1..=3 {
        let purge = rockflow_dissemination::Purge::object(number);
        let publication = rockflow_dissemination::Publication::Purge { purge, age: Duration::ZERO };
        assert!(
            earlier_node.send(Command::Publish { publications: vec![publication], reply: Box::new(|_| {}) })
        );
    }
    let all_replicated =
        std::iter::from_fn(|| replicated.recv_timeout(WAIT_TIMEOUT).ok()).any(|number| number.0 == 3);
    assert!(all_replicated, "{}", fleet.logs());
    assert!(earlier_node.send(Command::Stop));
    assert!(wait_until(WAIT_TIMEOUT, || earlier_node.has_ended()));
    // The process of the control node has a correct clock, so its incarnation is at first lower than the earlier one.
    fleet.processes.start_control(0).unwrap();
    fleet.fill_next_objects(0..MEMBER_COUNT, 30);
    let number = fleet.publish_purges(30);
    for member in 0..MEMBER_COUNT {
        [number - 29, number].into_iter().for_each(|number| fleet.wait_for_purge_effect(member, number));
    }
    let is_superseded = || fleet.processes.control[0].log().contains("begun again above it");
    assert!(wait_until(WAIT_TIMEOUT, is_superseded), "{}", fleet.logs());
    fleet.set_overrides(&[("c2", "draining")]);
    (0..MEMBER_COUNT).for_each(|member| assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1));
}

#[test]
fn a_restarted_control_node_does_not_publish_expired_purges() {
    let mut fleet = TestFleet::prepare(FleetOptions {
        purge_window: Duration::from_secs_f64(8.7),
        ..FleetOptions::default()
    });
    for number in 0..300 {
        fleet.revision += 1;
        let flush = json!({"asset": format!("old-{number}"), "ms": now_unix_ms() - 180_000});
        fleet.control_discovery.publish(json!({"rev": fleet.revision, "flush": flush}));
    }
    fleet.start_all();
    fleet.processes.control[1].kill();
    fleet.processes.start_control(1).unwrap();
    fleet.purge_and_wait_for_effect(3);
    fleet.wait_until_replicated([0]);
    let published = fleet.replicated_entries(0, "Purges");
    // The new purges, each possibly published again by the restarted control node, but none of the 300 old ones.
    assert!(
        published <= 2 * fleet.purged_objects as u64,
        "{published} published, {} announced",
        fleet.purged_objects
    );
}

#[test]
fn a_restarted_publisher_publishes_no_purge_twice() {
    check_no_purge_published_twice_after_restart(0);
}

#[test]
fn a_restarted_standby_control_node_publishes_no_purge_twice() {
    check_no_purge_published_twice_after_restart(1);
}

/// Discovery announces its recent purges to a restarted control node again. Checks that no control node publishes one
/// of them a second time.
fn check_no_purge_published_twice_after_restart(restarted: usize) {
    let mut fleet = TestFleet::start_with(FleetOptions {
        purge_window: Duration::from_secs_f64(8.7),
        ..FleetOptions::default()
    });
    for _ in 0..50 {
        fleet.publish_purges(2);
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.wait_until_replicated(0..2);
    // Now the first purges are older than half the purge window, and the last are not.
    std::thread::sleep(Duration::from_millis(2500));
    fleet.processes.control[restarted].kill();
    fleet.processes.start_control(restarted).unwrap();
    // Past half the purge window: by then a control node would publish any purge that it has not seen published.
    std::thread::sleep(Duration::from_secs(6));
    fleet.publish_purges(1);
    fleet.wait_until_replicated([1 - restarted]);
    assert_eq!(fleet.replicated_entries(1 - restarted, "Purges"), fleet.purged_objects as u64);
    fleet.assert_no_purge_repeated();
}

#[test]
fn an_override_of_a_departed_host_is_replicated_and_has_no_effect() {
    let fleet = TestFleet::start();
    fleet.set_overrides(&[("left-long-ago", "draining")]);
    assert!(
        wait_until(WAIT_TIMEOUT, || fleet.replicated_entries(0, "Configuration") >= 1),
        "{}",
        fleet.logs()
    );
    fleet.set_overrides(&[("left-long-ago", "draining"), ("c2", "draining")]);
    (0..MEMBER_COUNT).for_each(|member| assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1));
    assert!((0..MEMBER_COUNT).all(|member| count_effective_lines(
        &fleet.processes.members[member].log(),
        "left-long-ago",
        "Draining"
    ) == 0));
}

#[test]
fn an_override_is_quarantined_where_it_is_rejected_and_applied_elsewhere() {
    // c1 is the only cache of these dispatchers.
    let rejecting = &[1, 5];
    let mut fleet =
        TestFleet::start_with(FleetOptions { single_cache_members: rejecting, ..FleetOptions::default() });
    fleet.set_overrides(&[("c1", "gone")]);
    for member in 0..MEMBER_COUNT {
        if rejecting.contains(&member) {
            let is_rejected = || fleet.processes.members[member].log().contains("kept apart");
            assert!(wait_until(WAIT_TIMEOUT, is_rejected), "n{member}: {}", fleet.logs());
        } else {
            assert_eq!(fleet.wait_for_state(member, "c1", "Gone"), 1, "n{member}");
        }
    }
    // A control node logs the reason, and how many members reject the override.
    let is_reported = || fleet.processes.control.iter().any(|control| control.log().contains("LastOne at 2"));
    assert!(wait_until(WAIT_TIMEOUT, is_reported), "{}", fleet.logs());
    assert!(rejecting.iter().all(|member| count_effective_lines(
        &fleet.processes.members[*member].log(),
        "c1",
        "Gone"
    ) == 0));
    // Later purges and overrides are replicated.
    fleet.purge_and_wait_for_effect(1);
    fleet.set_overrides(&[("c1", "gone"), ("p1", "draining")]);
    fleet.wait_until_replicated(0..2);
}

#[test]
fn every_purge_takes_effect_once_despite_lost_duplicated_and_late_datagrams() {
    let mut fleet = TestFleet::start_with(FleetOptions {
        heartbeat_interval: Duration::from_millis(500),
        ..FleetOptions::default()
    });
    let path = PathConditions {
        lost: 0.05,
        doubled: 0.05,
        late: Duration::from_millis(100),
        jitter: Duration::from_millis(900),
        ..PathConditions::default()
    };
    fleet.processes.proxy.add(Rule { from: MemberSet::All, to: MemberSet::All, path });
    fleet.set_overrides(&[("c2", "draining")]);
    fleet.fill_next_objects(0..MEMBER_COUNT, 40);
    let number = fleet.publish_purges(40);
    for member in 0..MEMBER_COUNT {
        // Every purge, checked while it is in effect.
        (number - 39..=number).for_each(|number| fleet.wait_for_purge_effect(member, number));
    }
    fleet.wait_until_replicated(0..2);
    fleet.assert_no_purge_repeated();
    (0..MEMBER_COUNT)
        .for_each(|member| assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1, "n{member}"));
    let tally = fleet.processes.proxy.tally();
    assert!(tally.lost > 0 && tally.doubled > 0 && tally.late > 0 && tally.over == 0, "{tally:?}");
    assert!(fleet.hosts.iter().all(|host| host.attempt_count() > 0));
}

/// The clock by which discovery dates purges is a minute behind or ahead of the dispatchers' clocks.
#[test_case(-60_000; "behind")]
#[test_case(60_000; "ahead")]
fn purges_take_effect_when_the_clock_of_discovery_is_off_by_a_minute(clock_error_ms: i64) {
    let mut fleet = TestFleet::start();
    for _ in 0..3 {
        fleet.fill_next_objects(0..MEMBER_COUNT, 10);
        let last = fleet.publish_purges_dated_by(10, || now_unix_ms().saturating_add_signed(clock_error_ms));
        for member in 0..MEMBER_COUNT {
            [last - 9, last].into_iter().for_each(|number| fleet.wait_for_purge_effect(member, number));
        }
    }
    fleet.wait_until_replicated(0..2);
}
