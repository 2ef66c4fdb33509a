//! Runs one plan: starts the peers and the program, sends the signals, and checks the records at the end.

use super::check::{check_ledger, Rule, DRAIN_GRACE};
use super::client::{Client, ClientContext, OBJECTS};
use super::discovery::Discovery;
use super::host::Host;
use super::ledger::{unix_now, IssuedPurge, Ledger, SharedLedger};
use super::plan::{DiscoveryFault, Ending, HostProfile, Plan, Random, KILL_AFTER};
use super::report::RunReport;
use super::Program;
use rockflow_process_harness::{free_tcp, processor_waits, Process, Signal, Start, Usage};
use rockflow_test_servers::TemporaryFolder;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// The configuration from which that of the program is made.
const EXAMPLE_CONFIG: &str = include_str!("../../../../deploy/example.json");
/// The revision of the event in the snapshot of the example configuration.
const FIRST_REVISION: u64 = 1;
/// A program that does not serve within this time after its start is reported.
const START_LIMIT: Duration = Duration::from_secs(20);
/// How long clients may take to finish once the program has exited.
const CLIENT_LIMIT: Duration = Duration::from_secs(8);
/// How often the start and the exit of the program are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The length of the sleeps by which the soak measures how late its own timers fire.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The pause between two health checks of the program.
const HEALTH_INTERVAL: Duration = Duration::from_millis(10);
/// The size of the buffer for the answer to a health check.
const HEALTH_ANSWER_BYTES: usize = 512;
/// The share of the load time after which the program is killed and restarted.
const KILL_AT_LOAD_SHARE: f64 = 0.4;

/// Makes the seeds of the clients differ from the seed of the plan.
const CLIENT_SEED_SALT: u64 = 0x5eed;
/// Makes the seed of the purged objects differ from the seed of the plan.
const PURGE_SEED_SALT: u64 = 0xf1;

/// Runs a plan to its end and returns the report.
pub(super) fn run(program: &Program, plan: &Plan) -> RunReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { Run::prepare(program, plan).await.run().await })
}

/// A run in progress, with its peers and the program.
struct Run<'a> {
    program: &'a Program,
    plan: &'a Plan,
    ledger: SharedLedger,
    discovery: Rc<Discovery>,
    /// The address at which the program serves clients.
    address: SocketAddr,
    /// The address of the discovery service that the configuration names.
    discovery_address: Cell<SocketAddr>,
    /// The names and addresses of the hosts.
    hosts: Vec<(String, SocketAddr)>,
    folder: TemporaryFolder,
    /// The program; `None` before its first start.
    process: RefCell<Option<Process>>,
}

impl<'a> Run<'a> {
    /// Starts the peers of a run, but not the program.
    async fn prepare(program: &'a Program, plan: &'a Plan) -> Run<'a> {
        let ledger = Ledger::shared();
        let discovery = Discovery::new(FIRST_REVISION + 1, ledger.clone());
        let mut profiles: Vec<(String, HostProfile)> = Vec::new();
        profiles.extend(
            plan.caches.iter().enumerate().map(|(index, profile)| (format!("c{}", index + 1), *profile)),
        );
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

