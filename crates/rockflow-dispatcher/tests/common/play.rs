//! The state of a play: the dispatcher, its configuration, and the parties round it.

use super::party::Party;
use super::worker::WorkerGate;
use super::{MS, PATIENCE};
use rockflow::{GroupId, ObjectId, Readiness};
use rockflow_dispatcher::endpoint::id_from_name;
use rockflow_dispatcher::{Clock, Config, Phase, Purge, Service, ServiceHandle};
use rockflow_endpoints::{AdminOverride, AdminOverrides, RejectedOverride};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, Once, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static SET_UP: Once = Once::new();

/// The word of the play for a rejection.
pub(super) fn rejection_name(rejection: RejectedOverride) -> &'static str {
    match rejection {
        RejectedOverride::LastReadyEndpoint => "lastone",
        RejectedOverride::TooMany => "full",
    }
}

/// The words NAME=WORD of a line; `nothing` is none.
pub(super) fn pairs(text: &str) -> Vec<(String, String)> {
    let words = text.split_whitespace().filter(|word| *word != "nothing");
    let pairs = words.map(|word| word.split_once('=').expect("NAME=WORD"));
    pairs.map(|(name, word)| (name.to_string(), word.to_string())).collect()
}

/// The state of a play.
pub(super) struct Play {
    pub(super) parties: BTreeMap<String, Party>,
    pub(super) instances: Vec<Value>,
    pub(super) service: Option<Service>,
    pub(super) address: Option<SocketAddr>,
    pub(super) stopping: Option<JoinHandle<Service>>,
    /// Configurations for a dispatcher that is stopping.
    pub(super) reloads: Option<Sender<Config>>,
    pub(super) handle: Option<ServiceHandle>,
    /// The line that a host got last.
    pub(super) got: String,
    /// Since when the last purge has been sent.
    pub(super) purged: Instant,
    /// Discovery services send comments.
    pub(super) comments: bool,
    /// A shutdown does not go on while this is set.
    pub(super) held: Arc<(Mutex<bool>, Condvar)>,
    /// Held while the dispatcher's one worker stands still.
    pub(super) frozen: Option<WorkerGate>,
    /// Clients that send nothing.
    pub(super) crowd: Vec<TcpStream>,
    /// What was posted and is applied by now, in that order.
    pub(super) applied: (Sender<String>, Receiver<String>),
}

impl Play {
    pub(super) fn new() -> Play {
        Play {
            parties: BTreeMap::new(),
            instances: Vec::new(),
            service: None,
            address: None,
            stopping: None,
            reloads: None,
            handle: None,
            got: String::new(),
            purged: Instant::now(),
            comments: false,
            held: Arc::default(),
            frozen: None,
            crowd: Vec::new(),
            applied: channel(),
        }
    }

    pub(super) fn party(&mut self, name: &str) -> &mut Party {
        self.parties.entry(name.to_string()).or_default()
    }

