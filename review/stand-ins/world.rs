//! What all cases share: settings of a small deployment, a notice board, cache hosts, the platform that starts a
//! dispatcher by the deploy file, and the record.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The record of a run: every line carries the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can't be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        writeln!(self.file.lock().unwrap(), "{ms:>7} {text}").unwrap();
    }
}

/// An address on the loopback with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The notice board: keeps numbered events, and tells them to whoever polls, with a comment each second.
pub struct Board {
    pub address: SocketAddr,
    events: Mutex<Vec<(u64, String)>>,
    /// How long a poll waits for the first byte of its answer.
    first_byte_delay_ms: AtomicU64,
    /// Counts up when all open polls are to end.
    generation: AtomicU64,
    record: Record,
}

impl Board {
    pub fn start(record: &Record) -> Arc<Board> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let board = Arc::new(Board {
            address: listener.local_addr().unwrap(),
            events: Mutex::new(Vec::new()),
            first_byte_delay_ms: AtomicU64::new(0),
            generation: AtomicU64::new(0),
            record: record.clone(),
        });
        let served = board.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let board = served.clone();
                thread::spawn(move || {
                    let end = board.serve(number, stream.unwrap());
                    board.record.line(&format!("board: poll {number} ended: {end:?}"));
                });
            }
        });
        board
    }

    pub fn put(&self, id: u64, data: String) {
        self.record.line(&format!("board: event {id} is in the board: {data}"));
        self.events.lock().unwrap().push((id, data));
    }

    pub fn set_first_byte_delay(&self, delay: Duration) {
        self.first_byte_delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Ends all open polls.
    pub fn break_off(&self) {
        self.record.line("board: ends the open polls");
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, number: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let generation = self.generation.load(Ordering::SeqCst);
        let mut told = 0;
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        for line in lines.by_ref() {
            let line = line?;
            if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                told = id.trim().parse().unwrap_or(0);
            }
            if line.is_empty() {
                break;
            }
        }
        self.record.line(&format!("board: poll {number} from event {told}"));
        thread::sleep(Duration::from_millis(self.first_byte_delay_ms.load(Ordering::SeqCst)));
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n:\n\n",
        )?;
        let mut last_comment = Instant::now();
        while self.generation.load(Ordering::SeqCst) == generation {
            let fresh: Vec<(u64, String)> =
                self.events.lock().unwrap().iter().filter(|(id, _)| *id > told).cloned().collect();
            for (id, data) in fresh {
                stream.write_all(format!("id: {id}\ndata: {data}\n\n").as_bytes())?;
                self.record.line(&format!("board: poll {number} is told event {id}"));
                told = id;
            }
            if last_comment.elapsed() >= Duration::from_secs(1) {
                stream.write_all(b":\n\n")?;
                last_comment = Instant::now();
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

/// A request as it came whole to a cache host.
pub struct Want {
    pub at: Instant,
    pub host: String,
    pub id: String,
    pub fields: String,
}

impl Want {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .filter_map(|field| field.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// All requests that came to any cache host.
pub type Wants = Arc<Mutex<Vec<Want>>>;

/// A cache host: holds what it was once asked to fill, and answers each request after its service time.
pub struct CacheHost {
    pub name: String,
    pub address: SocketAddr,
    service_ms: AtomicU64,
    held: Mutex<HashMap<String, u64>>,
    wants: Wants,
    record: Record,
}

impl CacheHost {
    pub fn start(name: &str, service: Duration, wants: &Wants, record: &Record) -> Arc<CacheHost> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Arc::new(CacheHost {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            service_ms: AtomicU64::new(service.as_millis() as u64),
            held: Mutex::new(HashMap::new()),
            wants: wants.clone(),
            record: record.clone(),
        });
        let served = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let host = served.clone();
                thread::spawn(move || host.serve(stream.unwrap()));
            }
        });
        host
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                    reader.read_exact(&mut body)?;
                    self.record.line(&format!("host {}: want {id} {fields}", self.name));
                    let want = Want {
                        at: Instant::now(),
                        host: self.name.clone(),
                        id: id.to_string(),
                        fields: fields.to_string(),
                    };
                    let answer = self.answer(&want);
                    self.wants.lock().unwrap().push(want);
                    let (host, id) = (self.clone(), id.to_string());
                    let (writer, given_up) = (writer.clone(), given_up.clone());
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(host.service_ms.load(Ordering::SeqCst)));
                        if !given_up.lock().unwrap().contains(&id) {
                            let _ = writer.lock().unwrap().write_all(answer.as_bytes());
                        }
                    });
                }
                ["never_mind", id] => {
                    self.record.line(&format!("host {}: never_mind {id}", self.name));
                    given_up.lock().unwrap().insert(id.to_string());
                }
                [command @ ("there" | "busy"), tag] => {
                    let fields =
                        if command == "busy" { "load=utilization:0.1;outstanding:0;x1:0" } else { "-" };
                    writer.lock().unwrap().write_all(format!("{tag} well {fields} 0\r\n\r\n").as_bytes())?;
                }
                _ => panic!("host {}: can't be read: {line:?}", self.name),
            }
        }
    }

    fn answer(&self, want: &Want) -> String {
        let (id, key, now) = (&want.id, want.field("k").unwrap(), unix_ms());
        let mut held = self.held.lock().unwrap();
        // No purges and no expiry in these cases: a copy of the class without a fresh time stays good.
        let note = match (held.get(key), want.field("from")) {
            (Some(_), _) => "warm",
            (None, Some(_)) => {
                held.insert(key.to_string(), now);
                "fill"
            }
            (None, None) => return format!("{id} absent - 0\r\n\r\n"),
        };
        let (born, body) = (held[key], body_of(key));
        format!("{id} data note={note},ver=t{born},born={born} {}\r\n{body}\r\n", body.len())
    }
}