    /// Runs the plan: starts the program, puts it under load, stops it and checks the records.
    async fn run(self) -> RunReport {
        let lateness_task = spawn_local(measure_own_lateness(self.ledger.clone()));
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
        let starvation_tasks = self.start_starvation_checks();
        let clients = self.start_clients(&context);
        if self.plan.ending != Ending::WhileStarting && is_ready {
            self.run_load().await;
        }
        let ended_after = self.stop_program(&context).await;
        self.await_clients(clients).await;
        lateness_task.abort();
        starvation_tasks.iter().for_each(JoinHandle::abort);
        check_ledger(&mut self.ledger.borrow_mut());
        let log = self.process.borrow().as_ref().map(Process::log).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            self.ledger.borrow_mut().report_violation(Rule::Panic, None, line);
        }
        let ledger = self.ledger.borrow();
        RunReport::new(self.plan, &ledger, &log, ended_after)
    }

    /// Starts the program with the current configuration, appending to the same log at each start.
    fn start_program(&self) {
        let config = self.write_config();
        let start = Start::of(&self.program.path)
            .args(&self.program.arguments)
            .args(["serve", "--config"])
            .arg(config);
        let start = start.env_remove("GW_LISTEN").env_remove("GW_NAME").env_remove("GW_CONFIG");
        let process = start.log(self.folder.file("log")).start().expect("the program starts");
        *self.process.borrow_mut() = Some(process);
    }

    /// The process id of the program; 0 before its first start.
    fn process_id(&self) -> u32 {
        self.process.borrow().as_ref().map(Process::id).unwrap_or_default()
    }

    /// Writes the configuration with the current address and events of discovery, and returns its path.
    fn write_config(&self) -> std::path::PathBuf {
        let mut value: Value = serde_json::from_str(EXAMPLE_CONFIG).expect("an example");
        value["listen"] = json!(self.address.to_string());
        value["board"] = json!(self.discovery_address.get().to_string());
        value["limits"]["sockets"] = json!(self.plan.descriptors);
        value["settings"]["rules"]["stopSendingWithinUs"] = json!(DRAIN_GRACE.as_micros() as u64);
        if self.plan.is_at_most_once {
            value["settings"]["grades"][1]["repeat"] = json!("at_most_once");
        }
        let initial_hosts = self.hosts.iter().filter(|(name, _)| name != "cold");
        let instances: Vec<_> = initial_hosts.map(|(name, _)| self.instance(name, "active")).collect();
        value["known"]["notices"][0]["pool"]["instances"] = json!(instances);
        let (revision, events) = self.discovery.snapshot();
        value["known"]["rev"] = json!(revision);
        value["known"]["notices"].as_array_mut().expect("events").extend(events);
        self.folder.write("config.json", &value.to_string(), 0o600)
    }

    /// The entry of a host in the format of the discovery protocol.
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

    /// Waits until the program is healthy, or, if the plan stops it while it starts, until it accepts a connection.
    /// Reports a violation and returns false if that takes too long.
    async fn await_start(&self) -> bool {
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                if self.plan.ending == Ending::WhileStarting || is_healthy(&mut stream).await {
                    return true;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.ledger.borrow_mut().report_violation(Rule::Exit, None, "the program was not ready in time");
        false
    }

    /// Starts the clients, each with a different seed.
    fn start_clients(&self, context: &Rc<ClientContext>) -> Vec<JoinHandle<()>> {
        let mut rng = Random::new(self.plan.seed ^ CLIENT_SEED_SALT);
        let start = |_| spawn_local(Client::new(context.clone(), rng.random_u64()).run());
        (0..self.plan.clients).map(start).collect()
    }

    /// Waits for the load time, while purges, a drain, a joining cache and the faults of the plan happen. Purges, the
    /// drain and the join may go on while the program is stopped.
    async fn run_load(&self) {
        let plan = self.plan;
        spawn_local(issue_purges(
            self.discovery.clone(),
            self.ledger.clone(),
            plan.purge_interval,
            plan.seed,
        ));
        let drained_host = format!("c{}", plan.caches.len());
        for (at, instance) in [
            (plan.drain_at, self.instance(&drained_host, "leaving")),
            (plan.cold_cache_joins_at, self.instance("cold", "active")),
        ] {
            let discovery = self.discovery.clone();
            spawn_local(async move {
                tokio::time::sleep(at).await;
                discovery.announce(instance);
            });
        }
        let started_at = Instant::now();
        let mut events = vec![(plan.discovery_fault_at, LoadEvent::DiscoveryFault)];
        if plan.ending == Ending::KilledAndRestarted {
            events.push((plan.load_time.mul_f64(KILL_AT_LOAD_SHARE), LoadEvent::Kill));
        }
        events.sort_by_key(|(at, _)| *at);
        for (at, event) in events {
            tokio::time::sleep(at.saturating_sub(started_at.elapsed())).await;
            match event {
                LoadEvent::DiscoveryFault => self.inject_discovery_fault().await,
                LoadEvent::Kill => self.kill_and_restart(),
            }
        }
        tokio::time::sleep(plan.load_time.saturating_sub(started_at.elapsed())).await;
    }

    /// Injects the discovery fault of the plan.
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

    /// Kills the program, and starts it again at the same address.
    fn kill_and_restart(&self) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            process.kill();
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.killed_at = Some(Instant::now());
        ledger.add_event(None, "program killed and started again");
        drop(ledger);
        self.start_program();
        self.start_starvation_checks();
    }

    /// Starts to measure whether the running program gets enough processor time.
    fn start_starvation_checks(&self) -> [JoinHandle<()>; 2] {
        let id = self.process_id();
        [
            spawn_local(measure_starvation(self.ledger.clone(), self.address, id)),
            spawn_local(measure_processor_waits(self.ledger.clone(), id)),
        ]
    }

    /// Sends a signal to the program and records it.
    fn signal(&self, signal: Signal) {
        self.ledger.borrow_mut().add_event(None, format!("signal {signal}"));
        if let Some(process) = self.process.borrow().as_ref() {
            let _ = process.signal(signal);
        }
    }

    /// Sends SIGTERM and the further signals of the plan, and kills the program if it still runs at the end. Returns
    /// how long after SIGTERM the program exited by itself; `None` if it was killed.
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
                        format!("the program exited with {status}"),
                    );
                }
                context.sends_until.set(Some(Instant::now()));
                return Some(term_at.elapsed());
            }
            if let Some(due_signal) = signals.next_if(|timed| timed.at <= term_at.elapsed()) {
                self.signal(due_signal.signal);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.ledger.borrow_mut().report_violation(
            Rule::Exit,
            None,
            "the program still ran when the kill was due",
        );
        if let Some(process) = self.process.borrow_mut().as_mut() {
            process.kill();
        }
        None
    }

    /// Waits for the clients to finish, up to a limit for all of them together.
    async fn await_clients(&self, clients: Vec<JoinHandle<()>>) {
        let deadline = tokio::time::Instant::now() + CLIENT_LIMIT;
        for client in clients {
            let _ = tokio::time::timeout_at(deadline, client).await;
        }
    }
}

