//! Successive incarnations of control nodes, some of them with impossible clocks.

mod support;

use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::*;

fn purge_stream(incarnation: u64) -> StreamId {
    StreamId { control: ControlId(0), kind: StreamKind::Purges, incarnation: Incarnation(incarnation) }
}

fn batch(stream: StreamId, first: u64, objects: std::ops::Range<u64>) -> Message {
    let purge = |object| AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(object)) };
    Message::Batch { stream, first: SequenceNumber(first), entries: objects.map(purge).collect() }
}

fn tip(stream: StreamId, last: u64) -> StreamTip {
    StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(last) }
}

fn is_full_purge(output: &Output) -> bool {
    match output {
        Output::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    }
}

/// The parent was cut off for long from a control node that published more and then restarted. When they rejoin, the
/// member receives the later incarnation first, and must not take the earlier one for quiet and miss its last purges.
#[test]
fn quiet_incarnation_is_not_retired_when_a_later_one_is_received_first() {
    let mut node = placed_member();
    let (earlier, later) = (purge_stream(INCARNATION), purge_stream(INCARNATION + 1));
    let mut now = ms(20);
    node.on_message(now, identity("parent"), node_address(1), batch(earlier, 1, 1..2));
    while now < s(60) {
        parent_heartbeat(&mut node, now, vec![tip(earlier, 1)]);
        now += HEARTBEAT_INTERVAL;
        node.tick(now);
    }
    let mut outputs = node.on_message(now, identity("parent"), node_address(1), batch(later, 1, 100..101));
    outputs.extend(node.tick(now + ms(250)));
    now += HEARTBEAT_INTERVAL;
    outputs.extend(parent_heartbeat(&mut node, now, vec![tip(earlier, 3), tip(later, 1)]));
    let tick_outputs = node.tick(now + HEARTBEAT_INTERVAL);
    let repair_request =
        Message::RepairRequest { stream: earlier, ranges: vec![(SequenceNumber(2), SequenceNumber(3))] };
    let requests_repair = tick_outputs
        .iter()
        .any(|out| matches!(out, Output::Send { message, .. } if *message == repair_request));
    let purges_everything = outputs.iter().any(is_full_purge);
    assert!(requests_repair || purges_everything, "{outputs:?} {tick_outputs:?}");
    outputs.extend(node.on_message(
        now + HEARTBEAT_INTERVAL,
        identity("parent"),
        node_address(1),
        batch(earlier, 2, 2..4),
    ));
    let accepted = node.counters().accepted;
    assert!(accepted == 4 || purges_everything, "{accepted} accepted");
    // The earlier incarnation is retired once it has been quiet for long enough.
    for _ in 0..20 {
        now += HEARTBEAT_INTERVAL;
        parent_heartbeat(&mut node, now, vec![tip(later, 1)]);
        node.tick(now);
    }
    assert_eq!(node.counters().streams_retired, 1);
}

/// Two halves of a fleet, each with a control node, are cut off from each other. One control node restarts shortly
/// before they rejoin: the other half then receives its later incarnation while purges of the earlier one are missing.
#[test]
fn halves_that_rejoin_after_a_publisher_restart_miss_nothing() {
    for before_rejoining in [ms(300), ms(1000), ms(2000), ms(4000)] {
        for seed in 0..4 {
            check_rejoin_after_restart(before_rejoining, seed);
        }
    }
}

fn check_rejoin_after_restart(before_rejoining: Duration, seed: u64) {
    let mut fleet = Fleet::new(2, &[&[6], &[6]], 70 + seed);
    fleet.run(s(6));
    // Each half has one control node and one region.
    let half_of = |fleet: &Fleet, index: usize| match index {
        0 | 1 => index,
        _ => usize::from(fleet.nodes[index].name.starts_with("m-1")),
    };
    let mut links_between_halves = BTreeSet::new();
    for node in 0..fleet.nodes.len() {
        links_between_halves.extend(
            (node..fleet.nodes.len())
                .filter(|other| half_of(&fleet, node) != half_of(&fleet, *other))
                .map(|other| (node, other)),
        );
    }
    let mut object = 0;
    let mut published_purges = Vec::new();
    let mut publish_for = |fleet: &mut Fleet, duration: Duration| {
        let until = fleet.now + duration;
        while fleet.now < until {
            object += 1;
            published_purges.push((object, fleet.now));
            fleet.purge(0, object);
            fleet.run(ms(500).min(until - fleet.now));
        }
    };
    publish_for(&mut fleet, s(4));
    fleet.cut = links_between_halves;
    publish_for(&mut fleet, s(40));
    fleet.restart(0, INCARNATION + 50_000);
    publish_for(&mut fleet, before_rejoining);
    let rejoined_at = fleet.now;
    fleet.cut.clear();
    publish_for(&mut fleet, s(12));
    fleet.run(s(30));
    for (object, published) in published_purges {
        // Purges that had expired when the halves rejoined need not be applied.
        for index in fleet.members().filter(|_| published + PURGE_WINDOW > rejoined_at + s(2)) {
            let name = &fleet.nodes[index].name;
            assert!(
                fleet.covered(index, object, published),
                "{object} at {name}, {before_rejoining:?}, seed {seed}"
            );
        }
    }
}

