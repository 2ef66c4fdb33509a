//! Encoding, decoding and validation of dissemination's datagrams. Only complete datagrams of this version and fleet, with
//! all values within their limits, are accepted, and no received bytes cause a panic.

mod malformed;

use malformed::Malformed;
use rockflow_dissemination::MAX_CLOCK_UNIX_MS;
use rockflow_dissemination::*;
use rockflow_transport::dissemination::frame::{
    AddressScope, FrameCodec, MAX_INCARNATION, MAX_SEQUENCE_NUMBER, MAX_SETTINGS_PARTS, VERSION,
};
use rockflow_transport::DatagramError;
use test_case::test_case;

/// Position of the format version, after the magic bytes.
const VERSION_INDEX: usize = 2;

fn codec() -> FrameCodec {
    FrameCodec::new("fleet", 2, AddressScope::LoopbackOnly)
}

fn sender() -> Identity {
    Identity { node: NodeId::of("d7"), incarnation: Incarnation(9) }
}

fn stream(kind: StreamKind) -> StreamId {
    StreamId { control: ControlId(1), kind, incarnation: Incarnation(5) }
}

fn purge() -> AgedEntry {
    AgedEntry { age_ms: 3, entry: Entry::Purge(Purge::object(77)) }
}

fn timestamp(unix_ms: u64) -> HybridTimestamp {
    HybridTimestamp { unix_ms, control: 1 }
}

fn setting(host: &str) -> HostSetting {
    let desired = DesiredState::Draining;
    HostSetting { host: host.to_string(), desired, timestamp: timestamp(2), replaced: timestamp(1) }
}

fn setting_entry(setting: HostSetting) -> AgedEntry {
    AgedEntry { age_ms: 3, entry: Entry::Setting(setting) }
}

fn batch(kind: StreamKind, first: u64, entries: Vec<AgedEntry>) -> Message {
    Message::Batch { stream: stream(kind), first: SequenceNumber(first), entries }
}

fn repair_request(first: u64, last: u64) -> Message {
    Message::RepairRequest {
        stream: stream(StreamKind::Purges),
        ranges: vec![(SequenceNumber(first), SequenceNumber(last))],
    }
}

fn heartbeat(tips: usize, first: u64, last: u64) -> Message {
    let tip = StreamTip {
        stream: stream(StreamKind::Purges),
        first: SequenceNumber(first),
        last: SequenceNumber(last),
    };
    Message::Heartbeat {
        staleness_ms: 1,
        directory_version: 2,
        listing_hash: 3,
        tips: vec![tip; tips],
        settings_digest: Some(4),
    }
}

fn position(number: u64) -> (StreamId, SequenceNumber) {
    (stream(StreamKind::Configuration), SequenceNumber(number))
}

fn report() -> SubtreeReport {
    let (stream, number) = position(3);
    SubtreeReport {
        region: 1,
        listing_hash: 2,
        slots: SlotSet(vec![255; MAX_SLOTS / 8]),
        applied: vec![position(3); MAX_STREAMS],
        lagging: vec![(MAX_SLOTS as u16 - 1, stream, number); MAX_LAGGING],
        rejected: vec![(stream, number, RejectionReason::LastOne, 7); MAX_REJECTED],
    }
}

fn acknowledgement(report: SubtreeReport) -> Message {
    Message::Acknowledgement { received: vec![position(0)], reports: vec![report] }
}

fn placement(slot: u16, slots: u16, parents: &[&str]) -> Message {
    let node = NodeId::of("parent");
    let parents = parents.iter().map(|address| Peer { node, address: address.parse().unwrap() }).collect();
    Message::Placement { directory_version: 1, listing_hash: 2, region: 3, slot, slots, parents }
}

fn version() -> SettingVersion {
    SettingVersion {
        stream: stream(StreamKind::Configuration),
        number: SequenceNumber(1),
        setting: setting("c1"),
    }
}

fn settings(part: u16, parts: u16, count: usize) -> Message {
    Message::SettingsPart { digest: 1, part, parts, settings: vec![version(); count] }
}

fn settings_with(change: fn(&mut SettingVersion)) -> Message {
    let mut version = version();
    change(&mut version);
    Message::SettingsPart { digest: 1, part: 0, parts: 1, settings: vec![version] }
}

