//! Whole tables of settings: fetched where something is missing, and sent where the other node lacks something.

mod support;

use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::*;

/// Hosts of a large site.
const HOSTS: usize = 450;

fn host(index: usize) -> String {
    format!("cache-{index:03}.site-{:02}.example.net", index % 29)
}

fn configuration() -> StreamId {
    StreamId { control: ControlId(0), kind: StreamKind::Configuration, incarnation: Incarnation(INCARNATION) }
}

fn version(host: &str, number: u64, desired: DesiredState) -> SettingVersion {
    let timestamp = HybridTimestamp { unix_ms: INCARNATION + number, control: 0 };
    let setting =
        HostSetting { host: host.to_owned(), desired, timestamp, replaced: HybridTimestamp::default() };
    SettingVersion { stream: configuration(), number: SequenceNumber(number), setting }
}

fn to_parent(outputs: &[Output]) -> Vec<Message> {
    let sent = outputs.iter().filter_map(|out| match out {
        Output::Send { to, message } if *to == node_address(1) => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn whole_table_returns_to_control_nodes_that_have_all_restarted() {
    let mut fleet = Fleet::new(3, &[&[5, 3], &[4]], 80);
    fleet.run(s(6));
    for index in 0..HOSTS {
        fleet.set_desired_state(index % 3, &host(index), DesiredState::Draining);
    }
    fleet.run(s(60));
    assert_eq!(fleet.status(fleet.controls).desired.len(), HOSTS);
    for control in 0..3 {
        fleet.restart(control, INCARNATION + 100_000);
    }
    fleet.run(s(60));
    for control in 0..3 {
        assert_eq!(fleet.status(control).desired.len(), HOSTS, "control {control}");
    }
}

/// The parts sent within a span to a parent whose digest keeps differing.
fn parts_sent_in_vain(span: Duration) -> Vec<(Duration, u16, u16)> {
    let mut node = placed_member();
    let mut table = SettingsTable::default();
    for index in 0..HOSTS {
        table.insert(version(&host(index), index as u64 + 1, DesiredState::Draining));
    }
    let mut now = ms(20);
    let mut part = 0;
    loop {
        let frames = table.messages(part);
        let Some(Message::SettingsPart { .. }) = frames.last() else { break };
        part += frames.len() as u16;
        for frame in frames {
            node.on_message(now, identity(&control_name(0)), node_address(0), frame);
        }
    }
    assert!(usize::from(part) > MAX_PARTS_AT_ONCE, "{part} parts");
    let mut parents = SettingsTable::default();
    parents.insert(version("other", 1, DesiredState::Gone));
    let mut given = Vec::new();
    while now < span {
        let settings = Some(parents.digest());
        let pulse = Message::Heartbeat {
            staleness_ms: 0,
            directory_version: 1,
            listing_hash: 7,
            tips: Vec::new(),
            settings_digest: settings,
        };
        let mut sent = to_parent(&node.on_message(now, identity("parent"), node_address(1), pulse));
        now += HEARTBEAT_INTERVAL;
        sent.extend(to_parent(&node.tick(now)));
        while let Some(message) = sent.pop() {
            match message {
                Message::SettingsRequest { part } => {
                    for frame in parents.messages(part) {
                        sent.extend(to_parent(&node.on_message(
                            now,
                            identity("parent"),
                            node_address(1),
                            frame,
                        )));
                    }
                }
                Message::SettingsPart { part, parts, .. } => given.push((now, part, parts)),
                _ => {}
            }
        }
    }
    given
}

#[test]
fn sends_each_part_in_turn() {
    let given = parts_sent_in_vain(s(60));
    let parts = given[0].2;
    let went: BTreeSet<u16> = given.iter().map(|(_, part, _)| *part).collect();
    assert_eq!(went, (0..parts).collect(), "{given:?}");
}

#[test]
fn futile_sending_backs_off() {
    let given = parts_sent_in_vain(s(1200));
    let in_half = |from: Duration| given.iter().filter(|(at, ..)| *at >= from && *at < from + s(600)).count();
    let (first, second) = (in_half(Duration::ZERO), in_half(s(600)));
    let parts = usize::from(given[0].2);
    assert!(first <= 6 * parts, "{first} of {parts} parts");
    assert!((1..=3 * parts).contains(&second), "{second} of {parts} parts");
}

/// A host whose override is withdrawn does not change the digest of overrides; but it moves the parts.
#[test]
fn table_that_changes_during_a_fetch_is_not_taken_for_complete() {
    let mut node = placed_member();
    let mut source = SettingsTable::default();
    for index in 0..40 {
        source.insert(version(&format!("h{index:02}"), index + 1, DesiredState::Gone));
    }
    let id = configuration();
    let mut now = ms(20);
    let tips = vec![StreamTip { stream: id, first: SequenceNumber(41), last: SequenceNumber(40) }];
    let pulse = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips,
        settings_digest: None,
    };
    node.on_message(now, identity("parent"), node_address(1), pulse);
    let snapshot = Message::Snapshot { stream: id, next: SequenceNumber(41), min_accepted_age_ms: None };
    let mut asked = to_parent(&node.on_message(now, identity("parent"), node_address(1), snapshot));
    assert!(asked.contains(&Message::SettingsRequest { part: 0 }), "{asked:?}");
    // The first part is lost, and a host that sorts before all others is added before it is requested again.
    let last = source.messages(1).pop().expect("two parts");
    assert!(matches!(last, Message::SettingsPart { part: 1, parts: 2, .. }));
    asked.clear();
    node.on_message(now, identity("parent"), node_address(1), last);
    source.insert(version("a", 41, DesiredState::Listed));
    let mut whole = false;
    for _ in 0..20 {
        now += HEARTBEAT_INTERVAL;
        asked.extend(to_parent(&node.tick(now)));
        while let Some(message) = asked.pop() {
            let Message::SettingsRequest { part } = message else { continue };
            for frame in source.messages(part) {
                let outputs = node.on_message(now, identity("parent"), node_address(1), frame);
                asked.extend(to_parent(&outputs));
                for out in outputs {
                    if let Output::Configure { token, .. } = out {
                        node.confirm_applied(now, token);
                    }
                }
                let status = node.status(now);
                whole =
                    status.streams.iter().any(|held| held.stream == id && held.applied >= SequenceNumber(40));
                assert!(!whole || status.desired.len() == 40, "in force with {}", status.desired.len());
            }
        }
    }
    assert!(whole);
}
