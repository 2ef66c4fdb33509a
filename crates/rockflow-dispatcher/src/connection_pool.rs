//! State shared between the actors of hosts and their upstream connections (connections to hosts), and with code that
//! inspects the connections. Nothing here depends on the implementation of an actor.

use crate::attempt::{AttemptKey, OutgoingAttempt};
use crate::clock::Clock;
use crate::decision::message::DecisionMessage;
use crate::host::message::HostMessage;
use crate::host::HostHandle;
use crate::mailbox::Mailbox;
use crate::memory::{MemoryBudget, MemoryReservation, REMEMBERED_ID_BYTES, UPSTREAM_CONNECTION_BYTES};
use crate::upstream::message::UpstreamMessage;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Fraction of the idle timeout after which an idle connection is not used again, because the host may be closing it.
const MAX_IDLE_FRACTION: f64 = 0.8;
/// Maximum number of request ids that a connection remembers. A connection that reaches it accepts no further attempts.
const MAX_REMEMBERED_IDS: usize = 1024;

/// The settings, limits and connections shared by the actors of all hosts and connections.
pub struct ConnectionPool {
    /// The clock of the dispatcher.
    pub clock: Clock,
    /// The mailbox of the decision actor, which receives the outcomes of attempts and health checks.
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    /// Timeout for establishing a connection, for a health check, and for progress of a partly received response.
    pub connect_timeout: Duration,
    /// Time after which hosts close an idle connection.
    pub idle_timeout: Duration,
    /// Concurrency limit of one connection, in attempts.
    pub max_concurrent_attempts: usize,
    /// The longest time that a request may be open. No response to one of its attempts is expected after that.
    pub max_request_time: Duration,
    /// Limit on the bytes that wait to be written on one connection.
    pub max_unsent_bytes: usize,
    /// Limit on the number of connections to all hosts together.
    pub max_connections: usize,
    /// The memory budget of the process.
    pub memory: Arc<MemoryBudget>,
    /// All connections that have not ended, by number.
    pub connections: Mutex<BTreeMap<u64, Arc<UpstreamConnection>>>,
    /// The number that the next connection gets.
    pub next_connection: AtomicU64,
    /// Hosts that wait for an idle connection of another host to make room for one of theirs, in the order of their
    /// turn. Each is listed once for every connection that was evicted for it.
    pub waiting_hosts: Mutex<VecDeque<HostHandle>>,
}

impl ConnectionPool {
    /// Locks the connections. The caller must not yield its coroutine while it holds the lock.
    pub fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<UpstreamConnection>>> {
        lock(&self.connections)
    }

    /// Evicts the idle connection that was not used for longest, so that `host` can open one: the host gets
    /// [`HostMessage::RoomFreed`] once any connection has ended. Returns false if no connection is idle.
    pub fn evict_idle_for(&self, host: &HostHandle) -> bool {
        let connections = self.connections();
        let idle = connections.values().filter(|connection| connection.is_idle());
        // A health check would fail with its connection, so connections that carry one go last.
        let longest_idle =
            idle.min_by_key(|connection| (connection.has_health_checks(), connection.last_used()));
        let Some(connection) = longest_idle else { return false };
        connection.retire();
        lock(&self.waiting_hosts).push_back(host.clone());
        true
    }

    /// Removes a connection that has ended, and tells the host that has waited longest that there is room.
    pub fn remove(&self, number: u64) {
        self.connections().remove(&number);
        self.pass_room_on();
    }

    /// Tells the host that has waited longest that there is room for a connection.
    pub fn pass_room_on(&self) {
        let host = lock(&self.waiting_hosts).pop_front();
        if let Some(host) = host {
            host.send(HostMessage::RoomFreed);
        }
    }

    /// Makes every connection with a partly received response check whether that response makes progress.
    pub fn inspect(&self) {
        for connection in self.connections().values().filter(|connection| connection.is_receiving()) {
            connection.send(UpstreamMessage::Inspect);
        }
    }
}