/// There are more incarnations than a node holds streams. An evicted one may have purges that the node has not
/// received.
#[test]
fn evicted_incarnation_is_covered_by_a_full_purge() {
    let mut node = placed_member();
    let now = ms(20);
    for incarnation in 0..MAX_STREAMS as u64 {
        let id = purge_stream(INCARNATION + incarnation);
        node.on_message(now, identity("parent"), node_address(1), batch(id, 1, incarnation..incarnation + 1));
        parent_heartbeat(&mut node, now, vec![tip(id, 1)]);
    }
    assert_eq!((node.counters().streams_retired, node.counters().substitute_purges), (0, 0));
    let outputs = node.on_message(
        now,
        identity("parent"),
        node_address(1),
        batch(purge_stream(INCARNATION + 1000), 1, 999..1000),
    );
    assert!(outputs.iter().any(is_full_purge), "{outputs:?}");
    assert_eq!((node.counters().streams_retired, node.counters().substitute_purges), (1, 1));
}

fn new_control_node(index: usize) -> Node {
    new_control_node_with_incarnation(index, INCARNATION)
}

fn new_control_node_with_incarnation(index: usize, incarnation: u64) -> Node {
    let peer =
        |index: usize| Peer { node: NodeId::of(&control_name(index)), address: node_address(index as u8) };
    let config = NodeConfig {
        identity: Identity { node: NodeId::of(&control_name(index)), incarnation: Incarnation(incarnation) },
        control_id: Some(ControlId(index as u8)),
        control: (0..3).map(peer).collect(),
        seeds: Vec::new(),
        purge_window: PURGE_WINDOW,
        bytes_per_second: 6000,
        heartbeat_interval: HEARTBEAT_INTERVAL,
    };
    let mut node = Node::new(config, None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    node
}

/// Publishes on a control node and returns the batches that it sends within a heartbeat interval.
fn published_batches(node: &mut Node, now: Duration, publication: Publication) -> Vec<Message> {
    let (ids, mut outputs) = node.publish(now, vec![publication]);
    assert_eq!(ids.len(), 1);
    while node.next_due() <= now + HEARTBEAT_INTERVAL {
        outputs.extend(node.tick(node.next_due()));
    }
    let batches = outputs.into_iter().filter_map(|out| match out {
        Output::Send { message: message @ Message::Batch { .. }, .. } => Some(message),
        _ => None,
    });
    batches.collect()
}

/// One message names an impossible incarnation of a control node. Members must still accept the purges that the control
/// node publishes afterwards.
#[test]
fn absurd_incarnation_in_one_message_does_not_lock_out_a_control_node() {
    for incarnation in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX - 1, u64::MAX] {
        let (mut member, mut control_node) = (placed_member(), new_control_node(0));
        let named_stream = purge_stream(incarnation);
        let mut now = ms(20);
        let first = published_batches(
            &mut control_node,
            now,
            Publication::Purge { purge: Purge::object(1), age: Duration::ZERO },
        );
        member.on_message(now, identity(&control_name(0)), node_address(0), first[0].clone());
        member.on_message(now, identity("m"), node_address(5), batch(named_stream, 1, 50..51));
        control_node.on_message(now, identity("m"), node_address(5), batch(named_stream, 1, 50..51));
        // The member answers the control node's messages with the later incarnation that it knows, if any.
        for object in 2..80 {
            // One pause is long enough for a superseded incarnation to be retired.
            let pause_heartbeats = if object == 10 { 40 } else { 1 };
            for _ in 0..pause_heartbeats {
                now += HEARTBEAT_INTERVAL;
                parent_heartbeat(&mut member, now, Vec::new());
                member.tick(now);
                control_node.tick(now);
            }
            let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
            let batches = published_batches(&mut control_node, now, purge);
            assert!(!batches.is_empty(), "incarnation {incarnation}: purge of {object} was not sent");
            let publisher = control_node.status(now).identity;
            let accepted_before = member.counters().accepted;
            parent_heartbeat(&mut member, now, Vec::new());
            for message in batches {
                for out in member.on_message(now, publisher, node_address(0), message) {
                    match out {
                        Output::Send { to, message } if to == node_address(0) => {
                            drop(control_node.on_message(now, identity("me"), node_address(7), message))
                        }
                        _ => {}
                    }
                }
            }
            member.tick(now);
            assert!(
                member.counters().accepted > accepted_before,
                "incarnation {incarnation}: purge of {object} was not accepted"
            );
        }
    }
}

