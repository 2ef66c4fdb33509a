//! The program from start to exit.

use crate::backpressure::{CoalescingSlot, PurgeQuota};
use crate::caps::Caps;
use crate::client::{ClientRegistry, RegistryConfig};
use crate::clock::Clock;
use crate::config::{Config, RestartOnlyValues};
use crate::connection_pool::ConnectionPool;
use crate::decision::message::DecisionMessage;
use crate::decision::{DecisionActor, Dependencies};
use crate::discovery::message::DiscoveryMessage;
use crate::discovery::{DiscoveryClient, SharedDiscoveryStatus};
use crate::endpoint::Endpoint;
use crate::endpoint_list::message::EndpointListMessage;
use crate::endpoint_list::{EndpointListActor, EndpointReader, InitialState};
use crate::handle::ServiceHandle;
use crate::listener;
use crate::mailbox::Mailbox;
use crate::phase::Phase;
use crate::supervisor::{spawn, LARGE_STACK_WORDS, STACK_WORDS};
use may::net::TcpListener;
use may::sync::Semphore;
use rockflow::ListScope;
use rockflow_endpoints::{AdminOverrides, EndpointRegistry};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::{info, warn};

/// Threads that run coroutines: the runtime still writes into a coroutine that it has given away, and a second could end
/// it meanwhile.
const WORKERS: usize = 1;
/// After a shutdown has begun, new connections arrive for 0.4 s and requests on open ones for 0.2 s more.
const DRAIN_TIME: Duration = Duration::from_millis(650);
/// The program is not killed before the longest deadline, or this if it is shorter, has passed after that.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(3);
/// Left of that time for the last responses to be written.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(150);
/// How often a shutdown checks whether it is complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running dispatcher. Its actors last as long as the process.
///
/// ```no_run
/// use rockflow_dispatcher::{Config, Service};
///
/// Service::set_up();
/// let config = Config::parse(&std::fs::read_to_string("example.json")?)?;
/// let mut service = Service::start(config)?;
/// println!("serving at {}", service.listen_address());
/// service.stop();
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Service {
    phase: Phase,
    listen_address: SocketAddr,
    clients: Arc<ClientRegistry>,
    discovery: Arc<Mailbox<DiscoveryMessage>>,
    restart_only: RestartOnlyValues,
    discovery_address: SocketAddr,
    handle: ServiceHandle,
}

impl Service {
    /// Sets the coroutines up; once in a process, before the first service.
    pub fn set_up() {
        may::config().set_workers(WORKERS).set_stack_size(STACK_WORDS);
    }

    /// Starts a dispatcher in which nobody can set overrides.
    ///
    /// # Errors
    /// If the address can't be listened at, or an actor can't be started.
    pub fn start(config: Config) -> std::io::Result<Service> {
        Service::start_with_overrides(Clock::start(), config, None)
    }

