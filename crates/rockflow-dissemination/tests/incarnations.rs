//! Incarnations of control nodes that follow one another, some with impossible clocks.

mod support;

use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::*;

fn purges_of(incarnation: u64) -> StreamId {
    StreamId { control: ControlId(0), kind: StreamKind::Purges, incarnation: Incarnation(incarnation) }
}

fn batch(stream: StreamId, first: u64, objects: std::ops::Range<u64>) -> Message {
    let purge = |object| AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(object)) };
    Message::Batch { stream, first: SequenceNumber(first), entries: objects.map(purge).collect() }
}

fn tip(stream: StreamId, last: u64) -> StreamTip {
    StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(last) }
}

/// The parent was cut off from a control node for long, which has published more and restarted; when they rejoin, the
/// later incarnation is received first.
#[test]
fn quiet_incarnation_is_not_retired_when_a_later_one_is_received_first() {
    let mut node = placed_member();
    let (one, two) = (purges_of(INCARNATION), purges_of(INCARNATION + 1));
    let mut now = ms(20);
    node.on_message(now, identity("parent"), node_address(1), batch(one, 1, 1..2));
    while now < s(60) {
        parent_heartbeat(&mut node, now, vec![tip(one, 1)]);
        now += HEARTBEAT_INTERVAL;
        node.tick(now);
    }
    let mut given = node.on_message(now, identity("parent"), node_address(1), batch(two, 1, 100..101));
    given.extend(node.tick(now + ms(250)));
    now += HEARTBEAT_INTERVAL;
    given.extend(parent_heartbeat(&mut node, now, vec![tip(one, 3), tip(two, 1)]));
    let asked = node.tick(now + HEARTBEAT_INTERVAL);
    let ask = Message::RepairRequest { stream: one, ranges: vec![(SequenceNumber(2), SequenceNumber(3))] };
    let asks = asked.iter().any(|out| matches!(out, Output::Send { message, .. } if *message == ask));
    let floored = given.iter().any(|out| match out {
        Output::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    });
    assert!(asks || floored, "{given:?} {asked:?}");
    given.extend(node.on_message(
        now + HEARTBEAT_INTERVAL,
        identity("parent"),
        node_address(1),
        batch(one, 2, 2..4),
    ));
    let taken = node.counters().accepted;
    assert!(taken == 4 || floored, "{taken} taken");
    // In the end it is retired.
    for _ in 0..20 {
        now += HEARTBEAT_INTERVAL;
        parent_heartbeat(&mut node, now, vec![tip(two, 1)]);
        node.tick(now);
    }
    assert_eq!(node.counters().streams_retired, 1);
}

/// Two halves of a fleet, each with a control node; one of these restarts shortly before they rejoin.
#[test]
fn halves_that_rejoin_after_a_publisher_restart_miss_nothing() {
    for before_rejoining in [ms(300), ms(1000), ms(2000), ms(4000)] {
        for seed in 0..4 {
            rejoins_after_a_restart(before_rejoining, seed);
        }
    }
}

fn rejoins_after_a_restart(before_rejoining: Duration, seed: u64) {
    let mut fleet = Fleet::new(2, &[&[6], &[6]], 70 + seed);
    fleet.run(s(6));
    // The halves: a control node and a region each.
    let side = |fleet: &Fleet, index: usize| match index {
        0 | 1 => index,
        _ => usize::from(fleet.nodes[index].name.starts_with("m-1")),
    };
    let mut cut = BTreeSet::new();
    for one in 0..fleet.nodes.len() {
        cut.extend(
            (one..fleet.nodes.len())
                .filter(|other| side(&fleet, one) != side(&fleet, *other))
                .map(|other| (one, other)),
        );
    }
    let mut object = 0;
    let mut owed = Vec::new();
    let mut play = |fleet: &mut Fleet, span: Duration| {
        let until = fleet.now + span;
        while fleet.now < until {
            object += 1;
            owed.push((object, fleet.now));
            fleet.purge(0, object);
            fleet.run(ms(500).min(until - fleet.now));
        }
    };
    play(&mut fleet, s(4));
    fleet.cut = cut;
    play(&mut fleet, s(40));
    fleet.restart(0, INCARNATION + 50_000);
    play(&mut fleet, before_rejoining);
    let met = fleet.now;
    fleet.cut.clear();
    play(&mut fleet, s(12));
    fleet.run(s(30));
    for (object, published) in owed {
        // What had expired when they rejoined does not have to be applied.
        for index in fleet.members().filter(|_| published + PURGE_WINDOW > met + s(2)) {
            let name = &fleet.nodes[index].name;
            assert!(
                fleet.covered(index, object, published),
                "{object} at {name}, {before_rejoining:?}, seed {seed}"
            );
        }
    }
}