/// A control node starts with an impossible clock. It publishes under an incarnation that all nodes accept and that
/// leaves greater ones for its successors.
#[test]
fn accepts_control_node_with_clock_far_ahead_and_its_successor() {
    for incarnation in [1 << 42, (1 << 43) - 1, u64::MAX] {
        let (mut member, mut ahead) = (placed_member(), new_control_node_with_incarnation(0, incarnation));
        let publications = [
            Publication::Purge { purge: Purge::object(1), age: Duration::ZERO },
            Publication::Setting { host: "h".to_owned(), desired: DesiredState::Gone },
        ];
        for (now, publication) in [ms(100), ms(700)].into_iter().zip(publications) {
            let accepted_before = member.counters().accepted;
            for message in published_batches(&mut ahead, now, publication) {
                member.on_message(now, identity("parent"), node_address(1), message);
            }
            assert!(member.counters().accepted > accepted_before, "incarnation {incarnation}");
        }
        assert_eq!(member.status(ms(700)).desired.len(), 1);
        // The next incarnation has the right clock again: the member tells it to continue above the impossible one.
        let outputs = member.on_message(ms(800), identity(&control_name(0)), node_address(0), Message::Leave);
        let notice = outputs.iter().find_map(|out| match out {
            Output::Send { message: message @ Message::SupersededIncarnation { .. }, .. } => {
                Some(message.clone())
            }
            _ => None,
        });
        let mut next = new_control_node(0);
        let outputs = next.on_message(
            ms(200),
            identity("me"),
            node_address(7),
            notice.expect("a notice of the later incarnation"),
        );
        assert!(outputs.iter().any(|out| matches!(out, Output::IncarnationSuperseded { .. })), "{outputs:?}");
    }
}

fn setting(host: &str, unix_ms: u64) -> HostSetting {
    let timestamp = HybridTimestamp { unix_ms, control: 1 };
    HostSetting {
        host: host.to_owned(),
        desired: DesiredState::Gone,
        timestamp,
        replaced: HybridTimestamp::default(),
    }
}

/// One message has a setting with an impossible timestamp. Members must still accept the settings that the control node
/// publishes later.
#[test]
fn absurd_timestamp_in_one_message_does_not_block_later_settings() {
    for unix_ms in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX] {
        let (mut member, mut control_node) = (placed_member(), new_control_node(0));
        let stream = StreamId {
            control: ControlId(1),
            kind: StreamKind::Configuration,
            incarnation: Incarnation(INCARNATION),
        };
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Setting(setting("impossible", unix_ms)) }];
        let impossible_batch = Message::Batch { stream, first: SequenceNumber(1), entries };
        control_node.on_message(ms(20), identity(&control_name(1)), node_address(1), impossible_batch);
        let clock = HybridTimestamp { unix_ms, control: 1 };
        control_node.on_message(
            ms(20),
            identity(&control_name(1)),
            node_address(1),
            Message::RegionReports { directory_version: 1, clock, reports: Vec::new() },
        );
        for index in 0..3 {
            let setting =
                Publication::Setting { host: format!("host-{index}"), desired: DesiredState::Draining };
            for message in published_batches(&mut control_node, ms(100 + 600 * index), setting) {
                member.on_message(
                    ms(100 + 600 * index),
                    identity(&control_name(0)),
                    node_address(0),
                    message,
                );
            }
        }
        assert_eq!(member.status(ms(3000)).desired.len(), 3, "{unix_ms}");
    }
}

