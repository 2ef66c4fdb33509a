//! A member alone, told what its neighbours say.

use rockflow_dissemination::children::MAX_CHILDREN;
use rockflow_dissemination::*;
use std::net::SocketAddr;
use std::time::Duration;

const LIFE: u64 = 1_800_000_000_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7000))
}

fn identity(name: &str) -> Identity {
    Identity { node: NodeId::of(name), incarnation: Incarnation(LIFE) }
}

fn told() -> Told {
    Told {
        me: identity("me"),
        control_id: None,
        control: vec![Peer { node: NodeId::of("control-0"), address: address(0) }],
        seeds: vec![address(9)],
        purge_window: ms(8700),
        bytes_per_second: 6000,
        pulse: ms(500),
    }
}

fn sent(outs: &[Out]) -> Vec<(SocketAddr, Message)> {
    let sent = outs.iter().filter_map(|out| match out {
        Out::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    });
    sent.collect()
}

fn ticks(node: &mut Node, until: Duration) -> Vec<Out> {
    let mut outs = Vec::new();
    while node.next_due() <= until {
        outs.extend(node.tick(node.next_due()));
    }
    outs
}

fn stream(kind: Kind) -> StreamId {
    StreamId { control: ControlId(0), kind, incarnation: Incarnation(LIFE) }
}

