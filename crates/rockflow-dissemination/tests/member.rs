//! A single member, to which the tests send the messages of its neighbours.

mod support;

use rockflow_dissemination::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::{identity, member_config, ms, node_address, parent_heartbeat, place_below_parent, INCARNATION};

/// The configuration of [`member_config`] with one seed.
fn config() -> NodeConfig {
    NodeConfig { seeds: vec![node_address(9)], ..member_config() }
}

/// The messages among the outputs, each with its receiver.
fn sent_messages(outputs: &[Output]) -> Vec<(SocketAddr, Message)> {
    let sent = outputs.iter().filter_map(|out| match out {
        Output::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    });
    sent.collect()
}

/// Ticks a node whenever it is due, through `until`.
fn run_ticks(node: &mut Node, until: Duration) -> Vec<Output> {
    let mut outputs = Vec::new();
    while node.next_due() <= until {
        outputs.extend(node.tick(node.next_due()));
    }
    outputs
}

fn stream(kind: StreamKind) -> StreamId {
    StreamId { control: ControlId(0), kind, incarnation: Incarnation(INCARNATION) }
}

/// A member that has its place below a parent and has received its heartbeat, and the time at which it has.
fn placed_member_with_heartbeat() -> (Node, Duration) {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outputs = place_below_parent(&mut node);
    assert!(
        matches!(sent_messages(&outputs)[..], [(to, Message::Acknowledgement { .. })] if to == node_address(1)),
        "{outputs:?}"
    );
    parent_heartbeat(&mut node, ms(20), Vec::new());
    (node, ms(20))
}

/// The number up to which a member has applied the stream of the first control node.
fn applied_number(node: &Node, now: Duration, kind: StreamKind) -> SequenceNumber {
    let status = node.status(now);
    status
        .streams
        .iter()
        .find(|held| held.stream == stream(kind))
        .map(|held| held.applied)
        .unwrap_or_default()
}

#[test]
fn full_purge_has_the_age_given_by_the_snapshot() {
    let (mut node, now) = placed_member_with_heartbeat();
    let tip = StreamTip {
        stream: stream(StreamKind::Purges),
        first: SequenceNumber(100),
        last: SequenceNumber(120),
    };
    parent_heartbeat(&mut node, now, vec![tip]);
    let outputs = run_ticks(&mut node, now + ms(1));
    let request = Message::RepairRequest { stream: tip.stream, ranges: Vec::new() };
    assert!(sent_messages(&outputs).contains(&(node_address(1), request)), "{outputs:?}");
    let snapshot =
        Message::Snapshot { stream: tip.stream, next: SequenceNumber(121), min_accepted_age_ms: Some(3000) };
    let outputs = node.on_message(now + ms(5), identity("parent"), node_address(1), snapshot.clone());
    let [Output::Purge { purges, token }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!(purges[..], [(Purge::Everything, ms(3000))]);
    assert_eq!(applied_number(&node, now, StreamKind::Purges), SequenceNumber(0));
    node.confirm_applied(now + ms(6), *token);
    assert_eq!(applied_number(&node, now, StreamKind::Purges), SequenceNumber(120));
    assert!(
        node.on_message(now + ms(7), identity("parent"), node_address(1), snapshot).is_empty(),
        "the same snapshot again changes nothing"
    );
}

#[test]
fn token_with_all_settings_rejected_does_not_block() {
    let (mut node, now) = placed_member_with_heartbeat();
    let timestamp = HybridTimestamp { unix_ms: INCARNATION, control: 0 };
    let setting = |host: &str| HostSetting {
        host: host.to_owned(),
        desired: DesiredState::Gone,
        timestamp,
        replaced: HybridTimestamp::default(),
    };
    let entries =
        ["a", "b"].map(|host| AgedEntry { age_ms: 0, entry: Entry::Setting(setting(host)) }).to_vec();
    let stream = stream(StreamKind::Configuration);
    let batch = Message::Batch { stream, first: SequenceNumber(1), entries };
    let outputs = node.on_message(now, identity("parent"), node_address(1), batch);
    let Some(Output::Configure { settings, changed, .. }) = outputs.last() else { panic!("{outputs:?}") };
    assert_eq!((settings.len(), changed.len()), (2, 2));
    node.reject(now, changed[0].0, RejectionReason::LastOne);
    assert_eq!(applied_number(&node, now, StreamKind::Configuration), SequenceNumber(0));
    node.reject(now, changed[1].0, RejectionReason::LastOne);
    assert_eq!(applied_number(&node, now, StreamKind::Configuration), SequenceNumber(2));
    assert_eq!(node.status(now).rejected.len(), 2);
}

#[test]
fn skipped_settings_are_applied_only_with_the_whole_table() {
    let (mut node, now) = placed_member_with_heartbeat();
    let stream = stream(StreamKind::Configuration);
    parent_heartbeat(
        &mut node,
        now,
        vec![StreamTip { stream, first: SequenceNumber(50), last: SequenceNumber(60) }],
    );
    let snapshot = Message::Snapshot { stream, next: SequenceNumber(61), min_accepted_age_ms: None };
    let outputs = node.on_message(now + ms(5), identity("parent"), node_address(1), snapshot);
    assert!(
        sent_messages(&outputs).contains(&(node_address(1), Message::SettingsRequest { part: 0 })),
        "{outputs:?}"
    );
    let version = |number: u64| SettingVersion {
        stream,
        number: SequenceNumber(number),
        setting: HostSetting {
            host: format!("host-{number}"),
            desired: DesiredState::Draining,
            timestamp: HybridTimestamp { unix_ms: INCARNATION + number, control: 0 },
            replaced: HybridTimestamp::default(),
        },
    };
    let part = |part: u16, number: u64| Message::SettingsPart {
        digest: 5,
        part,
        parts: 2,
        settings: vec![version(number)],
    };
    let mut tokens = Vec::new();
    for (part_index, number) in [(1, 60), (0, 59)] {
        assert_eq!(applied_number(&node, now, StreamKind::Configuration), SequenceNumber(0));
        let outputs =
            node.on_message(now + ms(6), identity("parent"), node_address(1), part(part_index, number));
        let received = outputs.iter().filter_map(|out| match out {
            Output::Configure { token, .. } => Some(*token),
            _ => None,
        });
        tokens.extend(received);
    }
    node.confirm_applied(now + ms(7), tokens[0]);
    assert_eq!(applied_number(&node, now, StreamKind::Configuration), SequenceNumber(0));
    node.confirm_applied(now + ms(7), tokens[1]);
    assert_eq!(applied_number(&node, now, StreamKind::Configuration), SequenceNumber(60));
}

#[test]
fn follows_seed_without_an_answer_from_control() {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outputs = run_ticks(&mut node, ms(20_000));
    let to_seed = sent_messages(&outputs).into_iter().any(|(to, message)| {
        to == node_address(9)
            && matches!(message, Message::Acknowledgement { ref reports, .. } if reports.is_empty())
    });
    assert!(to_seed);
    let now = node.next_due();
    let message = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips: Vec::new(),
        settings_digest: None,
    };
    node.on_message(now, identity("seed"), node_address(9), message);
    assert_eq!(node.status(now).staleness, Some(Duration::ZERO));
    assert_eq!(node.status(now).parent, Some(Peer { node: NodeId::of("seed"), address: node_address(9) }));
}