fn region_reports(count: usize, control: u8) -> Message {
    let region_report = RegionReport { report: report(), age_ms: 1 };
    Message::RegionReports {
        directory_version: 1,
        clock: HybridTimestamp { unix_ms: 9, control },
        reports: vec![region_report; count],
    }
}

fn region_reports_with_clock(unix_ms: u64) -> Message {
    Message::RegionReports { directory_version: 1, clock: timestamp(unix_ms), reports: vec![] }
}

fn superseded(control: u8, incarnation: u64) -> Message {
    Message::SupersededIncarnation { control: ControlId(control), incarnation: Incarnation(incarnation) }
}

/// At least one valid message of each kind, with values at their limits.
fn messages_of_each_kind() -> Vec<Message> {
    vec![
        Message::Join { directory_version: 0 },
        placement(0, 1, &["127.0.0.1:7500", "[::1]:7500"]),
        Message::NotListed { directory_version: 2 },
        acknowledgement(report()),
        Message::Leave,
        Message::Full,
        heartbeat(MAX_TIPS, 4, 3),
        batch(StreamKind::Purges, 1, vec![purge(); MAX_BATCH_ENTRIES]),
        batch(StreamKind::Configuration, 1, vec![setting_entry(setting(&"h".repeat(MAX_NAME_BYTES)))]),
        repair_request(1, 1),
        Message::Snapshot {
            stream: stream(StreamKind::Purges),
            next: SequenceNumber(1),
            min_accepted_age_ms: None,
        },
        Message::SettingsRequest { part: MAX_SETTINGS_PARTS - 1 },
        Message::RepairRequest { stream: stream(StreamKind::Purges), ranges: vec![] },
        settings(0, 1, MAX_SETTINGS_PER_PART),
        region_reports(MAX_REGION_REPORTS, 0),
        region_reports_with_clock(MAX_CLOCK_UNIX_MS),
        superseded(1, 5),
        superseded(1, MAX_INCARNATION),
        Message::Probe,
        Message::ProbeReply { staleness_ms: u32::MAX },
    ]
}

fn encode_one(message: &Message) -> Vec<u8> {
    let (mut datagrams, oversized) = codec().encode(sender(), std::slice::from_ref(message));
    assert_eq!((datagrams.len(), oversized), (1, 0));
    datagrams.remove(0)
}

#[test]
fn every_message_decodes_to_what_was_encoded() {
    for message in messages_of_each_kind() {
        let frame =
            codec().decode(&encode_one(&message)).unwrap_or_else(|error| panic!("{message:?}: {error}"));
        assert_eq!((frame.from, frame.messages), (sender(), vec![message]));
    }
}

#[test]
fn packs_messages_by_size_and_in_order() {
    let messages: Vec<_> = (1..200).map(|first| batch(StreamKind::Purges, first, vec![purge(); 9])).collect();
    let (datagrams, oversized) = codec().encode(sender(), &messages);
    assert!(datagrams.len() > 4 && datagrams.iter().all(|bytes| bytes.len() <= 1400), "{}", datagrams.len());
    let decoded: Vec<_> = datagrams
        .iter()
        .flat_map(|bytes| codec().decode(bytes).expect("a valid datagram").messages)
        .collect();
    assert_eq!((decoded, oversized), (messages, 0));
}

#[test]
fn rejects_another_version_or_fleet() {
    let bytes = encode_one(&Message::Leave);
    let mut other_version = bytes.clone();
    other_version[VERSION_INDEX] = VERSION + 1;
    assert_eq!(codec().decode(&other_version), Err(DatagramError::Version(VERSION + 1)));
    assert_eq!(
        FrameCodec::new("other", 2, AddressScope::LoopbackOnly).decode(&bytes),
        Err(DatagramError::OtherFleet)
    );
    // The second magic byte of a cluster's datagrams.
    let mut cluster_datagram = bytes;
    cluster_datagram[1] = 0x66;
    assert_eq!(codec().decode(&cluster_datagram), Err(DatagramError::Foreign));
}

#[test]
fn rejects_malformed_datagrams() {
    let valid = encode_one(&batch(StreamKind::Purges, 1, vec![purge(); 3]));
    for Malformed { name, bytes, error } in malformed::malformed_variants(&valid) {
        assert_eq!(codec().decode(&bytes), Err(error), "{name}");
    }
    let mut truncated_content = valid;
    // The last byte before the checksum of four bytes.
    truncated_content.remove(truncated_content.len() - 5);
    assert_eq!(
        codec().decode(&malformed::with_valid_checksum(truncated_content)),
        Err(DatagramError::Unreadable),
        "truncated content with a valid checksum"
    );
}

