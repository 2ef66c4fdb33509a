//! Stand-ins for the platform, the notice board, cache hosts and clients, with the standard library alone. Hosts and the
//! board run as threads of the driver; each dispatcher is a process of its own, started by the deploy file's `run`.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const MS: Duration = Duration::from_millis(1);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The file `record.txt`, with the time since the start of the case in each line.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }

    /// Writes the line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
        self.line(text);
    }
}

/// Ends the case with 2: it couldn't run. `run.sh` ends the processes in the folder's list.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case couldn't run: {reason}");
    std::process::exit(2)
}

/// Ends the case with 2 if it takes longer than it may.
pub fn limit_time(limit: Duration) {
    spawn(move || {
        std::thread::sleep(limit);
        cannot_run("it took too long");
    });
}

static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Adds a process to the list of those that run, or removes it once it has ended and was waited for.
pub fn list_process(id: u32, runs: bool) {
    let mut processes = PROCESSES.lock().unwrap();
    processes.retain(|other| *other != id);
    if runs {
        processes.push(id);
    }
    let text: String = processes.iter().map(|id| format!("{id}\n")).collect();
    let _ = std::fs::write(format!("{}/processes", folder()), text);
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn spawn(body: impl FnOnce() + Send + 'static) -> std::thread::JoinHandle<()> {
    let builder = std::thread::Builder::new().stack_size(256 * 1024);
    builder.spawn(body).unwrap_or_else(|error| cannot_run(&format!("thread: {error}")))
}

// ---- cache hosts ----

/// A request line that a host has read.
#[derive(Clone, Debug)]
pub struct Want {
    pub id: String,
    pub object: String,
    pub part: u32,
    /// The oldest copy that will do; `None` if the request doesn't say.
    pub oldest_ms: Option<u64>,
    pub line: String,
    pub read_at_ms: u64,
}

/// The answer `data`, with its fields.
#[derive(Clone)]
pub struct Data {
    fields: String,
    body: Vec<u8>,
}

/// The time after which hosts end an idle connection, `limits.connIdleUs` of the settings.
pub const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// How a host ends an idle connection.
#[derive(Clone, Copy, PartialEq)]
pub enum Idle {
    /// It closes it.
    Close,
    /// It forgets it: nothing goes out, and what still comes in on it is answered with a reset.
    Forget,
}

type Handler = dyn Fn(&Want) -> (Duration, Data) + Send + Sync;

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    /// The number of requests that the host has read.
    pub wants: Arc<AtomicU64>,
}

impl Host {
    pub fn start(
        name: &str,
        idle: Idle,
        handler: impl Fn(&Want) -> (Duration, Data) + Send + Sync + 'static,
    ) -> Host {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let wants = Arc::new(AtomicU64::new(0));
        let handler: Arc<Handler> = Arc::new(handler);
        let count = wants.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, wants) = (handler.clone(), count.clone());
                spawn(move || serve_host(stream, idle, &handler, &wants));
            }
        });
        Host { name: name.to_string(), address, wants }
    }

    /// The entry of the list for this host.
    pub fn entry(&self, kind: &str, zone: &str, state: &str, weight: f64, started_ms: u64) -> String {
        let (name, address) = (&self.name, self.address);
        format!(
            "{{\"instanceId\":\"{name}\",\"hostPort\":\"{address}\",\"zone\":\"{zone}\",\"machineType\":\"{kind}\",\
             \"cell\":0,\"lifecycle\":\"{state}\",\"weight\":{weight},\"startedAtMs\":{started_ms}}}"
        )
    }
}

fn serve_host(stream: TcpStream, idle: Idle, handler: &Arc<Handler>, wants: &Arc<AtomicU64>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_LIMIT));
    // One descriptor a connection: cases with many connections stay below the usual limits.
    let stream = Arc::new(stream);
    let writer = Arc::new(Mutex::new(stream.clone()));
    let cancelled: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut reader = BufReader::new(&*stream);
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(length) if length > 0 => {}
            Err(_) if idle == Idle::Forget => {
                // Waits until something comes in, and closes with that unread, which resets the connection.
                let _ = stream.set_read_timeout(None);
                let _ = stream.peek(&mut [0]);
                return;
            }
            _ => return,
        }
        let line = line.trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["want", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                let want = read_want(&line, id, fields);
                wants.fetch_add(1, Ordering::Relaxed);
                let (delay, data) = handler(&want);
                let (writer, cancelled) = (writer.clone(), cancelled.clone());
                spawn(move || answer(&want.id, delay, &data, &writer, &cancelled));
            }
            ["never_mind", id] => {
                cancelled.lock().unwrap().insert(id.to_string());
            }
            ["there" | "busy", tag] => {
                let writer = writer.lock().unwrap();
                let _ = (&**writer).write_all(format!("{tag} well - 0\r\n\r\n").as_bytes());
            }
            _ => {}
        }
    }
}