/// Half of the control nodes may be unreachable. Joins must be frequent enough that three of them without an answer,
/// the fourth, and what follows it all fit into the purge window.
#[test]
fn member_without_place_joins_every_two_heartbeats() {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let mut last_join = Duration::ZERO;
    while last_join < ms(600_000) {
        let now = node.next_due();
        let has_joined = sent_messages(&node.tick(now))
            .into_iter()
            .any(|(_, message)| matches!(message, Message::Join { .. }));
        if has_joined {
            last_join = now;
        }
        assert!(now - last_join <= 2 * config().heartbeat_interval, "{:?}", now - last_join);
    }
}

#[test]
fn unlisted_member_follows_control_and_is_not_counted() {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outputs = node.on_message(
        ms(5),
        identity("control-0"),
        node_address(0),
        Message::NotListed { directory_version: 1 },
    );
    let sent = sent_messages(&outputs);
    assert!(
        matches!(&sent[..], [(to, Message::Acknowledgement { reports, .. })] if *to == node_address(0) && reports.is_empty())
    );
}

#[test]
fn rejects_child_beyond_the_limit() {
    let (mut node, now) = placed_member_with_heartbeat();
    let ack = Message::Acknowledgement { received: Vec::new(), reports: Vec::new() };
    for child in 0..=MAX_CHILDREN as u8 {
        let outputs =
            node.on_message(now, identity(&format!("child-{child}")), node_address(100 + child), ack.clone());
        let first = sent_messages(&outputs).into_iter().next().map(|(_, message)| message);
        match usize::from(child) < MAX_CHILDREN {
            true => assert!(matches!(first, Some(Message::Heartbeat { .. })), "{first:?}"),
            false => assert_eq!(first, Some(Message::Full)),
        }
    }
    assert_eq!(node.counters().children_rejected, 1);
    node.on_message(now, identity("child-3"), node_address(103), Message::Leave);
    assert_eq!(node.status(now).children, MAX_CHILDREN - 1);
}

