//! The literal bytes of every event.

use crate::common::{hex, SETTINGS};
use rockflow::{
    AttemptEnd, AttemptNumber, CacheStatus, CellId, ClassId, EndpointEntry, Event, GroupId, HostId,
    ListScope, LocationId, ObjectId, Outcome, Readiness, Request, RequestId, Role, TimerId,
};
use rockflow_settings::{DeploymentSettings, DottedSettings};
use rockflow_simulator_adapter::wire::decode::{read_entries, read_event};
use rockflow_simulator_adapter::wire::reader::Reader;
use rockflow_simulator_adapter::wire::EventCode;
use std::time::Duration;
use test_case::test_case;

const REQUEST: RequestId = RequestId(0x000f_a47d_5d3a_91c4);
const HOST: HostId = HostId(0x0a12_4a07_1b5b);

/// The records of a ready cache, a draining parent and an origin that is gone.
const ENTRIES: &str = "00000003 \
    0002 0a124a071b5b 0001 01 40200000 00000000000f4240 00 \
    0000 000000000002 0000 02 3f800000 0000000000000000 01 \
    0000 000000000003 0000 00 3f800000 0000000000000000 02";

/// Decodes a record, including its code. List 0 is empty and list 5 has the entries above.
fn decode_record(record: &str) -> Result<Event, String> {
    let settings = DeploymentSettings::parse(&DottedSettings::from_lines(SETTINGS)).expect("settings");
    let entries = read_entries(&mut Reader::new(&hex(ENTRIES), 0)).expect("entries");
    let mut lists = [None, None, None, None, None, Some(entries)];
    lists[0] = Some(Vec::new());
    let record = hex(record);
    let mut reader = Reader::new(&record, 100);
    let code = EventCode::from_code(reader.u16().expect("a code")).expect("a known code");
    let event = read_event(&mut reader, code, &lists, Some(&settings)).map_err(|error| error.to_string())?;
    assert!(reader.is_empty());
    Ok(event.expect("an event"))
}

fn entry(host: u64, role: Role, readiness: Readiness) -> EndpointEntry {
    EndpointEntry {
        host: HostId(host),
        cell: CellId(0),
        location: LocationId(0),
        role,
        readiness,
        weight: 1.0,
        started: None,
    }
}

fn entries() -> Vec<EndpointEntry> {
    let cache = EndpointEntry {
        cell: CellId(2),
        location: LocationId(1),
        weight: 2.5,
        started: Some(Duration::from_secs(1)),
        ..entry(HOST.0, Role::Cache, Readiness::Ready)
    };
    vec![cache, entry(2, Role::Parent, Readiness::Draining), entry(3, Role::Origin, Readiness::Gone)]
}

fn listed(scope: ListScope, entries: Vec<EndpointEntry>) -> Event {
    Event::EndpointsListed { scope, entries }
}

fn request(size_kb: f64) -> Event {
    Event::RequestArrived(Request {
        id: REQUEST,
        class: ClassId(0),
        object: ObjectId(0x7c_55d2_0a01),
        part: 3,
        group: GroupId(11),
        time_left: Duration::from_micros(240_000),
        size_kb,
        previous_attempts: Vec::new(),
    })
}

fn attempt_end(outcome: Outcome, request_finished: bool, cache_status: CacheStatus) -> Event {
    Event::AttemptEnded(AttemptEnd {
        request: REQUEST,
        attempt: AttemptNumber(2),
        host: HOST,
        outcome,
        duration: Duration::from_millis(400),
        request_finished,
        cache_status,
        fill_wait: Duration::from_secs(1),
        first_byte_sent: true,
    })
}

fn health_checked() -> Event {
    Event::HealthChecked {
        host: HOST,
        outcome: Outcome::TimedOut,
        duration: Duration::from_secs(1),
        load_report: vec![1.0, 2.5],
    }
}

fn purged(object: Option<ObjectId>) -> Event {
    Event::Purged { object, group: Some(GroupId(3)), age: Duration::from_secs(1) }
}

fn message() -> Event {
    Event::MessageReceived { from: 9, payload: vec![1, 2] }
}