    /// Starts a dispatcher with overrides of operators, which are in effect from the first request on and can be changed
    /// through its [`handle`](Service::handle); none: nobody can set overrides, and nothing is held for them.
    ///
    /// # Errors
    /// If the address can't be listened at, or an actor can't be started.
    pub fn start_with_overrides(
        clock: Clock,
        config: Config,
        overrides: Option<AdminOverrides>,
    ) -> std::io::Result<Service> {
        let startup = Startup::new(clock, &config);
        let reader = EndpointReader::new(clock, &config.deployment_settings, &config.network_settings);
        let InitialState { mut endpoints, purges } = reader.read_snapshot(&config.snapshot.events);
        let mut registry = overrides.map(EndpointRegistry::new);
        if let Some(registry) = &mut registry {
            endpoints = registry.apply_update(ListScope::Full, endpoints, clock.now());
        }
        startup.log(&config, &endpoints);
        let mut discovery = DiscoveryClient::new(clock, &config, startup.endpoint_list.clone());
        let mut decisions = DecisionActor::new(startup.dependencies(&config), endpoints, purges);
        let mut endpoint_list = EndpointListActor::new(
            clock,
            reader,
            startup.endpoint_list.clone(),
            startup.decisions.clone(),
            registry,
        );
        let listener = TcpListener::bind(config.listen)?;
        let mut service = startup.service(config, listener.local_addr()?, &discovery);
        spawn("decisions", LARGE_STACK_WORDS, move || decisions.run())?;
        spawn("endpoint-list", LARGE_STACK_WORDS, move || endpoint_list.run())?;
        spawn("discovery", LARGE_STACK_WORDS, move || discovery.run())?;
        startup.spawn_listener(listener, service.discovery.clone())?;
        service.enter(Phase::Serving);
        Ok(service)
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The address at which clients connect.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// A handle for whoever manages this dispatcher, from any thread.
    pub fn handle(&self) -> ServiceHandle {
        self.handle.clone()
    }

    /// Applies a new configuration under load: discovery is connected at its new address at once, from the last revision.
    /// What takes effect only with a restart stays as it was, and is named in the log.
    pub fn reload(&mut self, config: &Config) {
        let values = self.restart_only.iter().zip(config.restart_only.iter());
        let changed = values.filter(|(old, new)| old != new);
        let keys: Vec<_> = changed.map(|((key, _), _)| key.as_str()).collect();
        if !keys.is_empty() {
            warn!(?keys, "changed keys take effect only with a restart");
        }
        let (from, to) = (self.discovery_address, config.discovery_address);
        info!(phase = ?self.phase, %from, %to, "configuration reloaded");
        self.discovery_address = to;
        self.discovery.send_urgent(DiscoveryMessage::SetAddress(to));
    }

    /// Shuts down gracefully, to the end; blocks the calling thread.
    pub fn stop(&mut self) {
        self.stop_with(|_| {});
    }

    /// Shuts down gracefully; `between` is called every few milliseconds until the end. Guards against configurations that
    /// are missed in the time that it takes: requests that still arrive go by the endpoint list, and discovery may move
    /// meanwhile.
    pub fn stop_with(&mut self, mut between: impl FnMut(&mut Service)) {
        self.enter(Phase::Draining);
        let drained = self.clients.clock.now() + DRAIN_TIME;
        let end = drained + self.clients.max_deadline.min(MAX_CLOSE_TIME);
        let deadline = end - RESPONSE_WRITE_TIME;
        self.clients.decisions.send_urgent(DecisionMessage::ShutdownStarted { deadline });
        self.wait_until(&mut between, |service| service.clients.clock.now() >= drained);
        self.enter(Phase::Closing);
        self.clients.closing.store(true, Ordering::Relaxed);
        self.clients.inspect();
        // Guards against a response that is lost to the reset of a connection which ends with bytes unread: connections
        // that have their last response are left to their clients to close, for as long as they may linger.
        self.wait_until(&mut between, |service| {
            let open_requests = service.clients.open_requests.load(Ordering::Relaxed);
            open_requests + service.clients.connections() == 0 || service.clients.clock.now() >= end
        });
        self.enter(Phase::Stopped);
    }

    fn enter(&mut self, phase: Phase) {
        let requests = self.clients.open_requests.load(Ordering::Relaxed);
        info!(from = ?self.phase, to = ?phase, requests, "phase changed");
        self.phase = phase;
        self.handle.phase.store(phase as u8, Ordering::Relaxed);
    }

    fn wait_until(&mut self, between: &mut impl FnMut(&mut Service), is_reached: impl Fn(&Service) -> bool) {
        while !is_reached(self) {
            between(self);
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}

/// What the actors share, made before any of them starts.
struct Startup {
    clock: Clock,
    caps: Caps,
    decisions: Arc<Mailbox<DecisionMessage>>,
    endpoint_list: Arc<Mailbox<EndpointListMessage>>,
    ready: Arc<AtomicBool>,
    clients: Arc<ClientRegistry>,
    pool: Arc<ConnectionPool>,
}

impl Startup {
    fn new(clock: Clock, config: &Config) -> Self {
        let caps = Caps::of(&config.limits);
        let decisions = Mailbox::new();
        let ready = Arc::new(AtomicBool::new(false));
        let buffered_bytes = Arc::new(AtomicUsize::new(0));
        let deadlines = config.deployment_settings.deployment.classes.iter().map(|class| class.deadline);
        let max_deadline = deadlines.max().unwrap_or_default();
        let clients = Arc::new(ClientRegistry::new(RegistryConfig {
            clock,
            decisions: decisions.clone(),
            max_queued_requests: caps.queued_requests,
            ready: ready.clone(),
            max_deadline,
            buffered_bytes: buffered_bytes.clone(),
            max_idle: caps.idle_clients,
        }));
        let network_settings = &config.network_settings;
        let pool = Arc::new(ConnectionPool {
            clock,
            decisions: decisions.clone(),
            connect_timeout: network_settings.connect_timeout,
            idle_timeout: network_settings.idle_timeout,
            max_concurrent_attempts: network_settings.max_streams,
            max_request_time: max_deadline + network_settings.connect_timeout,
            max_unsent_bytes: caps.unsent_bytes,
            max_connections: caps.upstream_connections,
            buffered_bytes,
            max_buffered_bytes: caps.buffered_bytes,
            connections: Mutex::new(BTreeMap::new()),
            next_connection: AtomicU64::new(1),
        });
        Startup { clock, caps, decisions, endpoint_list: Mailbox::new(), ready, clients, pool }
    }

    fn log(&self, config: &Config, endpoints: &[Endpoint]) {
        let (name, revision) = (&config.name, config.snapshot.revision);
        let (endpoints, caps) = (endpoints.len(), self.caps);
        info!(name, listen = %config.listen, endpoints, revision, ?caps, "starting");
    }

    fn dependencies(&self, config: &Config) -> Dependencies {
        Dependencies {
            clock: self.clock,
            deployment: config.deployment_settings.deployment.clone(),
            classes: config.network_settings.class_names.clone(),
            seed: config.seed,
            load_report: config.network_settings.load_report_fields.clone(),
            pool: self.pool.clone(),
            ready: self.ready.clone(),
            response_slack: config.network_settings.answer_slack,
            mailbox: self.decisions.clone(),
        }
    }

    fn handle(&self, config: &Config, discovery: Arc<SharedDiscoveryStatus>) -> ServiceHandle {
        let names = config.network_settings.class_names.iter().cloned();
        let classes = names.zip(config.deployment_settings.deployment.classes.iter().cloned()).collect();
        ServiceHandle {
            clock: self.clock,
            name: config.name.clone(),
            caps: self.caps,
            classes,
            locations: config.network_settings.location_names.clone(),
            endpoint_list: self.endpoint_list.clone(),
            clients: self.clients.clone(),
            pool: self.pool.clone(),
            discovery,
            phase: Arc::new(AtomicU8::new(Phase::Starting as u8)),
            purge_quota: Arc::<PurgeQuota>::default(),
            purge_overflow: Arc::<CoalescingSlot<_, _>>::default(),
            control_overrides: Arc::<CoalescingSlot<_, _>>::default(),
        }
    }

    fn service(&self, config: Config, listen_address: SocketAddr, discovery: &DiscoveryClient) -> Service {
        Service {
            phase: Phase::Starting,
            listen_address,
            clients: self.clients.clone(),
            discovery: discovery.mailbox(),
            handle: self.handle(&config, discovery.status()),
            discovery_address: config.discovery_address,
            restart_only: config.restart_only,
        }
    }

    fn spawn_listener(
        self,
        listener: TcpListener,
        discovery: Arc<Mailbox<DiscoveryMessage>>,
    ) -> std::io::Result<()> {
        let (clients, pool) = (self.clients.clone(), self.pool);
        spawn("inspector", STACK_WORDS, move || listener::inspect_connections(&clients, &pool, &discovery))?;
        let (clients, permits) = (self.clients, Arc::new(Semphore::new(self.caps.clients)));
        spawn("listener", STACK_WORDS, move || listener::run(&listener, &clients, &permits))
    }
}
