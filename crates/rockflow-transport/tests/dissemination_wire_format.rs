//! Literal bytes of every message of dissemination and of the datagram around it, which nodes of other releases must be able
//! to decode. A field or variant that changes its position fails here: the encoding has order, but no names.

use rockflow_dissemination::*;
use rockflow_transport::dissemination::frame::{AddressScope, Frame, FrameCodec};
use std::fmt::Write;
use test_case::test_case;

fn stream(kind: StreamKind) -> StreamId {
    StreamId { control: ControlId(1), kind, incarnation: Incarnation(1_700_000_000_123) }
}

fn setting(host: &str, desired: DesiredState) -> HostSetting {
    let timestamp = HybridTimestamp { unix_ms: 1_700_000_000_789, control: 1 };
    HostSetting {
        host: host.to_string(),
        desired,
        timestamp,
        replaced: HybridTimestamp { unix_ms: 1_700_000_000_456, control: 2 },
    }
}

fn version(number: u64, host: &str, desired: DesiredState) -> SettingVersion {
    SettingVersion {
        stream: stream(StreamKind::Configuration),
        number: SequenceNumber(number),
        setting: setting(host, desired),
    }
}

fn peer(name: &str, address: &str) -> Peer {
    Peer { node: NodeId::of(name), address: address.parse().unwrap() }
}

fn report() -> SubtreeReport {
    let (purges, configuration) = (stream(StreamKind::Purges), stream(StreamKind::Configuration));
    SubtreeReport {
        region: 3,
        listing_hash: 0xfeed_beef,
        slots: SlotSet(vec![0x5a, 0x81]),
        applied: vec![(purges, SequenceNumber(300)), (configuration, SequenceNumber(7))],
        lagging: vec![(11, purges, SequenceNumber(290))],
        rejected: vec![
            (configuration, SequenceNumber(5), RejectionReason::LastOne, 2),
            (configuration, SequenceNumber(6), RejectionReason::Full, 9),
        ],
    }
}

fn join() -> Message {
    Message::Join { directory_version: 4711 }
}

fn placement() -> Message {
    let parents = vec![peer("parent", "127.0.0.1:7500"), peer("control", "[::1]:7501")];
    Message::Placement {
        directory_version: 4711,
        listing_hash: 0xfeed_beef,
        region: 3,
        slot: 5,
        slots: 600,
        parents,
    }
}

fn not_listed() -> Message {
    Message::NotListed { directory_version: 4712 }
}

fn acknowledgement() -> Message {
    let received = vec![
        (stream(StreamKind::Purges), SequenceNumber(301)),
        (stream(StreamKind::Configuration), SequenceNumber(8)),
    ];
    Message::Acknowledgement { received, reports: vec![report()] }
}

fn heartbeat() -> Message {
    let tips = vec![
        StreamTip { stream: stream(StreamKind::Purges), first: SequenceNumber(2), last: SequenceNumber(301) },
        StreamTip {
            stream: stream(StreamKind::Configuration),
            first: SequenceNumber(1),
            last: SequenceNumber(8),
        },
    ];
    Message::Heartbeat {
        staleness_ms: 250,
        directory_version: 4711,
        listing_hash: 0xfeed_beef,
        tips,
        settings_digest: Some(0xdead_cafe),
    }
}

fn batch_of_purges() -> Message {
    let purges = [Purge::object(0x0102_0304_0506_0708), Purge::Group(77), Purge::Everything];
    let entries = purges.map(|purge| AgedEntry { age_ms: 1500, entry: Entry::Purge(purge) }).to_vec();
    Message::Batch { stream: stream(StreamKind::Purges), first: SequenceNumber(299), entries }
}

fn batch_of_settings() -> Message {
    let settings = [
        setting("c1", DesiredState::Listed),
        setting("c2", DesiredState::Draining),
        setting("c3", DesiredState::Gone),
    ];
    let entries = settings.map(|setting| AgedEntry { age_ms: 40, entry: Entry::Setting(setting) }).to_vec();
    Message::Batch { stream: stream(StreamKind::Configuration), first: SequenceNumber(6), entries }
}

fn repair_request() -> Message {
    let ranges = vec![(SequenceNumber(10), SequenceNumber(12)), (SequenceNumber(300), SequenceNumber(301))];
    Message::RepairRequest { stream: stream(StreamKind::Purges), ranges }
}

fn snapshot() -> Message {
    Message::Snapshot {
        stream: stream(StreamKind::Purges),
        next: SequenceNumber(250),
        min_accepted_age_ms: Some(9000),
    }
}

fn settings_request() -> Message {
    Message::SettingsRequest { part: 130 }
}

