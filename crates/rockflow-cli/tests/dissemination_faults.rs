//! Dissemination among real processes under faults, one fleet at a time.
#![cfg(feature = "dissemination")]

mod rig;

use rig::*;
use rockflow_dissemination::{Directory, Identity, Incarnation, NodeId, Output, Peer};
use rockflow_process_harness::datagrams::{MemberSet, PathConditions, Rule};
use rockflow_process_harness::wait_until;
use rockflow_transport::dissemination::{AddressScope, Command, FrameCodec, Handle, NodeOptions};
use serde_json::json;
use std::time::Duration;
use test_case::test_case;

/// Guards against a sum that is short where a control node was killed at its first number: its next run begins there too.
#[test]
fn streams_of_each_run_of_a_control_node_add_up() {
    let line = |incarnation: u64, number: u64| {
        format!(
            "INFO everywhere control=0 kind=Purges number={number} seconds=0.1 incarnation={incarnation}\n"
        )
    };
    let log: String = [line(7, 1), line(9, 1), line(9, 2), line(9, 5)].concat();
    assert_eq!(tops(&log, "Purges").values().sum::<u64>(), 6);
    assert!(tops(&log, "Configuration").is_empty());
}

#[test]
fn a_purge_is_heeded_by_what_every_client_is_served() {
    let mut rig = Rig::start();
    let number = rig.purge_heeded_by_all(1);
    rig.everywhere(0..2);
    // And not again with the next ones: the copies stay.
    rig.purge(20);
    rig.everywhere(0..2);
    (0..MEMBERS).for_each(|member| assert_eq!(rig.served(member, number).as_deref(), Ok("copy 2")));
    rig.each_once();
}

#[test]
fn who_passes_on_is_killed_in_a_burst_and_begins_with_nothing() {
    let mut rig = Rig::start();
    let head = rig.head();
    rig.fill(0..MEMBERS, 120);
    for part in 0..4 {
        rig.purge(30);
        if part == 1 {
            rig.fleet.members[head].kill();
        }
        std::thread::sleep(PULSE);
    }
    let last = rig.purged;
    for member in rig.others(head) {
        // From before, amid and after its end.
        [last - 100, last - 80, last - 60, last].into_iter().for_each(|number| rig.in_effect(member, number));
    }
    rig.fleet.start_member(head).unwrap();
    assert!(wait_until(PATIENCE, || rig.fleet.members[head].is_ready()));
    rig.everywhere(0..2);
    // What it missed and what is new: its host's copies are those from before the burst.
    rig.in_effect(head, last);
    rig.purge_heeded_by_all(1);
    rig.everywhere(0..2);
    rig.each_once();
}

#[test]
fn who_passes_on_begins_with_nothing_within_the_burst() {
    let mut rig = Rig::start();
    let head = rig.head();
    rig.fill(0..MEMBERS, 120);
    for part in 0..4 {
        rig.purge(30);
        match part {
            1 => rig.fleet.members[head].kill(),
            2 => rig.fleet.start_member(head).unwrap(),
            _ => std::thread::sleep(PULSE),
        }
    }
    let last = rig.purged;
    for member in rig.others(head) {
        [last - 119, last - 80, last - 45, last].into_iter().for_each(|number| rig.in_effect(member, number));
    }
    assert!(wait_until(PATIENCE, || rig.fleet.members[head].is_ready()), "{}", rig.logs());
    rig.in_effect(head, last);
    rig.everywhere(0..2);
    rig.purge_heeded_by_all(1);
    rig.everywhere(0..2);
    rig.each_once();
}

#[test]
fn a_site_that_does_not_hear_goes_on_and_meets_the_others_again() {
    let mut rig = Rig::start();
    rig.fill(0..MEMBERS, 10);
    let away = site(1);
    let id = rig.cut(rig.rest(away.clone()), rig.who(away.clone()));
    let number = rig.purge(10);
    site(0).for_each(|member| rig.in_effect(member, number));
    for member in away.clone() {
        assert_eq!(rig.served(member, number).as_deref(), Ok("copy 1"), "n{member} heard through the cut");
    }
    assert!(rig.said(0, "Purges") < number as u64, "{}", rig.logs());
    rig.fleet.proxy.remove(id);
    away.for_each(|member| rig.in_effect(member, number));
    rig.everywhere(0..2);
    rig.each_once();
}

