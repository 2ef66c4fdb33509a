//! Exchange of whole tables of settings: a node fetches the table when settings are missing, and sends its own when the
//! other node lacks settings.

mod support;

use rockflow_dissemination::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::*;

/// Hosts of a large site. Their table has more parts than are sent in answer to one request.
const HOSTS: usize = 450;

fn host(index: usize) -> String {
    format!("cache-{index:03}.site-{:02}.example.net", index % 29)
}

/// The configuration stream of the first control node.
fn configuration_stream() -> StreamId {
    StreamId { control: ControlId(0), kind: StreamKind::Configuration, incarnation: Incarnation(INCARNATION) }
}

/// A version published as entry `number` of the configuration stream.
fn version(host: &str, number: u64, desired: DesiredState) -> SettingVersion {
    let timestamp = HybridTimestamp { unix_ms: INCARNATION + number, control: 0 };
    let setting =
        HostSetting { host: host.to_owned(), desired, timestamp, replaced: HybridTimestamp::default() };
    SettingVersion { stream: configuration_stream(), number: SequenceNumber(number), setting }
}

/// The messages among the outputs that are sent to the parent.
fn sent_to_parent(outputs: &[Output]) -> Vec<Message> {
    let sent = outputs.iter().filter_map(|output| match output {
        Output::Send { to, message } if *to == node_address(1) => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn control_nodes_recover_a_table_of_many_parts_after_all_have_restarted() {
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

/// A part of the member's table that was sent to the parent.
#[derive(Debug)]
struct SentPart {
    at: Duration,
    part: u16,
    /// Number of parts of the table.
    parts: u16,
}

/// The parts that a member sends until `end` to a parent that never adds them to its table, so that its digest keeps
/// differing.
fn parts_sent_in_vain(end: Duration) -> Vec<SentPart> {
    let mut node = placed_member();
    let mut table = SettingsTable::default();
    for index in 0..HOSTS {
        table.insert(version(&host(index), index as u64 + 1, DesiredState::Draining));
    }
    let mut now = ms(20);
    let mut count = 0;
    loop {
        let messages = table.messages(count);
        let Some(Message::SettingsPart { .. }) = messages.last() else { break };
        count += messages.len() as u16;
        for message in messages {
            node.on_message(now, identity(&control_name(0)), node_address(0), message);
        }
    }
    assert!(usize::from(count) > MAX_PARTS_AT_ONCE, "{count} parts");
    let mut parent_table = SettingsTable::default();
    parent_table.insert(version("other", 1, DesiredState::Gone));
    let mut sent_parts = Vec::new();
    while now < end {
        let heartbeat = Message::Heartbeat {
            staleness_ms: 0,
            directory_version: 1,
            listing_hash: 7,
            tips: Vec::new(),
            settings_digest: Some(parent_table.digest()),
        };
        let mut sent = sent_to_parent(&node.on_message(now, identity("parent"), node_address(1), heartbeat));
        now += HEARTBEAT_INTERVAL;
        sent.extend(sent_to_parent(&node.tick(now)));
        while let Some(message) = sent.pop() {
            match message {
                Message::SettingsRequest { part } => {
                    for answer in parent_table.messages(part) {
                        let outputs = node.on_message(now, identity("parent"), node_address(1), answer);
                        sent.extend(sent_to_parent(&outputs));
                    }
                }
                Message::SettingsPart { part, parts, .. } => {
                    sent_parts.push(SentPart { at: now, part, parts });
                }
                _ => {}
            }
        }
    }
    sent_parts
}

#[test]
fn sends_every_part_to_a_node_that_lacks_settings() {
    let sent_parts = parts_sent_in_vain(s(60));
    let count = sent_parts[0].parts;
    let distinct: BTreeSet<u16> = sent_parts.iter().map(|sent| sent.part).collect();
    assert_eq!(distinct, (0..count).collect(), "{sent_parts:?}");
}

#[test]
fn sending_backs_off_while_the_digest_keeps_differing() {
    let sent_parts = parts_sent_in_vain(s(1200));
    let sent_in_half =
        |from: Duration| sent_parts.iter().filter(|sent| sent.at >= from && sent.at < from + s(600)).count();
    let (first_half, second_half) = (sent_in_half(Duration::ZERO), sent_in_half(s(600)));
    let count = usize::from(sent_parts[0].parts);
    assert!(first_half <= 6 * count, "{first_half} sent of a table of {count} parts");
    assert!((1..=3 * count).contains(&second_half), "{second_half} sent of a table of {count} parts");
}

/// A new host in state [`DesiredState::Listed`] does not change the digest by which nodes compare their tables, but it
/// shifts settings from one part to the next. Parts from before and after the change must not count as one table.
#[test]
fn fetch_starts_again_when_the_table_changes() {
    let mut node = placed_member();
    let mut source = SettingsTable::default();
    for index in 0..40 {
        source.insert(version(&format!("h{index:02}"), index + 1, DesiredState::Gone));
    }
    let stream = configuration_stream();
    let mut now = ms(20);
    let tips = vec![StreamTip { stream, first: SequenceNumber(41), last: SequenceNumber(40) }];
    let heartbeat = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips,
        settings_digest: None,
    };
    node.on_message(now, identity("parent"), node_address(1), heartbeat);
    let snapshot = Message::Snapshot { stream, next: SequenceNumber(41), min_accepted_age_ms: None };
    let mut requests = sent_to_parent(&node.on_message(now, identity("parent"), node_address(1), snapshot));
    assert!(requests.contains(&Message::SettingsRequest { part: 0 }), "{requests:?}");
    // The first part is lost. Before it is requested again, a host that sorts before all others is added.
    let last = source.messages(1).pop().expect("two parts");
    assert!(matches!(last, Message::SettingsPart { part: 1, parts: 2, .. }));
    requests.clear();
    node.on_message(now, identity("parent"), node_address(1), last);
    source.insert(version("a", 41, DesiredState::Listed));
    let mut is_complete = false;
    for _ in 0..20 {
        now += HEARTBEAT_INTERVAL;
        requests.extend(sent_to_parent(&node.tick(now)));
        while let Some(message) = requests.pop() {
            let Message::SettingsRequest { part } = message else { continue };
            for answer in source.messages(part) {
                let outputs = node.on_message(now, identity("parent"), node_address(1), answer);
                requests.extend(sent_to_parent(&outputs));
                for output in outputs {
                    if let Output::Configure { token, .. } = output {
                        node.confirm_applied(now, token);
                    }
                }
                let status = node.status(now);
                let mut streams = status.streams.iter();
                is_complete = streams.any(|held| held.stream == stream && held.applied >= SequenceNumber(40));
                let hosts = status.desired.len();
                assert!(!is_complete || hosts == 40, "counts as complete with {hosts} hosts");
            }
        }
    }
    assert!(is_complete);
}