fn settings() -> Message {
    let settings = vec![version(7, "c1", DesiredState::Draining), version(8, "c2", DesiredState::Gone)];
    Message::SettingsPart { digest: 0xdead_cafe, part: 2, parts: 130, settings }
}

fn region_reports() -> Message {
    let clock = HybridTimestamp { unix_ms: 1_700_000_000_999, control: 2 };
    Message::RegionReports {
        directory_version: 4711,
        clock,
        reports: vec![RegionReport { report: report(), age_ms: 750 }],
    }
}

fn superseded() -> Message {
    Message::SupersededIncarnation { control: ControlId(2), incarnation: Incarnation(1_700_000_000_124) }
}

fn probe_reply() -> Message {
    Message::ProbeReply { staleness_ms: 251 }
}

fn frame(messages: Vec<Message>) -> Frame {
    let from = Identity { node: NodeId::of("d7"), incarnation: Incarnation(1_700_000_000_001) };
    Frame { from, messages }
}

fn codec() -> FrameCodec {
    FrameCodec::new("fleet", 3, AddressScope::LoopbackOnly)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|index| u8::from_str_radix(&hex[index..index + 2], 16).unwrap()).collect()
}

#[test_case(join(), "00e724"; "join")]
#[test_case(placement(), "01e724effdb6f70f0305d80402baf4fedbe5bfa4aa79007f000001cc3ad6d1f0fdfe8ea39a280100000000000000000000000000000001cd3a"; "placement")]
#[test_case(not_listed(), "02e824"; "not listed")]
#[test_case(acknowledgement(), "03020100fbd095ffbc31ad020101fbd095ffbc31080103effdb6f70f025a81020100fbd095ffbc31ac020101fbd095ffbc3107010b0100fbd095ffbc31a202020101fbd095ffbc310500020101fbd095ffbc31060109"; "acknowledgement")]
#[test_case(Message::Leave, "04"; "leave")]
#[test_case(Message::Full, "05"; "full")]
#[test_case(heartbeat(), "06fa01e724effdb6f70f020100fbd095ffbc3102ad020101fbd095ffbc31010801fe95b7f50d"; "heartbeat")]
#[test_case(batch_of_purges(), "070100fbd095ffbc31ab0203dc0b00000807060504030201dc0b00014ddc0b0002"; "batch of purges")]
#[test_case(batch_of_settings(), "070101fbd095ffbc31060328010263310095d695ffbc3101c8d395ffbc310228010263320195d695ffbc3101c8d395ffbc310228010263330295d695ffbc3101c8d395ffbc3102"; "batch of settings")]
#[test_case(repair_request(), "080100fbd095ffbc31020a0cac02ad02"; "repair request")]
#[test_case(snapshot(), "090100fbd095ffbc31fa0101a846"; "snapshot")]
#[test_case(settings_request(), "0a8201"; "settings request")]
#[test_case(settings(), "0bfe95b7f50d028201020101fbd095ffbc31070263310195d695ffbc3101c8d395ffbc31020101fbd095ffbc31080263320295d695ffbc3101c8d395ffbc3102"; "settings part")]
#[test_case(region_reports(), "0ce724e7d795ffbc31020103effdb6f70f025a81020100fbd095ffbc31ac020101fbd095ffbc3107010b0100fbd095ffbc31a202020101fbd095ffbc310500020101fbd095ffbc31060109ee05"; "region reports")]
#[test_case(superseded(), "0d02fcd095ffbc31"; "superseded incarnation")]
#[test_case(Message::Probe, "0e"; "probe")]
#[test_case(probe_reply(), "0ffb01"; "probe reply")]
fn message_has_its_literal_bytes(message: Message, literal: &str) {
    assert_eq!(hex(&postcard::to_stdvec(&message).unwrap()), literal);
    assert_eq!(postcard::from_bytes::<Message>(&bytes(literal)).unwrap(), message);
}

#[test_case(vec![Message::Leave], "726402471e5ea0f1d0b1a1b3b59fc98c0181d095ffbc3101047bebc52b"; "one message")]
#[test_case(vec![probe_reply(), join(), batch_of_purges()], "726402471e5ea0f1d0b1a1b3b59fc98c0181d095ffbc31030ffb0100e724070100fbd095ffbc31ab0203dc0b00000807060504030201dc0b00014ddc0b0002b02492af"; "several messages")]
fn frame_has_its_literal_bytes(messages: Vec<Message>, literal: &str) {
    let frame = frame(messages);
    assert_eq!(codec().encode(frame.from, &frame.messages), (vec![bytes(literal)], 0));
    assert_eq!(codec().decode(&bytes(literal)), Ok(frame));
}
