//! Lives of control nodes that follow one another, some with clocks that no one has.

mod world;

use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use world::*;

fn identity(name: &str) -> Identity {
    Identity { node: NodeId::of(name), incarnation: Incarnation(LIFE) }
}

fn purges_of(life: u64) -> StreamId {
    StreamId { control: ControlId(0), kind: StreamKind::Purges, incarnation: Incarnation(life) }
}

fn batch(stream: StreamId, first: u64, objects: std::ops::Range<u64>) -> Message {
    let purge = |object| AgedEntry { age_ms: 0, entry: Entry::Purge(Purge::object(object)) };
    Message::Batch { stream, first: SequenceNumber(first), entries: objects.map(purge).collect() }
}

fn at(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7000))
}

/// A member placed below a parent.
fn placed() -> Node {
    let config = NodeConfig {
        identity: identity("me"),
        control_id: None,
        control: vec![Peer { node: NodeId::of(&control_name(0)), address: at(0) }],
        seeds: Vec::new(),
        purge_window: WINDOW,
        bytes_per_second: 6000,
        heartbeat_interval: PULSE,
    };
    let mut node = Node::new(config, None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let parents = vec![Peer { node: NodeId::of("parent"), address: at(1) }];
    let listing_hash =
        Message::Placement { directory_version: 1, listing_hash: 7, region: 0, slot: 1, slots: 2, parents };
    node.on_message(ms(10), identity(&control_name(0)), at(0), listing_hash);
    node
}

fn pulse(node: &mut Node, now: Duration, tips: Vec<StreamTip>) -> Vec<Output> {
    let pulse = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips,
        settings_digest: None,
    };
    node.on_message(now, identity("parent"), at(1), pulse)
}

fn tip(stream: StreamId, last: u64) -> StreamTip {
    StreamTip { stream, first: SequenceNumber(1), last: SequenceNumber(last) }
}

/// Its parent was cut off from a control node for long, which has published more and begun anew; when they meet, the
/// later life is heard of first.
#[test]
fn a_life_that_was_quiet_here_is_not_over_when_a_later_one_is_heard_of_first() {
    let mut node = placed();
    let (one, two) = (purges_of(LIFE), purges_of(LIFE + 1));
    let mut now = ms(20);
    node.on_message(now, identity("parent"), at(1), batch(one, 1, 1..2));
    while now < s(60) {
        pulse(&mut node, now, vec![tip(one, 1)]);
        now += PULSE;
        node.tick(now);
    }
    let mut given = node.on_message(now, identity("parent"), at(1), batch(two, 1, 100..101));
    given.extend(node.tick(now + ms(250)));
    now += PULSE;
    given.extend(pulse(&mut node, now, vec![tip(one, 3), tip(two, 1)]));
    let asked = node.tick(now + PULSE);
    let ask = Message::RepairRequest { stream: one, ranges: vec![(SequenceNumber(2), SequenceNumber(3))] };
    let asks = asked.iter().any(|out| matches!(out, Output::Send { message, .. } if *message == ask));
    let floored = given.iter().any(|out| match out {
        Output::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    });
    assert!(asks || floored, "{given:?} {asked:?}");
    given.extend(node.on_message(now + PULSE, identity("parent"), at(1), batch(one, 2, 2..4)));
    let taken = node.counters().accepted;
    assert!(taken == 4 || floored, "{taken} taken");
    // In the end it goes.
    for _ in 0..20 {
        now += PULSE;
        pulse(&mut node, now, vec![tip(two, 1)]);
        node.tick(now);
    }
    assert_eq!(node.counters().streams_retired, 1);
}

/// Two halves of a fleet, each with a control node; one of these begins anew shortly before they meet.
#[test]
fn two_halves_that_meet_after_a_publisher_began_anew_pass_nothing_over() {
    for before_meeting in [ms(300), ms(1000), ms(2000), ms(4000)] {
        for seed in 0..4 {
            meets_after_a_restart(before_meeting, seed);
        }
    }
}

fn meets_after_a_restart(before_meeting: Duration, seed: u64) {
    let mut world = World::new(2, &[&[6], &[6]], 70 + seed);
    world.run(s(6));
    // The halves: a control node and a region each.
    let side = |world: &World, index: usize| match index {
        0 | 1 => index,
        _ => usize::from(world.nodes[index].name.starts_with("m-1")),
    };
    let mut cut = BTreeSet::new();
    for one in 0..world.nodes.len() {
        cut.extend(
            (one..world.nodes.len())
                .filter(|other| side(&world, one) != side(&world, *other))
                .map(|other| (one, other)),
        );
    }
    let mut object = 0;
    let mut owed = Vec::new();
    let mut play = |world: &mut World, span: Duration| {
        let until = world.now + span;
        while world.now < until {
            object += 1;
            owed.push((object, world.now));
            world.purge(0, object);
            world.run(ms(500).min(until - world.now));
        }
    };
    play(&mut world, s(4));
    world.cut = cut;
    play(&mut world, s(40));
    world.restart(0, LIFE + 50_000);
    play(&mut world, before_meeting);
    let met = world.now;
    world.cut.clear();
    play(&mut world, s(12));
    world.run(s(30));
    for (object, published) in owed {
        // What was past the window when they met binds nobody.
        for index in world.members().filter(|_| published + WINDOW > met + s(2)) {
            let name = &world.nodes[index].name;
            assert!(
                world.covered(index, object, published),
                "{object} at {name}, {before_meeting:?}, seed {seed}"
            );
        }
    }
}