#[test]
fn a_site_that_is_not_heard_is_not_said_to_have_it_and_meets_the_others_again() {
    let mut rig = Rig::start();
    let away = site(1);
    let id = rig.cut(rig.who(away.clone()), rig.rest(away.clone()));
    // Till nobody counts what they said before.
    std::thread::sleep(LONG);
    rig.fill(0..MEMBERS, 10);
    let number = rig.purge(10);
    site(0).for_each(|member| rig.in_effect(member, number));
    assert!(rig.said(0, "Purges") < number as u64, "{}", rig.logs());
    rig.fleet.proxy.remove(id);
    away.for_each(|member| rig.in_effect(member, number));
    rig.everywhere(0..2);
    rig.each_once();
}

#[test]
fn another_control_node_publishes_where_one_dies_in_a_burst() {
    let mut rig = Rig::start();
    rig.fill(0..MEMBERS, 90);
    for part in 0..3 {
        rig.purge(30);
        if part == 1 {
            rig.fleet.control[0].kill();
        }
        std::thread::sleep(PULSE);
    }
    let last = rig.purged;
    for member in 0..MEMBERS {
        [last - 80, last - 45, last - 20, last].into_iter().for_each(|number| rig.in_effect(member, number));
    }
    // It begins with nothing, and is the first again.
    rig.fleet.start_control(0).unwrap();
    rig.purge_heeded_by_all(5);
}

#[test]
fn of_six_control_nodes_the_publishing_one_dies_in_a_burst_and_then_the_next() {
    let mut rig = Rig::with(Lay { control: 6, ..Lay::default() });
    for dies in 0..2 {
        rig.fill(0..MEMBERS, 90);
        for part in 0..3 {
            rig.purge(30);
            if part == 1 {
                rig.fleet.control[dies].kill();
            }
            std::thread::sleep(PULSE);
        }
        let last = rig.purged;
        for member in 0..MEMBERS {
            [last - 80, last - 45, last - 20, last]
                .into_iter()
                .for_each(|number| rig.in_effect(member, number));
        }
    }
    // Those that are left know it.
    rig.everywhere(2..6);
    (0..2).for_each(|place| rig.fleet.start_control(place).unwrap());
    rig.purge_heeded_by_all(5);
    rig.everywhere(2..6);
}

#[test]
fn of_two_control_nodes_that_disagree_the_more_careful_holds() {
    let mut rig = Rig::start();
    // Neither hears of the other's, also not by the members.
    let ids = [rig.cut(MemberSet::One(0), MemberSet::One(1)), rig.cut(MemberSet::One(1), MemberSet::One(0))];
    rig.mark_at(0, &[("c2", "draining")]);
    rig.mark_at(1, &[("c2", "gone")]);
    for member in 0..MEMBERS {
        rig.state(member, "c2", "Gone");
    }
    ids.into_iter().for_each(|id| rig.fleet.proxy.remove(id));
    rig.purge_heeded_by_all(1);
    for member in 0..MEMBERS {
        let log = rig.fleet.members[member].log();
        let last =
            log.lines().rfind(|line| line.contains("effective") && field(line, "endpoint") == Some("\"c2\""));
        assert_eq!(last.and_then(|line| field(line, "state")), Some("Gone"), "n{member}");
    }
}

