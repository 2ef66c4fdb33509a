//! Literal wire texts that `codecs.rs` doesn't cover: every status, cache note, header and event.

use rockflow_protocol::client::{self, HttpStatus, ParsedRequest, Persistence, Response};
use rockflow_protocol::discovery::{
    self, EndpointUpdate, Instance, Lifecycle, PurgeEvent, Snapshot, WatchEvent, WatchStream,
};
use rockflow_protocol::upstream::{self, CacheNote, DecodedResponse, FetchRequest, HealthCheckKind, Status};
use std::time::Duration;
use test_case::test_case;

#[test_case(Response::Healthy, "200 OK\r\nContent-Length: 0\r\n")]
#[test_case(Response::Succeeded { tag: String::new(), body: Vec::new() }, "200 OK\r\nContent-Length: 0\r\n"; "no tag")]
#[test_case(Response::NotModified { tag: String::new() }, "304 Not Modified\r\n"; "not modified without a tag")]
#[test_case(Response::Rejected { retry_after: None }, "503 Service Unavailable\r\nContent-Length: 0\r\n"; "no retry time")]
#[test_case(Response::Invalid(HttpStatus::new(431, "head too long")), "431 head too long\r\nContent-Length: 0\r\n"; "invalid")]
fn client_response_has_literal_text(response: Response, head: &str) {
    assert_eq!(
        String::from_utf8(client::encode_response(&response, Persistence::KeepAlive)).unwrap(),
        format!("HTTP/1.1 {head}\r\n")
    );
    let closing = String::from_utf8(client::encode_response(&response, Persistence::Close)).unwrap();
    assert_eq!(closing, format!("HTTP/1.1 {head}Connection: close\r\n\r\n"));
}

const HEADERS: &str = "X-Call-Id: 9b1f03aa5c7e2d41\r\nX-Patience-Ms: 1\r\nX-Group: 1\r\n";

#[test_case("POST / HTTP/1.1\r\n\r\n", 404, "unknown path")]
#[test_case("POST /_health HTTP/1.1\r\n\r\n", 405, "unknown method")]
#[test_case("GET /_health HTTP/1.1\r\nContent-Length: 1\r\n\r\n", 413, "a body where none belongs")]
#[test_case("GET\r\n\r\n", 400, "malformed head")]
#[test_case("GET /invoke/a/b HTTP/1.1\r\n\r\n", 400, "X-Patience-Ms")]
#[test_case("GET /invoke/a/b HTTP/1.1\r\nX-Patience-Ms: 1\r\nX-Heap-Kb: x\r\n\r\n", 400, "X-Heap-Kb")]
#[test_case("GET /invoke/a/b HTTP/1.1\r\nX-Patience-Ms: 1\r\nX-Group: x\r\n\r\n", 400, "X-Group")]
#[test_case("GET /invoke/a/b HTTP/1.1\r\nX-Patience-Ms: 1\r\n\r\n", 400, "X-Call-Id")]
#[test_case("GET /invoke/%/b HTTP/1.1\r\nHEADERS\r\n", 400, "class")]
#[test_case("GET /invoke/a/% HTTP/1.1\r\nHEADERS\r\n", 400, "object")]
#[test_case("GET /invoke/a/b?part=x HTTP/1.1\r\nHEADERS\r\n", 400, "part")]
#[test_case(
    "GET /invoke/a/b HTTP/1.1\r\nIf-None-Match: a\r\nIf-None-Match: b\r\nHEADERS\r\n",
    400,
    "If-None-Match"
)]
fn invalid_request_has_literal_status_and_reason(head: &str, status: u16, reason: &str) {
    let head = client::decode_request(head.replace("HEADERS", HEADERS).as_bytes()).expect("a complete head");
    match head.request {
        ParsedRequest::Invalid(actual) => assert_eq!((actual.code, actual.reason), (status, reason)),
        other => panic!("{other:?}"),
    }
}

#[test]
fn health_check_of_a_client_is_decoded() {
    let head = client::decode_request(b"GET /_health HTTP/1.1\r\n\r\n").expect("a complete head");
    assert_eq!(head.request, ParsedRequest::HealthCheck);
}

#[test]
fn fetch_request_has_literal_text_of_every_mode() {
    let all_modes = FetchRequest {
        id: "9b",
        class: "pages",
        object: "7f",
        coalesce: true,
        cached_at_source_only: true,
        no_store_at_parent: true,
        revalidate: true,
        ..FetchRequest::default()
    };
    let line = "want 9b c=pages,k=7f,p=0,w=1,mode=coalesce+shallow+transit+freshen 0\r\n\r\n";
    assert_eq!(String::from_utf8(all_modes.encode()).unwrap(), line);
    for (request, mode) in [
        (FetchRequest { coalesce: true, ..FetchRequest::default() }, "coalesce"),
        (FetchRequest { cached_at_source_only: true, ..FetchRequest::default() }, "shallow"),
        (FetchRequest { no_store_at_parent: true, ..FetchRequest::default() }, "transit"),
        (FetchRequest { revalidate: true, ..FetchRequest::default() }, "freshen"),
    ] {
        let line = format!("want  c=,k=,p=0,w=1,mode={mode} 0\r\n\r\n");
        assert_eq!(String::from_utf8(request.encode()).unwrap(), line);
    }
}

#[test]
fn cancellation_and_health_checks_have_literal_text() {
    assert_eq!(upstream::encode_cancel("9b"), b"never_mind 9b\r\n");
    assert_eq!(upstream::encode_health_check("t7", HealthCheckKind::LoadReport), b"busy t7\r\n");
    assert_eq!(upstream::encode_health_check("t7", HealthCheckKind::Liveness), b"there t7\r\n");
}

