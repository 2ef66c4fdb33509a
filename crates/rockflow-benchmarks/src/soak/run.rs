//! One run: the peers, the program, its signals, and the checks at its end.

use super::check::{check_ledger, Rule, DRAIN_GRACE};
use super::client::{Client, ClientContext, OBJECTS};
use super::discovery::Discovery;
use super::host::Host;
use super::ledger::{unix_now, IssuedPurge, Ledger, SharedLedger};
use super::plan::{DiscoveryFault, Ending, HostProfile, Plan, Random, KILL_AFTER};
use super::report::RunReport;
use super::Program;
use rockflow_process_harness::{free_tcp, Process, Signal, Start, Usage};
use rockflow_test_servers::TemporaryFolder;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

const EXAMPLE: &str = include_str!("../../../../deploy/example.json");
/// Number of the event in the example's snapshot.
const FIRST_REVISION: u64 = 1;
/// A program that has not begun to serve by then is reported.
const START_LIMIT: Duration = Duration::from_secs(20);
/// How long clients may take to end once the program has.
const CLIENT_LIMIT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The wait by which the rig measures how late its own clock is.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How often the program is asked for its health, and the space for the answer.
const HEALTH_INTERVAL: Duration = Duration::from_millis(10);
const HEALTH_ANSWER_BYTES: usize = 512;
/// The program is killed and restarted at this part of the load.
const KILL_AT_LOAD_PART: f64 = 0.4;

/// Plays a run to its end.
pub(super) fn run(program: &Program, plan: &Plan) -> RunReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { Run::prepare(program, plan).await.run().await })
}

/// The peers of a run, and the program between them.
struct Run<'a> {
    program: &'a Program,
    plan: &'a Plan,
    ledger: SharedLedger,
    discovery: Rc<Discovery>,
    /// Where the program listens, and where discovery does.
    address: SocketAddr,
    discovery_address: Cell<SocketAddr>,
    /// By name.
    hosts: Vec<(String, SocketAddr)>,
    folder: TemporaryFolder,
    process: RefCell<Option<Process>>,
}

