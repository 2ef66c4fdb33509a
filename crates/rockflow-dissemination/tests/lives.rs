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
    StreamId { control: ControlId(0), kind: Kind::Purges, incarnation: Incarnation(life) }
}

fn batch(stream: StreamId, first: u64, objects: std::ops::Range<u64>) -> Message {
    let purge = |object| Aged { age_ms: 0, entry: Entry::Purge(Purge::object(object)) };
    Message::Batch { stream, first: Number(first), entries: objects.map(purge).collect() }
}

fn at(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7000))
}

/// A member placed below a parent.
fn placed() -> Node {
    let told = Told {
        me: identity("me"),
        control_id: None,
        control: vec![Peer { node: NodeId::of(&control_name(0)), address: at(0) }],
        seeds: Vec::new(),
        purge_window: WINDOW,
        bytes_per_second: 6000,
        pulse: PULSE,
    };
    let mut node = Node::new(told, None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let parents = vec![Peer { node: NodeId::of("parent"), address: at(1) }];
    let near = Message::Near { directory: 1, near: 7, region: 0, slot: 1, slots: 2, parents };
    node.hear(ms(10), identity(&control_name(0)), at(0), near);
    node
}

fn pulse(node: &mut Node, now: Duration, tips: Vec<Tip>) -> Vec<Out> {
    let pulse = Message::Pulse { stale_ms: 0, directory: 1, near: 7, tips, settings: None };
    node.hear(now, identity("parent"), at(1), pulse)
}

fn tip(stream: StreamId, last: u64) -> Tip {
    Tip { stream, first: Number(1), last: Number(last) }
}

/// Its parent was cut off from a control node for long, which has published more and begun anew; when they meet, the
/// later life is heard of first.
#[test]
fn a_life_that_was_quiet_here_is_not_over_when_a_later_one_is_heard_of_first() {
    let mut node = placed();
    let (one, two) = (purges_of(LIFE), purges_of(LIFE + 1));
    let mut now = ms(20);
    node.hear(now, identity("parent"), at(1), batch(one, 1, 1..2));
    while now < s(60) {
        pulse(&mut node, now, vec![tip(one, 1)]);
        now += PULSE;
        node.tick(now);
    }
    let mut given = node.hear(now, identity("parent"), at(1), batch(two, 1, 100..101));
    given.extend(node.tick(now + ms(250)));
    now += PULSE;
    given.extend(pulse(&mut node, now, vec![tip(one, 3), tip(two, 1)]));
    let asked = node.tick(now + PULSE);
    let ask = Message::Ask { stream: one, ranges: vec![(Number(2), Number(3))] };
    let asks = asked.iter().any(|out| matches!(out, Out::Send { message, .. } if *message == ask));
    let floored = given.iter().any(|out| match out {
        Out::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    });
    assert!(asks || floored, "{given:?} {asked:?}");
    given.extend(node.hear(now + PULSE, identity("parent"), at(1), batch(one, 2, 2..4)));
    let taken = node.counts().taken;
    assert!(taken == 4 || floored, "{taken} taken");
    // In the end it goes.
    for _ in 0..20 {
        now += PULSE;
        pulse(&mut node, now, vec![tip(two, 1)]);
        node.tick(now);
    }
    assert_eq!(node.counts().retired, 1);
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
        node.hear(now, identity("parent"), at(1), batch(id, 1, life..life + 1));
        pulse(&mut node, now, vec![tip(id, 1)]);
    }
    assert_eq!((node.counts().retired, node.counts().floors), (0, 0));
    let outs = node.hear(now, identity("parent"), at(1), batch(purges_of(LIFE + 1000), 1, 999..1000));
    let floor = |out: &Out| match out {
        Out::Purge { purges, .. } => purges.contains(&(Purge::Everything, Duration::ZERO)),
        _ => false,
    };
    assert!(outs.iter().any(floor), "{outs:?}");
    assert_eq!((node.counts().retired, node.counts().floors), (1, 1));
}