pub fn read_want(line: &str, id: &str, fields: &str) -> Want {
    let fields: HashMap<&str, &str> = fields.split(',').filter_map(|field| field.split_once('=')).collect();
    let text = |name: &str| fields.get(name).map(|value| value.to_string());
    Want {
        id: id.to_string(),
        object: text("k").unwrap_or_default(),
        part: text("p").and_then(|part| part.parse().ok()).unwrap_or(0),
        oldest_ms: text("oldest").and_then(|oldest| oldest.parse().ok()),
        line: line.to_string(),
        read_at_ms: unix_ms(),
    }
}

fn answer(
    id: &str,
    delay: Duration,
    data: &Data,
    writer: &Mutex<Arc<TcpStream>>,
    cancelled: &Mutex<HashSet<String>>,
) {
    std::thread::sleep(delay);
    if cancelled.lock().unwrap().remove(id) {
        return;
    }
    let mut bytes = format!("{id} data {} {}\r\n", data.fields, data.body.len()).into_bytes();
    bytes.extend_from_slice(&data.body);
    bytes.extend_from_slice(b"\r\n");
    let writer = writer.lock().unwrap();
    let _ = (&**writer).write_all(&bytes);
}

/// The bytes of a part, which only this function makes.
pub fn body_of(object: &str, part: u32, length: usize) -> Vec<u8> {
    let pattern = format!("{object}/{part};").into_bytes();
    pattern.iter().copied().cycle().take(length).collect()
}

/// A whole answer with a copy that the origin gave out now.
pub fn data(want: &Want, length: usize) -> Data {
    let fields = format!("ver=v{:016x},born={},note=warm", want.part, unix_ms());
    Data { fields, body: body_of(&want.object, want.part, length) }
}

// ---- the notice board ----

#[derive(Default)]
struct Events {
    /// The events, each with its number.
    events: Vec<(u64, String)>,
}

pub struct Board {
    pub address: SocketAddr,
    events: Arc<(Mutex<Events>, Condvar)>,
    /// Polls received, with the last number that each names.
    pub polls: Arc<Mutex<Vec<u64>>>,
    /// While this is set, new connections are closed at once.
    down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Board {
    pub fn start() -> Board {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let events: Arc<(Mutex<Events>, Condvar)> = Arc::default();
        let polls: Arc<Mutex<Vec<u64>>> = Arc::default();
        let (down, streams) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<TcpStream>::new())));
        let (shared, shared_polls) = (events.clone(), polls.clone());
        let (shared_down, shared_streams) = (down.clone(), streams.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared_down.load(Ordering::Relaxed) {
                    continue;
                }
                shared_streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (events, polls) = (shared.clone(), shared_polls.clone());
                spawn(move || serve_board(stream, &events, &polls));
            }
        });
        Board { address, events, polls, down, streams }
    }

    /// Ends all connections and takes no more.
    pub fn go_down(&self) {
        self.down.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn go_up(&self) {
        self.down.store(false, Ordering::Relaxed);
    }

    /// Adds an event, which counts as told from now on.
    pub fn tell(&self, revision: u64, event: String) {
        self.events.0.lock().unwrap().events.push((revision, event));
        self.events.1.notify_all();
    }
}