/// The bytes of an object.
pub fn body_of(key: &str) -> String {
    format!("bytes of {key};").repeat(40)
}

/// An entry of the list of cache hosts.
pub fn instance(name: &str, address: SocketAddr, zone: &str, kind: &str, lifecycle: &str) -> String {
    let weight = match kind {
        "box" => 8,
        "parent" => 16,
        _ => 4,
    };
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"{zone}","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":{weight},"startedAtMs":0}}"#
    )
}

/// A running dispatcher, with the folder that holds its configuration.
pub struct Dispatcher {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
    ended: Arc<AtomicBool>,
}

pub struct Site<'a> {
    pub board: SocketAddr,
    /// The entries of the list at the start.
    pub instances: &'a [String],
}

impl Dispatcher {
    /// Starts a dispatcher by `run` of the deploy file, from the repository's root, and waits until it is ready.
    pub fn start(site: &Site, record: &Record) -> Dispatcher {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("start this from the root");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"')).unwrap();
        let address = free_address();
        let folder = std::env::temp_dir().join(format!("rockflow-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (config, log) = (folder.join("config.json"), folder.join("log"));
        std::fs::write(&config, configuration(site, address)).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .env("GW_CONFIG", &config)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", address.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(File::create(&log).unwrap())
            .stderr(File::options().append(true).open(&log).unwrap())
            .spawn()
            .unwrap_or_else(|error| unable(&format!("the dispatcher can't be started: {error}")));
        record.line(&format!("platform: dispatcher n0 started by {run:?}, process {}", child.id()));
        let mut dispatcher = Dispatcher { address, child, folder, ended: Arc::default() };
        let until = Instant::now() + Duration::from_secs(10);
        while !dispatcher.is_ready() {
            if Instant::now() > until || dispatcher.child.try_wait().unwrap().is_some() {
                dispatcher.end(record);
                unable("the dispatcher does not become ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line("platform: the dispatcher is ready");
        dispatcher
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.starts_with("HTTP/1.1 200 "))
        };
        ask().unwrap_or(false)
    }

    /// Ends the process, copies its log to the record, and says whether it was still there.
    pub fn end(&mut self, record: &Record) -> bool {
        if self.ended.swap(true, Ordering::SeqCst) {
            return true;
        }
        let was_running = self.child.try_wait().unwrap().is_none();
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        for line in log.lines() {
            record.line(&format!("log of the dispatcher: {line}"));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        record.line(&format!("platform: the dispatcher ended, running until then: {was_running}"));
        was_running
    }
}

/// Ends this run without a verdict: the case could not run. Unwinds, so that the dispatcher is ended as well.
pub fn unable(why: &str) -> ! {
    panic!("could not run: {why}")
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration(site: &Site, listen: SocketAddr) -> String {
    let (board, instances) = (site.board, site.instances.join(","));
    // The figures are those of deploy/example.json, which are ceiba-shops' for one small dispatcher.
    format!(
        r#"{{
  "name": "n0", "listen": "{listen}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
  "board": "{board}", "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
  "known": {{"rev": 1, "notices": [{{"rev": 1, "pool": {{"generation": 1, "reset": true, "instances": [{instances}]}}}}]}},
  "settings": {{
    "az": 1, "dcs": ["hub", "shop"], "discovery": "pushed", "models": ["box", "parent", "origin"],
    "peersTotal": 1, "slotNo": 0, "weights": "nominal",
    "familyInfo": {{
      "midKind": 1, "rootKind": 2, "seatsByZone": [0, 1], "lifetimeByClassUs": [0, 12000000],
      "staleForUs": [0, 20000000], "uncached": [false, false], "noteLevel": "all", "sharesFills": true,
      "straight": false, "streamKbPerS": 9700.0, "purgeDoneUs": 6000000, "purgeSlackUs": 300000,
      "upperColdFrom": 0.063, "parentColdUs": 22000000, "parentFallMultiple": 2.0
    }},
    "grades": [
      {{"name": "pages", "repeat": "idempotent", "group": "all", "keyTtlUs": 5000000, "objectiveUs": 500000,
       "aimStretch": 1.6, "deadlineUs": 5000000, "importance": 2.0, "lateValue": 0.15}},
      {{"name": "notices", "repeat": "idempotent", "group": "all", "keyTtlUs": 5000000, "objectiveUs": 300000,
       "aimStretch": 2.0, "deadlineUs": 3000000, "importance": 1.0, "lateValue": 0.2}}
    ],
    "limits": {{
      "cancel": true, "connIdleUs": 30000000, "dialTimeoutUs": 400000, "maxRetryAfterUs": 1000000,
      "maxStreams": 100, "mostHeld": 20000, "probes": true, "retryAfter": true, "secondCopies": true, "tryLimit": 6
    }},
    "rules": {{
      "answerSlackUs": 8000, "askWithinUs": 10000000, "fallMultiple": 2.5, "rampTimeUs": 15000000,
      "startCapacity": 0.16, "stopSendingWithinUs": 2000000, "tipAfterUs": 1500000
    }},
    "telemetry": {{"how": "pull", "fields": ["utilization", "outstanding", "x1"]}}
  }}
}}"#
    )
}

/// A client's request.
pub struct Request {
    pub id: String,
    pub object: String,
    pub text: String,
}

/// Makes requests with ids that never come twice. Each names a copy that the client has, in a version that no cache
/// host holds.
pub struct Requests {
    next: AtomicU64,
}

impl Requests {
    pub fn new() -> Requests {
        Requests { next: AtomicU64::new(unix_ms() << 20) }
    }

    pub fn next(&self, object: &str, patience: Duration, size_kb: f64) -> Request {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::SeqCst));
        let patience = patience.as_millis();
        let text = format!(
            "GET /invoke/pages/{object}?part=0 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\n\
             X-Patience-Ms: {patience}\r\nX-Group: 17\r\nX-Heap-Kb: {size_kb}\r\n\
             If-None-Match: \"4be0c1927d55a6f3\"\r\n\r\n"
        );
        Request { id, object: object.to_string(), text }
    }
}

/// An answer as a client reads it.
pub struct Answer {
    pub status: u16,
    pub closes: bool,
    pub body: Vec<u8>,
}

/// Reads the next answer. `None`: the connection has ended without one.
pub fn read_answer(reader: &mut impl BufRead) -> std::io::Result<Option<Answer>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let invalid = || std::io::Error::new(std::io::ErrorKind::InvalidData, "an answer that can't be read");
    let status: u16 = line.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or_else(invalid)?;
    let (mut length, mut closes) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().map_err(|_| invalid())?;
        }
        closes |= line == "connection: close";
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Answer { status, closes, body }))
}