/// Attempts for one host that wait for a free connection. The first connection that is established or becomes idle
/// takes the oldest attempt whose id it has not carried before. The queue has no limit: the cap on open requests limits
/// the number of attempts.
#[derive(Default)]
pub struct AttemptQueue {
    attempts: Mutex<VecDeque<OutgoingAttempt>>,
}

impl AttemptQueue {
    /// Appends an attempt to the queue.
    pub fn push(&self, attempt: OutgoingAttempt) {
        lock(&self.attempts).push_back(attempt);
    }

    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        lock(&self.attempts).len()
    }

    /// Whether the queue holds no attempts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the oldest attempt whose id the connection has not carried yet, and returns it.
    pub fn pop_for(&self, connection: &UpstreamConnection) -> Option<OutgoingAttempt> {
        let mut attempts = lock(&self.attempts);
        let remembered = lock(&connection.remembered_ids);
        let index = attempts.iter().position(|attempt| !remembered.contains_key(&attempt.id))?;
        attempts.remove(index)
    }

    /// Removes the oldest attempt and returns it.
    pub fn pop(&self) -> Option<OutgoingAttempt> {
        lock(&self.attempts).pop_front()
    }

    /// Removes the attempt with this key, if it is queued.
    pub fn remove(&self, key: AttemptKey) {
        lock(&self.attempts).retain(|attempt| attempt.key != key);
    }
}

/// A request id that a connection has carried.
pub struct RememberedId {
    /// When the attempt with this id was assigned to the connection.
    pub sent_at: Duration,
    /// Whether a response with this id has arrived.
    pub is_answered: bool,
}

/// The state of a connection that its actor shares with the actor of its host. The connection's actor updates it; the
/// host's actor only adds the attempts that it assigns to the connection.
pub struct UpstreamConnection {
    /// The mailbox of the connection's actor.
    pub mailbox: Arc<Mailbox<UpstreamMessage>>,
    /// Whether the connection was ever established.
    pub established: AtomicBool,
    /// Whether the connection has ended or was never established.
    pub ended: AtomicBool,
    /// Whether a response has arrived in part.
    pub receiving: AtomicBool,
    /// Whether the connection was retired and accepts no further attempts.
    pub exhausted: AtomicBool,
    /// Number of attempts assigned to the connection that have not ended, whether or not they were sent.
    pub in_flight: AtomicUsize,
    /// Number of health checks sent on the connection that have no response yet.
    pub health_checks: AtomicUsize,
    /// When an attempt was last assigned to the connection, or when it was created.
    pub last_used: Mutex<Duration>,
    /// When data last arrived on the connection; zero if none has.
    pub last_received: Mutex<Duration>,
    /// The ids of the attempts that the connection has carried. A second attempt with the same id must not use it: a
    /// late or duplicate response to the first would be mistaken for a response to the second.
    pub remembered_ids: Mutex<BTreeMap<String, RememberedId>>,
    /// The memory of the connection, without the response that arrives on it. `None` once the connection has ended.
    memory: Mutex<Option<MemoryReservation>>,
}

impl UpstreamConnection {
    /// Creates the state of a connection that is being established, for which memory is reserved.
    pub fn new(now: Duration, memory: MemoryReservation) -> Self {
        UpstreamConnection {
            mailbox: Mailbox::new(),
            established: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            receiving: AtomicBool::new(false),
            exhausted: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            health_checks: AtomicUsize::new(0),
            last_used: Mutex::new(now),
            last_received: Mutex::new(Duration::ZERO),
            remembered_ids: Mutex::new(BTreeMap::new()),
            memory: Mutex::new(Some(memory)),
        }
    }

    /// Whether the connection is still being established.
    pub fn is_connecting(&self) -> bool {
        !self.established.load(Ordering::Relaxed) && !self.is_ended()
    }