/// A member that is placed below a parent, and has heard it.
fn placed() -> (Node, Duration) {
    let mut node = Node::new(told(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let parents = vec![Peer { node: NodeId::of("parent"), address: address(1) }];
    let near = Message::Near { directory: 1, near: 7, region: 0, slot: 1, slots: 2, parents };
    let outs = node.hear(ms(10), identity("control-0"), address(0), near);
    assert!(matches!(sent(&outs)[..], [(to, Message::Ack { .. })] if to == address(1)), "{outs:?}");
    pulse(&mut node, ms(20), Vec::new());
    (node, ms(20))
}

fn pulse(node: &mut Node, now: Duration, tips: Vec<Tip>) -> Vec<Out> {
    let pulse = Message::Pulse { stale_ms: 0, directory: 1, near: 7, tips, settings: None };
    node.hear(now, identity("parent"), address(1), pulse)
}

fn in_force(node: &Node, now: Duration, kind: Kind) -> Number {
    let survey = node.survey(now);
    survey
        .streams
        .iter()
        .find(|held| held.stream == stream(kind))
        .map(|held| held.in_force)
        .unwrap_or_default()
}

#[test]
fn a_floor_is_as_old_as_the_snapshot_says() {
    let (mut node, now) = placed();
    let tip = Tip { stream: stream(Kind::Purges), first: Number(100), last: Number(120) };
    pulse(&mut node, now, vec![tip]);
    let outs = ticks(&mut node, now + ms(1));
    let ask = Message::Ask { stream: tip.stream, ranges: Vec::new() };
    assert!(sent(&outs).contains(&(address(1), ask)), "{outs:?}");
    let snapshot = Message::Snapshot { stream: tip.stream, next: Number(121), floor_age_ms: Some(3000) };
    let outs = node.hear(now + ms(5), identity("parent"), address(1), snapshot.clone());
    let [Out::Purge { purges, ticket }] = &outs[..] else { panic!("{outs:?}") };
    assert_eq!(purges[..], [(Purge::Everything, ms(3000))]);
    assert_eq!(in_force(&node, now, Kind::Purges), Number(0));
    node.in_effect(now + ms(6), *ticket);
    assert_eq!(in_force(&node, now, Kind::Purges), Number(120));
    assert!(
        node.hear(now + ms(7), identity("parent"), address(1), snapshot).is_empty(),
        "a second changes nothing"
    );
}

#[test]
fn a_ticket_all_of_whose_settings_are_refused_holds_nothing_back() {
    let (mut node, now) = placed();
    let stamp = Stamp { at: LIFE, control: 0 };
    let setting =
        |host: &str| Setting { host: host.to_owned(), wanted: Wanted::Gone, stamp, seen: Stamp::default() };
    let entries = ["a", "b"].map(|host| Aged { age_ms: 0, entry: Entry::Setting(setting(host)) }).to_vec();
    let stream = stream(Kind::Configuration);
    let batch = Message::Batch { stream, first: Number(1), entries };
    let outs = node.hear(now, identity("parent"), address(1), batch);
    let Some(Out::Configure { settings, changed, .. }) = outs.last() else { panic!("{outs:?}") };
    assert_eq!((settings.len(), changed.len()), (2, 2));
    node.refuse(now, changed[0].0, Refusal::LastOne);
    assert_eq!(in_force(&node, now, Kind::Configuration), Number(0));
    node.refuse(now, changed[1].0, Refusal::LastOne);
    assert_eq!(in_force(&node, now, Kind::Configuration), Number(2));
    assert_eq!(node.survey(now).refused.len(), 2);
}

#[test]
fn a_log_that_begins_later_is_in_force_only_with_the_whole_table() {
    let (mut node, now) = placed();
    let stream = stream(Kind::Configuration);
    pulse(&mut node, now, vec![Tip { stream, first: Number(50), last: Number(60) }]);
    let snapshot = Message::Snapshot { stream, next: Number(61), floor_age_ms: None };
    let outs = node.hear(now + ms(5), identity("parent"), address(1), snapshot);
    assert!(sent(&outs).contains(&(address(1), Message::WantSettings { part: 0 })), "{outs:?}");
    let version = |number: u64| Version {
        stream,
        number: Number(number),
        setting: Setting {
            host: format!("host-{number}"),
            wanted: Wanted::Draining,
            stamp: Stamp { at: LIFE + number, control: 0 },
            seen: Stamp::default(),
        },
    };
    let part = |part: u16, number: u64| Message::Settings {
        digest: 5,
        part,
        parts: 2,
        settings: vec![version(number)],
    };
    let mut tickets = Vec::new();
    for (at, number) in [(1, 60), (0, 59)] {
        assert_eq!(in_force(&node, now, Kind::Configuration), Number(0));
        let outs = node.hear(now + ms(6), identity("parent"), address(1), part(at, number));
        let given = outs.iter().filter_map(|out| match out {
            Out::Configure { ticket, .. } => Some(*ticket),
            _ => None,
        });
        tickets.extend(given);
    }
    node.in_effect(now + ms(7), tickets[0]);
    assert_eq!(in_force(&node, now, Kind::Configuration), Number(0));
    node.in_effect(now + ms(7), tickets[1]);
    assert_eq!(in_force(&node, now, Kind::Configuration), Number(60));
}

#[test]
fn without_an_answer_of_control_a_seed_is_followed() {
    let mut node = Node::new(told(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outs = ticks(&mut node, ms(20_000));
    let to_seed = sent(&outs).into_iter().any(|(to, message)| {
        to == address(9) && matches!(message, Message::Ack { ref reports, .. } if reports.is_empty())
    });
    assert!(to_seed);
    let now = node.next_due();
    let message = Message::Pulse { stale_ms: 0, directory: 1, near: 7, tips: Vec::new(), settings: None };
    node.hear(now, identity("seed"), address(9), message);
    assert_eq!(node.survey(now).stale, Some(Duration::ZERO));
    assert_eq!(node.survey(now).parent, Some(Peer { node: NodeId::of("seed"), address: address(9) }));
}

/// Half of control may be out of reach: three asks in vain, and what follows the fourth, fit into the window.
#[test]
fn who_has_no_place_asks_for_one_every_two_pulses() {
    let mut node = Node::new(told(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let mut last = Duration::ZERO;
    while last < ms(600_000) {
        let now = node.next_due();
        let asked =
            sent(&node.tick(now)).into_iter().any(|(_, message)| matches!(message, Message::Join { .. }));
        if asked {
            last = now;
        }
        assert!(now - last <= 2 * told().pulse, "{:?}", now - last);
    }
}

#[test]
fn who_is_not_in_the_directory_follows_control_and_counts_nowhere() {
    let mut node = Node::new(told(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    let outs = node.hear(ms(5), identity("control-0"), address(0), Message::Unknown { directory: 1 });
    let sent = sent(&outs);
    assert!(
        matches!(&sent[..], [(to, Message::Ack { reports, .. })] if *to == address(0) && reports.is_empty())
    );
}

#[test]
fn one_child_too_many_is_turned_away() {
    let (mut node, now) = placed();
    let ack = Message::Ack { has: Vec::new(), reports: Vec::new() };
    for child in 0..=MAX_CHILDREN as u8 {
        let outs = node.hear(now, identity(&format!("child-{child}")), address(100 + child), ack.clone());
        let first = sent(&outs).into_iter().next().map(|(_, message)| message);
        match usize::from(child) < MAX_CHILDREN {
            true => assert!(matches!(first, Some(Message::Pulse { .. })), "{first:?}"),
            false => assert_eq!(first, Some(Message::Full)),
        }
    }
    assert_eq!(node.counts().full, 1);
    node.hear(now, identity("child-3"), address(103), Message::Leave);
    assert_eq!(node.survey(now).children, MAX_CHILDREN - 1);
}

#[test]
fn a_fork_puts_both_in_effect_once_and_passes_both_on() {
    let (mut node, now) = placed();
    let ack = Message::Ack { has: Vec::new(), reports: Vec::new() };
    node.hear(now, identity("child"), address(100), ack);
    let mut passed = 0;
    let batch = |object: u64| Message::Batch {
        stream: stream(Kind::Purges),
        first: Number(1),
        entries: vec![Aged { age_ms: 0, entry: Entry::Purge(Purge::object(object)) }],
    };
    let mut purges = Vec::new();
    for object in [1, 2, 1, 2] {
        let outs = node.hear(now, identity("parent"), address(1), batch(object));
        let batches = sent(&outs).into_iter().filter(|(_, message)| *message == batch(object));
        passed += batches.filter(|(to, _)| *to == address(100)).count();
        for out in outs {
            if let Out::Purge { purges: new, .. } = out {
                purges.extend(new.into_iter().map(|(purge, _)| purge));
            }
        }
    }
    assert_eq!(purges, [Purge::object(1), Purge::object(2)]);
    assert_eq!(passed, 2);
    assert_eq!((node.counts().forks, node.counts().duplicates), (1, 2));
}

#[test]
fn who_never_confirms_is_given_a_floor_for_all() {
    let (mut node, now) = placed();
    let mut last = Vec::new();
    for number in 1..=rockflow_dissemination::tickets::MAX_TICKETS as u64 + 1 {
        let entries = vec![Aged { age_ms: 0, entry: Entry::Purge(Purge::object(number)) }];
        let batch = Message::Batch { stream: stream(Kind::Purges), first: Number(number), entries };
        last = node.hear(now, identity("parent"), address(1), batch);
    }
    let Some(Out::Purge { purges, ticket }) = last.last() else { panic!("{last:?}") };
    assert_eq!(purges[..], [(Purge::Everything, Duration::ZERO)]);
    assert_eq!(node.survey(now).unconfirmed, 1);
    node.in_effect(now, *ticket);
    assert_eq!(in_force(&node, now, Kind::Purges), Number(4097));
}

#[test]
fn an_ack_names_no_more_behind_than_it_may() {
    let (mut node, now) = placed();
    let mut told_of = Vec::new();
    for life in 0..8 {
        let stream = StreamId { incarnation: Incarnation(LIFE + life), ..stream(Kind::Purges) };
        told_of.push(Tip { stream, first: Number(1), last: Number(10 + life) });
    }
    pulse(&mut node, now, told_of);
    let outs = ticks(&mut node, now + ms(1200));
    let mut reports = sent(&outs).into_iter().filter_map(|(_, message)| match message {
        Message::Ack { reports, .. } => reports.into_iter().next(),
        _ => None,
    });
    let behind = reports.next_back().expect("a report").behind;
    assert_eq!(behind.len(), MAX_BEHIND);
    assert_eq!(behind[0].1.incarnation, Incarnation(LIFE + 7), "the worst first");
}

#[test]
fn asks_go_on_every_pulse_while_something_comes() {
    let (mut node, mut now) = placed();
    let stream = stream(Kind::Configuration);
    let entry = |number: u64| Setting {
        host: format!("host-{number}"),
        wanted: Wanted::Gone,
        stamp: Stamp { at: LIFE + number, control: 0 },
        seen: Stamp::default(),
    };
    // Each repair is followed by another gap, so that there is always one.
    for number in 1..60 {
        pulse(&mut node, now, vec![Tip { stream, first: Number(1), last: Number(number + 1) }]);
        let outs = ticks(&mut node, now + ms(600));
        let asked = sent(&outs).into_iter().any(|(_, message)| matches!(message, Message::Ask { .. }));
        assert!(asked, "{number}");
        now += ms(600);
        let entries = vec![Aged { age_ms: 0, entry: Entry::Setting(entry(number)) }];
        let batch = Message::Batch { stream, first: Number(number), entries };
        node.hear(now, identity("parent"), address(1), batch);
    }
}

/// A life of a control node ends, and a later one is heard of, with so much silence between; how many floors come of it.
fn floors_after_a_later_life(silence: Duration) -> u64 {
    let (mut node, mut now) = placed();
    let earlier = Tip { stream: stream(Kind::Purges), first: Number(1), last: Number(1) };
    let later = StreamId { incarnation: Incarnation(LIFE + 1), ..earlier.stream };
    let later = Tip { stream: later, ..earlier };
    let entries = || vec![Aged { age_ms: 0, entry: Entry::Purge(Purge::object(1)) }];
    let batch = |tip: Tip| Message::Batch { stream: tip.stream, first: Number(1), entries: entries() };
    node.hear(now, identity("parent"), address(1), batch(earlier));
    pulse(&mut node, now, vec![earlier]);
    now += silence;
    ticks(&mut node, now);
    node.hear(now, identity("parent"), address(1), batch(later));
    for _ in 0..30 {
        pulse(&mut node, now, vec![later]);
        now += ms(500);
        ticks(&mut node, now);
    }
    assert_eq!(node.counts().retired, 1);
    node.counts().floors
}

#[test]
fn a_life_whose_end_was_not_heard_of_leaves_a_floor() {
    assert_eq!(floors_after_a_later_life(ms(500)), 0);
    assert_eq!(floors_after_a_later_life(ms(20_000)), 1);
}

#[test]
fn two_that_follow_each_other_grow_stale_and_do_not_flood() {
    let names = ["one", "two"];
    let mut nodes =
        names.map(|name| Node::new(Told { me: identity(name), ..told() }, None, 1, Duration::ZERO));
    for (index, node) in nodes.iter_mut().enumerate() {
        node.start(Duration::ZERO);
        let other = 1 - index;
        let parents = vec![Peer { node: NodeId::of(names[other]), address: address(1 + other as u8) }];
        let near = Message::Near { directory: 1, near: 7, region: 0, slot: index as u16, slots: 2, parents };
        node.hear(ms(1), identity("control-0"), address(0), near);
    }
    // One has heard a fresh pulse once, as if by a parent that was there before.
    pulse_of(&mut nodes[0], ms(1), "two", address(2));
    let mut frames: Vec<(usize, usize, Message)> = Vec::new();
    let mut count = 0;
    for at in 2..20_000 {
        let waiting = std::mem::take(&mut frames);
        for (from, to, message) in waiting {
            count += u32::from(matches!(message, Message::Pulse { .. }));
            let outs = nodes[to].hear(ms(at), identity(names[from]), address(1 + from as u8), message);
            frames.extend(between(to, &outs));
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            if node.next_due() <= ms(at) {
                let outs = node.tick(ms(at));
                frames.extend(between(index, &outs));
            }
        }
    }
    assert!(count <= 2 * 2 * 20, "{count} pulses in 20 s");
    for node in &nodes {
        assert!(node.survey(ms(20_000)).stale.is_none_or(|stale| stale > ms(15_000)));
    }
}

fn pulse_of(node: &mut Node, now: Duration, name: &str, at: SocketAddr) {
    let pulse = Message::Pulse { stale_ms: 0, directory: 1, near: 7, tips: Vec::new(), settings: None };
    node.hear(now, identity(name), at, pulse);
}

/// What one of the two sends to the other.
fn between(from: usize, outs: &[Out]) -> Vec<(usize, usize, Message)> {
    let other = 1 - from;
    let to_other = sent(outs).into_iter().filter(|(to, _)| *to == address(1 + other as u8));
    to_other.map(|(_, message)| (from, other, message)).collect()
}

#[test]
fn an_ask_that_finds_the_bucket_empty_costs_nothing_more() {
    let (mut node, now) = placed();
    let stream = stream(Kind::Purges);
    for first in (1..4096).step_by(64) {
        let purge = |object| Aged { age_ms: 0, entry: Entry::Purge(Purge::object(object)) };
        let entries = (first..first + 64).map(purge).collect();
        node.hear(
            now,
            identity("parent"),
            address(1),
            Message::Batch { stream, first: Number(first), entries },
        );
    }
    let all = Message::Ask { stream, ranges: vec![(Number(1), Number(4096))] };
    let none = Message::Ask { stream, ranges: vec![(Number(9000), Number(9001))] };
    while node.counts().repairs_held_back == 0 {
        node.hear(now, identity("child"), address(100), all.clone());
    }
    // Held back before what it asks for is looked up at all.
    node.hear(now, identity("child"), address(100), none);
    assert_eq!(node.counts().repairs_held_back, 2);
}
