//! The state shared by all client connections: limits, counters and a slot for each connection.

use crate::client::message::ClientMessage;
use crate::clock::Clock;
use crate::decision::message::DecisionMessage;
use crate::mailbox::Mailbox;
use crate::memory::{MemoryBudget, MemoryUse};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// `ClientSlot::idle_since` of a connection that has a request open or was asked to close.
const BUSY: u64 = u64::MAX;

/// Share of the memory for client connections above which each new one evicts an idle one.
const IDLE_MEMORY_SHARE: f64 = 7.0 / 8.0;

/// The part of a client connection that other actors can see. The connection maintains `idle_since`; the registry
/// sets it only when it asks the connection to close.
pub struct ClientSlot {
    pub(super) mailbox: Arc<Mailbox<ClientMessage>>,
    /// When the connection last became idle, in microseconds of the clock, or `BUSY`.
    idle_since: AtomicU64,
}

impl ClientSlot {
    pub(super) fn new(now: Duration) -> Self {
        ClientSlot { mailbox: Mailbox::new(), idle_since: AtomicU64::new(now.as_micros() as u64) }
    }

    pub(super) fn set_busy(&self) {
        self.idle_since.store(BUSY, Ordering::Relaxed);
    }

    pub(super) fn set_idle_since(&self, time: Duration) {
        self.idle_since.store(time.as_micros() as u64, Ordering::Relaxed);
    }

    fn idle_since(&self) -> u64 {
        self.idle_since.load(Ordering::Relaxed)
    }
}

/// Shared by the listener, all client connections, and the service that starts and stops them.
pub struct ClientRegistry {
    /// The clock of the process.
    pub clock: Clock,
    /// The mailbox of the decision actor, which receives all requests.
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    /// Number of messages in the decision actor's mailbox at which new requests are rejected.
    pub max_queued_requests: usize,
    /// Whether any host is listed, so that requests can be routed. Health checks fail until then.
    pub ready: Arc<AtomicBool>,
    /// Whether the process shuts down: new requests are rejected, and connections close once no request is open on
    /// them.
    pub closing: AtomicBool,
    /// Whether the cap on connections is reached: connections then close after their responses to make room.
    pub crowded: AtomicBool,
    /// The longest deadline of any request class. It also limits how long a response may go without write progress.
    pub max_deadline: Duration,
    /// The memory budget of the process.
    pub memory: Arc<MemoryBudget>,
    /// Number of connections above which each new one evicts an idle one.
    pub max_idle: usize,
    /// Number of requests whose response is not completely written.
    pub open_requests: AtomicUsize,
    slots: Mutex<BTreeMap<u64, Arc<ClientSlot>>>,
    next_client: AtomicU64,
    next_request: AtomicU64,
}

/// The initial values of a [`ClientRegistry`]; its fields of the same names explain them.
pub(crate) struct RegistryConfig {
    pub clock: Clock,
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    pub max_queued_requests: usize,
    pub ready: Arc<AtomicBool>,
    pub max_deadline: Duration,
    pub memory: Arc<MemoryBudget>,
    pub max_idle: usize,
}

impl ClientRegistry {
    pub(crate) fn new(config: RegistryConfig) -> Self {
        ClientRegistry {
            clock: config.clock,
            decisions: config.decisions,
            max_queued_requests: config.max_queued_requests,
            ready: config.ready,
            closing: AtomicBool::new(false),
            crowded: AtomicBool::new(false),
            max_deadline: config.max_deadline,
            memory: config.memory,
            max_idle: config.max_idle,
            open_requests: AtomicUsize::new(0),
            slots: Mutex::new(BTreeMap::new()),
            next_client: AtomicU64::new(1),
            next_request: AtomicU64::new(1),
        }
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.slots().len()
    }

    /// Asks every connection to check its timeouts.
    pub fn inspect(&self) {
        for slot in self.slots().values() {
            slot.mailbox.send(ClientMessage::Inspect);
        }
    }

    /// Whether connections close after their current response.
    pub(super) fn ends_connections(&self) -> bool {
        self.closing.load(Ordering::Relaxed) || self.crowded.load(Ordering::Relaxed)
    }

    pub(super) fn next_request_id(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a connection and returns its number. Above `max_idle` connections, or if they take nearly all of their
    /// memory, the one that has been idle longest is asked to close, so that idle connections do not block new ones.
    pub(super) fn insert(&self, slot: Arc<ClientSlot>) -> u64 {
        let number = self.next_client.fetch_add(1, Ordering::Relaxed);
        self.slots().insert(number, slot);
        let are_scarce = self.connections() > self.max_idle;
        if are_scarce || self.memory.is_filled(MemoryUse::Clients, IDLE_MEMORY_SHARE) {
            self.evict_idle();
        }
        number
    }

    pub(super) fn remove(&self, number: u64) {
        self.slots().remove(&number);
    }

    /// Asks the connection that has been idle longest to close, if any is idle.
    pub(crate) fn evict_idle(&self) {
        let slots = self.slots();
        let longest_idle = slots.values().min_by_key(|slot| slot.idle_since());
        if let Some(slot) = longest_idle.filter(|slot| slot.idle_since() != BUSY) {
            slot.set_busy();
            slot.mailbox.send(ClientMessage::Evict);
        }
    }

    /// Locks the slots. Callers must not block or yield their coroutine while they hold the lock.
    fn slots(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
