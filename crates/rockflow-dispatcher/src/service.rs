//! The program from start to exit: its phases as named states of one object.

use crate::caps::Caps;
use crate::client::ClientRegistry;
use crate::clock::Clock;
use crate::config::{Config, Unchanging};
use crate::connection_pool::ConnectionPool;
use crate::decision::{DecisionActor, Dependencies};
use crate::discovery::DiscoveryClient;
use crate::endpoint_list::{EndpointListActor, EndpointReader};
use crate::handle::ServiceHandle;
use crate::listener;
use crate::mailbox::Mailbox;
use crate::messages::{DecisionMessage, DiscoveryMessage};
use crate::phase::Phase;
use crate::timer;
use may::coroutine::Builder;
use may::net::TcpListener;
use may::sync::Semphore;
use rockflow::ListScope;
use rockflow_endpoints::{AdminOverrides, EndpointRegistry};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::{error, info, warn};

/// In words of eight bytes: a connection's actor, and one that parses JSON.
const STACK: usize = 0x2000;
pub(crate) const BIG_STACK: usize = 0x20000;
/// After a planned stop, new connections come for 0.4 s and requests on open ones for 0.2 s more.
const STILL_COMING: Duration = Duration::from_millis(650);
/// The wait before an actor that panicked is started again.
const AGAIN: Duration = Duration::from_millis(10);
/// The program is not killed before the longest outer limit, or this if it is shorter, has passed after that.
const LONGEST_HEEDED: Duration = Duration::from_secs(3);
/// Left of that time for the last answers to go out.
const TO_GO_OUT: Duration = Duration::from_millis(150);
/// How often a planned stop looks whether it is over.
const LOOK: Duration = Duration::from_millis(10);

pub struct Service {
    phase: Phase,
    listens_at: SocketAddr,
    door: Arc<ClientRegistry>,
    board: Arc<Mailbox<DiscoveryMessage>>,
    told: Unchanging,
    board_at: SocketAddr,
    link: ServiceHandle,
}

impl Service {
    /// Sets the coroutines up; once in a process, before the first service. One worker, and no other thread runs
    /// them: the runtime still writes into a coroutine that it has given away, and a second could end it meanwhile.
    pub fn set_up() {
        may::config().set_workers(1).set_stack_size(STACK);
    }

    pub fn start(told: Config) -> std::io::Result<Service> {
        Service::start_with_overrides(Clock::start(), told, None)
    }