#[test_case("0100 00 00000029 09", listed(ListScope::Failed, vec![]); "list failed")]
#[test_case("0100 01 00000029 05", listed(ListScope::Restored, entries()); "list restored")]
#[test_case("0100 02 00000029 05", listed(ListScope::Full, entries()); "full list")]
#[test_case("0100 04 00000029 00", listed(ListScope::Changes, vec![]); "list changes")]
#[test_case("0102 000fa47d5d3a91c4 00 0000 0000007c55d20a01 0003a980 44200000 41300000 40400000 0001", request(640.0); "request")]
#[test_case("0102 000fa47d5d3a91c4 00 0000 0000007c55d20a01 0003a980 7fc00000 41300000 40400000 0001", request(0.0); "request of unknown size")]
#[test_case("0103 000fa47d5d3a91c4", Event::ClientDisconnected(REQUEST); "client disconnected")]
#[test_case("0105 00000005", Event::TimerFired(TimerId(5)); "timer")]
#[test_case("0106 0a124a071b5b 0004 000f4240 02 3f800000 40200000", health_checked(); "health check")]
#[test_case("0109 000fa47d5d3a91c4 0a124a071b5b 000f4240 0002",
    Event::ResponseStarted { request: REQUEST, attempt: AttemptNumber(2) }; "response started")]
#[test_case("010b 000000000000002a 0003 000f4240", purged(Some(ObjectId(42))); "purge of an object")]
#[test_case("010b 0000000000000000 0003 000f4240", purged(None); "purge of a group")]
#[test_case("010c 0009 0002 0102", message(); "message")]
fn event_has_literal_bytes(record: &str, expected: Event) {
    let event = decode_record(record).expect("a valid record");
    assert_eq!(format!("{event:?}"), format!("{expected:?}"));
}

#[test_case("0000", Outcome::Succeeded)]
#[test_case("0001", Outcome::Cancelled)]
#[test_case("0004", Outcome::TimedOut)]
#[test_case("0005", Outcome::Miss)]
#[test_case("0008", Outcome::Rejected)]
#[test_case("0009", Outcome::NotSent)]
#[test_case("000a", Outcome::ConnectionLost)]
#[test_case("000d", Outcome::HostError)]
#[test_case("000e", Outcome::ConnectFailed)]
fn outcome_has_literal_bytes(code: &str, outcome: Outcome) {
    let record =
        format!("0107 000fa47d5d3a91c4 0002 0a124a071b5b {code} 00061a80 01 00 000f4240 01 3f800000");
    let event = decode_record(&record).expect("a valid record");
    let expected = attempt_end(outcome, true, CacheStatus::Unknown);
    assert_eq!(format!("{event:?}"), format!("{expected:?}"));
}

#[test_case("00", CacheStatus::Unknown)]
#[test_case("01", CacheStatus::Hit)]
#[test_case("02", CacheStatus::Filled)]
#[test_case("03", CacheStatus::FilledByOrigin)]
#[test_case("04", CacheStatus::Coalesced)]
#[test_case("05", CacheStatus::Stale)]
#[test_case("06", CacheStatus::SourceRejected)]
#[test_case("07", CacheStatus::SourceUnreachable)]
#[test_case("08", CacheStatus::SourceMiss)]
#[test_case("09", CacheStatus::NoFillCapacity)]
#[test_case("0a", CacheStatus::OriginFailed)]
fn cache_status_has_literal_bytes(code: &str, cache_status: CacheStatus) {
    let record = format!("0107 000fa47d5d3a91c4 0002 0a124a071b5b 0008 00061a80 00 {code} 000f4240 00");
    let event = decode_record(&record).expect("a valid record");
    let expected = attempt_end(Outcome::Rejected, false, cache_status);
    assert_eq!(format!("{event:?}"), format!("{expected:?}"));
}

#[test_case("0100 03 00000029 00", "unknown list scope 3 at byte 102"; "list scope")]
#[test_case("0107 000fa47d5d3a91c4 0002 0a124a071b5b 0002", "unknown outcome 2 at byte 118"; "outcome")]
#[test_case("0107 000fa47d5d3a91c4 0002 0a124a071b5b 0000 00061a80 01 0b", "unknown note 11 at byte 125"; "cache status")]
fn error_names_unknown_code_and_its_offset(record: &str, error: &str) {
    assert_eq!(decode_record(record).expect_err("an unknown code"), error);
}

#[test]
fn entry_of_unknown_location_or_kind_is_rejected() {
    let settings = SETTINGS.replace("dcs=hub,edge", "dcs=hub");
    let settings = DeploymentSettings::parse(&DottedSettings::from_lines(&settings)).expect("settings");
    let entries = read_entries(&mut Reader::new(&hex(ENTRIES), 0)).expect("entries");
    let record = hex("02 00000029 00");
    let mut reader = Reader::new(&record, 20);
    let event = read_event(&mut reader, EventCode::EndpointsListed, &[Some(entries)], Some(&settings));
    let error = event.expect_err("an unknown location").to_string();
    assert_eq!(error, "list 0 names an unknown zone or kind at byte 20");
}