    pub(super) fn host(&mut self, name: &str, words: &[&str]) {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // One whose queue can be filled has room for one in it.
        let fill_queue = words.contains(&"shut");
        socket.listen(if fill_queue || words.contains(&"narrow") { 0 } else { 128 }).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap().to_string();
        let party = self.party(name);
        party.listener = Some(listener);
        if fill_queue {
            party.fill_queue();
        }
        if words.contains(&"unlisted") {
            return;
        }
        let (zone, kind) = match words[0] {
            "cache" => ("shop", "box"),
            role => ("hub", role),
        };
        self.instances
            .push(json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": kind,
            "lifecycle": "active", "weight": 8, "startedAtMs": 0}));
    }

    pub(super) fn config(&mut self, board: &str, words: &[&str]) -> Config {
        let mut value: Value = serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        value["board"] = json!(listener.local_addr().unwrap().to_string());
        self.party(board).listener = Some(listener);
        value["listen"] = json!("127.0.0.1:0");
        value["known"]["notices"][0]["pool"]["instances"] = json!(self.instances);
        if let Some(sockets) = words.iter().find_map(|word| word.strip_prefix("sockets=")) {
            value["limits"]["sockets"] = json!(sockets.parse::<usize>().unwrap());
        }
        for (path, config) in words.iter().filter_map(|word| word.split_once('=')) {
            if path.starts_with('/') {
                let (above, key) = path.rsplit_once('/').unwrap();
                let above = value.pointer_mut(above).expect("a place in the configuration");
                above[key] = serde_json::from_str(config).unwrap();
            }
        }
        Config::parse(&value.to_string()).unwrap()
    }

    /// Waits for what the dispatcher itself counts.
    pub(super) fn until(&mut self, what: &str, count: usize) {
        let handle = self.handle.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
        let mut end = Instant::now() + PATIENCE;
        let mut least = usize::MAX;
        loop {
            let fill = handle
                .fill_levels()
                .iter()
                .find(|level| level.name == what)
                .map(|level| level.fill.abs_diff(count));
            if fill.is_some_and(|left| left < least) {
                // It is on its way; what counts is a standstill.
                (least, end) = (fill.unwrap_or_default(), Instant::now() + PATIENCE);
            }
            let there = match what {
                "leaving" => handle.phase() == Phase::Draining,
                "finishing" => handle.phase() == Phase::Closing,
                "rev" => handle.discovery_status().last_revision >= count as u64,
                _ => fill == Some(0),
            };
            if there && what == "rev" {
                // And the decisions have applied it.
                let (done, wait) = channel();
                assert!(handle.request_status(move |_| done.send(()).unwrap()));
                return wait.recv_timeout(PATIENCE).unwrap();
            }
            if there {
                return;
            }
            assert!(Instant::now() < end, "{what} {count}: {:?}, {:?}", handle.phase(), handle.fill_levels());
            std::thread::sleep(MS);
        }
    }

    /// Puts addresses and the time where the text names them.
    pub(super) fn filled(&self, text: &str) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let mut text = text.replace("@now", &now.to_string());
        for (name, party) in &self.parties {
            if let Some(listener) = &party.listener {
                let address = listener.local_addr().unwrap().to_string();
                text = text.replace(&format!("\"@{name}\""), &format!("\"{address}\""));
            }
        }
        text
    }

    pub(super) fn start(&mut self, words: &[&str]) {
        let mut config = self.config("board", words);
        if words.contains(&"unknown-class") {
            config.network_settings.class_names.push("unknown".to_string());
        }
        self.comments = words.contains(&"comments");
        SET_UP.call_once(Service::set_up);
        let overrides = words.contains(&"marked").then(AdminOverrides::new);
        let service = Service::start_with_overrides(Clock::start(), config, overrides).unwrap();
        self.address = Some(service.listen_address());
        self.service = Some(service);
    }

    pub(super) fn client(&mut self, name: &str) -> &mut Party {
        let address = self.address;
        let party = self.party(name);
        if party.stream.is_none() {
            party.connect(TcpStream::connect(address.expect("started")).unwrap());
        }
        party
    }

    /// Gives the dispatcher overrides or a purge; `done` is called once the decisions go by it, with what is rejected.
    pub(super) fn put(&self, line: &str, done: Box<dyn FnOnce(BTreeMap<String, RejectedOverride>) + Send>) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let handle = self.service.as_ref().unwrap().handle();
        let marks = |text: &str, until| -> AdminOverrides {
            let marks = pairs(text).into_iter().filter(|(name, _)| name != "until");
            let mark = |(name, state): (String, String)| {
                let readiness = if state == "gone" { Readiness::Gone } else { Readiness::Draining };
                (name, AdminOverride { readiness, expires_at: until, force: false })
            };
            marks.map(mark).collect()
        };
        match words[0] {
            "mark" => {
                let until = words.iter().find_map(|word| word.strip_prefix("until="));
                let until = until.map(|ms| handle.clock.now() + Duration::from_millis(ms.parse().unwrap()));
                let marks = marks(&line["mark".len()..], until);
                assert!(handle.set_operator_overrides(marks, move || done(BTreeMap::new())));
            }
            "fleet" => {
                let wanted = line["fleet".len()..].split('!').next().unwrap_or_default();
                assert!(handle.set_control_overrides(marks(wanted, None), done));
            }
            _ => {
                let ago = words.iter().find_map(|word| word.strip_prefix("ago=")).unwrap_or("0");
                let purged_at = handle.timestamp_before_now(Duration::from_millis(ago.parse().unwrap()));
                let purge = match words[1].strip_prefix("group=") {
                    _ if words[1] == "all" => Purge::everything(purged_at),
                    Some(group) => {
                        Purge { object: None, group: Some(GroupId(group.parse().unwrap())), purged_at }
                    }
                    None => Purge { object: Some(ObjectId(id_from_name(words[1]))), group: None, purged_at },
                };
                assert!(handle.purge(vec![purge], move || done(BTreeMap::new())));
            }
        }
    }
}

/// Guards against a dispatcher whose play is over, but whose actors last as long as the process: it would go on connecting to
/// its discovery service at a port that is another's by then. From here on it connects where nobody ever responds.
impl Drop for Play {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        static NOBODY: OnceLock<TcpListener> = OnceLock::new();
        let nobody = NOBODY.get_or_init(|| TcpListener::bind("127.0.0.1:0").unwrap());
        self.frozen = None;
        *self.held.0.lock().unwrap() = false;
        let ended = self.stopping.take().and_then(|stopping| stopping.join().ok());
        if let Some(mut service) = self.service.take().or(ended) {
            let mut config = self.config("nobody", &[]);
            config.discovery_address = nobody.local_addr().unwrap();
            service.reload(&config);
        }
    }
}