/// A setting is not published if no timestamp is left above that of the version that it replaces: an entry that no node
/// accepts would leave a gap in the stream.
#[test]
fn rejects_publication_of_setting_above_every_clock() {
    let mut control_node = new_control_node(0);
    let stream = StreamId {
        control: ControlId(1),
        kind: StreamKind::Configuration,
        incarnation: Incarnation(INCARNATION),
    };
    let entries = vec![AgedEntry {
        age_ms: 0,
        entry: Entry::Setting(setting("h", rockflow_dissemination::MAX_CLOCK_UNIX_MS)),
    }];
    control_node.on_message(
        ms(20),
        identity(&control_name(1)),
        node_address(1),
        Message::Batch { stream, first: SequenceNumber(1), entries },
    );
    let rejected_before = control_node.counters().entries_rejected;
    let (ids, _) = control_node
        .publish(ms(30), vec![Publication::Setting { host: "h".to_owned(), desired: DesiredState::Listed }]);
    assert_eq!((ids, control_node.counters().entries_rejected), (Vec::new(), rejected_before + 1));
    let (ids, _) = control_node
        .publish(ms(30), vec![Publication::Setting { host: "g".to_owned(), desired: DesiredState::Gone }]);
    assert_eq!(ids.len(), 1);
}

/// Messages that claim ever later incarnations of the control node must not make it change its incarnation with each
/// message.
#[test]
fn changes_incarnation_at_most_once_per_heartbeat() {
    let mut control_node = new_control_node(0);
    for object in 0..2000 {
        let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
        control_node.publish(ms(20), vec![purge]);
    }
    let mut incarnations = 0;
    for index in 0..100 {
        let named_stream = purge_stream(INCARNATION + 10 * index + 5);
        let outputs = control_node.on_message(
            ms(30 + index),
            identity("m"),
            node_address(5),
            batch(named_stream, 1, 0..1),
        );
        incarnations +=
            outputs.iter().filter(|out| matches!(out, Output::IncarnationSuperseded { .. })).count();
    }
    assert_eq!(incarnations, 1);
    // A claim that arrives after a heartbeat interval is answered again.
    let named_stream = purge_stream(INCARNATION + 5000);
    let outputs =
        control_node.on_message(ms(1000), identity("m"), node_address(5), batch(named_stream, 1, 0..1));
    assert!(
        outputs.contains(&Output::IncarnationSuperseded { incarnation: Incarnation(INCARNATION + 5001) }),
        "{outputs:?}"
    );
}

/// Answers to joins are rate-limited, as an answer is ten times as large as its request.
#[test]
fn join_answers_are_rate_limited() {
    let mut control_node = new_control_node(0);
    let directory = Directory::parse(&csv(1, 3, &[&[9, 9, 9]])).expect("a directory");
    control_node.set_directory(ms(10), directory);
    let mut bytes = 0;
    for _ in 0..50_000 {
        for out in control_node.on_message(
            ms(20),
            identity("m-0-2-8"),
            node_address(9),
            Message::Join { directory_version: 0 },
        ) {
            if let Output::Send { message: message @ Message::Placement { .. }, .. } = out {
                bytes += postcard::to_stdvec(&message).expect("encodes").len();
            }
        }
    }
    // The burst: ten seconds of half of the bytes that 64 members may send.
    assert!((500_000..=1_920_000).contains(&bytes), "{bytes}");
    assert!(control_node.counters().repair_requests_throttled > 0);
}

/// A stream evicted by a stream that the node publishes itself is counted like one evicted by a received stream.
#[test]
fn eviction_by_own_stream_is_counted() {
    let mut control_node = new_control_node(0);
    for incarnation in 0..MAX_STREAMS as u64 {
        let id = StreamId { control: ControlId(1), ..purge_stream(INCARNATION + incarnation) };
        control_node.on_message(
            ms(20),
            identity(&control_name(1)),
            node_address(1),
            batch(id, 1, incarnation..incarnation + 1),
        );
    }
    assert_eq!(control_node.counters().streams_retired, 0);
    let purge = Publication::Purge { purge: Purge::object(1), age: Duration::ZERO };
    let (ids, _) = control_node.publish(ms(30), vec![purge]);
    assert_eq!(
        (ids.len(), control_node.counters().streams_retired, control_node.counters().substitute_purges),
        (1, 1, 1)
    );
}