fn control(index: usize) -> Node {
    control_of(index, LIFE)
}

fn control_of(index: usize, life: u64) -> Node {
    let peer = |index: usize| Peer { node: NodeId::of(&control_name(index)), address: at(index as u8) };
    let told = Told {
        me: Identity { node: NodeId::of(&control_name(index)), incarnation: Incarnation(life) },
        control_id: Some(ControlId(index as u8)),
        control: (0..3).map(peer).collect(),
        seeds: Vec::new(),
        purge_window: WINDOW,
        bytes_per_second: 6000,
        pulse: PULSE,
    };
    let mut node = Node::new(told, None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    node
}

fn published(node: &mut Node, now: Duration, what: Publication) -> Vec<Message> {
    let (ids, mut outs) = node.publish(now, vec![what]);
    assert_eq!(ids.len(), 1);
    while node.next_due() <= now + PULSE {
        outs.extend(node.tick(node.next_due()));
    }
    let batches = outs.into_iter().filter_map(|out| match out {
        Out::Send { message: message @ Message::Batch { .. }, .. } => Some(message),
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
        member.hear(now, identity(&control_name(0)), at(0), first[0].clone());
        member.hear(now, identity("m"), at(5), batch(named, 1, 50..51));
        own.hear(now, identity("m"), at(5), batch(named, 1, 50..51));
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
            let me = own.survey(now).me;
            let taken = member.counts().taken;
            pulse(&mut member, now, Vec::new());
            for frame in frames {
                for out in member.hear(now, me, at(0), frame) {
                    match out {
                        Out::Send { to, message } if to == at(0) => {
                            drop(own.hear(now, identity("me"), at(7), message))
                        }
                        _ => {}
                    }
                }
            }
            member.tick(now);
            assert!(member.counts().taken > taken, "life {life}: {object} was not taken");
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
            Publication::Setting { host: "h".to_owned(), wanted: Wanted::Gone },
        ];
        for (now, publication) in [ms(100), ms(700)].into_iter().zip(publications) {
            let taken = member.counts().taken;
            for frame in published(&mut ahead, now, publication) {
                member.hear(now, identity("parent"), at(1), frame);
            }
            assert!(member.counts().taken > taken, "life {life}");
        }
        assert_eq!(member.survey(ms(700)).wanted.len(), 1);
        // The next life has the right clock again: it is told to begin above.
        let outs = member.hear(ms(800), identity(&control_name(0)), at(0), Message::Leave);
        let told = outs.iter().find_map(|out| match out {
            Out::Send { message: message @ Message::Outlived { .. }, .. } => Some(message.clone()),
            _ => None,
        });
        let mut next = control(0);
        let outs = next.hear(ms(200), identity("me"), at(7), told.expect("told"));
        assert!(outs.iter().any(|out| matches!(out, Out::Outlived { .. })), "{outs:?}");
    }
}

fn setting(host: &str, at: u64) -> Setting {
    let stamp = Stamp { at, control: 1 };
    Setting { host: host.to_owned(), wanted: Wanted::Gone, stamp, seen: Stamp::default() }
}

/// One frame brings a setting whose stamp no clock has. What the control node publishes later is taken by others.
#[test]
fn no_stamp_that_one_frame_brings_keeps_later_settings_from_being_taken() {
    for stamp in [1 << 41, (1 << 42) - 1, 1 << 42, (1 << 42) + 1, 1 << 43, u64::MAX] {
        let (mut member, mut own) = (placed(), control(0));
        let stream =
            StreamId { control: ControlId(1), kind: Kind::Configuration, incarnation: Incarnation(LIFE) };
        let entries = vec![Aged { age_ms: 0, entry: Entry::Setting(setting("poisoned", stamp)) }];
        let poison = Message::Batch { stream, first: Number(1), entries };
        own.hear(ms(20), identity(&control_name(1)), at(1), poison);
        let clock = Stamp { at: stamp, control: 1 };
        own.hear(
            ms(20),
            identity(&control_name(1)),
            at(1),
            Message::Rows { directory: 1, clock, rows: Vec::new() },
        );
        for index in 0..3 {
            let setting = Publication::Setting { host: format!("host-{index}"), wanted: Wanted::Draining };
            for frame in published(&mut own, ms(100 + 600 * index), setting) {
                member.hear(ms(100 + 600 * index), identity(&control_name(0)), at(0), frame);
            }
        }
        assert_eq!(member.survey(ms(3000)).wanted.len(), 3, "{stamp}");
    }
}

/// What can't be numbered above the version it replaces isn't published: an entry that nobody takes would be a gap.
#[test]
fn a_setting_above_every_clock_is_not_published() {
    let mut own = control(0);
    let stream =
        StreamId { control: ControlId(1), kind: Kind::Configuration, incarnation: Incarnation(LIFE) };
    let entries = vec![Aged {
        age_ms: 0,
        entry: Entry::Setting(setting("h", rockflow_dissemination::settings::MAX_CLOCK)),
    }];
    own.hear(ms(20), identity(&control_name(1)), at(1), Message::Batch { stream, first: Number(1), entries });
    let not_taken = own.counts().not_taken;
    let (ids, _) =
        own.publish(ms(30), vec![Publication::Setting { host: "h".to_owned(), wanted: Wanted::Listed }]);
    assert_eq!((ids, own.counts().not_taken), (Vec::new(), not_taken + 1));
    let (ids, _) =
        own.publish(ms(30), vec![Publication::Setting { host: "g".to_owned(), wanted: Wanted::Gone }]);
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
        let outs = own.hear(ms(30 + frame), identity("m"), at(5), batch(named, 1, 0..1));
        lives += outs.iter().filter(|out| matches!(out, Out::Outlived { .. })).count();
    }
    assert_eq!(lives, 1);
    // The next pulse brings what it has not answered.
    let named = purges_of(LIFE + 5000);
    let outs = own.hear(ms(1000), identity("m"), at(5), batch(named, 1, 0..1));
    assert!(outs.contains(&Out::Outlived { incarnation: Incarnation(LIFE + 5001) }), "{outs:?}");
}

