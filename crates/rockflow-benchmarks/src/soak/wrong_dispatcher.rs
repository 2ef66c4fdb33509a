//! A minimal dispatcher that violates one rule on purpose, for the tests that the soak reports the violation.

use clap::ValueEnum;
use serde_json::Value;
use signal_hook::consts::SIGTERM;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long the dispatcher goes on serving after SIGTERM, while clients still open connections and send requests.
const DRAIN_TIME: Duration = Duration::from_millis(700);
/// How long the dispatcher waits for the answer of a host.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Faults that concern only some requests concern one of this many.
const FAULT_INTERVAL: u64 = 5;
/// How long after the client's patience a late answer comes, which is more than the tolerance of the rules.
const LATENESS: Duration = Duration::from_millis(200);
/// How long an attempt is delayed, which is longer than an attempt may begin after its client left.
const ATTEMPT_DELAY: Duration = Duration::from_millis(400);

/// The rule that the dispatcher violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Some answers are sent twice.
    AnswersTwice,
    /// Some requests are not answered.
    LosesRequests,
    /// Some answers come after the patience of the client has run out.
    AnswersLate,
    /// Some answers hold the bytes of another object.
    ServesWrongBytes,
    /// Some well-formed requests are answered with status 400.
    RejectsAsMalformed,
    /// Copies that the dispatcher has cached are served after they were purged.
    ServesPurged,
    /// Attempts go to hosts that drain.
    UsesDrainedHost,
    /// Each attempt is sent twice.
    RepeatsEffects,
    /// Attempts begin long after the request, even if its client has left.
    SendsAfterLeave,
    /// The program exits with status 1.
    ExitsWithError,
    /// The program still runs after SIGTERM when the kill is due.
    NeverExits,
    /// A thread of the program panics.
    Panics,
}

/// The state that all threads of the dispatcher share.
struct Shared {
    fault: Fault,
    /// The names and addresses of the caches, in the order of the configuration.
    caches: Vec<(String, String)>,
    /// The names of the hosts that drain.
    drained: Mutex<HashSet<String>>,
    /// The time of the last purge of each object, in Unix milliseconds.
    purges: Mutex<HashMap<String, u64>>,
    /// Copies by object, which only [`Fault::ServesPurged`] uses.
    cached: Mutex<HashMap<String, Vec<u8>>>,
    /// The number of requests so far.
    requests: AtomicU64,
}

/// Serves clients with the given configuration until SIGTERM.
///
/// # Panics
/// If the configuration can't be read or the dispatcher can't listen at its address.
pub fn serve(fault: Fault, config: &Path) -> ExitCode {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM]).expect("signals");
    let text = std::fs::read_to_string(config).expect("a readable configuration");
    let config: Value = serde_json::from_str(&text).expect("a configuration in JSON");
    let instances =
        config["known"]["notices"][0]["pool"]["instances"].as_array().cloned().unwrap_or_default();
    let caches = instances.iter().filter(|instance| instance["machineType"] == "box");
    let text_of = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let shared = Arc::new(Shared {
        fault,
        caches: caches.map(|cache| (text_of(&cache["instanceId"]), text_of(&cache["hostPort"]))).collect(),
        drained: Mutex::default(),
        purges: Mutex::default(),
        cached: Mutex::default(),
        requests: AtomicU64::new(0),
    });
    let discovery_state = shared.clone();
    let discovery = text_of(&config["board"]);
    std::thread::spawn(move || follow_discovery(&discovery, &discovery_state));
    let listener = TcpListener::bind(text_of(&config["listen"])).expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            std::thread::spawn(move || serve_client(stream, &shared));
        }
    });
    signals.forever().next();
    if fault == Fault::Panics {
        let _ = std::thread::spawn(|| panic!("on purpose")).join();
    }
    if fault == Fault::NeverExits {
        std::thread::sleep(Duration::from_secs(60));
    }
    std::thread::sleep(DRAIN_TIME);
    ExitCode::from(u8::from(fault == Fault::ExitsWithError))
}

/// Records purges and drains from the event stream of the discovery service until it closes.
fn follow_discovery(address: &str, shared: &Shared) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.write_all(b"GET /board/poll HTTP/1.1\r\nLast-Event-ID: 1\r\n\r\n");
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Some(event) =
            line.strip_prefix("data: ").and_then(|data| serde_json::from_str::<Value>(data).ok())
        else {
            continue;
        };
        if let Some(object) = event["flush"]["asset"].as_str() {
            lock(&shared.purges).insert(object.to_string(), event["flush"]["ms"].as_u64().unwrap_or(0));
        }
        let instance = &event["pool"]["instances"][0];
        if instance["lifecycle"] == "leaving" {
            lock(&shared.drained).insert(instance["instanceId"].as_str().unwrap_or_default().to_string());
        }
    }
}