#[test]
fn a_control_node_whose_clock_was_set_back_begins_above_its_earlier_life() {
    let mut rig = Rig::lay(Lay::default());
    // Its earlier life, by a clock that was an hour ahead: played here, at its place behind the proxy.
    let peer = |place: usize| Peer {
        node: NodeId::of(&rig.fleet.control[place].name),
        address: rig.fleet.control_address(place),
    };
    let ahead = now_ms() + 3_600_000;
    let text = std::fs::read_to_string(rig.fleet.layout().folder.join("control-0.directory.csv")).unwrap();
    let plan = NodeOptions {
        codec: FrameCodec::new("processes", 2, AddressScope::LoopbackOnly),
        config: rockflow_dissemination::NodeConfig {
            identity: Identity { node: peer(0).node, incarnation: Incarnation(ahead) },
            control_id: Some(rockflow_dissemination::ControlId(0)),
            control: (0..2).map(peer).collect(),
            seeds: Vec::new(),
            purge_window: WINDOW,
            bytes_per_second: 65_536,
            heartbeat_interval: PULSE,
        },
        directory: Some(Directory::parse(&text).unwrap()),
        listen: rig.fleet.control[0].socket_address,
        seed: 1,
    };
    let (sender, said) = std::sync::mpsc::channel();
    let earlier = Handle::start(plan, move |_, out| {
        if let Output::ReplicatedToAll { number, .. } = out {
            let _ = sender.send(number);
        }
    });
    let earlier = earlier.unwrap();
    rig.fleet.start_control(1).unwrap();
    rig.start_members();
    for number in 1..=3 {
        let purge = rockflow_dissemination::Purge::object(number);
        let publication = rockflow_dissemination::Publication::Purge { purge, age: Duration::ZERO };
        assert!(earlier.send(Command::Publish { publications: vec![publication], reply: Box::new(|_| {}) }));
    }
    let all = std::iter::from_fn(|| said.recv_timeout(PATIENCE).ok()).any(|number| number.0 == 3);
    assert!(all, "{}", rig.logs());
    assert!(earlier.send(Command::Stop));
    assert!(wait_until(PATIENCE, || earlier.has_ended()));
    // The real one, by a clock that is right: lower than its earlier life's.
    rig.fleet.start_control(0).unwrap();
    rig.fill(0..MEMBERS, 30);
    let number = rig.purge(30);
    for member in 0..MEMBERS {
        [number - 29, number].into_iter().for_each(|number| rig.in_effect(member, number));
    }
    let outlived = || rig.fleet.control[0].log().contains("begun again above it");
    assert!(wait_until(PATIENCE, outlived), "{}", rig.logs());
    rig.mark(&[("c2", "draining")]);
    (0..MEMBERS).for_each(|member| assert_eq!(rig.state(member, "c2", "Draining"), 1));
}

#[test]
fn a_control_node_that_begins_again_leaves_what_the_board_said_long_ago() {
    let mut rig = Rig::lay(Lay { purge_window: Duration::from_secs_f64(8.7), ..Lay::default() });
    for number in 0..300 {
        rig.rev += 1;
        let flush = json!({"asset": format!("old-{number}"), "ms": now_ms() - 180_000});
        rig.board.publish(json!({"rev": rig.rev, "flush": flush}));
    }
    rig.start_all();
    rig.fleet.control[1].kill();
    rig.fleet.start_control(1).unwrap();
    rig.purge_heeded_by_all(3);
    rig.everywhere([0]);
    let published = rig.said(0, "Purges");
    // Those that are new, and once more by the one that began again.
    assert!(published <= 2 * rig.purged as u64, "{published} published, {} told", rig.purged);
}

#[test]
fn the_publishing_control_node_that_begins_again_publishes_nothing_twice() {
    publishes_nothing_twice(0);
}

#[test]
fn another_control_node_that_begins_again_publishes_nothing_twice() {
    publishes_nothing_twice(1);
}

/// The board tells a control node that begins again what was published seconds ago; nobody publishes it a second time.
fn publishes_nothing_twice(which: usize) {
    let mut rig = Rig::with(Lay { purge_window: Duration::from_secs_f64(8.7), ..Lay::default() });
    for _ in 0..50 {
        rig.purge(2);
        std::thread::sleep(Duration::from_millis(50));
    }
    rig.everywhere(0..2);
    // The first of them are older than half the window by now, the last are not.
    std::thread::sleep(Duration::from_millis(2500));
    rig.fleet.control[which].kill();
    rig.fleet.start_control(which).unwrap();
    // Past half the window, after which any of them would say what it has not seen published.
    std::thread::sleep(Duration::from_secs(6));
    rig.purge(1);
    rig.everywhere([1 - which]);
    assert_eq!(rig.said(1 - which, "Purges"), rig.purged as u64);
    rig.each_once();
}