/// More incarnations than streams are held: an evicted one may still have purges that are not here.
#[test]
fn evicted_incarnation_is_covered_by_a_full_purge() {
    let mut node = placed_member();
    let now = ms(20);
    for incarnation in 0..MAX_STREAMS as u64 {
        let id = purges_of(INCARNATION + incarnation);
        node.on_message(now, identity("parent"), node_address(1), batch(id, 1, incarnation..incarnation + 1));
        parent_heartbeat(&mut node, now, vec![tip(id, 1)]);
    }
    assert_eq!((node.counters().streams_retired, node.counters().substitute_purges), (0, 0));
    let outputs = node.on_message(
        now,
        identity("parent"),
        node_address(1),
        batch(purges_of(INCARNATION + 1000), 1, 999..1000),
    );
    let full_purge = |out: &Output| match out {
        Output::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    };
    assert!(outputs.iter().any(full_purge), "{outputs:?}");
    assert_eq!((node.counters().streams_retired, node.counters().substitute_purges), (1, 1));
}

fn control(index: usize) -> Node {
    control_of(index, INCARNATION)
}

fn control_of(index: usize, incarnation: u64) -> Node {
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

fn published(node: &mut Node, now: Duration, what: Publication) -> Vec<Message> {
    let (ids, mut outputs) = node.publish(now, vec![what]);
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

/// One message names an impossible incarnation. Whatever it is, the control node's own purges are still accepted.
#[test]
fn absurd_incarnation_in_one_message_does_not_lock_out_a_control_node() {
    for incarnation in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX - 1, u64::MAX] {
        let (mut member, mut own) = (placed_member(), control(0));
        let named = purges_of(incarnation);
        let mut now = ms(20);
        let first =
            published(&mut own, now, Publication::Purge { purge: Purge::object(1), age: Duration::ZERO });
        member.on_message(now, identity(&control_name(0)), node_address(0), first[0].clone());
        member.on_message(now, identity("m"), node_address(5), batch(named, 1, 50..51));
        own.on_message(now, identity("m"), node_address(5), batch(named, 1, 50..51));
        // A member tells the control node of a later incarnation that it knows.
        for object in 2..80 {
            // Once it is quiet for so long that a superseded incarnation is retired.
            for _ in 0..if object == 10 { 40 } else { 1 } {
                now += HEARTBEAT_INTERVAL;
                parent_heartbeat(&mut member, now, Vec::new());
                member.tick(now);
                own.tick(now);
            }
            let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
            let frames = published(&mut own, now, purge);
            assert!(!frames.is_empty(), "life {incarnation}: {object} was not sent");
            let publisher = own.status(now).identity;
            let taken = member.counters().accepted;
            parent_heartbeat(&mut member, now, Vec::new());
            for frame in frames {
                for out in member.on_message(now, publisher, node_address(0), frame) {
                    match out {
                        Output::Send { to, message } if to == node_address(0) => {
                            drop(own.on_message(now, identity("me"), node_address(7), message))
                        }
                        _ => {}
                    }
                }
            }
            member.tick(now);
            assert!(member.counters().accepted > taken, "life {incarnation}: {object} was not taken");
        }
    }
}

/// Its own clock is impossible: it publishes under an incarnation that all accept, and above which others can continue.
#[test]
fn accepts_control_node_with_clock_far_ahead_and_its_successor() {
    for incarnation in [1 << 42, (1 << 43) - 1, u64::MAX] {
        let (mut member, mut ahead) = (placed_member(), control_of(0, incarnation));
        let publications = [
            Publication::Purge { purge: Purge::object(1), age: Duration::ZERO },
            Publication::Setting { host: "h".to_owned(), desired: DesiredState::Gone },
        ];
        for (now, publication) in [ms(100), ms(700)].into_iter().zip(publications) {
            let taken = member.counters().accepted;
            for frame in published(&mut ahead, now, publication) {
                member.on_message(now, identity("parent"), node_address(1), frame);
            }
            assert!(member.counters().accepted > taken, "life {incarnation}");
        }
        assert_eq!(member.status(ms(700)).desired.len(), 1);
        // The next incarnation has the right clock again: it is told to continue above.
        let outputs = member.on_message(ms(800), identity(&control_name(0)), node_address(0), Message::Leave);
        let notice = outputs.iter().find_map(|out| match out {
            Output::Send { message: message @ Message::SupersededIncarnation { .. }, .. } => {
                Some(message.clone())
            }
            _ => None,
        });
        let mut next = control(0);
        let outputs = next.on_message(ms(200), identity("me"), node_address(7), notice.expect("told"));
        assert!(outputs.iter().any(|out| matches!(out, Output::IncarnationSuperseded { .. })), "{outputs:?}");
    }
}

fn setting(host: &str, at: u64) -> HostSetting {
    let timestamp = HybridTimestamp { unix_ms: at, control: 1 };
    HostSetting {
        host: host.to_owned(),
        desired: DesiredState::Gone,
        timestamp,
        replaced: HybridTimestamp::default(),
    }
}

/// One message has a setting with an impossible timestamp. What the control node publishes later is still accepted.
#[test]
fn absurd_timestamp_in_one_message_does_not_block_later_settings() {
    for timestamp in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX] {
        let (mut member, mut own) = (placed_member(), control(0));
        let stream = StreamId {
            control: ControlId(1),
            kind: StreamKind::Configuration,
            incarnation: Incarnation(INCARNATION),
        };
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Setting(setting("poisoned", timestamp)) }];
        let poison = Message::Batch { stream, first: SequenceNumber(1), entries };
        own.on_message(ms(20), identity(&control_name(1)), node_address(1), poison);
        let clock = HybridTimestamp { unix_ms: timestamp, control: 1 };
        own.on_message(
            ms(20),
            identity(&control_name(1)),
            node_address(1),
            Message::RegionReports { directory_version: 1, clock, reports: Vec::new() },
        );
        for index in 0..3 {
            let setting =
                Publication::Setting { host: format!("host-{index}"), desired: DesiredState::Draining };
            for frame in published(&mut own, ms(100 + 600 * index), setting) {
                member.on_message(ms(100 + 600 * index), identity(&control_name(0)), node_address(0), frame);
            }
        }
        assert_eq!(member.status(ms(3000)).desired.len(), 3, "{timestamp}");
    }
}