/// The parts of a request head that the dispatcher uses.
struct RequestHead {
    class: String,
    object: String,
    id: String,
    patience: Duration,
}

/// Answers the requests of one connection, one after another.
fn serve_client(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(read_stream) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read_stream);
    let mut stream = stream;
    while let Some(text) = read_head(&mut reader) {
        let answer = match parse_head(&text) {
            None => Some(encode_answer("200 OK", b"")),
            Some(head) => answer_request(&head, shared),
        };
        if answer.is_some_and(|answer| stream.write_all(&answer).is_err())
            || text.contains("Connection: close")
        {
            return;
        }
    }
}

/// Reads a request head; `None` if the connection is closed or fails before its end.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    Some(text)
}

/// Parses the head of a request for an object; `None` for any other request.
fn parse_head(text: &str) -> Option<RequestHead> {
    let header = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let target = text.split(' ').nth(1)?.strip_prefix("/invoke/")?;
    let (class, object) = target.split('?').next()?.split_once('/')?;
    let patience = header("X-Patience-Ms:")?.parse().ok()?;
    Some(RequestHead {
        class: class.to_string(),
        object: object.to_string(),
        id: header("X-Call-Id:")?.to_string(),
        patience: Duration::from_millis(patience),
    })
}

/// The bytes that answer a request, with the fault if it concerns this one; `None` to leave the request unanswered.
fn answer_request(head: &RequestHead, shared: &Shared) -> Option<Vec<u8>> {
    let is_affected = shared.requests.fetch_add(1, Ordering::Relaxed) % FAULT_INTERVAL == FAULT_INTERVAL - 1;
    let fault = shared.fault;
    if fault == Fault::SendsAfterLeave {
        std::thread::sleep(ATTEMPT_DELAY);
    }
    if fault == Fault::RepeatsEffects {
        let _ = fetch(head, shared);
    }
    let answer = match cached_or_fetched(head, shared) {
        Some(body) => encode_answer("200 OK", &body),
        None => encode_answer("502 Bad Gateway", b""),
    };
    match fault {
        Fault::LosesRequests if is_affected => None,
        Fault::RejectsAsMalformed if is_affected => Some(encode_answer("400 Bad Request", b"")),
        Fault::AnswersTwice if is_affected => Some([&answer[..], &answer[..]].concat()),
        Fault::ServesWrongBytes if is_affected => Some(encode_answer("200 OK", b"object=zzzz;born=1;end")),
        Fault::AnswersLate if is_affected => {
            std::thread::sleep(head.patience + LATENESS);
            Some(answer)
        }
        _ => Some(answer),
    }
}

/// The body of an object, which only [`Fault::ServesPurged`] takes from copies of the dispatcher; `None` if no host
/// provided it.
fn cached_or_fetched(head: &RequestHead, shared: &Shared) -> Option<Vec<u8>> {
    if shared.fault != Fault::ServesPurged {
        return fetch(head, shared);
    }
    if let Some(body) = lock(&shared.cached).get(&head.object) {
        return Some(body.clone());
    }
    let body = fetch(head, shared)?;
    lock(&shared.cached).insert(head.object.clone(), body.clone());
    Some(body)
}

/// Requests an object from the last cache that may be used; `None` if that fails or no cache is left.
fn fetch(head: &RequestHead, shared: &Shared) -> Option<Vec<u8>> {
    let drained = lock(&shared.drained).clone();
    let avoids_drained = shared.fault != Fault::UsesDrainedHost;
    let mut usable = shared.caches.iter().filter(|(name, _)| !avoids_drained || !drained.contains(name));
    let (_, address) = usable.next_back()?;
    let purged_at = lock(&shared.purges).get(&head.object).copied();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis() as u64;
    let max_age = purged_at.map_or(String::new(), |at| format!(",oldest={}", now.saturating_sub(at).max(1)));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(HOST_TIMEOUT)).ok()?;
    let RequestHead { class, object, id, .. } = head;
    write!(stream, "want {id} c={class},k={object},p=0,w=1000,from=o1{max_age} 0\r\n\r\n").ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let length: usize = line.split_whitespace().last()?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// An HTTP answer with the given status line and body.
fn encode_answer(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