#[test]
fn a_version_that_names_a_host_already_gone_is_in_force_and_without_effect() {
    let rig = Rig::start();
    rig.mark(&[("left-long-ago", "draining")]);
    assert!(wait_until(PATIENCE, || rig.said(0, "Configuration") >= 1), "{}", rig.logs());
    rig.mark(&[("left-long-ago", "draining"), ("c2", "draining")]);
    (0..MEMBERS).for_each(|member| assert_eq!(rig.state(member, "c2", "Draining"), 1));
    assert!((0..MEMBERS).all(|member| effective(
        &rig.fleet.members[member].log(),
        "left-long-ago",
        "Draining"
    ) == 0));
}

#[test]
fn a_version_that_some_refuse_is_kept_apart_there_and_the_others_go_on() {
    // These have one cache alone.
    let one = &[1, 5];
    let mut rig = Rig::with(Lay { one_cache: one, ..Lay::default() });
    rig.mark(&[("c1", "gone")]);
    for member in 0..MEMBERS {
        if one.contains(&member) {
            let refused = || rig.fleet.members[member].log().contains("kept apart");
            assert!(wait_until(PATIENCE, refused), "n{member}: {}", rig.logs());
        } else {
            assert_eq!(rig.state(member, "c1", "Gone"), 1, "n{member}");
        }
    }
    // Control says who refuses, and why.
    let said = || rig.fleet.control.iter().any(|control| control.log().contains("LastOne at 2"));
    assert!(wait_until(PATIENCE, said), "{}", rig.logs());
    assert!(one.iter().all(|member| effective(&rig.fleet.members[*member].log(), "c1", "Gone") == 0));
    // What follows goes on.
    rig.purge_heeded_by_all(1);
    rig.mark(&[("c1", "gone"), ("p1", "draining")]);
    rig.everywhere(0..2);
}

#[test]
fn lost_doubled_and_late_by_a_second_all_is_in_effect_and_once() {
    let mut rig = Rig::with(Lay { pulse: Duration::from_millis(500), ..Lay::default() });
    let path = PathConditions {
        lost: 0.05,
        doubled: 0.05,
        late: Duration::from_millis(100),
        jitter: Duration::from_millis(900),
        ..PathConditions::default()
    };
    rig.fleet.proxy.add(Rule { from: MemberSet::All, to: MemberSet::All, path });
    rig.mark(&[("c2", "draining")]);
    rig.fill(0..MEMBERS, 40);
    let number = rig.purge(40);
    for member in 0..MEMBERS {
        // Each, while the purges bind.
        (number - 39..=number).for_each(|number| rig.in_effect(member, number));
    }
    rig.everywhere(0..2);
    rig.each_once();
    (0..MEMBERS).for_each(|member| assert_eq!(rig.state(member, "c2", "Draining"), 1, "n{member}"));
    let tally = rig.fleet.proxy.tally();
    assert!(tally.lost > 0 && tally.doubled > 0 && tally.late > 0 && tally.over == 0, "{tally:?}");
    assert!(rig.hosts.iter().all(|host| host.attempt_count() > 0));
}

/// Clocks a minute apart: the board's is behind, or ahead.
#[test_case(-60_000; "behind")]
#[test_case(60_000; "ahead")]
fn purges_of_a_board_whose_clock_is_wrong_by_a_minute_are_heeded(wrong_ms: i64) {
    let mut rig = Rig::start();
    for _ in 0..3 {
        rig.fill(0..MEMBERS, 10);
        let last = rig.purge_made_at(10, || now_ms().saturating_add_signed(wrong_ms));
        for member in 0..MEMBERS {
            [last - 9, last].into_iter().for_each(|number| rig.in_effect(member, number));
        }
    }
    rig.everywhere(0..2);
}