    /// Whether the connection was established and has not ended.
    pub fn is_open(&self) -> bool {
        self.established.load(Ordering::Relaxed) && !self.is_ended()
    }

    /// Whether the connection has ended or could not be established.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Whether data has arrived since `time` on this connection, and it has not ended.
    pub fn has_received_since(&self, time: Duration) -> bool {
        !self.is_ended() && *lock(&self.last_received) >= time
    }

    /// Whether a response has arrived in part.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Relaxed)
    }

    /// Number of attempts assigned to the connection that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether a health check on the connection has no response yet.
    fn has_health_checks(&self) -> bool {
        self.health_checks.load(Ordering::Relaxed) > 0
    }

    /// Whether the connection is open and may be evicted: it carries no attempt and was not retired.
    fn is_idle(&self) -> bool {
        self.is_open() && self.in_flight() == 0 && !self.exhausted.load(Ordering::Relaxed)
    }

    /// Has the connection accept no further attempts, and close once those on it have ended.
    pub fn retire(&self) {
        self.exhausted.store(true, Ordering::Relaxed);
        self.send(UpstreamMessage::Retire);
    }

    /// When an attempt was last assigned to the connection, or when it was created.
    pub fn last_used(&self) -> Duration {
        *lock(&self.last_used)
    }

    /// Whether an attempt with this id may be sent on the connection. A partly received response without a matching
    /// attempt in flight blocks the connection, because later responses can't arrive before it is complete.
    pub fn accepts(&self, id: &str, pool: &ConnectionPool) -> bool {
        let is_used_id = lock(&self.remembered_ids).contains_key(id);
        let is_blocked = self.is_receiving() && self.in_flight() == 0;
        self.is_open()
            && !is_used_id
            && !is_blocked
            && !self.is_exhausted(pool)
            && self.in_flight() < pool.max_concurrent_attempts
    }

    /// Whether the connection will never accept attempts again: it was retired, remembers too many ids or was idle too
    /// long.
    pub fn is_exhausted(&self, pool: &ConnectionPool) -> bool {
        let idle_time = pool.clock.now().saturating_sub(self.last_used());
        let is_full = lock(&self.remembered_ids).len() >= MAX_REMEMBERED_IDS;
        let is_idle_too_long = idle_time >= pool.idle_timeout.mul_f64(MAX_IDLE_FRACTION);
        self.exhausted.load(Ordering::Relaxed) || is_full || is_idle_too_long
    }

    /// Gives the memory of the connection back: it has ended.
    pub fn release_memory(&self) {
        lock(&self.memory).take();
    }

    /// Remembers the id of an attempt on this connection, and forgets ids for which no response is expected any more.
    /// If the memory budget has no room for the ids, the connection accepts no further attempts.
    pub fn remember(&self, id: &str, pool: &ConnectionPool) {
        let sent_at = pool.clock.now();
        let mut ids = lock(&self.remembered_ids);
        ids.retain(|_, remembered| sent_at.saturating_sub(remembered.sent_at) <= pool.max_request_time);
        ids.insert(id.to_string(), RememberedId { sent_at, is_answered: false });
        let needed = UPSTREAM_CONNECTION_BYTES + ids.len() * REMEMBERED_ID_BYTES;
        if lock(&self.memory).as_mut().is_some_and(|memory| !memory.resize(needed)) {
            self.exhausted.store(true, Ordering::Relaxed);
        }
    }

    /// Assigns an attempt to the connection, which sends it if its permit is still valid.
    pub fn send_attempt(&self, attempt: OutgoingAttempt, pool: &ConnectionPool) {
        self.remember(&attempt.id, pool);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.mailbox.send(UpstreamMessage::Send(attempt));
    }

    /// Sends a message to the connection's actor.
    pub fn send(&self, message: UpstreamMessage) {
        self.mailbox.send(message);
    }
}

/// Locks shared state of the pool. The caller must not yield its coroutine while it holds the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