/// A setting that can't be stamped above the version it replaces isn't published: an entry that no node accepts would be a
/// gap.
#[test]
fn rejects_publication_of_setting_above_every_clock() {
    let mut own = control(0);
    let stream = StreamId {
        control: ControlId(1),
        kind: StreamKind::Configuration,
        incarnation: Incarnation(INCARNATION),
    };
    let entries = vec![AgedEntry {
        age_ms: 0,
        entry: Entry::Setting(setting("h", rockflow_dissemination::MAX_CLOCK_UNIX_MS)),
    }];
    own.on_message(
        ms(20),
        identity(&control_name(1)),
        node_address(1),
        Message::Batch { stream, first: SequenceNumber(1), entries },
    );
    let not_taken = own.counters().entries_rejected;
    let (ids, _) = own
        .publish(ms(30), vec![Publication::Setting { host: "h".to_owned(), desired: DesiredState::Listed }]);
    assert_eq!((ids, own.counters().entries_rejected), (Vec::new(), not_taken + 1));
    let (ids, _) =
        own.publish(ms(30), vec![Publication::Setting { host: "g".to_owned(), desired: DesiredState::Gone }]);
    assert_eq!(ids.len(), 1);
}

/// Messages that claim a further own stream arrive as fast as anybody sends them.
#[test]
fn reincarnates_at_most_once_a_heartbeat() {
    let mut own = control(0);
    for object in 0..2000 {
        let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
        own.publish(ms(20), vec![purge]);
    }
    let mut incarnations = 0;
    for frame in 0..100 {
        let named = purges_of(INCARNATION + 10 * frame + 5);
        let outputs = own.on_message(ms(30 + frame), identity("m"), node_address(5), batch(named, 1, 0..1));
        incarnations +=
            outputs.iter().filter(|out| matches!(out, Output::IncarnationSuperseded { .. })).count();
    }
    assert_eq!(incarnations, 1);
    // The next heartbeat brings what it has not answered.
    let named = purges_of(INCARNATION + 5000);
    let outputs = own.on_message(ms(1000), identity("m"), node_address(5), batch(named, 1, 0..1));
    assert!(
        outputs.contains(&Output::IncarnationSuperseded { incarnation: Incarnation(INCARNATION + 5001) }),
        "{outputs:?}"
    );
}

/// Answers to joins are rate-limited, as they are ten times as large as the request.
#[test]
fn join_answers_are_rate_limited() {
    let mut own = control(0);
    let directory = Directory::parse(&csv(1, 3, &[&[9, 9, 9]])).expect("a directory");
    own.set_directory(ms(10), directory);
    let mut bytes = 0;
    for _ in 0..50_000 {
        for out in own.on_message(
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
    // Ten seconds of half of 64 members' bytes.
    assert!((500_000..=1_920_000).contains(&bytes), "{bytes}");
    assert!(own.counters().repair_requests_throttled > 0);
}

/// The node's own next stream evicts another; that is counted as for a received stream.
#[test]
fn eviction_by_own_stream_is_counted() {
    let mut own = control(0);
    for incarnation in 0..MAX_STREAMS as u64 {
        let id = StreamId { control: ControlId(1), ..purges_of(INCARNATION + incarnation) };
        own.on_message(
            ms(20),
            identity(&control_name(1)),
            node_address(1),
            batch(id, 1, incarnation..incarnation + 1),
        );
    }
    assert_eq!(own.counters().streams_retired, 0);
    let purge = Publication::Purge { purge: Purge::object(1), age: Duration::ZERO };
    let (ids, _) = own.publish(ms(30), vec![purge]);
    assert_eq!((ids.len(), own.counters().streams_retired, own.counters().substitute_purges), (1, 1, 1));
}