/// Places are answered by a pace, as the answer is ten times as large as what asks for it.
#[test]
fn places_are_answered_as_far_as_there_are_bytes() {
    let mut own = control(0);
    let directory = Directory::parse(&csv(1, 3, &[&[9, 9, 9]])).expect("a directory");
    own.set_directory(ms(10), directory);
    let mut bytes = 0;
    for _ in 0..50_000 {
        for out in own.hear(ms(20), identity("m-0-2-8"), at(9), Message::Join { directory: 0 }) {
            if let Out::Send { message: message @ Message::Near { .. }, .. } = out {
                bytes += postcard::to_stdvec(&message).expect("encodes").len();
            }
        }
    }
    // Ten seconds of half of 64 members' bytes.
    assert!((500_000..=1_920_000).contains(&bytes), "{bytes}");
    assert!(own.counts().repairs_held_back > 0);
}

/// Its own next stream has to make room; what went is counted, as where another's does.
#[test]
fn an_own_stream_that_makes_room_counts_what_went() {
    let mut own = control(0);
    for life in 0..MAX_STREAMS as u64 {
        let id = StreamId { control: ControlId(1), ..purges_of(LIFE + life) };
        own.hear(ms(20), identity(&control_name(1)), at(1), batch(id, 1, life..life + 1));
    }
    assert_eq!(own.counts().retired, 0);
    let purge = Publication::Purge { purge: Purge::object(1), age: Duration::ZERO };
    let (ids, _) = own.publish(ms(30), vec![purge]);
    assert_eq!((ids.len(), own.counts().retired, own.counts().floors), (1, 1, 1));
}
