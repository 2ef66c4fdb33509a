//! The state of a running scenario: the dispatcher, its configuration and its peers.

use super::peer::Peer;
use super::worker::WorkerGate;
use super::{MS, TIMEOUT};
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

/// Returns the name of a reason for rejection in scripts.
pub(super) fn rejection_name(rejection: RejectedOverride) -> &'static str {
    match rejection {
        RejectedOverride::LastReadyEndpoint => "last-ready",
        RejectedOverride::TooMany => "too-many",
    }
}

/// Parses words of the form NAME=VALUE. The word `none` is skipped.
pub(super) fn pairs(text: &str) -> Vec<(String, String)> {
    let words = text.split_whitespace().filter(|word| *word != "none");
    let pairs = words.map(|word| word.split_once('=').expect("NAME=VALUE"));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// The state of a running scenario.
pub(super) struct Scenario {
    pub(super) peers: BTreeMap<String, Peer>,
    /// The initial endpoint list.
    pub(super) instances: Vec<Value>,
    /// `None` before the start and during a shutdown.
    pub(super) service: Option<Service>,
    /// Address at which the dispatcher accepts clients.
    pub(super) address: Option<SocketAddr>,
    /// The thread that shuts the dispatcher down.
    pub(super) shutdown: Option<JoinHandle<Service>>,
    /// Sends configurations to a dispatcher that is shutting down.
    pub(super) reloads: Option<Sender<Config>>,
    /// Handle of a dispatcher that is shutting down.
    pub(super) handle: Option<ServiceHandle>,
    /// The line last received by a host.
    pub(super) last_line: String,
    /// When the last purge was sent through the handle.
    pub(super) last_purge: Instant,
    /// Whether discovery services send comments.
    pub(super) comments: bool,
    /// Whether the shutdown is paused in its first phase.
    pub(super) shutdown_paused: Arc<(Mutex<bool>, Condvar)>,
    /// Set while the dispatcher's worker thread is paused.
    pub(super) worker_gate: Option<WorkerGate>,
    /// Clients that send nothing.
    pub(super) idle_clients: Vec<TcpStream>,
    /// Names of the `async` commands that have taken effect, in order.
    pub(super) applied: (Sender<String>, Receiver<String>),
}

impl Scenario {
    pub(super) fn new() -> Scenario {
        Scenario {
            peers: BTreeMap::new(),
            instances: Vec::new(),
            service: None,
            address: None,
            shutdown: None,
            reloads: None,
            handle: None,
            last_line: String::new(),
            last_purge: Instant::now(),
            comments: false,
            shutdown_paused: Arc::default(),
            worker_gate: None,
            idle_clients: Vec::new(),
            applied: channel(),
        }
    }

    /// Returns the peer of this name, which is created if necessary.
    pub(super) fn peer(&mut self, name: &str) -> &mut Peer {
        self.peers.entry(name.to_string()).or_default()
    }

    /// Adds a host of the role `words[0]` with further options.
    pub(super) fn add_host(&mut self, name: &str, words: &[&str]) {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // A backlog that is to be filled has room for one connection only.
        let full_backlog = words.contains(&"full-backlog");
        socket.listen(if full_backlog || words.contains(&"small-backlog") { 0 } else { 128 }).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap().to_string();
        let peer = self.peer(name);
        peer.listener = Some(listener);
        if full_backlog {
            peer.fill_backlog();
        }
        if words.contains(&"unlisted") {
            return;
        }
        let (zone, machine_type) = match words[0] {
            "cache" => ("shop", "box"),
            role => ("hub", role),
        };
        self.instances
            .push(json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": machine_type,
            "lifecycle": "active", "weight": 8, "startedAtMs": 0}));
    }

    /// Creates a configuration with a new listener of the peer `discovery`.
    pub(super) fn config(&mut self, discovery: &str, words: &[&str]) -> Config {
        let mut value: Value = serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        value["board"] = json!(listener.local_addr().unwrap().to_string());
        self.peer(discovery).listener = Some(listener);
        value["listen"] = json!("127.0.0.1:0");
        value["known"]["notices"][0]["pool"]["instances"] = json!(self.instances);
        if let Some(sockets) = words.iter().find_map(|word| word.strip_prefix("sockets=")) {
            value["limits"]["sockets"] = json!(sockets.parse::<usize>().unwrap());
        }
        for (path, json) in words.iter().filter_map(|word| word.split_once('=')) {
            if path.starts_with('/') {
                let (parent, key) = path.rsplit_once('/').unwrap();
                let parent = value.pointer_mut(parent).expect("no such key in the configuration");
                parent[key] = serde_json::from_str(json).unwrap();
            }
        }
        Config::parse(&value.to_string()).unwrap()
    }

    /// Waits for a fill level, a revision or a phase of the dispatcher.
    pub(super) fn wait_until(&mut self, condition: &str, count: usize) {
        let handle = self.handle.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
        let mut deadline = Instant::now() + TIMEOUT;
        let mut smallest_distance = usize::MAX;
        loop {
            let distance = handle
                .fill_levels()
                .iter()
                .find(|level| level.name == condition)
                .map(|level| level.fill.abs_diff(count));
            if distance.is_some_and(|distance| distance < smallest_distance) {
                // The timeout only applies while there is no progress.
                smallest_distance = distance.unwrap_or_default();
                deadline = Instant::now() + TIMEOUT;
            }
            let is_reached = match condition {
                "draining" => handle.phase() == Phase::Draining,
                "closing" => handle.phase() == Phase::Closing,
                "rev" => handle.discovery_status().last_revision >= count as u64,
                _ => distance == Some(0),
            };
            if is_reached && condition == "rev" {
                // The event has been received; the reply to this request follows its application.
                let (done, wait) = channel();
                assert!(handle.request_status(move |_| done.send(()).unwrap()));
                return wait.recv_timeout(TIMEOUT).unwrap();
            }
            if is_reached {
                return;
            }
            let (phase, levels) = (handle.phase(), handle.fill_levels());
            assert!(Instant::now() < deadline, "{condition} {count}: {phase:?}, {levels:?}");
            std::thread::sleep(MS);
        }
    }

    /// Replaces the placeholders for addresses and for the current time.
    pub(super) fn fill_placeholders(&self, text: &str) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let mut text = text.replace("@now", &now.to_string());
        for (name, peer) in &self.peers {
            if let Some(listener) = &peer.listener {
                let address = listener.local_addr().unwrap().to_string();
                text = text.replace(&format!("\"@{name}\""), &format!("\"{address}\""));
            }
        }
        text
    }

    /// Starts the dispatcher.
    pub(super) fn start(&mut self, words: &[&str]) {
        let mut config = self.config("discovery", words);
        if words.contains(&"unknown-class") {
            config.network_settings.class_names.push("unknown".to_string());
        }
        self.comments = words.contains(&"comments");
        SET_UP.call_once(Service::set_up);
        let overrides = words.contains(&"overrides").then(AdminOverrides::new);
        let service = Service::start_with_overrides(Clock::start(), config, overrides).unwrap();
        self.address = Some(service.listen_address());
        self.service = Some(service);
    }

    /// Returns a client, which is connected if necessary.
    pub(super) fn client(&mut self, name: &str) -> &mut Peer {
        let address = self.address;
        let peer = self.peer(name);
        if peer.stream.is_none() {
            peer.set_connection(TcpStream::connect(address.expect("not started")).unwrap());
        }
        peer
    }

    /// Sends overrides or a purge through the service handle. `done` is called with the rejected overrides
    /// once the others or the purge are in effect.
    pub(super) fn send_change(
        &self,
        line: &str,
        done: Box<dyn FnOnce(BTreeMap<String, RejectedOverride>) + Send>,
    ) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let handle = self.service.as_ref().unwrap().handle();
        let overrides = |text: &str, expires_at| -> AdminOverrides {
            let overrides = pairs(text).into_iter().filter(|(name, _)| name != "until");
            let to_override = |(name, state): (String, String)| {
                let readiness = if state == "gone" { Readiness::Gone } else { Readiness::Draining };
                (name, AdminOverride { readiness, expires_at, force: false })
            };
            overrides.map(to_override).collect()
        };
        match words[0] {
            "operator-overrides" => {
                let until = words.iter().find_map(|word| word.strip_prefix("until="));
                let expires_at =
                    until.map(|ms| handle.clock.now() + Duration::from_millis(ms.parse().unwrap()));
                let overrides = overrides(&line["operator-overrides".len()..], expires_at);
                assert!(handle.set_operator_overrides(overrides, move || done(BTreeMap::new())));
            }
            "control-overrides" => {
                let wanted = line["control-overrides".len()..].split(" rejects ").next().unwrap_or_default();
                assert!(handle.set_control_overrides(overrides(wanted, None), done));
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

/// A dispatcher's actors run until the process exits, so after its scenario it would still connect to the
/// port of its discovery service, which another scenario may use by then. It is given an address at which
/// nobody responds instead.
impl Drop for Scenario {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        static UNRESPONSIVE: OnceLock<TcpListener> = OnceLock::new();
        let unresponsive = UNRESPONSIVE.get_or_init(|| TcpListener::bind("127.0.0.1:0").unwrap());
        self.worker_gate = None;
        *self.shutdown_paused.0.lock().unwrap() = false;
        let stopped = self.shutdown.take().and_then(|shutdown| shutdown.join().ok());
        if let Some(mut service) = self.service.take().or(stopped) {
            let mut config = self.config("unresponsive", &[]);
            config.discovery_address = unresponsive.local_addr().unwrap();
            service.reload(&config);
        }
    }
}