fn serve_board(mut stream: TcpStream, events: &(Mutex<Events>, Condvar), polls: &Mutex<Vec<u64>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut last = 0;
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(length) if length > 0) {
            return;
        }
        if line.trim_end().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("last-event-id") {
                last = value.trim().parse().unwrap_or(0);
            }
        }
    }
    polls.lock().unwrap().push(last);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    loop {
        let mut new = String::new();
        {
            let mut guard = events.0.lock().unwrap();
            if guard.events.iter().all(|(revision, _)| *revision <= last) {
                guard = events.1.wait_timeout(guard, Duration::from_secs(1)).unwrap().0;
            }
            for (revision, event) in guard.events.iter().filter(|(revision, _)| *revision > last) {
                new += &format!("id: {revision}\ndata: {event}\n\n");
            }
            last = guard.events.last().map_or(last, |(revision, _)| last.max(*revision));
        }
        let bytes = if new.is_empty() { ": still here\n\n".to_string() } else { new };
        if stream.write_all(bytes.as_bytes()).is_err() {
            return;
        }
    }
}

/// An event that changes the list, or replaces it.
pub fn pool_event(revision: u64, whole: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!("{{\"rev\":{revision},\"pool\":{{\"generation\":{revision},\"reset\":{whole},\"instances\":[{entries}]}}}}")
}

// ---- dispatchers ----

/// What differs between the configurations of the cases.
#[derive(Clone)]
pub struct Setup {
    pub memory_mb: u32,
    pub sockets: u32,
    pub zones: String,
    pub models: String,
    pub zone: u32,
    pub seats: String,
    pub dispatchers: u32,
    pub slot: u32,
    pub repeat: String,
    pub deadline_us: u64,
    pub fresh_us: u64,
    pub stale_us: u64,
    pub dial_us: u64,
    pub drain_us: u64,
    pub probes: bool,
    pub flow_kb_per_s: f64,
    pub start_capacity: f64,
    pub ramp_us: u64,
    pub board: SocketAddr,
    pub revision: u64,
    pub notices: Vec<String>,
}

impl Setup {
    /// The settings of `deploy/example.json`.
    pub fn new(board: SocketAddr) -> Setup {
        Setup {
            memory_mb: 192,
            sockets: 1024,
            zones: "\"hub\", \"shop\"".to_string(),
            models: "\"box\", \"parent\", \"origin\"".to_string(),
            zone: 1,
            seats: "0, 1".to_string(),
            dispatchers: 1,
            slot: 0,
            repeat: "\"repeat\": \"idempotent\"".to_string(),
            deadline_us: 5_000_000,
            fresh_us: 0,
            stale_us: 0,
            dial_us: 400_000,
            drain_us: 2_000_000,
            probes: true,
            flow_kb_per_s: 9700.0,
            start_capacity: 0.16,
            ramp_us: 15_000_000,
            board,
            revision: 0,
            notices: Vec::new(),
        }
    }

    pub fn json(&self, name: &str, listen: SocketAddr) -> String {
        let Setup {
            memory_mb,
            sockets,
            zones,
            models,
            zone,
            seats,
            dispatchers,
            slot,
            repeat,
            deadline_us,
            fresh_us,
            stale_us,
            dial_us,
            drain_us,
            probes,
            flow_kb_per_s,
            start_capacity,
            ramp_us,
            board,
            revision,
            ..
        } = self;
        let notices = self.notices.join(",\n");
        format!(
            r#"{{
  "name": "{name}", "listen": "{listen}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": {memory_mb}, "sockets": {sockets}}},
  "board": "{board}", "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
  "known": {{"rev": {revision}, "notices": [{notices}]}},
  "settings": {{
    "az": {zone}, "dcs": [{zones}], "discovery": "pushed", "models": [{models}],
    "peersTotal": {dispatchers}, "slotNo": {slot}, "weights": "nominal",
    "familyInfo": {{
      "midKind": 1, "rootKind": 2, "seatsByZone": [{seats}], "lifetimeByClassUs": [{fresh_us}, 12000000],
      "staleForUs": [{stale_us}, 20000000], "uncached": [false, false], "noteLevel": "all", "sharesFills": true,
      "straight": false, "streamKbPerS": {flow_kb_per_s:.1}, "purgeDoneUs": 6000000, "upperColdFrom": 0.063,
      "parentColdUs": 22000000, "parentFallMultiple": 2.0
    }},
    "grades": [
      {{"name": "pages", {repeat}, "objectiveUs": 500000, "aimStretch": 1.6, "deadlineUs": {deadline_us},
       "importance": 2.0, "lateValue": 0.15}},
      {{"name": "notices", "repeat": "idempotent", "objectiveUs": 300000, "aimStretch": 2.0, "deadlineUs": 3000000,
       "importance": 1.0, "lateValue": 0.2}}
    ],
    "limits": {{
      "cancel": true, "connIdleUs": 30000000, "dialTimeoutUs": {dial_us}, "maxRetryAfterUs": 1000000,
      "maxStreams": 100, "mostHeld": 20000, "probes": {probes}, "retryAfter": true, "secondCopies": true, "tryLimit": 6
    }},
    "rules": {{
      "answerSlackUs": 8000, "fallMultiple": 2.5, "rampTimeUs": {ramp_us}, "startCapacity": {start_capacity},
      "stopSendingWithinUs": {drain_us}, "tipAfterUs": 1500000
    }},
    "telemetry": {{"how": "pull", "fields": ["utilization", "outstanding", "x1"]}}
  }}
}}
"#
        )
    }
}

