//! A member alone, whose neighbours the test plays.

mod support;

use rockflow_dissemination::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::{identity, member_config, ms, node_address, parent_heartbeat, place_below_parent, INCARNATION};

fn config() -> NodeConfig {
    NodeConfig { seeds: vec![node_address(9)], ..member_config() }
}

fn sent(outputs: &[Output]) -> Vec<(SocketAddr, Message)> {
    let sent = outputs.iter().filter_map(|out| match out {
        Output::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    });
    sent.collect()
}

fn ticks(node: &mut Node, until: Duration) -> Vec<Output> {
    let mut outputs = Vec::new();
    while node.next_due() <= until {
        outputs.extend(node.tick(node.next_due()));
    }
    outputs
}

fn stream(kind: StreamKind) -> StreamId {
    StreamId { control: ControlId(0), kind, incarnation: Incarnation(INCARNATION) }
}

/// A member that is placed below a parent and has received its heartbeat.
fn placed() -> (Node, Duration) {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outputs = place_below_parent(&mut node);
    assert!(
        matches!(sent(&outputs)[..], [(to, Message::Acknowledgement { .. })] if to == node_address(1)),
        "{outputs:?}"
    );
    parent_heartbeat(&mut node, ms(20), Vec::new());
    (node, ms(20))
}

fn applied(node: &Node, now: Duration, kind: StreamKind) -> SequenceNumber {
    let status = node.status(now);
    status
        .streams
        .iter()
        .find(|held| held.stream == stream(kind))
        .map(|held| held.applied)
        .unwrap_or_default()
}