#[test]
fn conflicting_entries_are_both_applied_once_and_forwarded() {
    let (mut node, now) = placed_member_with_heartbeat();
    let ack = Message::Acknowledgement { received: Vec::new(), reports: Vec::new() };
    node.on_message(now, identity("child"), node_address(100), ack);
    let mut forwarded = 0;
    let batch = |object: u64| Message::Batch {
        stream: stream(StreamKind::Purges),
        first: SequenceNumber(1),
        entries: vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(object)) }],
    };
    let mut purges = Vec::new();
    for object in [1, 2, 1, 2] {
        let outputs = node.on_message(now, identity("parent"), node_address(1), batch(object));
        let batches = sent_messages(&outputs).into_iter().filter(|(_, message)| *message == batch(object));
        forwarded += batches.filter(|(to, _)| *to == node_address(100)).count();
        for out in outputs {
            if let Output::Purge { purges: new, .. } = out {
                purges.extend(new.into_iter().map(|(purge, _)| purge));
            }
        }
    }
    assert_eq!(purges, [Purge::object(1), Purge::object(2)]);
    assert_eq!(forwarded, 2);
    assert_eq!((node.counters().conflicts, node.counters().duplicates), (1, 2));
}

#[test]
fn caller_that_never_confirms_gets_a_full_purge() {
    let (mut node, now) = placed_member_with_heartbeat();
    let mut last_outputs = Vec::new();
    for number in 1..=rockflow_dissemination::MAX_PENDING_TOKENS as u64 + 1 {
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(number)) }];
        let batch =
            Message::Batch { stream: stream(StreamKind::Purges), first: SequenceNumber(number), entries };
        last_outputs = node.on_message(now, identity("parent"), node_address(1), batch);
    }
    let Some(Output::Purge { purges, token }) = last_outputs.last() else { panic!("{last_outputs:?}") };
    assert_eq!(purges[..], [(Purge::Everything, Duration::ZERO)]);
    assert_eq!(node.status(now).unconfirmed, 1);
    node.confirm_applied(now, *token);
    assert_eq!(applied_number(&node, now, StreamKind::Purges), SequenceNumber(4097));
}

#[test]
fn acknowledgement_lists_only_the_streams_that_lag_most() {
    let (mut node, now) = placed_member_with_heartbeat();
    let mut tips = Vec::new();
    for incarnation in 0..8 {
        let stream =
            StreamId { incarnation: Incarnation(INCARNATION + incarnation), ..stream(StreamKind::Purges) };
        tips.push(StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(10 + incarnation) });
    }
    parent_heartbeat(&mut node, now, tips);
    let outputs = run_ticks(&mut node, now + ms(1200));
    let mut reports = sent_messages(&outputs).into_iter().filter_map(|(_, message)| match message {
        Message::Acknowledgement { reports, .. } => reports.into_iter().next(),
        _ => None,
    });
    let lagging = reports.next_back().expect("a report").lagging;
    assert_eq!(lagging.len(), MAX_LAGGING);
    let (_, most_lagging_stream, _) = lagging[0];
    assert_eq!(most_lagging_stream.incarnation, Incarnation(INCARNATION + 7));
}

#[test]
fn repairs_are_requested_every_heartbeat_while_entries_arrive() {
    let (mut node, mut now) = placed_member_with_heartbeat();
    let stream = stream(StreamKind::Configuration);
    let setting = |number: u64| HostSetting {
        host: format!("host-{number}"),
        desired: DesiredState::Gone,
        timestamp: HybridTimestamp { unix_ms: INCARNATION + number, control: 0 },
        replaced: HybridTimestamp::default(),
    };
    // Each repair closes one gap, and the next tip opens another, so that there always is one.
    for number in 1..60 {
        parent_heartbeat(
            &mut node,
            now,
            vec![StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(number + 1) }],
        );
        let outputs = run_ticks(&mut node, now + ms(600));
        let has_requested = sent_messages(&outputs)
            .into_iter()
            .any(|(_, message)| matches!(message, Message::RepairRequest { .. }));
        assert!(has_requested, "{number}");
        now += ms(600);
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Setting(setting(number)) }];
        let batch = Message::Batch { stream, first: SequenceNumber(number), entries };
        node.on_message(now, identity("parent"), node_address(1), batch);
    }
}