#[test_case("data", Status::Data)]
#[test_case("unchanged", Status::NotModified)]
#[test_case("absent", Status::NotFound)]
#[test_case("full", Status::Overloaded)]
#[test_case("failed", Status::Failed)]
#[test_case("moot", Status::NotExecuted)]
#[test_case("well", Status::Healthy)]
#[test_case("ill", Status::Unhealthy)]
fn host_response_status_is_decoded(text: &str, status: Status) {
    let line = format!("9b {text} - 0\r\n\r\n");
    let DecodedResponse { length, response } =
        upstream::decode_response(line.as_bytes()).unwrap().expect("a complete response");
    let expected = upstream::HostResponse {
        id: "9b".to_string(),
        status,
        cache_note: None,
        fill_wait: Duration::ZERO,
        tag: String::new(),
        created_at_ms: None,
        load: Vec::new(),
        body: Vec::new(),
    };
    assert_eq!((length, response), (line.len(), expected));
}

#[test_case("warm", CacheNote::Hit)]
#[test_case("fill", CacheNote::Filled)]
#[test_case("deep_fill", CacheNote::FilledByOrigin)]
#[test_case("piggy", CacheNote::Coalesced)]
#[test_case("aged", CacheNote::Stale)]
#[test_case("bounced", CacheNote::SourceRejected)]
#[test_case("dropped", CacheNote::SourceUnreachable)]
#[test_case("lacking", CacheNote::SourceMiss)]
#[test_case("jammed", CacheNote::NoFillCapacity)]
#[test_case("backfire", CacheNote::OriginFailed)]
fn host_response_cache_note_is_decoded(text: &str, note: CacheNote) {
    let line = format!("9b data note={text} 0\r\n\r\n");
    let DecodedResponse { response, .. } =
        upstream::decode_response(line.as_bytes()).unwrap().expect("a complete response");
    assert_eq!(response.cache_note, Some(note));
}

#[test]
fn watch_request_has_literal_text() {
    let expected = "GET /board/poll HTTP/1.1\r\nHost: b:80\r\nLast-Event-ID: 41\r\n\
        Accept: text/event-stream\r\nConnection: close\r\n\r\n";
    assert_eq!(String::from_utf8(discovery::encode_watch_request("b:80", 41)).unwrap(), expected);
}

fn decode_event(data: &str) -> WatchEvent {
    let sent = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {data}\n\n");
    let mut events = Vec::new();
    WatchStream::default().decode(sent.as_bytes(), &mut events).expect("a valid event");
    events.remove(0)
}

fn instance() -> Instance {
    Instance {
        instance_id: "i-1".to_string(),
        host_port: "127.0.0.1:7001".to_string(),
        zone: "z1".to_string(),
        machine_type: "cache.large".to_string(),
        cell: 3,
        lifecycle: Lifecycle::Active,
        weight: 1.5,
        started_at_ms: 1_764_576_000_123,
    }
}

const INSTANCE: &str = r#"{"instanceId":"i-1","hostPort":"127.0.0.1:7001","zone":"z1","machineType":"cache.large",
    "cell":3,"lifecycle":"active","weight":1.5,"startedAtMs":1764576000123}"#;

#[test]
fn endpoint_update_is_decoded() {
    let text = INSTANCE.replace('\n', " ");
    let decoded = decode_event(&format!(
        r#"{{"rev":41,"pool":{{"generation":7,"reset":true,"instances":[{text},{},{}]}}}}"#,
        text.replace("active", "leaving"),
        r#"{"instanceId":"i-2","hostPort":"h:1","zone":"z2","machineType":"m","lifecycle":"left"}"#,
    ));
    let leaving = Instance { lifecycle: Lifecycle::Leaving, ..instance() };
    let left = Instance {
        instance_id: "i-2".to_string(),
        host_port: "h:1".to_string(),
        zone: "z2".to_string(),
        machine_type: "m".to_string(),
        cell: 0,
        lifecycle: Lifecycle::Left,
        weight: 0.0,
        started_at_ms: 0,
    };
    let update = Some(EndpointUpdate { is_full: true, instances: vec![instance(), leaving, left] });
    assert_eq!(decoded, WatchEvent { revision: 41, endpoints: update, purge: None });
    let minimal = decode_event(r#"{"rev":42,"pool":{"instances":[]}}"#);
    assert_eq!(
        minimal,
        WatchEvent {
            revision: 42,
            endpoints: Some(EndpointUpdate { is_full: false, instances: Vec::new() }),
            purge: None
        }
    );
}

#[test]
fn purge_event_is_decoded() {
    let decode_purge = |text| decode_event(text).purge.expect("a purge");
    let object = decode_purge(r#"{"rev":1,"flush":{"asset":"7f","ms":1764576000123}}"#);
    let expected =
        PurgeEvent { object: Some("7f".to_string()), group: None, purged_at_ms: 1_764_576_000_123 };
    assert_eq!(object, expected);
    let group = decode_purge(r#"{"rev":1,"flush":{"collection":17,"ms":5}}"#);
    assert_eq!(group, PurgeEvent { object: None, group: Some(17), purged_at_ms: 5 });
}

#[test]
fn snapshot_is_decoded() {
    let snapshot: Snapshot = serde_json::from_str(r#"{"rev":9,"notices":[{"rev":8},{"rev":9}]}"#).unwrap();
    let empty_event = |revision| WatchEvent { revision, endpoints: None, purge: None };
    assert_eq!(snapshot, Snapshot { revision: 9, events: vec![empty_event(8), empty_event(9)] });
}