/// More lives than streams are held: one that must go may still have purges that are not here.
#[test]
fn a_life_that_must_make_room_leaves_a_floor() {
    let mut node = placed();
    let now = ms(20);
    for life in 0..MAX_STREAMS as u64 {
        let id = purges_of(LIFE + life);
        node.on_message(now, identity("parent"), at(1), batch(id, 1, life..life + 1));
        pulse(&mut node, now, vec![tip(id, 1)]);
    }
    assert_eq!((node.counters().streams_retired, node.counters().substitute_purges), (0, 0));
    let outputs =
        node.on_message(now, identity("parent"), at(1), batch(purges_of(LIFE + 1000), 1, 999..1000));
    let floor = |out: &Output| match out {
        Output::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    };
    assert!(outputs.iter().any(floor), "{outputs:?}");
    assert_eq!((node.counters().streams_retired, node.counters().substitute_purges), (1, 1));
}

fn control(index: usize) -> Node {
    control_of(index, LIFE)
}

fn control_of(index: usize, life: u64) -> Node {
    let peer = |index: usize| Peer { node: NodeId::of(&control_name(index)), address: at(index as u8) };
    let config = NodeConfig {
        identity: Identity { node: NodeId::of(&control_name(index)), incarnation: Incarnation(life) },
        control_id: Some(ControlId(index as u8)),
        control: (0..3).map(peer).collect(),
        seeds: Vec::new(),
        purge_window: WINDOW,
        bytes_per_second: 6000,
        heartbeat_interval: PULSE,
    };
    let mut node = Node::new(config, None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    node
}

fn published(node: &mut Node, now: Duration, what: Publication) -> Vec<Message> {
    let (ids, mut outputs) = node.publish(now, vec![what]);
    assert_eq!(ids.len(), 1);
    while node.next_due() <= now + PULSE {
        outputs.extend(node.tick(node.next_due()));
    }
    let batches = outputs.into_iter().filter_map(|out| match out {
        Output::Send { message: message @ Message::Batch { .. }, .. } => Some(message),
        _ => None,
    });
    batches.collect()
}

/// One frame names a life of a clock that nobody has. Whatever it is, the control node's own purges go on to be taken.
#[test]
fn no_life_that_one_frame_names_shuts_a_control_node_out() {
    for life in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX - 1, u64::MAX] {
        let (mut member, mut own) = (placed(), control(0));
        let named = purges_of(life);
        let mut now = ms(20);
        let first =
            published(&mut own, now, Publication::Purge { purge: Purge::object(1), age: Duration::ZERO });
        member.on_message(now, identity(&control_name(0)), at(0), first[0].clone());
        member.on_message(now, identity("m"), at(5), batch(named, 1, 50..51));
        own.on_message(now, identity("m"), at(5), batch(named, 1, 50..51));
        // What a member knows of a later life it says to the control node.
        for object in 2..80 {
            // Once it is quiet for so long that a life which another follows is over.
            for _ in 0..if object == 10 { 40 } else { 1 } {
                now += PULSE;
                pulse(&mut member, now, Vec::new());
                member.tick(now);
                own.tick(now);
            }
            let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
            let frames = published(&mut own, now, purge);
            assert!(!frames.is_empty(), "life {life}: {object} was not sent");
            let publisher = own.status(now).identity;
            let taken = member.counters().accepted;
            pulse(&mut member, now, Vec::new());
            for frame in frames {
                for out in member.on_message(now, publisher, at(0), frame) {
                    match out {
                        Output::Send { to, message } if to == at(0) => {
                            drop(own.on_message(now, identity("me"), at(7), message))
                        }
                        _ => {}
                    }
                }
            }
            member.tick(now);
            assert!(member.counters().accepted > taken, "life {life}: {object} was not taken");
        }
    }
}