/// Counts the full purges at a member that receives a later incarnation of a control node after this silence. The end
/// of the earlier stream was advertised before the silence.
fn full_purges_after_a_later_incarnation(silence: Duration) -> u64 {
    let (mut node, mut now) = placed_member_with_heartbeat();
    let earlier_tip =
        StreamTip { stream: stream(StreamKind::Purges), first: SequenceNumber(1), last: SequenceNumber(1) };
    let later_stream = StreamId { incarnation: Incarnation(INCARNATION + 1), ..earlier_tip.stream };
    let later_tip = StreamTip { stream: later_stream, ..earlier_tip };
    let entries = || vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(1)) }];
    let batch =
        |tip: StreamTip| Message::Batch { stream: tip.stream, first: SequenceNumber(1), entries: entries() };
    node.on_message(now, identity("parent"), node_address(1), batch(earlier_tip));
    parent_heartbeat(&mut node, now, vec![earlier_tip]);
    now += silence;
    run_ticks(&mut node, now);
    node.on_message(now, identity("parent"), node_address(1), batch(later_tip));
    for _ in 0..30 {
        parent_heartbeat(&mut node, now, vec![later_tip]);
        now += ms(500);
        run_ticks(&mut node, now);
    }
    assert_eq!(node.counters().streams_retired, 1);
    node.counters().substitute_purges
}

#[test]
fn incarnation_with_unknown_end_is_covered_by_a_full_purge() {
    assert_eq!(full_purges_after_a_later_incarnation(ms(500)), 0);
    assert_eq!(full_purges_after_a_later_incarnation(ms(20_000)), 1);
}

#[test]
fn two_nodes_that_follow_each_other_become_stale_and_do_not_flood() {
    let names = ["one", "two"];
    let mut nodes = names
        .map(|name| Node::new(NodeConfig { identity: identity(name), ..config() }, None, 1, Duration::ZERO));
    for (index, node) in nodes.iter_mut().enumerate() {
        node.start(Duration::ZERO);
        let other = 1 - index;
        let parents = vec![Peer { node: NodeId::of(names[other]), address: node_address(1 + other as u8) }];
        let placement = Message::Placement {
            directory_version: 1,
            listing_hash: 7,
            region: 0,
            slot: index as u16,
            slots: 2,
            parents,
        };
        node.on_message(ms(1), identity("control-0"), node_address(0), placement);
    }
    // The first node has received one fresh heartbeat, as if the second still had a connection to control then.
    send_heartbeat(&mut nodes[0], ms(1), "two", node_address(2));
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut heartbeats = 0;
    for at in 2..20_000 {
        for InFlight { from, to, message } in std::mem::take(&mut in_flight) {
            heartbeats += u32::from(matches!(message, Message::Heartbeat { .. }));
            let outputs =
                nodes[to].on_message(ms(at), identity(names[from]), node_address(1 + from as u8), message);
            in_flight.extend(messages_to_other(to, &outputs));
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            if node.next_due() <= ms(at) {
                let outputs = node.tick(ms(at));
                in_flight.extend(messages_to_other(index, &outputs));
            }
        }
    }
    assert!(heartbeats <= 2 * 2 * 20, "{heartbeats} heartbeats in 20 s");
    for node in &nodes {
        assert!(node.status(ms(20_000)).staleness.is_none_or(|staleness| staleness > ms(15_000)));
    }
}

/// Sends a node a fresh heartbeat of the node with this name and address.
fn send_heartbeat(node: &mut Node, now: Duration, name: &str, address: SocketAddr) {
    let heartbeat = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips: Vec::new(),
        settings_digest: None,
    };
    node.on_message(now, identity(name), address, heartbeat);
}

/// A message between two nodes, given by their indices.
struct InFlight {
    from: usize,
    to: usize,
    message: Message,
}

/// The messages that one of two nodes sends to the other.
fn messages_to_other(from: usize, outputs: &[Output]) -> Vec<InFlight> {
    let other = 1 - from;
    let to_other = sent_messages(outputs).into_iter().filter(|(to, _)| *to == node_address(1 + other as u8));
    to_other.map(|(_, message)| InFlight { from, to: other, message }).collect()
}

#[test]
fn throttled_repair_request_is_not_looked_up() {
    let (mut node, now) = placed_member_with_heartbeat();
    let stream = stream(StreamKind::Purges);
    for first in (1..4096).step_by(64) {
        let purge = |object| AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(object)) };
        let entries = (first..first + 64).map(purge).collect();
        node.on_message(
            now,
            identity("parent"),
            node_address(1),
            Message::Batch { stream, first: SequenceNumber(first), entries },
        );
    }
    let all = Message::RepairRequest { stream, ranges: vec![(SequenceNumber(1), SequenceNumber(4096))] };
    let none = Message::RepairRequest { stream, ranges: vec![(SequenceNumber(9000), SequenceNumber(9001))] };
    while node.counters().repair_requests_throttled == 0 {
        node.on_message(now, identity("child"), node_address(100), all.clone());
    }
    // A request for entries that don't exist is throttled too: throttling comes before any lookup.
    node.on_message(now, identity("child"), node_address(100), none);
    assert_eq!(node.counters().repair_requests_throttled, 2);
}