/// A running dispatcher, which is killed when this is dropped.
pub struct Dispatcher {
    pub address: SocketAddr,
    child: Child,
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

fn folder() -> String {
    std::env::var("CASE_FOLDER").unwrap_or_else(|_| cannot_run("CASE_FOLDER is not set"))
}

impl Dispatcher {
    pub fn start(name: &str, address: SocketAddr, setup: &Setup) -> Dispatcher {
        let config_path = format!("{}/{name}.json", folder());
        std::fs::write(&config_path, setup.json(name, address)).unwrap();
        let run = std::env::var("RUN").unwrap_or_else(|_| "exec target/release/rockflow serve".to_string());
        let log = File::create(format!("{}/{name}.log", folder())).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("GW_NAME", name)
            .env("GW_LISTEN", address.to_string())
            .env("GW_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        list_process(child.id(), true);
        Dispatcher { address, child }
    }

    /// Waits until a health check is answered with 200.
    pub fn await_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address) {
                client.send(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                if client.receive(Duration::from_secs(1)).is_ok_and(|response| response.status == 200) {
                    return;
                }
            }
            std::thread::sleep(20 * MS);
        }
        cannot_run("a dispatcher is not ready");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        list_process(self.child.id(), false);
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A figure in kB from the status that the system keeps of the process.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, |entries| entries.count())
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- clients ----

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn call_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id()))
}

pub fn request(class: &str, object: &str, part: u32, id: &str, patience_ms: u64, more: &str) -> Vec<u8> {
    format!(
        "GET /invoke/{class}/{object}?part={part} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\n\
         X-Patience-Ms: {patience_ms}\r\nX-Group: 17\r\n{more}\r\n"
    )
    .into_bytes()
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
}

impl Response {
    pub fn closes(&self) -> bool {
        self.head.to_ascii_lowercase().contains("connection: close")
    }
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoAnswer {
    TimeUp,
    Closed,
    Reset,
    CutOff,
    Unreadable,
}

pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        let _ = stream.set_nodelay(true);
        Ok(Client { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one whole answer.
    pub fn receive(&mut self, within: Duration) -> Result<Response, NoAnswer> {
        let until = Instant::now() + within;
        loop {
            if let Some(response) = self.take()? {
                return Ok(response);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoAnswer::TimeUp);
            }
            let _ = self.stream.set_read_timeout(Some(left.max(MS)));
            let mut bytes = [0; 65536];
            match self.stream.read(&mut bytes) {
                Ok(0) if self.buffer.is_empty() => return Err(NoAnswer::Closed),
                Ok(0) => return Err(NoAnswer::CutOff),
                Ok(length) => self.buffer.extend_from_slice(&bytes[..length]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Err(NoAnswer::TimeUp),
                Err(error) if error.kind() == std::io::ErrorKind::TimedOut => return Err(NoAnswer::TimeUp),
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return Err(NoAnswer::Reset),
            }
        }
    }

    fn take(&mut self) -> Result<Option<Response>, NoAnswer> {
        let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let status =
            head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(NoAnswer::Unreadable)?;
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok()).flatten()
        });
        let whole = end + 4 + length.unwrap_or(0);
        if self.buffer.len() < whole {
            return Ok(None);
        }
        self.buffer.drain(..whole);
        Ok(Some(Response { status, head }))
    }
}
