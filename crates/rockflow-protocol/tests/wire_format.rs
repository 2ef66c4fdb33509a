//! The literal text of what `codecs.rs` doesn't hold: every word, note, status and event as it travels.

use rockflow_protocol::board::{self, Flush, Instance, Known, Lifecycle, Notice, Pool, Stream};
use rockflow_protocol::front::{self, Answer, Request};
use rockflow_protocol::hostline::{self, Note, Want, Word};
use std::time::Duration;
use test_case::test_case;

#[test_case(Answer::Well, "200 OK\r\nContent-Length: 0\r\n")]
#[test_case(Answer::Succeeded { tag: String::new(), body: Vec::new() }, "200 OK\r\nContent-Length: 0\r\n"; "no tag")]
#[test_case(Answer::Unchanged { tag: String::new() }, "304 Not Modified\r\n"; "unchanged without a tag")]
#[test_case(Answer::Dismissed { pause: None }, "503 Service Unavailable\r\nContent-Length: 0\r\n"; "no pause")]
#[test_case(Answer::Wrong(431, "head too long"), "431 head too long\r\nContent-Length: 0\r\n"; "wrong")]
fn client_answer_keeps_its_text(answer: Answer, head: &str) {
    assert_eq!(String::from_utf8(front::encode(&answer, true)).unwrap(), format!("HTTP/1.1 {head}\r\n"));
    let last = String::from_utf8(front::encode(&answer, false)).unwrap();
    assert_eq!(last, format!("HTTP/1.1 {head}Connection: close\r\n\r\n"));
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
fn wrong_request_has_its_status_and_reason(head: &str, status: u16, reason: &str) {
    let head = front::decode(head.replace("HEADERS", HEADERS).as_bytes()).expect("whole");
    match head.request {
        Request::Wrong(found, why) => assert_eq!((found, why), (status, reason)),
        other => panic!("{other:?}"),
    }
}

#[test]
fn health_request_is_read() {
    let head = front::decode(b"GET /_health HTTP/1.1\r\n\r\n").expect("whole");
    assert_eq!(head.request, Request::Health);
}

#[test]
fn host_request_names_every_mode() {
    let want = Want {
        id: "9b",
        class: "pages",
        object: "7f",
        coalesce: true,
        shallow: true,
        transit: true,
        freshen: true,
        ..Want::default()
    };
    let line = "want 9b c=pages,k=7f,p=0,w=1,mode=coalesce+shallow+transit+freshen 0\r\n\r\n";
    assert_eq!(String::from_utf8(want.encode()).unwrap(), line);
    for (want, mode) in [
        (Want { coalesce: true, ..Want::default() }, "coalesce"),
        (Want { shallow: true, ..Want::default() }, "shallow"),
        (Want { transit: true, ..Want::default() }, "transit"),
        (Want { freshen: true, ..Want::default() }, "freshen"),
    ] {
        let line = format!("want  c=,k=,p=0,w=1,mode={mode} 0\r\n\r\n");
        assert_eq!(String::from_utf8(want.encode()).unwrap(), line);
    }
}

#[test]
fn other_host_lines_keep_their_text() {
    assert_eq!(hostline::never_mind("9b"), b"never_mind 9b\r\n");
    assert_eq!(hostline::probe("t7", true), b"busy t7\r\n");
    assert_eq!(hostline::probe("t7", false), b"there t7\r\n");
}

#[test_case("data", Word::Data)]
#[test_case("unchanged", Word::Unchanged)]
#[test_case("absent", Word::Absent)]
#[test_case("full", Word::Full)]
#[test_case("failed", Word::Failed)]
#[test_case("moot", Word::Moot)]
#[test_case("well", Word::Well)]
#[test_case("ill", Word::Ill)]
fn host_answer_word_is_read(text: &str, word: Word) {
    let line = format!("9b {text} - 0\r\n\r\n");
    let (length, answer) = hostline::decode(line.as_bytes()).unwrap().expect("whole");
    let expected = hostline::Answer {
        id: "9b".to_string(),
        word,
        note: None,
        waited: Duration::ZERO,
        tag: String::new(),
        born: None,
        load: Vec::new(),
        body: Vec::new(),
    };
    assert_eq!((length, answer), (line.len(), expected));
}

#[test_case("warm", Note::Warm)]
#[test_case("fill", Note::Fill)]
#[test_case("deep_fill", Note::DeepFill)]
#[test_case("piggy", Note::Piggy)]
#[test_case("aged", Note::Aged)]
#[test_case("bounced", Note::Bounced)]
#[test_case("dropped", Note::Dropped)]
#[test_case("lacking", Note::Lacking)]
#[test_case("jammed", Note::Jammed)]
#[test_case("backfire", Note::Backfire)]
fn host_answer_note_is_read(text: &str, note: Note) {
    let line = format!("9b data note={text} 0\r\n\r\n");
    let (_, answer) = hostline::decode(line.as_bytes()).unwrap().expect("whole");
    assert_eq!(answer.note, Some(note));
}

#[test]
fn discovery_request_keeps_its_text() {
    let expected = "GET /board/poll HTTP/1.1\r\nHost: b:80\r\nLast-Event-ID: 41\r\n\
        Accept: text/event-stream\r\nConnection: close\r\n\r\n";
    assert_eq!(String::from_utf8(board::call("b:80", 41)).unwrap(), expected);
}

fn event(data: &str) -> Notice {
    let sent = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {data}\n\n");
    let mut notices = Vec::new();
    Stream::default().take(sent.as_bytes(), &mut notices).expect("well formed");
    notices.remove(0)
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
fn discovery_list_event_is_read() {
    let text = INSTANCE.replace('\n', " ");
    let found = event(&format!(
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
    let pool = Some(Pool { reset: true, instances: vec![instance(), leaving, left] });
    assert_eq!(found, Notice { rev: 41, pool, flush: None });
    let bare = event(r#"{"rev":42,"pool":{"instances":[]}}"#);
    assert_eq!(
        bare,
        Notice { rev: 42, pool: Some(Pool { reset: false, instances: Vec::new() }), flush: None }
    );
}

#[test]
fn discovery_purge_event_is_read() {
    let flush = |text| event(text).flush.expect("a purge");
    let object = flush(r#"{"rev":1,"flush":{"asset":"7f","ms":1764576000123}}"#);
    let expected = Flush { asset: Some("7f".to_string()), collection: None, ms: 1_764_576_000_123 };
    assert_eq!(object, expected);
    let group = flush(r#"{"rev":1,"flush":{"collection":17,"ms":5}}"#);
    assert_eq!(group, Flush { asset: None, collection: Some(17), ms: 5 });
}

#[test]
fn notices_held_at_the_start_are_read() {
    let known: Known = serde_json::from_str(r#"{"rev":9,"notices":[{"rev":8},{"rev":9}]}"#).unwrap();
    let bare = |rev| Notice { rev, pool: None, flush: None };
    assert_eq!(known, Known { rev: 9, notices: vec![bare(8), bare(9)] });
}