/// Its own clock is one that nobody has: it publishes under a life that all take, and above which others can begin.
#[test]
fn a_control_node_whose_clock_is_far_ahead_is_taken_and_followed() {
    for life in [1 << 42, (1 << 43) - 1, u64::MAX] {
        let (mut member, mut ahead) = (placed(), control_of(0, life));
        let publications = [
            Publication::Purge { purge: Purge::object(1), age: Duration::ZERO },
            Publication::Setting { host: "h".to_owned(), desired: DesiredState::Gone },
        ];
        for (now, publication) in [ms(100), ms(700)].into_iter().zip(publications) {
            let taken = member.counters().accepted;
            for frame in published(&mut ahead, now, publication) {
                member.on_message(now, identity("parent"), at(1), frame);
            }
            assert!(member.counters().accepted > taken, "life {life}");
        }
        assert_eq!(member.status(ms(700)).desired.len(), 1);
        // The next life has the right clock again: it is told to begin above.
        let outputs = member.on_message(ms(800), identity(&control_name(0)), at(0), Message::Leave);
        let notice = outputs.iter().find_map(|out| match out {
            Output::Send { message: message @ Message::SupersededIncarnation { .. }, .. } => {
                Some(message.clone())
            }
            _ => None,
        });
        let mut next = control(0);
        let outputs = next.on_message(ms(200), identity("me"), at(7), notice.expect("told"));
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

/// One frame brings a setting whose stamp no clock has. What the control node publishes later is taken by others.
#[test]
fn no_stamp_that_one_frame_brings_keeps_later_settings_from_being_taken() {
    for timestamp in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX] {
        let (mut member, mut own) = (placed(), control(0));
        let stream = StreamId {
            control: ControlId(1),
            kind: StreamKind::Configuration,
            incarnation: Incarnation(LIFE),
        };
        let entries = vec![AgedEntry { age_ms: 0, entry: Entry::Setting(setting("poisoned", timestamp)) }];
        let poison = Message::Batch { stream, first: SequenceNumber(1), entries };
        own.on_message(ms(20), identity(&control_name(1)), at(1), poison);
        let clock = HybridTimestamp { unix_ms: timestamp, control: 1 };
        own.on_message(
            ms(20),
            identity(&control_name(1)),
            at(1),
            Message::RegionReports { directory_version: 1, clock, reports: Vec::new() },
        );
        for index in 0..3 {
            let setting =
                Publication::Setting { host: format!("host-{index}"), desired: DesiredState::Draining };
            for frame in published(&mut own, ms(100 + 600 * index), setting) {
                member.on_message(ms(100 + 600 * index), identity(&control_name(0)), at(0), frame);
            }
        }
        assert_eq!(member.status(ms(3000)).desired.len(), 3, "{timestamp}");
    }
}

/// What can't be numbered above the version it replaces isn't published: an entry that nobody takes would be a gap.
#[test]
fn a_setting_above_every_clock_is_not_published() {
    let mut own = control(0);
    let stream =
        StreamId { control: ControlId(1), kind: StreamKind::Configuration, incarnation: Incarnation(LIFE) };
    let entries = vec![AgedEntry {
        age_ms: 0,
        entry: Entry::Setting(setting("h", rockflow_dissemination::MAX_CLOCK_UNIX_MS)),
    }];
    own.on_message(
        ms(20),
        identity(&control_name(1)),
        at(1),
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

/// Frames that claim a further own stream come as fast as anybody sends them.
#[test]
fn a_control_node_begins_again_once_a_pulse_at_the_most() {
    let mut own = control(0);
    for object in 0..2000 {
        let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
        own.publish(ms(20), vec![purge]);
    }
    let mut lives = 0;
    for frame in 0..100 {
        let named = purges_of(LIFE + 10 * frame + 5);
        let outputs = own.on_message(ms(30 + frame), identity("m"), at(5), batch(named, 1, 0..1));
        lives += outputs.iter().filter(|out| matches!(out, Output::IncarnationSuperseded { .. })).count();
    }
    assert_eq!(lives, 1);
    // The next pulse brings what it has not answered.
    let named = purges_of(LIFE + 5000);
    let outputs = own.on_message(ms(1000), identity("m"), at(5), batch(named, 1, 0..1));
    assert!(
        outputs.contains(&Output::IncarnationSuperseded { incarnation: Incarnation(LIFE + 5001) }),
        "{outputs:?}"
    );
}

/// Places are answered by a pace, as the answer is ten times as large as what asks for it.
#[test]
fn places_are_answered_as_far_as_there_are_bytes() {
    let mut own = control(0);
    let directory = Directory::parse(&csv(1, 3, &[&[9, 9, 9]])).expect("a directory");
    own.set_directory(ms(10), directory);
    let mut bytes = 0;
    for _ in 0..50_000 {
        for out in own.on_message(ms(20), identity("m-0-2-8"), at(9), Message::Join { directory_version: 0 })
        {
            if let Output::Send { message: message @ Message::Placement { .. }, .. } = out {
                bytes += postcard::to_stdvec(&message).expect("encodes").len();
            }
        }
    }
    // Ten seconds of half of 64 members' bytes.
    assert!((500_000..=1_920_000).contains(&bytes), "{bytes}");
    assert!(own.counters().repair_requests_throttled > 0);
}

/// Its own next stream has to make room; what went is counted, as where another's does.
#[test]
fn an_own_stream_that_makes_room_counts_what_went() {
    let mut own = control(0);
    for life in 0..MAX_STREAMS as u64 {
        let id = StreamId { control: ControlId(1), ..purges_of(LIFE + life) };
        own.on_message(ms(20), identity(&control_name(1)), at(1), batch(id, 1, life..life + 1));
    }
    assert_eq!(own.counters().streams_retired, 0);
    let purge = Publication::Purge { purge: Purge::object(1), age: Duration::ZERO };
    let (ids, _) = own.publish(ms(30), vec![purge]);
    assert_eq!((ids.len(), own.counters().streams_retired, own.counters().substitute_purges), (1, 1, 1));
}