fn acknowledgement_with(change: fn(&mut SubtreeReport)) -> Message {
    let mut report = report();
    change(&mut report);
    acknowledgement(report)
}

fn batch_with_setting(change: fn(&mut HostSetting)) -> Message {
    let mut setting = setting("c1");
    change(&mut setting);
    batch(StreamKind::Configuration, 1, vec![setting_entry(setting)])
}

#[test_case(batch(StreamKind::Purges, 1, vec![purge(); MAX_BATCH_ENTRIES + 1]), DatagramError::WrongCount; "too many entries")]
#[test_case(batch(StreamKind::Purges, 1, vec![]), DatagramError::WrongCount; "no entries")]
#[test_case(batch(StreamKind::Purges, 0, vec![purge()]), DatagramError::OutOfRange; "number zero")]
#[test_case(batch(StreamKind::Purges, MAX_SEQUENCE_NUMBER + 1, vec![purge()]), DatagramError::OutOfRange; "number above the maximum")]
#[test_case(batch(StreamKind::Configuration, 1, vec![purge()]), DatagramError::WrongKind; "purge in a configuration stream")]
#[test_case(batch(StreamKind::Purges, 1, vec![setting_entry(setting("c1"))]), DatagramError::WrongKind; "setting in a stream of purges")]
#[test_case(batch_with_setting(|setting| setting.host.clear()), DatagramError::InvalidName; "empty host name")]
#[test_case(batch_with_setting(|setting| setting.host = "h".repeat(MAX_NAME_BYTES + 1)), DatagramError::InvalidName; "host name too long")]
#[test_case(batch_with_setting(|setting| setting.timestamp = timestamp(MAX_CLOCK_UNIX_MS + 1)), DatagramError::OutOfRange; "timestamp above the maximum")]
#[test_case(batch_with_setting(|setting| setting.timestamp.control = 2), DatagramError::OutOfRange; "timestamp of an unknown control node")]
#[test_case(batch_with_setting(|setting| setting.replaced.control = 2), DatagramError::OutOfRange; "replaced timestamp of an unknown control node")]
#[test_case(batch_with_setting(|setting| setting.replaced = setting.timestamp), DatagramError::OutOfRange; "replaced timestamp not earlier")]
#[test_case(repair_request(2, 1), DatagramError::OutOfRange; "range that ends before it starts")]
#[test_case(repair_request(0, 1), DatagramError::OutOfRange; "range from zero")]
#[test_case(repair_request(1, MAX_SEQUENCE_NUMBER + 1), DatagramError::OutOfRange; "range above the maximum")]
#[test_case(Message::SettingsRequest { part: MAX_SETTINGS_PARTS }, DatagramError::OutOfRange; "requested part above the maximum")]
#[test_case(settings_with(|version| version.stream.kind = StreamKind::Purges), DatagramError::WrongKind; "settings part with a stream of purges")]
#[test_case(settings_with(|version| version.number = SequenceNumber(0)), DatagramError::OutOfRange; "setting with number zero")]
#[test_case(settings_with(|version| version.setting.host.clear()), DatagramError::InvalidName; "setting with an empty host name")]
#[test_case(Message::RepairRequest { stream: stream(StreamKind::Purges), ranges: vec![(SequenceNumber(1), SequenceNumber(1)); MAX_RANGES + 1] }, DatagramError::WrongCount; "too many ranges")]
#[test_case(heartbeat(MAX_TIPS + 1, 1, 1), DatagramError::WrongCount; "too many tips")]
#[test_case(heartbeat(1, 3, 1), DatagramError::OutOfRange; "tip with its last number before its first")]
#[test_case(heartbeat(1, 0, 1), DatagramError::OutOfRange; "tip from zero")]
#[test_case(heartbeat(1, 1, u64::MAX), DatagramError::OutOfRange; "tip above the maximum")]
#[test_case(placement(1, 1, &[]), DatagramError::OutOfRange; "slot above the last")]
#[test_case(placement(0, 0, &[]), DatagramError::OutOfRange; "no slots")]
#[test_case(placement(0, MAX_SLOTS as u16 + 1, &[]), DatagramError::OutOfRange; "too many slots")]
#[test_case(placement(0, 1, &["127.0.0.1:1"; MAX_PARENTS + 1]), DatagramError::WrongCount; "too many parents")]
#[test_case(placement(0, 1, &["127.0.0.1:0"]), DatagramError::InvalidAddress; "no port")]
#[test_case(placement(0, 1, &["0.0.0.0:1"]), DatagramError::InvalidAddress; "unspecified address")]
#[test_case(placement(0, 1, &["224.0.0.1:1"]), DatagramError::InvalidAddress; "multicast address")]
#[test_case(placement(0, 1, &["192.0.2.1:1"]), DatagramError::InvalidAddress; "address outside loopback")]
#[test_case(settings(1, 1, 1), DatagramError::OutOfRange; "part above the last")]
#[test_case(settings(0, 0, 1), DatagramError::OutOfRange; "no parts")]
#[test_case(settings(0, MAX_SETTINGS_PARTS + 1, 1), DatagramError::OutOfRange; "too many parts")]
#[test_case(settings(0, 1, MAX_SETTINGS_PER_PART + 1), DatagramError::WrongCount; "too many settings")]
#[test_case(region_reports(MAX_REGION_REPORTS + 1, 0), DatagramError::WrongCount; "too many region reports")]
#[test_case(region_reports(1, 2), DatagramError::OutOfRange; "clock of an unknown control node")]
#[test_case(region_reports_with_clock(MAX_CLOCK_UNIX_MS + 1), DatagramError::OutOfRange; "clock above the maximum")]
#[test_case(superseded(2, 1), DatagramError::OutOfRange; "superseded unknown control node")]
#[test_case(superseded(0, 0), DatagramError::OutOfRange; "incarnation zero")]
#[test_case(superseded(0, MAX_INCARNATION + 1), DatagramError::OutOfRange; "incarnation above the maximum")]
#[test_case(Message::Acknowledgement { received: vec![position(1); MAX_STREAMS + 1], reports: vec![] }, DatagramError::WrongCount; "too many streams")]
#[test_case(Message::Acknowledgement { received: vec![position(MAX_SEQUENCE_NUMBER + 1)], reports: vec![] }, DatagramError::OutOfRange; "received number above the maximum")]
#[test_case(Message::Acknowledgement { received: vec![], reports: vec![SubtreeReport { slots: SlotSet(vec![]), ..report() }; MAX_REPORTS + 1] }, DatagramError::WrongCount; "too many subtree reports")]
#[test_case(acknowledgement_with(|report| report.slots.0.push(0)), DatagramError::WrongCount; "slot set too long")]
#[test_case(acknowledgement_with(|report| report.applied.push(position(1))), DatagramError::WrongCount; "too many applied positions")]
#[test_case(acknowledgement_with(|report| report.lagging.push(report.lagging[0])), DatagramError::WrongCount; "too many lagging slots")]
#[test_case(acknowledgement_with(|report| report.lagging[0].0 = MAX_SLOTS as u16), DatagramError::OutOfRange; "lagging slot above the maximum")]
#[test_case(acknowledgement_with(|report| report.rejected.push(report.rejected[0])), DatagramError::WrongCount; "too many rejected settings")]
#[test_case(acknowledgement_with(|report| report.rejected[0].0.kind = StreamKind::Purges), DatagramError::WrongKind; "rejected purge")]
#[test_case(acknowledgement_with(|report| report.rejected[0].3 = MAX_SLOTS as u16 + 1), DatagramError::OutOfRange; "rejected by more members than the maximum")]
#[test_case(acknowledgement_with(|report| report.applied[0].0.control = ControlId(2)), DatagramError::OutOfRange; "stream of an unknown control node")]
#[test_case(acknowledgement_with(|report| report.applied[0].0.incarnation = Incarnation(0)), DatagramError::OutOfRange; "stream of incarnation zero")]
fn rejects_values_out_of_range(message: Message, error: DatagramError) {
    assert_eq!(codec().decode(&encode_one(&message)), Err(error));
}

#[test]
fn accepts_non_loopback_addresses_where_allowed() {
    let bytes = encode_one(&placement(0, 1, &["192.0.2.1:1"]));
    assert!(FrameCodec::new("fleet", 2, AddressScope::Any).decode(&bytes).is_ok());
}

#[test]
fn malformed_datagrams_never_panic() {
    let valid: Vec<_> = messages_of_each_kind().iter().map(encode_one).collect();
    malformed::assert_decode_never_panics(&valid, |bytes| codec().decode(bytes).is_ok());
}