    /// With operators' marks, which hold from the first request on and can be changed through `link`; none: nobody
    /// can mark, and nothing is kept for it.
    pub fn start_with_overrides(
        clock: Clock,
        told: Config,
        marks: Option<AdminOverrides>,
    ) -> std::io::Result<Service> {
        let caps = Caps::of(&told.limits);
        let unchanging = told.unchanging.clone();
        let (mail, list_mail) = (Mailbox::new(), Mailbox::new());
        let longest = told.facts.deployment.classes.iter().map(|class| class.deadline).max();
        let ready = Arc::new(AtomicBool::new(false));
        let held = Arc::new(AtomicUsize::new(0));
        let door = Arc::new(ClientRegistry {
            clock,
            module: mail.clone(),
            module_words: caps.module_words,
            ready: ready.clone(),
            closing: AtomicBool::new(false),
            crowded: AtomicBool::new(false),
            longest: longest.unwrap_or_default(),
            held: held.clone(),
            clients: Mutex::new(BTreeMap::new()),
            location_dispatchers: caps.location_dispatchers,
            next_client: AtomicU64::new(1),
            next_request: AtomicU64::new(1),
            open: AtomicUsize::new(0),
        });
        let reading = EndpointReader::new(clock, &told.facts, &told.wiring);
        let (mut known, purges) = reading.known(&told.snapshot.events);
        let mut roll = marks.map(EndpointRegistry::new);
        if let Some(roll) = &mut roll {
            known = roll.apply_update(ListScope::Full, known, clock.now());
        }
        info!(name = told.name, listen = %told.listen, hosts = known.len(), rev = told.snapshot.revision, ?caps, "starting");
        let pool = Arc::new(ConnectionPool {
            clock,
            module: mail.clone(),
            connect_limit: told.wiring.connect_timeout,
            idle_limit: told.wiring.idle_timeout,
            max_streams: told.wiring.max_streams,
            longest: longest.unwrap_or_default() + told.wiring.connect_timeout,
            line_out: caps.line_out,
            lines: Mutex::new(BTreeMap::new()),
            next_line: AtomicU64::new(1),
            max_lines: caps.hosts,
            held,
            max_held: caps.held,
        });
        let looked = (door.clone(), pool.clone());
        let mut board = DiscoveryClient::new(clock, &told, list_mail.clone());
        let (board_mail, seen) = (board.mail.clone(), board.seen.clone());
        let classes = told.wiring.class_names.iter().cloned();
        let named = classes.zip(told.facts.deployment.classes.iter().cloned()).collect();
        let given = Dependencies {
            clock,
            deployment: told.facts.deployment,
            classes: told.wiring.class_names.clone(),
            seed: told.seed,
            report: told.wiring.load_report_fields,
            pool,
            ready: ready.clone(),
            slack: told.wiring.answer_slack,
            mail: mail.clone(),
        };
        let mut module = DecisionActor::new(given, known, purges);
        let mut list = EndpointListActor { reading, mail: list_mail.clone(), module: mail, roll };
        let listener = TcpListener::bind(told.listen)?;
        let listens_at = listener.local_addr()?;
        let link = ServiceHandle {
            clock,
            name: told.name,
            caps,
            classes: named,
            locations: told.wiring.location_names,
            list: list_mail,
            door: door.clone(),
            pool: looked.1.clone(),
            board: seen,
            phase: Arc::new(AtomicU8::new(Phase::Starting as u8)),
            waiting: Arc::default(),
            floor: Arc::default(),
            wanted: Arc::default(),
        };
        let mut service = Service {
            phase: Phase::Starting,
            listens_at,
            door: door.clone(),
            board: board_mail.clone(),
            told: unchanging,
            board_at: told.discovery_address,
            link,
        };
        spawn("module", BIG_STACK, move || module.run())?;
        spawn("list", BIG_STACK, move || list.run())?;
        spawn("board", BIG_STACK, move || board.run())?;
        let location_dispatchers = Arc::new(Semphore::new(caps.clients));
        spawn("look", STACK, move || listener::look(&looked.0, &looked.1, &board_mail))?;
        spawn("listener", STACK, move || listener::run(&listener, &door, &location_dispatchers))?;
        service.enter(Phase::Serving);
        Ok(service)
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn listen_address(&self) -> SocketAddr {
        self.listens_at
    }

    fn enter(&mut self, phase: Phase) {
        info!(from = ?self.phase, to = ?phase, open = self.door.open.load(Ordering::Relaxed), "phase");
        self.phase = phase;
        self.link.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// A way in for whoever manages this dispatcher, from any thread.
    pub fn handle(&self) -> ServiceHandle {
        self.link.clone()
    }

    /// Takes a new configuration under load: the board at its new address is asked at once from the last
    /// number. What can't change while the program runs stays as it was, and is named.
    pub fn reload(&mut self, told: &Config) {
        let before = self.told.iter().zip(told.unchanging.iter());
        let keys: Vec<_> = before.filter(|(old, new)| old != new).map(|((key, _), _)| key.as_str()).collect();
        if !keys.is_empty() {
            warn!(?keys, "changed in the configuration; takes a restart");
        }
        info!(phase = ?self.phase, from = %self.board_at, to = %told.discovery_address, "configuration read again");
        self.board_at = told.discovery_address;
        self.board.send_urgent(DiscoveryMessage::SetAddress(told.discovery_address));
    }

    /// A planned stop, to its end; blocks the calling thread.
    pub fn stop(&mut self) {
        self.stop_with(|_| {});
    }

    /// The same; `between` is called every few milliseconds until the end. Guards against deafness in the time
    /// that a stop takes: what still comes goes by the list, and the board may move meanwhile.
    pub fn stop_with(&mut self, mut between: impl FnMut(&mut Service)) {
        self.enter(Phase::Draining);
        let quiet = self.door.clock.now() + STILL_COMING;
        let end = quiet + self.door.longest.min(LONGEST_HEEDED);
        self.door.module.send_urgent(DecisionMessage::ShutdownStarted { until: end - TO_GO_OUT });
        self.pass(&mut between, |service| service.door.clock.now() >= quiet);
        self.enter(Phase::Closing);
        self.door.closing.store(true, Ordering::Relaxed);
        self.door.look();
        // Guards against an answer that is lost to the reset of a connection which ends with bytes unread: those
        // that have their last answer are left to their clients to close, for as long as they may linger.
        self.pass(&mut between, |service| {
            let open = service.door.open.load(Ordering::Relaxed) + service.door.connections();
            open == 0 || service.door.clock.now() >= end
        });
        self.enter(Phase::Stopped);
    }

    fn pass(&mut self, between: &mut impl FnMut(&mut Service), over: impl Fn(&Service) -> bool) {
        while !over(self) {
            between(self);
            std::thread::sleep(LOOK);
        }
    }
}

/// Starts one of the dispatcher's own parts. One that panics is started again: without it nothing is decided,
/// told or taken in.
pub(crate) fn spawn(
    name: &'static str,
    stack: usize,
    mut actor: impl FnMut() + Send + 'static,
) -> std::io::Result<()> {
    let lasting = move || loop {
        let ended = catch_unwind(AssertUnwindSafe(&mut actor));
        error!(name, panicked = ended.is_err(), "actor panicked");
        timer::sleep(AGAIN);
    };
    // Safe as long as actors use no thread-local values across a wait and keep to their stacks.
    unsafe { Builder::new().name(name.to_string()).stack_size(stack).spawn::<_, ()>(lasting).map(|_| ()) }
}
