//! A scripted dispatcher that breaks one rule on purpose, to show that the soak reports it.

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

/// It goes on for so long after SIGTERM, while new connections and requests still come.
const DRAIN_TIME: Duration = Duration::from_millis(700);
/// A host that has not answered by then has failed.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Faults that strike some requests only strike each of this many.
const STRIDE: u64 = 5;
/// Past its patience, and the slack of the rules.
const LATENESS: Duration = Duration::from_millis(200);
/// Longer than an attempt may begin behind its client.
const ATTEMPT_DELAY: Duration = Duration::from_millis(400);

/// The rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Some answers come twice.
    AnswersTwice,
    /// Some requests get no answer.
    LosesRequests,
    /// Some answers come after the client's patience.
    AnswersLate,
    /// Bytes are those of another object.
    ServesWrongBytes,
    /// A whole request is answered with 400.
    RejectsAsMalformed,
    /// Copies of its own outlive purges.
    ServesPurged,
    /// Drains are not followed.
    UsesDrainedHost,
    /// Each attempt goes out twice.
    RepeatsEffects,
    /// Attempts begin long after the request, whether or not its client is there.
    SendsAfterLeave,
    /// It ends with 1.
    ExitsWithError,
    /// It heeds no SIGTERM.
    NeverExits,
    /// One of its threads panics.
    Panics,
}

/// What its threads share.
struct Shared {
    fault: Fault,
    /// The caches by name, in their order in the list.
    caches: Vec<(String, String)>,
    drained: Mutex<HashSet<String>>,
    /// Unix milliseconds of the last purge, by object.
    purges: Mutex<HashMap<String, u64>>,
    cached: Mutex<HashMap<String, Vec<u8>>>,
    requests: AtomicU64,
}

/// Serves by a configuration until SIGTERM.
///
/// # Panics
/// If the configuration can't be read or its address can't be listened at.
pub fn serve(fault: Fault, config: &Path) -> ExitCode {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM]).expect("signals");
    let text = std::fs::read_to_string(config).expect("a configuration");
    let config: Value = serde_json::from_str(&text).expect("JSON");
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
    let following = shared.clone();
    let discovery = text_of(&config["board"]);
    std::thread::spawn(move || follow(&discovery, &following));
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

/// Follows the discovery service's events.
fn follow(address: &str, shared: &Shared) {
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

/// A request head as far as it is used.
struct Head {
    class: String,
    object: String,
    id: String,
    patience: Duration,
}

fn serve_client(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut lines = BufReader::new(reading);
    let mut stream = stream;
    while let Some(text) = read_head(&mut lines) {
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

fn read_head(lines: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if lines.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    Some(text)
}

/// None: it is no request for an object.
fn parse_head(text: &str) -> Option<Head> {
    let header = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let target = text.split(' ').nth(1)?.strip_prefix("/invoke/")?;
    let (class, object) = target.split('?').next()?.split_once('/')?;
    let patience = header("X-Patience-Ms:")?.parse().ok()?;
    Some(Head {
        class: class.to_string(),
        object: object.to_string(),
        id: header("X-Call-Id:")?.to_string(),
        patience: Duration::from_millis(patience),
    })
}

/// The bytes that answer a request; none: nothing does.
fn answer_request(head: &Head, shared: &Shared) -> Option<Vec<u8>> {
    let is_struck = shared.requests.fetch_add(1, Ordering::Relaxed) % STRIDE == STRIDE - 1;
    let fault = shared.fault;
    if fault == Fault::SendsAfterLeave {
        std::thread::sleep(ATTEMPT_DELAY);
    }
    if fault == Fault::RepeatsEffects {
        let _ = fetch(head, shared);
    }
    let fetched = cached_or_fetched(head, shared);
    let answer = match fetched {
        Some(body) => encode_answer("200 OK", &body),
        None => encode_answer("502 Bad Gateway", b""),
    };
    match fault {
        Fault::LosesRequests if is_struck => None,
        Fault::RejectsAsMalformed if is_struck => Some(encode_answer("400 Bad Request", b"")),
        Fault::AnswersTwice if is_struck => Some([&answer[..], &answer[..]].concat()),
        Fault::ServesWrongBytes if is_struck => Some(encode_answer("200 OK", b"object=zzzz;born=1;end")),
        Fault::AnswersLate if is_struck => {
            std::thread::sleep(head.patience + LATENESS);
            Some(answer)
        }
        _ => Some(answer),
    }
}

fn cached_or_fetched(head: &Head, shared: &Shared) -> Option<Vec<u8>> {
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

/// Asks a cache for an object.
fn fetch(head: &Head, shared: &Shared) -> Option<Vec<u8>> {
    let drained = lock(&shared.drained).clone();
    let heeds_drains = shared.fault != Fault::UsesDrainedHost;
    let mut usable = shared.caches.iter().filter(|(name, _)| !heeds_drains || !drained.contains(name));
    let (_, address) = usable.next_back()?;
    let purged_at = lock(&shared.purges).get(&head.object).copied();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis() as u64;
    let max_age = purged_at.map_or(String::new(), |at| format!(",oldest={}", now.saturating_sub(at).max(1)));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(HOST_TIMEOUT)).ok()?;
    let Head { class, object, id, .. } = head;
    write!(stream, "want {id} c={class},k={object},p=0,w=1000,from=o1{max_age} 0\r\n\r\n").ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let length: usize = line.split_whitespace().last()?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn encode_answer(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
