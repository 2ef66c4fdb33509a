//! What comes from other nodes is judged where it is read: nothing that is not whole, of this version and of this fleet,
//! and within its bounds, gets through; nothing makes it panic, and nothing is held of what is refused.

mod spoiled;

use rockflow_dissemination::MAX_CLOCK_UNIX_MS;
use rockflow_dissemination::*;
use rockflow_transport::dissemination::frame::{
    AddressScope, FrameCodec, MAX_INCARNATION, MAX_NUMBER, MAX_TABLE_PARTS, VERSION,
};
use rockflow_transport::DatagramError;
use test_case::test_case;

fn codec() -> FrameCodec {
    FrameCodec::new("fleet", 2, AddressScope::LoopbackOnly)
}

fn me() -> Identity {
    Identity { node: NodeId::of("d7"), incarnation: Incarnation(9) }
}

fn stream(kind: StreamKind) -> StreamId {
    StreamId { control: ControlId(1), kind, incarnation: Incarnation(5) }
}

fn purge() -> AgedEntry {
    AgedEntry { age_ms: 3, entry: Entry::Purge(Purge::object(77)) }
}

fn timestamp(at: u64) -> HybridTimestamp {
    HybridTimestamp { unix_ms: at, control: 1 }
}

fn setting(host: &str) -> HostSetting {
    let desired = DesiredState::Draining;
    HostSetting { host: host.to_string(), desired, timestamp: timestamp(2), replaced: timestamp(1) }
}

fn set(setting: HostSetting) -> AgedEntry {
    AgedEntry { age_ms: 3, entry: Entry::Setting(setting) }
}

fn batch(kind: StreamKind, first: u64, entries: Vec<AgedEntry>) -> Message {
    Message::Batch { stream: stream(kind), first: SequenceNumber(first), entries }
}

fn ask(first: u64, last: u64) -> Message {
    Message::RepairRequest {
        stream: stream(StreamKind::Purges),
        ranges: vec![(SequenceNumber(first), SequenceNumber(last))],
    }
}