#[test]
fn full_purge_is_as_old_as_the_snapshot_says() {
    let (mut node, now) = placed();
    let tip = StreamTip {
        stream: stream(StreamKind::Purges),
        first: SequenceNumber(100),
        last: SequenceNumber(120),
    };
    parent_heartbeat(&mut node, now, vec![tip]);
    let outputs = ticks(&mut node, now + ms(1));
    let ask = Message::RepairRequest { stream: tip.stream, ranges: Vec::new() };
    assert!(sent(&outputs).contains(&(node_address(1), ask)), "{outputs:?}");
    let snapshot =
        Message::Snapshot { stream: tip.stream, next: SequenceNumber(121), min_accepted_age_ms: Some(3000) };
    let outputs = node.on_message(now + ms(5), identity("parent"), node_address(1), snapshot.clone());
    let [Output::Purge { purges, token }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!(purges[..], [(Purge::Everything, ms(3000))]);
    assert_eq!(applied(&node, now, StreamKind::Purges), SequenceNumber(0));
    node.confirm_applied(now + ms(6), *token);
    assert_eq!(applied(&node, now, StreamKind::Purges), SequenceNumber(120));
    assert!(
        node.on_message(now + ms(7), identity("parent"), node_address(1), snapshot).is_empty(),
        "a second changes nothing"
    );
}

#[test]
fn token_with_all_settings_rejected_does_not_block() {
    let (mut node, now) = placed();
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
    assert_eq!(applied(&node, now, StreamKind::Configuration), SequenceNumber(0));
    node.reject(now, changed[1].0, RejectionReason::LastOne);
    assert_eq!(applied(&node, now, StreamKind::Configuration), SequenceNumber(2));
    assert_eq!(node.status(now).rejected.len(), 2);
}

#[test]
fn later_log_start_is_applied_only_with_the_whole_table() {
    let (mut node, now) = placed();
    let stream = stream(StreamKind::Configuration);
    parent_heartbeat(
        &mut node,
        now,
        vec![StreamTip { stream, first: SequenceNumber(50), last: SequenceNumber(60) }],
    );
    let snapshot = Message::Snapshot { stream, next: SequenceNumber(61), min_accepted_age_ms: None };
    let outputs = node.on_message(now + ms(5), identity("parent"), node_address(1), snapshot);
    assert!(sent(&outputs).contains(&(node_address(1), Message::SettingsRequest { part: 0 })), "{outputs:?}");
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
    for (at, number) in [(1, 60), (0, 59)] {
        assert_eq!(applied(&node, now, StreamKind::Configuration), SequenceNumber(0));
        let outputs = node.on_message(now + ms(6), identity("parent"), node_address(1), part(at, number));
        let given = outputs.iter().filter_map(|out| match out {
            Output::Configure { token, .. } => Some(*token),
            _ => None,
        });
        tokens.extend(given);
    }
    node.confirm_applied(now + ms(7), tokens[0]);
    assert_eq!(applied(&node, now, StreamKind::Configuration), SequenceNumber(0));
    node.confirm_applied(now + ms(7), tokens[1]);
    assert_eq!(applied(&node, now, StreamKind::Configuration), SequenceNumber(60));
}

#[test]
fn follows_seed_without_an_answer_from_control() {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outputs = ticks(&mut node, ms(20_000));
    let to_seed = sent(&outputs).into_iter().any(|(to, message)| {
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

/// Half of the control nodes may be out of reach: three joins in vain, and what follows the fourth, fit into the window.
#[test]
fn member_without_place_joins_every_two_heartbeats() {
    let mut node = Node::new(config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let mut last = Duration::ZERO;
    while last < ms(600_000) {
        let now = node.next_due();
        let asked =
            sent(&node.tick(now)).into_iter().any(|(_, message)| matches!(message, Message::Join { .. }));
        if asked {
            last = now;
        }
        assert!(now - last <= 2 * config().heartbeat_interval, "{:?}", now - last);
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
    let sent = sent(&outputs);
    assert!(
        matches!(&sent[..], [(to, Message::Acknowledgement { reports, .. })] if *to == node_address(0) && reports.is_empty())
    );
}

#[test]
fn rejects_child_beyond_the_limit() {
    let (mut node, now) = placed();
    let ack = Message::Acknowledgement { received: Vec::new(), reports: Vec::new() };
    for child in 0..=MAX_CHILDREN as u8 {
        let outputs =
            node.on_message(now, identity(&format!("child-{child}")), node_address(100 + child), ack.clone());
        let first = sent(&outputs).into_iter().next().map(|(_, message)| message);
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
    let (mut node, now) = placed();
    let ack = Message::Acknowledgement { received: Vec::new(), reports: Vec::new() };
    node.on_message(now, identity("child"), node_address(100), ack);
    let mut passed = 0;
    let batch = |object: u64| Message::Batch {
        stream: stream(StreamKind::Purges),
        first: SequenceNumber(1),
        entries: vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(object)) }],
    };
    let mut purges = Vec::new();
    for object in [1, 2, 1, 2] {
        let outputs = node.on_message(now, identity("parent"), node_address(1), batch(object));
        let batches = sent(&outputs).into_iter().filter(|(_, message)| *message == batch(object));
        passed += batches.filter(|(to, _)| *to == node_address(100)).count();
        for out in outputs {
            if let Output::Purge { purges: new, .. } = out {
                purges.extend(new.into_iter().map(|(purge, _)| purge));
            }
        }
    }
    assert_eq!(purges, [Purge::object(1), Purge::object(2)]);
    assert_eq!(passed, 2);
    assert_eq!((node.counters().conflicts, node.counters().duplicates), (1, 2));
}

#[test]
fn caller_that_never_confirms_gets_a_full_purge() {
    let (mut node, now) = placed();
    let mut last = Vec::new();
    for number in 1..=rockflow_dissemination::MAX_PENDING_TOKENS as u64 + 1 {
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(number)) }];
        let batch =
            Message::Batch { stream: stream(StreamKind::Purges), first: SequenceNumber(number), entries };
        last = node.on_message(now, identity("parent"), node_address(1), batch);
    }
    let Some(Output::Purge { purges, token }) = last.last() else { panic!("{last:?}") };
    assert_eq!(purges[..], [(Purge::Everything, Duration::ZERO)]);
    assert_eq!(node.status(now).unconfirmed, 1);
    node.confirm_applied(now, *token);
    assert_eq!(applied(&node, now, StreamKind::Purges), SequenceNumber(4097));
}

#[test]
fn acknowledgement_limits_lagging_members() {
    let (mut node, now) = placed();
    let mut told_of = Vec::new();
    for incarnation in 0..8 {
        let stream =
            StreamId { incarnation: Incarnation(INCARNATION + incarnation), ..stream(StreamKind::Purges) };
        told_of.push(StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(10 + incarnation) });
    }
    parent_heartbeat(&mut node, now, told_of);
    let outputs = ticks(&mut node, now + ms(1200));
    let mut reports = sent(&outputs).into_iter().filter_map(|(_, message)| match message {
        Message::Acknowledgement { reports, .. } => reports.into_iter().next(),
        _ => None,
    });
    let behind = reports.next_back().expect("a report").lagging;
    assert_eq!(behind.len(), MAX_LAGGING);
    assert_eq!(behind[0].1.incarnation, Incarnation(INCARNATION + 7), "the worst first");
}