impl<'a> Run<'a> {
    async fn prepare(program: &'a Program, plan: &'a Plan) -> Run<'a> {
        let ledger = Ledger::shared();
        let discovery = Discovery::new(FIRST_REVISION + 1, ledger.clone());
        let mut profiles: Vec<(String, HostProfile)> = Vec::new();
        profiles
            .extend(plan.caches.iter().enumerate().map(|(at, profile)| (format!("c{}", at + 1), *profile)));
        profiles.push(("p1".to_string(), plan.parent));
        profiles.push(("o1".to_string(), plan.origin));
        profiles.push(("cold".to_string(), HostProfile::Healthy));
        let mut hosts = Vec::new();
        for (number, (name, profile)) in profiles.into_iter().enumerate() {
            let seed = plan.seed.wrapping_mul(1000).wrapping_add(number as u64);
            let address = Host::start(&name, profile, seed, ledger.clone()).await;
            hosts.push((name, address));
        }
        let discovery_address = Cell::new(discovery.listen().await);
        Run {
            program,
            plan,
            ledger,
            discovery,
            address: free_tcp().expect("a port"),
            discovery_address,
            hosts,
            folder: TemporaryFolder::new("soak"),
            process: RefCell::new(None),
        }
    }

    async fn run(self) -> RunReport {
        let clock = spawn_local(measure_own_lateness(self.ledger.clone()));
        self.start_program();
        let is_ready = self.await_start().await;
        let context = Rc::new(ClientContext {
            address: self.address,
            ledger: self.ledger.clone(),
            is_crowd: self.plan.is_crowd,
            is_at_most_once: self.plan.is_at_most_once,
            connects_until: Cell::new(None),
            sends_until: Cell::new(None),
        });
        let starvation =
            spawn_local(measure_starvation(self.ledger.clone(), self.address, self.process_id()));
        let clients = self.start_clients(&context);
        if self.plan.ending != Ending::WhileStarting && is_ready {
            self.run_load().await;
        }
        let ended_after = self.stop_program(&context).await;
        self.await_clients(clients).await;
        clock.abort();
        starvation.abort();
        check_ledger(&mut self.ledger.borrow_mut());
        let log = self.process.borrow().as_ref().map(Process::log).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            self.ledger.borrow_mut().report_violation(Rule::Panic, None, line);
        }
        let ledger = self.ledger.borrow();
        RunReport::new(self.plan, &ledger, &log, ended_after)
    }

    fn start_program(&self) {
        let path = self.write_config();
        let start =
            Start::of(&self.program.path).args(&self.program.arguments).args(["serve", "--config"]).arg(path);
        let start = start.env_remove("GW_LISTEN").env_remove("GW_NAME").env_remove("GW_CONFIG");
        let process = start.log(self.folder.file("log")).start().expect("the program starts");
        *self.process.borrow_mut() = Some(process);
    }

    fn process_id(&self) -> u32 {
        self.process.borrow().as_ref().map(Process::id).unwrap_or_default()
    }

    /// Writes the configuration as it is now, and returns its path.
    fn write_config(&self) -> std::path::PathBuf {
        let mut value: Value = serde_json::from_str(EXAMPLE).expect("an example");
        value["listen"] = json!(self.address.to_string());
        value["board"] = json!(self.discovery_address.get().to_string());
        value["limits"]["sockets"] = json!(self.plan.descriptors);
        value["settings"]["rules"]["stopSendingWithinUs"] = json!(DRAIN_GRACE.as_micros() as u64);
        if self.plan.is_at_most_once {
            value["settings"]["grades"][1]["repeat"] = json!("at_most_once");
        }
        let listed = self.hosts.iter().filter(|(name, _)| name != "cold");
        let instances: Vec<_> = listed.map(|(name, _)| self.instance(name, "active")).collect();
        value["known"]["notices"][0]["pool"]["instances"] = json!(instances);
        let (revision, events) = self.discovery.snapshot();
        value["known"]["rev"] = json!(revision);
        value["known"]["notices"].as_array_mut().expect("events").extend(events);
        self.folder.write("config.json", &value.to_string(), 0o600)
    }

    /// A host's entry as the discovery service writes it.
    fn instance(&self, name: &str, lifecycle: &str) -> Value {
        let address =
            self.hosts.iter().find(|(host, _)| host == name).map(|(_, address)| address.to_string());
        let (zone, machine_type) = match name {
            "p1" => ("hub", "parent"),
            "o1" => ("hub", "origin"),
            _ => ("shop", "box"),
        };
        let started_at_ms = if name == "cold" { unix_now().as_millis() as u64 } else { 0 };
        json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": machine_type, "cell": 0,
            "lifecycle": lifecycle, "weight": 16, "startedAtMs": started_at_ms})
    }

    /// Waits till the program serves, or, where it is stopped while it starts, till it listens.
    async fn await_start(&self) -> bool {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                if self.plan.ending == Ending::WhileStarting || is_healthy(&mut stream).await {
                    return true;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.ledger.borrow_mut().report_violation(Rule::Exit, None, "not ready in time");
        false
    }

    fn start_clients(&self, context: &Rc<ClientContext>) -> Vec<JoinHandle<()>> {
        let mut rng = Random::new(self.plan.seed ^ 0x5eed);
        let start = |_| spawn_local(Client::new(context.clone(), rng.random_u64()).run());
        (0..self.plan.clients).map(start).collect()
    }

    /// The time of load, with what happens in it and on into the stop.
    async fn run_load(&self) {
        let plan = self.plan;
        spawn_local(issue_purges(
            self.discovery.clone(),
            self.ledger.clone(),
            plan.purge_interval,
            plan.seed,
        ));
        let drained = format!("c{}", plan.caches.len());
        for (at, instance) in [
            (plan.drain_at, self.instance(&drained, "leaving")),
            (plan.cold_cache_joins_at, self.instance("cold", "active")),
        ] {
            let discovery = self.discovery.clone();
            spawn_local(async move {
                tokio::time::sleep(at).await;
                discovery.announce(instance);
            });
        }
        let started = Instant::now();
        let mut events = vec![(plan.discovery_fault_at, LoadEvent::DiscoveryFault)];
        if plan.ending == Ending::KilledAndRestarted {
            events.push((plan.load_time.mul_f64(KILL_AT_LOAD_PART), LoadEvent::Kill));
        }
        events.sort_by_key(|(at, _)| *at);
        for (at, event) in events {
            tokio::time::sleep(at.saturating_sub(started.elapsed())).await;
            match event {
                LoadEvent::DiscoveryFault => self.inject_discovery_fault().await,
                LoadEvent::Kill => self.kill_and_restart(),
            }
        }
        tokio::time::sleep(plan.load_time.saturating_sub(started.elapsed())).await;
    }

    async fn inject_discovery_fault(&self) {
        match self.plan.discovery {
            DiscoveryFault::None => {}
            DiscoveryFault::Silent => self.discovery.silence_open_streams(),
            DiscoveryFault::BreaksOff => self.discovery.truncate_next_event(),
            DiscoveryFault::Moves => {
                self.discovery_address.set(self.discovery.listen().await);
                self.write_config();
                self.signal(Signal::SIGHUP);
            }
        }
        self.ledger.borrow_mut().add_event(None, format!("discovery: {:?}", self.plan.discovery));
    }

    fn kill_and_restart(&self) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            process.kill();
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.killed_at = Some(Instant::now());
        ledger.add_event(None, "killed, and started again");
        drop(ledger);
        self.start_program();
        spawn_local(measure_starvation(self.ledger.clone(), self.address, self.process_id()));
    }

    fn signal(&self, signal: Signal) {
        self.ledger.borrow_mut().add_event(None, format!("signal {signal}"));
        if let Some(process) = self.process.borrow().as_ref() {
            let _ = process.signal(signal);
        }
    }

    /// Sends SIGTERM and the signals behind it, and kills the program at the earliest. Returns when it ended by itself.
    async fn stop_program(&self, context: &ClientContext) -> Option<Duration> {
        let term_at = Instant::now();
        self.ledger.borrow_mut().term_at = Some(term_at);
        context.connects_until.set(Some(term_at + self.plan.connects_after_term));
        context.sends_until.set(Some(term_at + KILL_AFTER));
        self.signal(Signal::SIGTERM);
        let mut signals = self.plan.signals.iter().peekable();
        while term_at.elapsed() < KILL_AFTER {
            if let Some(status) = self.process.borrow_mut().as_mut().and_then(Process::exit_status) {
                if !status.success() {
                    self.ledger.borrow_mut().report_violation(
                        Rule::Exit,
                        None,
                        format!("ended with {status}"),
                    );
                }
                context.sends_until.set(Some(Instant::now()));
                return Some(term_at.elapsed());
            }
            if let Some(due) = signals.next_if(|timed| timed.at <= term_at.elapsed()) {
                self.signal(due.signal);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.ledger.borrow_mut().report_violation(Rule::Exit, None, "had not ended by the kill");
        if let Some(process) = self.process.borrow_mut().as_mut() {
            process.kill();
        }
        None
    }

    async fn await_clients(&self, clients: Vec<JoinHandle<()>>) {
        let end = tokio::time::Instant::now() + CLIENT_LIMIT;
        for client in clients {
            let _ = tokio::time::timeout_at(end, client).await;
        }
    }
}

/// What happens during the load.
enum LoadEvent {
    DiscoveryFault,
    Kill,
}

async fn is_healthy(stream: &mut TcpStream) -> bool {
    let mut answer = String::new();
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n").await;
    sent.is_ok() && stream.read_to_string(&mut answer).await.is_ok() && answer.starts_with("HTTP/1.1 200 ")
}

async fn issue_purges(discovery: Rc<Discovery>, ledger: SharedLedger, interval: Duration, seed: u64) {
    let mut rng = Random::new(seed ^ 0xf1u64);
    loop {
        tokio::time::sleep(interval).await;
        let object = format!("{:04x}", rng.between(0, OBJECTS - 1));
        let issued_at_ms = unix_now().as_millis() as u64;
        let mut open = ledger.borrow_mut();
        let number = open.purges.len();
        open.purges.push(IssuedPurge { object: object.clone(), issued_at_ms, notified_at: None });
        drop(open);
        discovery.purge(number, &object, issued_at_ms);
    }
}

/// Measures how late the rig's own clock is: what a late rig sees is no evidence.
async fn measure_own_lateness(ledger: SharedLedger) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        let lateness = before.elapsed().saturating_sub(CLOCK_CHECK_INTERVAL);
        let mut ledger = ledger.borrow_mut();
        ledger.max_lateness = lateness.max(ledger.max_lateness);
    }
}

/// Asks for the program's health again and again, and records how long it took where the program used next to no processor
/// time meanwhile: it had something to do and did not run, which the machine caused. Where it did run, it is to blame.
async fn measure_starvation(ledger: SharedLedger, address: SocketAddr, id: u32) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let mut answer = [0; HEALTH_ANSWER_BYTES];
    loop {
        let (asked_at, used_before) = (Instant::now(), Usage::of(id).map(|usage| usage.cpu_time));
        if stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n").await.is_err() {
            return;
        }
        if !matches!(stream.read(&mut answer).await, Ok(length) if length > 0) {
            return;
        }
        let took = asked_at.elapsed();
        let used = Usage::of(id).map(|usage| usage.cpu_time).zip(used_before);
        let used = used.map_or(Duration::ZERO, |(after, before)| after.saturating_sub(before));
        if used < took / 2 {
            ledger.borrow_mut().on_starved(took);
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}