fn pulse(tips: usize, first: u64, last: u64) -> Message {
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

fn held(number: u64) -> (StreamId, SequenceNumber) {
    (stream(StreamKind::Configuration), SequenceNumber(number))
}

fn report() -> SubtreeReport {
    let (stream, number) = held(3);
    SubtreeReport {
        region: 1,
        listing_hash: 2,
        slots: SlotSet(vec![255; MAX_SLOTS / 8]),
        applied: vec![held(3); MAX_STREAMS],
        lagging: vec![(MAX_SLOTS as u16 - 1, stream, number); MAX_LAGGING],
        rejected: vec![(stream, number, RejectionReason::LastOne, 7); MAX_REJECTED],
    }
}

fn ack(report: SubtreeReport) -> Message {
    Message::Acknowledgement { received: vec![held(0)], reports: vec![report] }
}

fn placement(slot: u16, slots: u16, parents: &[&str]) -> Message {
    let node = NodeId::of("parent");
    let parents = parents.iter().map(|at| Peer { node, address: at.parse().unwrap() }).collect();
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

fn of_version(spoil: fn(&mut SettingVersion)) -> Message {
    let mut version = version();
    spoil(&mut version);
    Message::SettingsPart { digest: 1, part: 0, parts: 1, settings: vec![version] }
}

fn rows(count: usize, control: u8) -> Message {
    let row = RegionReport { report: report(), age_ms: 1 };
    Message::RegionReports {
        directory_version: 1,
        clock: HybridTimestamp { unix_ms: 9, control },
        reports: vec![row; count],
    }
}

fn of_clock(at: u64) -> Message {
    Message::RegionReports { directory_version: 1, clock: timestamp(at), reports: vec![] }
}

fn outlived(control: u8, incarnation: u64) -> Message {
    Message::SupersededIncarnation { control: ControlId(control), incarnation: Incarnation(incarnation) }
}

fn each() -> Vec<Message> {
    vec![
        Message::Join { directory_version: 0 },
        placement(0, 1, &["127.0.0.1:7500", "[::1]:7500"]),
        Message::NotListed { directory_version: 2 },
        ack(report()),
        Message::Leave,
        Message::Full,
        pulse(MAX_TIPS, 4, 3),
        batch(StreamKind::Purges, 1, vec![purge(); MAX_BATCH_ENTRIES]),
        batch(StreamKind::Configuration, 1, vec![set(setting(&"h".repeat(MAX_NAME_BYTES)))]),
        ask(1, 1),
        Message::Snapshot {
            stream: stream(StreamKind::Purges),
            next: SequenceNumber(1),
            min_accepted_age_ms: None,
        },
        Message::SettingsRequest { part: MAX_TABLE_PARTS - 1 },
        Message::RepairRequest { stream: stream(StreamKind::Purges), ranges: vec![] },
        settings(0, 1, MAX_SETTINGS_PER_PART),
        rows(MAX_REGION_REPORTS, 0),
        of_clock(MAX_CLOCK_UNIX_MS),
        outlived(1, 5),
        outlived(1, MAX_INCARNATION),
        Message::Probe,
        Message::ProbeReply { staleness_ms: u32::MAX },
    ]
}

fn sealed(message: &Message) -> Vec<u8> {
    let (mut frames, left_out) = codec().encode(me(), std::slice::from_ref(message));
    assert_eq!((frames.len(), left_out), (1, 0));
    frames.remove(0)
}

#[test]
fn every_message_comes_out_as_it_was() {
    for message in each() {
        let frame = codec().decode(&sealed(&message)).unwrap_or_else(|what| panic!("{message:?}: {what}"));
        assert_eq!((frame.from, frame.messages), (me(), vec![message]));
    }
}

#[test]
fn messages_are_packed_by_size_and_in_order() {
    let messages: Vec<_> = (1..200).map(|first| batch(StreamKind::Purges, first, vec![purge(); 9])).collect();
    let (frames, left_out) = codec().encode(me(), &messages);
    assert!(frames.len() > 4 && frames.iter().all(|bytes| bytes.len() <= 1400), "{}", frames.len());
    let read: Vec<_> =
        frames.iter().flat_map(|bytes| codec().decode(bytes).expect("a frame").messages).collect();
    assert_eq!((read, left_out), (messages, 0));
}

#[test]
fn another_version_or_fleet_is_told_apart() {
    let bytes = sealed(&Message::Leave);
    let mut other = bytes.clone();
    other[2] = VERSION + 1;
    assert_eq!(codec().decode(&other), Err(DatagramError::Version(VERSION + 1)));
    assert_eq!(
        FrameCodec::new("other", 2, AddressScope::LoopbackOnly).decode(&bytes),
        Err(DatagramError::OtherFleet)
    );
    // One of the dispatchers' other link.
    let mut other = bytes;
    other[1] = 0x66;
    assert_eq!(codec().decode(&other), Err(DatagramError::Foreign));
}

#[test]
fn what_is_not_whole_is_not_taken() {
    let whole = sealed(&batch(StreamKind::Purges, 1, vec![purge(); 3]));
    for (how, bytes, fault) in spoiled::not_whole(&whole) {
        assert_eq!(codec().decode(&bytes), Err(fault), "{how}");
    }
    let mut less = whole;
    less.remove(less.len() - 5);
    assert_eq!(codec().decode(&spoiled::resealed(less)), Err(DatagramError::Unreadable), "less in it");
}

fn of_report(spoil: fn(&mut SubtreeReport)) -> Message {
    let mut report = report();
    spoil(&mut report);
    ack(report)
}

fn of_setting(spoil: fn(&mut HostSetting)) -> Message {
    let mut setting = setting("c1");
    spoil(&mut setting);
    batch(StreamKind::Configuration, 1, vec![set(setting)])
}

#[test_case(batch(StreamKind::Purges, 1, vec![purge(); MAX_BATCH_ENTRIES + 1]), DatagramError::WrongCount; "entries")]
#[test_case(batch(StreamKind::Purges, 1, vec![]), DatagramError::WrongCount; "no entries")]
#[test_case(batch(StreamKind::Purges, 0, vec![purge()]), DatagramError::OutOfRange; "number zero")]
#[test_case(batch(StreamKind::Purges, MAX_NUMBER + 1, vec![purge()]), DatagramError::OutOfRange; "number without end")]
#[test_case(batch(StreamKind::Configuration, 1, vec![purge()]), DatagramError::WrongKind; "a purge among settings")]
#[test_case(batch(StreamKind::Purges, 1, vec![set(setting("c1"))]), DatagramError::WrongKind; "a setting among purges")]
#[test_case(of_setting(|setting| setting.host.clear()), DatagramError::InvalidName; "no name")]
#[test_case(of_setting(|setting| setting.host = "h".repeat(MAX_NAME_BYTES + 1)), DatagramError::InvalidName; "a long name")]
#[test_case(of_setting(|setting| setting.timestamp = timestamp(MAX_CLOCK_UNIX_MS + 1)), DatagramError::OutOfRange; "a clock without end")]
#[test_case(of_setting(|setting| setting.timestamp.control = 2), DatagramError::OutOfRange; "a stamp of nobody")]
#[test_case(of_setting(|setting| setting.replaced.control = 2), DatagramError::OutOfRange; "seen of nobody")]
#[test_case(of_setting(|setting| setting.replaced = setting.timestamp), DatagramError::OutOfRange; "seen itself")]
#[test_case(ask(2, 1), DatagramError::OutOfRange; "a range that ends before it begins")]
#[test_case(ask(0, 1), DatagramError::OutOfRange; "a range from zero")]
#[test_case(ask(1, MAX_NUMBER + 1), DatagramError::OutOfRange; "a range without end")]
#[test_case(Message::SettingsRequest { part: MAX_TABLE_PARTS }, DatagramError::OutOfRange; "a part that there is not")]
#[test_case(of_version(|version| version.stream.kind = StreamKind::Purges), DatagramError::WrongKind; "a setting of a stream of purges")]
#[test_case(of_version(|version| version.number = SequenceNumber(0)), DatagramError::OutOfRange; "a setting of no number")]
#[test_case(of_version(|version| version.setting.host.clear()), DatagramError::InvalidName; "a setting of no host")]
#[test_case(Message::RepairRequest { stream: stream(StreamKind::Purges), ranges: vec![(SequenceNumber(1), SequenceNumber(1)); MAX_RANGES + 1] }, DatagramError::WrongCount; "ranges")]
#[test_case(pulse(MAX_TIPS + 1, 1, 1), DatagramError::WrongCount; "tips")]
#[test_case(pulse(1, 3, 1), DatagramError::OutOfRange; "a tip before its first")]
#[test_case(pulse(1, 0, 1), DatagramError::OutOfRange; "a tip from zero")]
#[test_case(pulse(1, 1, u64::MAX), DatagramError::OutOfRange; "a tip without end")]
#[test_case(placement(1, 1, &[]), DatagramError::OutOfRange; "a slot behind the last")]
#[test_case(placement(0, 0, &[]), DatagramError::OutOfRange; "no slots")]
#[test_case(placement(0, MAX_SLOTS as u16 + 1, &[]), DatagramError::OutOfRange; "slots")]
#[test_case(placement(0, 1, &["127.0.0.1:1"; MAX_PARENTS + 1]), DatagramError::WrongCount; "parents")]
#[test_case(placement(0, 1, &["127.0.0.1:0"]), DatagramError::InvalidAddress; "no port")]
#[test_case(placement(0, 1, &["0.0.0.0:1"]), DatagramError::InvalidAddress; "no address")]
#[test_case(placement(0, 1, &["224.0.0.1:1"]), DatagramError::InvalidAddress; "an address of many")]
#[test_case(placement(0, 1, &["192.0.2.1:1"]), DatagramError::InvalidAddress; "an address outside")]
#[test_case(settings(1, 1, 1), DatagramError::OutOfRange; "a part behind the last")]
#[test_case(settings(0, 0, 1), DatagramError::OutOfRange; "no parts")]
#[test_case(settings(0, MAX_TABLE_PARTS + 1, 1), DatagramError::OutOfRange; "parts")]
#[test_case(settings(0, 1, MAX_SETTINGS_PER_PART + 1), DatagramError::WrongCount; "settings")]
#[test_case(rows(MAX_REGION_REPORTS + 1, 0), DatagramError::WrongCount; "rows")]
#[test_case(rows(1, 2), DatagramError::OutOfRange; "a clock of nobody")]
#[test_case(of_clock(MAX_CLOCK_UNIX_MS + 1), DatagramError::OutOfRange; "a clock of rows without end")]
#[test_case(outlived(2, 1), DatagramError::OutOfRange; "a control node that there is not")]
#[test_case(outlived(0, 0), DatagramError::OutOfRange; "no life")]
#[test_case(outlived(0, MAX_INCARNATION + 1), DatagramError::OutOfRange; "a life without end")]
#[test_case(Message::Acknowledgement { received: vec![held(1); MAX_STREAMS + 1], reports: vec![] }, DatagramError::WrongCount; "streams")]
#[test_case(Message::Acknowledgement { received: vec![held(MAX_NUMBER + 1)], reports: vec![] }, DatagramError::OutOfRange; "has without end")]
#[test_case(Message::Acknowledgement { received: vec![], reports: vec![SubtreeReport { slots: SlotSet(vec![]), ..report() }; MAX_REPORTS + 1] }, DatagramError::WrongCount; "reports")]
#[test_case(of_report(|report| report.slots.0.push(0)), DatagramError::WrongCount; "slots of a report")]
#[test_case(of_report(|report| report.applied.push(held(1))), DatagramError::WrongCount; "in force")]
#[test_case(of_report(|report| report.lagging.push(report.lagging[0])), DatagramError::WrongCount; "behind")]
#[test_case(of_report(|report| report.lagging[0].0 = MAX_SLOTS as u16), DatagramError::OutOfRange; "behind at a slot that there is not")]
#[test_case(of_report(|report| report.rejected.push(report.rejected[0])), DatagramError::WrongCount; "refused")]
#[test_case(of_report(|report| report.rejected[0].0.kind = StreamKind::Purges), DatagramError::WrongKind; "a purge refused")]
#[test_case(of_report(|report| report.rejected[0].3 = MAX_SLOTS as u16 + 1), DatagramError::OutOfRange; "refused by more than there are")]
#[test_case(of_report(|report| report.applied[0].0.control = ControlId(2)), DatagramError::OutOfRange; "a stream of nobody")]
#[test_case(of_report(|report| report.applied[0].0.incarnation = Incarnation(0)), DatagramError::OutOfRange; "a stream of no life")]
fn what_is_out_of_its_bounds_is_not_taken(message: Message, fault: DatagramError) {
    assert_eq!(codec().decode(&sealed(&message)), Err(fault));
}

#[test]
fn addresses_outside_the_loopback_go_where_they_are_told() {
    let bytes = sealed(&placement(0, 1, &["192.0.2.1:1"]));
    assert!(FrameCodec::new("fleet", 2, AddressScope::Any).decode(&bytes).is_ok());
}

#[test]
fn nothing_that_comes_makes_it_panic() {
    let good: Vec<_> = each().iter().map(sealed).collect();
    spoiled::none_makes_it_panic(&good, |bytes| codec().decode(bytes).is_ok());
}
