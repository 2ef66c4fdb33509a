//! What the lines to hosts share with each other, with the hosts' actors and with whoever looks on. It uses no actor.

use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::words::{LineWord, Word};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Part of the told idle time after which a connection is not used again: the host may be closing it.
const IDLE_PART: f64 = 0.8;
/// What all lines to hosts share.
pub struct Wires {
    pub clock: Clock,
    pub module: Arc<Mailbox<Word>>,
    pub connect_limit: Duration,
    /// A host closes a connection that was idle for this time.
    pub idle_limit: Duration,
    /// Legs that one connection carries at once.
    pub most_streams: usize,
    /// Bytes that may wait to be written on one connection.
    pub line_out: usize,
    /// Connections to all hosts, and their cap.
    pub lines: Mutex<BTreeMap<u64, Arc<Line>>>,
    pub next_line: AtomicU64,
    pub most_lines: usize,
    /// Bytes of answers that are held, and their cap.
    pub held: Arc<AtomicUsize>,
    pub most_held: usize,
}

impl Wires {
    /// No coroutine gives way while it holds this lock.
    pub fn lines(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Line>>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has every connection on which an answer has begun look whether it goes on.
    pub fn look(&self) {
        self.lines().values().filter(|line| line.is_midway()).for_each(|line| line.send(LineWord::Look));
    }
}

/// What the host's actor sees of a line.
pub struct Line {
    pub mail: Arc<Mailbox<LineWord>>,
    pub up: AtomicBool,
    pub over: AtomicBool,
    /// An answer has begun.
    pub midway: AtomicBool,
    /// Nothing new goes on it.
    pub spent: AtomicBool,
    pub out: AtomicUsize,
    pub used: Mutex<Duration>,
    /// Ids whose answers may still come, given up or not: another leg under one could not be told apart.
    pub unanswered: Mutex<BTreeSet<String>>,
}

impl Line {
    /// The connection came up and has not ended.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed) && !self.is_over()
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

    pub fn send(&self, word: LineWord) {
        if let LineWord::Want(wanted) = &word {
            lock(&self.unanswered).insert(wanted.id.clone());
            self.out.fetch_add(1, Ordering::Relaxed);
        }
        self.mail.send(word);
    }

    pub fn takes(&self, id: &str, wires: &Wires) -> bool {
        let again = lock(&self.unanswered).contains(id);
        !self.is_over() && !again && !self.is_spent(wires) && self.out() < wires.most_streams
    }

    /// Whether nothing new will ever go on it.
    pub fn is_spent(&self, wires: &Wires) -> bool {
        let idle = wires.clock.now().saturating_sub(self.used());
        self.spent.load(Ordering::Relaxed) || idle >= wires.idle_limit.mul_f64(IDLE_PART)
    }
}

/// No coroutine gives way while it holds one of these.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
