//! What the connections to hosts share with each other, with the hosts' actors and with whoever inspects them. It uses no
//! actor.

use crate::attempt::{AttemptKey, OutgoingAttempt};
use crate::clock::Clock;
use crate::decision::message::DecisionMessage;
use crate::mailbox::Mailbox;
use crate::upstream::message::UpstreamMessage;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Part of the configured idle time after which a connection is not used again: the host may be closing it.
const USABLE_IDLE_SHARE: f64 = 0.8;
/// Request ids that a connection remembers at most; past it, it takes no further attempts.
const MAX_REMEMBERED_IDS: usize = 1024;

/// Shared by all hosts' actors and their connections.
pub struct ConnectionPool {
    /// The clock.
    pub clock: Clock,
    /// Where outcomes are sent.
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    /// Time for a connection to be established, and for a health check.
    pub connect_timeout: Duration,
    /// A host closes a connection that was idle for this time.
    pub idle_timeout: Duration,
    /// Attempts that one connection carries at once.
    pub max_concurrent_attempts: usize,
    /// The longest that a request may be open, and so that a response to its attempts may arrive.
    pub max_request_time: Duration,
    /// Bytes that may wait to be written on one connection.
    pub max_unsent_bytes: usize,
    /// Cap on the connections to all hosts.
    pub max_connections: usize,
    /// Bytes of responses that are held.
    pub buffered_bytes: Arc<AtomicUsize>,
    /// Cap on the bytes of responses that are held.
    pub max_buffered_bytes: usize,
    /// All connections.
    pub connections: Mutex<BTreeMap<u64, Arc<UpstreamConnection>>>,
    /// Number of the next connection.
    pub next_connection: AtomicU64,
}

impl ConnectionPool {
    /// All connections. No coroutine gives way while it holds this lock.
    pub fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<UpstreamConnection>>> {
        lock(&self.connections)
    }

    /// Has every connection on which a response has begun check whether it makes progress.
    pub fn inspect(&self) {
        for connection in self.connections().values().filter(|connection| connection.is_receiving()) {
            connection.send(UpstreamMessage::Inspect);
        }
    }
}

/// Attempts of one host for which no connection is free. Each goes on whichever is first: one that is established, or one
/// that has received its response. There are no more of them than attempts of open requests, which have a cap.
#[derive(Default)]
pub struct AttemptQueue {
    attempts: Mutex<VecDeque<OutgoingAttempt>>,
}

impl AttemptQueue {
    /// Appends an attempt.
    pub fn push(&self, attempt: OutgoingAttempt) {
        lock(&self.attempts).push_back(attempt);
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        lock(&self.attempts).len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the attempt that has waited longest of those that may go on the connection.
    pub fn pop_for(&self, connection: &UpstreamConnection) -> Option<OutgoingAttempt> {
        let mut attempts = lock(&self.attempts);
        let remembered = lock(&connection.remembered_ids);
        let index = attempts.iter().position(|attempt| !remembered.contains_key(&attempt.id))?;
        attempts.remove(index)
    }

    /// Takes the attempt that has waited longest.
    pub fn pop(&self) -> Option<OutgoingAttempt> {
        lock(&self.attempts).pop_front()
    }

    /// Removes an attempt.
    pub fn remove(&self, key: AttemptKey) {
        lock(&self.attempts).retain(|attempt| attempt.key != key);
    }
}

/// A request id that a connection has carried.
pub struct RememberedId {
    /// When it was last sent.
    pub sent_at: Duration,
    /// A response to it has arrived.
    pub is_answered: bool,
}

/// What the host's actor sees of a connection. The connection's actor owns the state; the host's actor adds the attempts
/// that it hands over.
pub struct UpstreamConnection {
    /// The mailbox of its actor.
    pub mailbox: Arc<Mailbox<UpstreamMessage>>,
    /// It was established.
    pub established: AtomicBool,
    /// It has ended.
    pub ended: AtomicBool,
    /// A response has begun to arrive.
    pub receiving: AtomicBool,
    /// It takes no further attempts.
    pub exhausted: AtomicBool,
    /// Attempts on it, sent or about to be.
    pub in_flight: AtomicUsize,
    /// When it was last used.
    pub last_used: Mutex<Duration>,
    /// When anything last arrived on it.
    pub last_received: Mutex<Duration>,
    /// The ids that it has carried: another attempt under one of them could not be told from what is still to arrive for
    /// the first, be it late or a second time.
    pub remembered_ids: Mutex<BTreeMap<String, RememberedId>>,
}

impl UpstreamConnection {
    /// A connection that is being established.
    pub fn new(now: Duration) -> Self {
        UpstreamConnection {
            mailbox: Mailbox::new(),
            established: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            receiving: AtomicBool::new(false),
            exhausted: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            last_used: Mutex::new(now),
            last_received: Mutex::new(Duration::ZERO),
            remembered_ids: Mutex::new(BTreeMap::new()),
        }
    }

    /// It is being established.
    pub fn is_connecting(&self) -> bool {
        !self.established.load(Ordering::Relaxed) && !self.is_ended()
    }

    /// It was established and has not ended.
    pub fn is_open(&self) -> bool {
        self.established.load(Ordering::Relaxed) && !self.is_ended()
    }

    /// It has ended.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Whether anything arrived on it since `time`, and more may.
    pub fn has_received_since(&self, time: Duration) -> bool {
        !self.is_ended() && *lock(&self.last_received) >= time
    }

    /// A response has begun to arrive.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Relaxed)
    }

    /// Attempts on it, sent or about to be.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// When it was last used.
    pub fn last_used(&self) -> Duration {
        *lock(&self.last_used)
    }

    /// Whether an attempt under this id may go on it. Nothing gets through behind a response that nobody waits for and
    /// that is not complete.
    pub fn accepts(&self, id: &str, pool: &ConnectionPool) -> bool {
        let is_repeated = lock(&self.remembered_ids).contains_key(id);
        let is_blocked = self.is_receiving() && self.in_flight() == 0;
        self.is_open()
            && !is_repeated
            && !is_blocked
            && !self.is_exhausted(pool)
            && self.in_flight() < pool.max_concurrent_attempts
    }

    /// Whether it will take no further attempts.
    pub fn is_exhausted(&self, pool: &ConnectionPool) -> bool {
        let idle = pool.clock.now().saturating_sub(self.last_used());
        let is_full = lock(&self.remembered_ids).len() >= MAX_REMEMBERED_IDS;
        let is_stale = idle >= pool.idle_timeout.mul_f64(USABLE_IDLE_SHARE);
        self.exhausted.load(Ordering::Relaxed) || is_full || is_stale
    }

    /// Remembers an id that goes on it, for as long as a response may arrive.
    pub fn remember(&self, id: &str, pool: &ConnectionPool) {
        let sent_at = pool.clock.now();
        let mut ids = lock(&self.remembered_ids);
        ids.retain(|_, remembered| sent_at.saturating_sub(remembered.sent_at) <= pool.max_request_time);
        ids.insert(id.to_string(), RememberedId { sent_at, is_answered: false });
    }

    /// Hands an attempt over to the connection.
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

/// No coroutine gives way while it holds one of these locks.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
