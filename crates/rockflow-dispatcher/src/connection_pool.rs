//! What the lines to hosts share with each other, with the hosts' actors and with whoever looks on. It uses no actor.

use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::messages::{AttemptKey, DecisionMessage, OutgoingAttempt, UpstreamMessage};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Part of the told idle time after which a connection is not used again: the host may be closing it.
const IDLE_PART: f64 = 0.8;
/// Ids that a line remembers at the most; past it nothing new goes on it.
const MAX_CARRIED: usize = 1024;

/// What all lines to hosts share.
pub struct ConnectionPool {
    pub clock: Clock,
    pub module: Arc<Mailbox<DecisionMessage>>,
    pub connect_limit: Duration,
    /// A host closes a connection that was idle for this time.
    pub idle_limit: Duration,
    /// Attempts that one connection carries at once.
    pub max_streams: usize,
    /// The longest that a request may be open: so long an answer to its attempts may come.
    pub longest: Duration,
    /// Bytes that may wait to be written on one connection.
    pub line_out: usize,
    /// Connections to all hosts, and their cap.
    pub lines: Mutex<BTreeMap<u64, Arc<UpstreamConnection>>>,
    pub next_line: AtomicU64,
    pub max_lines: usize,
    /// Bytes of answers that are held, and their cap.
    pub held: Arc<AtomicUsize>,
    pub max_held: usize,
}

impl ConnectionPool {
    /// No coroutine gives way while it holds this lock.
    pub fn lines(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<UpstreamConnection>>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has every connection on which an answer has begun look whether it goes on.
    pub fn look(&self) {
        self.lines()
            .values()
            .filter(|line| line.is_midway())
            .for_each(|line| line.send(UpstreamMessage::Inspect));
    }
}

/// Wants of one host for which no connection is free. They go on whichever is first: one that comes up, or one that
/// has brought its answer. There are no more of them than attempts of open requests, which have a cap.
#[derive(Default)]
pub struct AttemptQueue(Mutex<VecDeque<OutgoingAttempt>>);

impl AttemptQueue {
    pub fn push(&self, wanted: OutgoingAttempt) {
        lock(&self.0).push_back(wanted);
    }

    pub fn len(&self) -> usize {
        lock(&self.0).len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The one that has waited longest, of those that may go on the line.
    pub fn pull(&self, line: &UpstreamConnection) -> Option<OutgoingAttempt> {
        let mut queue = lock(&self.0);
        let carried = lock(&line.carried);
        let at = queue.iter().position(|wanted| !carried.contains_key(&wanted.id))?;
        queue.remove(at)
    }

    pub fn pop(&self) -> Option<OutgoingAttempt> {
        lock(&self.0).pop_front()
    }

    pub fn remove(&self, key: AttemptKey) {
        lock(&self.0).retain(|wanted| wanted.key != key);
    }
}

/// What the host's actor sees of a line.
pub struct UpstreamConnection {
    pub mail: Arc<Mailbox<UpstreamMessage>>,
    pub up: AtomicBool,
    pub over: AtomicBool,
    /// An answer has begun.
    pub midway: AtomicBool,
    /// Nothing new goes on it.
    pub spent: AtomicBool,
    pub out: AtomicUsize,
    pub used: Mutex<Duration>,
    /// When anything last came on it.
    pub heard: Mutex<Duration>,
    /// Ids that it has carried, and whether an answer has come: another attempt under one could not be told from what is
    /// still to come of the first, be it late or a second time.
    pub carried: Mutex<BTreeMap<String, Carried>>,
}

pub struct Carried {
    pub at: Duration,
    pub answered: bool,
}

impl UpstreamConnection {
    /// The connection came up and has not ended.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed) && !self.is_over()
    }

    /// Whether anything came on it since then, and more may.
    pub fn heard_since(&self, then: Duration) -> bool {
        !self.is_over() && *lock(&self.heard) >= then
    }

    pub fn is_midway(&self) -> bool {
        self.midway.load(Ordering::Relaxed)
    }

    pub fn out(&self) -> usize {
        self.out.load(Ordering::Relaxed)
    }

    pub fn used(&self) -> Duration {
        *lock(&self.used)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Remembers an id that goes on it, for as long as an answer may come.
    pub fn carry(&self, id: &str, pool: &ConnectionPool) {
        let at = pool.clock.now();
        let mut carried = lock(&self.carried);
        carried.retain(|_, old| at.saturating_sub(old.at) <= pool.longest);
        carried.insert(id.to_string(), Carried { at, answered: false });
    }

    pub fn want(&self, wanted: OutgoingAttempt, pool: &ConnectionPool) {
        self.carry(&wanted.id, pool);
        self.out.fetch_add(1, Ordering::Relaxed);
        self.mail.send(UpstreamMessage::Send(wanted));
    }

    pub fn send(&self, word: UpstreamMessage) {
        self.mail.send(word);
    }

    pub fn is_connecting(&self) -> bool {
        !self.up.load(Ordering::Relaxed) && !self.is_over()
    }

    /// Whether an attempt under this id may go on it. Nothing gets through behind an answer that nobody waits for and
    /// that is not over.
    pub fn takes(&self, id: &str, pool: &ConnectionPool) -> bool {
        let again = lock(&self.carried).contains_key(id);
        let blocked = self.is_midway() && self.out() == 0;
        self.is_up() && !again && !blocked && !self.is_spent(pool) && self.out() < pool.max_streams
    }

    /// Whether nothing new will ever go on it.
    pub fn is_spent(&self, pool: &ConnectionPool) -> bool {
        let idle = pool.clock.now().saturating_sub(self.used());
        let full = lock(&self.carried).len() >= MAX_CARRIED;
        self.spent.load(Ordering::Relaxed) || full || idle >= pool.idle_limit.mul_f64(IDLE_PART)
    }
}

/// No coroutine gives way while it holds one of these.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