#[test]
fn repairs_are_requested_every_heartbeat_while_entries_arrive() {
    let (mut node, mut now) = placed();
    let stream = stream(StreamKind::Configuration);
    let entry = |number: u64| HostSetting {
        host: format!("host-{number}"),
        desired: DesiredState::Gone,
        timestamp: HybridTimestamp { unix_ms: INCARNATION + number, control: 0 },
        replaced: HybridTimestamp::default(),
    };
    // Each repair is followed by another gap, so that there is always one.
    for number in 1..60 {
        parent_heartbeat(
            &mut node,
            now,
            vec![StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(number + 1) }],
        );
        let outputs = ticks(&mut node, now + ms(600));
        let asked =
            sent(&outputs).into_iter().any(|(_, message)| matches!(message, Message::RepairRequest { .. }));
        assert!(asked, "{number}");
        now += ms(600);
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Setting(entry(number)) }];
        let batch = Message::Batch { stream, first: SequenceNumber(number), entries };
        node.on_message(now, identity("parent"), node_address(1), batch);
    }
}

/// An incarnation of a control node ends, and a later one is received after this silence; returns how many full purges result.
fn full_purges_after_a_later_incarnation(silence: Duration) -> u64 {
    let (mut node, mut now) = placed();
    let earlier =
        StreamTip { stream: stream(StreamKind::Purges), first: SequenceNumber(1), last: SequenceNumber(1) };
    let later = StreamId { incarnation: Incarnation(INCARNATION + 1), ..earlier.stream };
    let later = StreamTip { stream: later, ..earlier };
    let entries = || vec![AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(1)) }];
    let batch =
        |tip: StreamTip| Message::Batch { stream: tip.stream, first: SequenceNumber(1), entries: entries() };
    node.on_message(now, identity("parent"), node_address(1), batch(earlier));
    parent_heartbeat(&mut node, now, vec![earlier]);
    now += silence;
    ticks(&mut node, now);
    node.on_message(now, identity("parent"), node_address(1), batch(later));
    for _ in 0..30 {
        parent_heartbeat(&mut node, now, vec![later]);
        now += ms(500);
        ticks(&mut node, now);
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
        let listing_hash = Message::Placement {
            directory_version: 1,
            listing_hash: 7,
            region: 0,
            slot: index as u16,
            slots: 2,
            parents,
        };
        node.on_message(ms(1), identity("control-0"), node_address(0), listing_hash);
    }
    // One has received a fresh heartbeat once, as if from an earlier parent.
    heartbeat_of(&mut nodes[0], ms(1), "two", node_address(2));
    let mut frames: Vec<(usize, usize, Message)> = Vec::new();
    let mut count = 0;
    for at in 2..20_000 {
        let waiting = std::mem::take(&mut frames);
        for (from, to, message) in waiting {
            count += u32::from(matches!(message, Message::Heartbeat { .. }));
            let outputs =
                nodes[to].on_message(ms(at), identity(names[from]), node_address(1 + from as u8), message);
            frames.extend(between(to, &outputs));
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            if node.next_due() <= ms(at) {
                let outputs = node.tick(ms(at));
                frames.extend(between(index, &outputs));
            }
        }
    }
    assert!(count <= 2 * 2 * 20, "{count} pulses in 20 s");
    for node in &nodes {
        assert!(node.status(ms(20_000)).staleness.is_none_or(|stale| stale > ms(15_000)));
    }
}

fn heartbeat_of(node: &mut Node, now: Duration, name: &str, at: SocketAddr) {
    let pulse = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips: Vec::new(),
        settings_digest: None,
    };
    node.on_message(now, identity(name), at, pulse);
}

/// What one of the two sends to the other.
fn between(from: usize, outputs: &[Output]) -> Vec<(usize, usize, Message)> {
    let other = 1 - from;
    let to_other = sent(outputs).into_iter().filter(|(to, _)| *to == node_address(1 + other as u8));
    to_other.map(|(_, message)| (from, other, message)).collect()
}

#[test]
fn throttled_repair_request_costs_nothing() {
    let (mut node, now) = placed();
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
    // Throttled before what it requests is looked up at all.
    node.on_message(now, identity("child"), node_address(100), none);
    assert_eq!(node.counters().repair_requests_throttled, 2);
}