/// A scheduled fault during the load.
enum LoadEvent {
    /// The discovery fault of the plan.
    DiscoveryFault,
    /// A kill and restart of the program.
    Kill,
}

/// Whether the program answers a health check on this connection with status 200.
async fn is_healthy(stream: &mut TcpStream) -> bool {
    let mut answer = String::new();
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n").await;
    sent.is_ok() && stream.read_to_string(&mut answer).await.is_ok() && answer.starts_with("HTTP/1.1 200 ")
}

/// Announces purges of random objects, one in each interval. Never returns.
async fn issue_purges(discovery: Rc<Discovery>, ledger: SharedLedger, interval: Duration, seed: u64) {
    let mut rng = Random::new(seed ^ PURGE_SEED_SALT);
    loop {
        tokio::time::sleep(interval).await;
        let object = format!("{:04x}", rng.between(0, OBJECTS - 1));
        let issued_at_ms = unix_now().as_millis() as u64;
        let mut records = ledger.borrow_mut();
        let number = records.purges.len();
        records.purges.push(IssuedPurge { object: object.clone(), issued_at_ms, notified_at: None });
        drop(records);
        discovery.purge(number, &object, issued_at_ms);
    }
}

/// Measures how late timers of the soak itself fire. What a soak with late timers observes proves nothing about the
/// program. Never returns.
async fn measure_own_lateness(ledger: SharedLedger) {
    loop {
        let started_at = Instant::now();
        tokio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        let lateness = started_at.elapsed().saturating_sub(CLOCK_CHECK_INTERVAL);
        let mut ledger = ledger.borrow_mut();
        ledger.max_lateness = lateness.max(ledger.max_lateness);
    }
}

/// Sends health checks to the program until its connection is closed, and records how long an answer took if the
/// program used less than half of that time on a processor. Such a program had something to do and was not run, for
/// which the machine is to blame. A slow answer for which the program did run is its own fault and is not recorded.
async fn measure_starvation(ledger: SharedLedger, address: SocketAddr, id: u32) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let mut answer = [0; HEALTH_ANSWER_BYTES];
    loop {
        let (sent_at, cpu_time_before) = (Instant::now(), Usage::of(id).map(|usage| usage.cpu_time));
        if stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n").await.is_err() {
            return;
        }
        if !matches!(stream.read(&mut answer).await, Ok(length) if length > 0) {
            return;
        }
        let response_time = sent_at.elapsed();
        let cpu_times = Usage::of(id).map(|usage| usage.cpu_time).zip(cpu_time_before);
        let cpu_time = cpu_times.map_or(Duration::ZERO, |(after, before)| after.saturating_sub(before));
        if cpu_time < response_time / 2 {
            ledger.borrow_mut().on_starved(response_time);
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}

/// Records for how long a thread of the program waited for a processor, by the kernel's own account, also while the program
/// no longer answers health checks. Returns when the program has exited.
async fn measure_processor_waits(ledger: SharedLedger, id: u32) {
    let mut previous = processor_waits(id);
    while !previous.is_empty() {
        tokio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        let waits = processor_waits(id);
        let increase = |(thread, wait): (&u32, &Duration)| {
            wait.saturating_sub(previous.get(thread).copied().unwrap_or_default())
        };
        if let Some(longest) = waits.iter().map(increase).max() {
            ledger.borrow_mut().on_processor_wait(longest);
        }
        previous = waits;
    }
}
