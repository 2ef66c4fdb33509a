//! What all client connections share.

use crate::client::message::ClientMessage;
use crate::clock::Clock;
use crate::decision::message::DecisionMessage;
use crate::mailbox::Mailbox;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// `ClientSlot::idle_since` of a connection that has a request open or is about to yield.
const BUSY: u64 = u64::MAX;

/// What others see of a client's connection. Its connection owns `idle_since`, but for the registry, which marks one that
/// is asked to yield.
pub struct ClientSlot {
    pub(super) mailbox: Arc<Mailbox<ClientMessage>>,
    /// Since when no response is owed on it, in microseconds of the clock, or `BUSY`.
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
    /// The clock.
    pub clock: Clock,
    /// Where requests are sent.
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    /// Messages that may wait for the decisions; with more, requests are rejected.
    pub max_queued_requests: usize,
    /// Requests can be decided.
    pub ready: Arc<AtomicBool>,
    /// Connections are closed as soon as no request is open on them.
    pub closing: AtomicBool,
    /// No further connection can be accepted: connections end with their responses.
    pub crowded: AtomicBool,
    /// The longest that a request, and so the writing of a response, may take.
    pub max_deadline: Duration,
    /// Bytes of responses that are held.
    pub buffered_bytes: Arc<AtomicUsize>,
    /// Connections that may stay while they are idle.
    pub max_idle: usize,
    /// Requests whose response has not been written completely.
    pub open_requests: AtomicUsize,
    slots: Mutex<BTreeMap<u64, Arc<ClientSlot>>>,
    next_client: AtomicU64,
    next_request: AtomicU64,
}

/// What a registry starts with.
pub(crate) struct RegistryConfig {
    pub clock: Clock,
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    pub max_queued_requests: usize,
    pub ready: Arc<AtomicBool>,
    pub max_deadline: Duration,
    pub buffered_bytes: Arc<AtomicUsize>,
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
            buffered_bytes: config.buffered_bytes,
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

    /// Has every connection check whether it is still of use.
    pub fn inspect(&self) {
        for slot in self.slots().values() {
            slot.mailbox.send(ClientMessage::Inspect);
        }
    }

    /// Whether connections close after the response that is being written.
    pub(super) fn ends_connections(&self) -> bool {
        self.closing.load(Ordering::Relaxed) || self.crowded.load(Ordering::Relaxed)
    }

    pub(super) fn next_request_id(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a connection and returns its number. Guards against connections that hold their place for nothing while
    /// others arrive: past the cap on idle ones, the one that has been idle longest yields.
    pub(super) fn insert(&self, slot: Arc<ClientSlot>) -> u64 {
        let number = self.next_client.fetch_add(1, Ordering::Relaxed);
        self.slots().insert(number, slot);
        self.evict_idle();
        number
    }

    pub(super) fn remove(&self, number: u64) {
        self.slots().remove(&number);
    }

    fn evict_idle(&self) {
        let slots = self.slots();
        if slots.len() <= self.max_idle {
            return;
        }
        let longest_idle = slots.values().min_by_key(|slot| slot.idle_since());
        if let Some(slot) = longest_idle.filter(|slot| slot.idle_since() != BUSY) {
            slot.set_busy();
            slot.mailbox.send(ClientMessage::Yield);
        }
    }

    /// No coroutine gives way while it holds this lock.
    fn slots(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
