//! Starts the actors of a dispatcher, reloads its configuration and shuts it down gracefully.

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
use crate::host::message::HostsMessage;
use crate::host::HostsActor;
use crate::listener;
use crate::mailbox::Mailbox;
use crate::memory::MemoryBudget;
use crate::phase::Phase;
use crate::supervisor::{spawn, LARGE_STACK_WORDS, STACK_WORDS};
use may::net::TcpListener;
use may::sync::Semphore;
use rockflow::ListScope;
use rockflow_endpoints::{AdminOverrides, EndpointRegistry};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::{info, warn};

/// Number of threads that run coroutines. With more than one, a coroutine could be resumed and freed on
/// another thread while the runtime still writes to it.
const WORKERS: usize = 1;
/// Number of stacks that are kept for new coroutines. They are used in turn, so each of them stays in memory.
const POOLED_STACKS: usize = 64;
/// How long requests are still served after a shutdown has begun: new connections arrive for 0.4 s, and
/// requests on open ones for 0.2 s more.
const DRAIN_TIME: Duration = Duration::from_millis(650);
/// Upper limit of the time after `DRAIN_TIME` in which open requests may finish. The process is not killed
/// before the longest deadline of any class, or this limit if it is shorter, has passed.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(3);
/// The part of that time that is reserved for writing the last responses.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(150);
/// Interval at which a shutdown checks whether it can continue.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running dispatcher. Its actors run until the process exits.
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
    /// Configures the coroutine runtime. Call it once per process, before the first service starts.
    pub fn set_up() {
        may::config().set_workers(WORKERS).set_stack_size(STACK_WORDS).set_pool_capacity(POOLED_STACKS);
    }

    /// Starts a dispatcher without support for administrative overrides.
    ///
    /// # Errors
    /// If the listen address can't be bound, or an actor can't be started.
    pub fn start(config: Config) -> std::io::Result<Service> {
        Service::start_with_overrides(Clock::start(), config, None)
    }

    /// Starts a dispatcher with administrative overrides of the operators. They are in effect from the first
    /// request on and can be changed through the [`handle`](Service::handle). With `None`, overrides are not
    /// supported and no state is kept for them.
    ///
    /// # Errors
    /// If the listen address can't be bound, or an actor can't be started.
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
        startup.log_start(&config, &endpoints);
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
        let mut hosts = HostsActor::new(startup.pool.clone(), startup.hosts.clone());
        spawn("hosts", STACK_WORDS, move || hosts.run())?;
        spawn("decisions", LARGE_STACK_WORDS, move || decisions.run())?;
        spawn("endpoint-list", LARGE_STACK_WORDS, move || endpoint_list.run())?;
        spawn("discovery", LARGE_STACK_WORDS, move || discovery.run())?;
        startup.spawn_listener(listener, service.discovery.clone())?;
        service.enter_phase(Phase::Serving);
        Ok(service)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the address at which client connections are accepted.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Returns a handle to manage this dispatcher from any thread.
    pub fn handle(&self) -> ServiceHandle {
        self.handle.clone()
    }

    /// Applies a new configuration while requests are served. Discovery is reconnected at its new address
    /// immediately and continues from the last revision. Changed values that take effect only after a restart
    /// are ignored, and their keys logged.
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

    /// Shuts down gracefully. Blocks the calling thread until the shutdown is complete.
    pub fn stop(&mut self) {
        self.stop_with(|_| {});
    }

    /// Like [`stop`](Service::stop), but calls `on_poll` every few milliseconds until the shutdown is
    /// complete. The caller can reload the configuration there: requests that still arrive depend on the
    /// endpoint list, and the discovery service may change its address during the shutdown.
    pub fn stop_with(&mut self, mut on_poll: impl FnMut(&mut Service)) {
        self.enter_phase(Phase::Draining);
        let drain_end = self.clients.clock.now() + DRAIN_TIME;
        let close_end = drain_end + self.clients.max_deadline.min(MAX_CLOSE_TIME);
        let deadline = close_end - RESPONSE_WRITE_TIME;
        self.clients.decisions.send_urgent(DecisionMessage::ShutdownStarted { deadline });
        self.wait_until(&mut on_poll, |service| service.clients.clock.now() >= drain_end);
        self.enter_phase(Phase::Closing);
        self.clients.closing.store(true, Ordering::Relaxed);
        self.clients.inspect();
        // Closing a socket with unread bytes resets the connection, which can lose a response that is still
        // in transit. So after its last response a connection stays open until its client closes it or the
        // linger timeout passes, and the shutdown waits for that until `close_end`.
        self.wait_until(&mut on_poll, |service| {
            let open_requests = service.clients.open_requests.load(Ordering::Relaxed);
            open_requests + service.clients.connections() == 0 || service.clients.clock.now() >= close_end
        });
        self.enter_phase(Phase::Stopped);
    }

    fn enter_phase(&mut self, phase: Phase) {
        let requests = self.clients.open_requests.load(Ordering::Relaxed);
        info!(from = ?self.phase, to = ?phase, requests, "phase changed");
        self.phase = phase;
        self.handle.phase.store(phase as u8, Ordering::Relaxed);
    }

    fn wait_until(&mut self, on_poll: &mut impl FnMut(&mut Service), is_reached: impl Fn(&Service) -> bool) {
        while !is_reached(self) {
            on_poll(self);
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}

/// State shared by the actors, created before any of them starts.
struct Startup {
    clock: Clock,
    caps: Caps,
    decisions: Arc<Mailbox<DecisionMessage>>,
    endpoint_list: Arc<Mailbox<EndpointListMessage>>,
    hosts: Arc<Mailbox<HostsMessage>>,
    ready: Arc<AtomicBool>,
    clients: Arc<ClientRegistry>,
    pool: Arc<ConnectionPool>,
}

impl Startup {
    fn new(clock: Clock, config: &Config) -> Self {
        let caps = Caps::of(&config.limits);
        let decisions = Mailbox::new();
        let ready = Arc::new(AtomicBool::new(false));
        let memory = MemoryBudget::new(&config.limits, config.deployment_settings.deployment.max_tracked);
        let deadlines = config.deployment_settings.deployment.classes.iter().map(|class| class.deadline);
        let max_deadline = deadlines.max().unwrap_or_default();
        let clients = Arc::new(ClientRegistry::new(RegistryConfig {
            clock,
            decisions: decisions.clone(),
            max_queued_requests: caps.queued_requests,
            ready: ready.clone(),
            max_deadline,
            memory: memory.clone(),
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
            memory,
            connections: Mutex::new(BTreeMap::new()),
            next_connection: AtomicU64::new(1),
            waiting_hosts: Mutex::default(),
        });
        let (endpoint_list, hosts) = (Mailbox::new(), Mailbox::new());
        Startup { clock, caps, decisions, endpoint_list, hosts, ready, clients, pool }
    }

    fn log_start(&self, config: &Config, endpoints: &[Endpoint]) {
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
            hosts: self.hosts.clone(),
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
        let (clients, pool, hosts) = (self.clients.clone(), self.pool, self.hosts);
        spawn("inspector", STACK_WORDS, move || {
            listener::inspect_connections(&clients, &pool, &hosts, &discovery)
        })?;
        let (clients, permits) = (self.clients, Arc::new(Semphore::new(self.caps.clients)));
        spawn("listener", STACK_WORDS, move || listener::run(&listener, &clients, &permits))
    }
}
