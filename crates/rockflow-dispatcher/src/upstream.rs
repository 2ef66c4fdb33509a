//! The actor of one connection to a host: the attempts that are out on it, and what becomes of them.

use crate::connection_pool::{lock, AttemptQueue, ConnectionPool, UpstreamConnection};
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{
    AttemptKey, DecisionMessage, EndedAttempts, HostMessage, OutgoingAttempt, UpstreamMessage,
};
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::Outcome;
use rockflow_protocol::{upstream, Buffer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// Ids on a line that were never answered, in times the attempts it carries at once; past it the line is spent.
const MAX_UNANSWERED: usize = 8;

/// Starts the actor of a new connection, which tells the host's mailbox of its end.
pub fn start(
    name: String,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    host: Arc<Mailbox<HostMessage>>,
    queue: Arc<AttemptQueue>,
) -> Arc<UpstreamConnection> {
    let line = Arc::new(UpstreamConnection {
        mail: Mailbox::new(),
        up: AtomicBool::new(false),
        over: AtomicBool::new(false),
        midway: AtomicBool::new(false),
        spent: AtomicBool::new(false),
        out: AtomicUsize::new(0),
        used: Mutex::new(pool.clock.now()),
        heard: Mutex::new(Duration::ZERO),
        carried: Mutex::new(BTreeMap::new()),
    });
    let number = pool.next_line.fetch_add(1, Ordering::Relaxed);
    pool.lines().insert(number, line.clone());
    let shared = line.clone();
    may::go!(move || {
        let (fallen, again) = run(&name, address, &pool, &shared, &queue);
        pool.lines().remove(&number);
        host.send(HostMessage::ConnectionEnded { fallen, again, failed: !shared.up.load(Ordering::Relaxed) });
    });
    line
}

/// Returns the attempts that ended with the line, those that may have run and those that never did, and such of the latter
/// as may go on another: this one had brought answers, and its host closed it just then.
fn run(
    name: &str,
    address: SocketAddr,
    pool: &ConnectionPool,
    shared: &UpstreamConnection,
    queue: &AttemptQueue,
) -> (Vec<EndedAttempts>, Vec<OutgoingAttempt>) {
    let (mut fallen, mut unbegun) = (Vec::new(), Vec::new());
    let mut unsent = EndedAttempts {
        attempts: Vec::new(),
        unless_heard: None,
        if_gone: Outcome::ConnectFailed,
        if_it_lives: Outcome::NotSent,
    };
    let began = pool.clock.now();
    match TcpStream::connect_timeout(&address, pool.connect_limit) {
        Ok(stream) => {
            debug!(host = name, "connected");
            let _ = stream.set_nodelay(true);
            shared.mail.wake_by(Wake::Io(stream.waker()));
            shared.up.store(true, Ordering::Relaxed);
            let mut wire = ConnectionActor {
                name,
                pool,
                shared,
                queue,
                stream,
                out: Vec::new(),
                waiting: VecDeque::new(),
                attempts: BTreeMap::new(),
                probes: BTreeSet::new(),
                buffer: Buffer::new(upstream::MAX_RESPONSE_BYTES),
                held: 0,
                heard: Duration::ZERO,
                began: None,
                retired: false,
                outcome: Outcome::MalformedResponse,
            };
            if catch_unwind(AssertUnwindSafe(|| wire.serve())).is_err() {
                error!(host = name, "actor panicked");
            }
            shared.over.store(true, Ordering::Relaxed);
            pool.held.fetch_sub(wire.held, Ordering::Relaxed);
            fallen.push(EndedAttempts {
                attempts: wire.attempts.into_values().map(|attempt| attempt.key).collect(),
                unless_heard: None,
                if_gone: wire.outcome,
                if_it_lives: Outcome::MalformedResponse,
            });
            unbegun.extend(wire.waiting);
            for tag in wire.probes {
                pool.module
                    .send(DecisionMessage::HealthCheckFailed { tag, outcome: Outcome::ConnectionLost });
            }
        }
        Err(what) => {
            info!(host = name, %what, "not connected");
            shared.over.store(true, Ordering::Relaxed);
            // Guards against taking for alive a machine that vanished: it lets its old connections stand. And
            // against taking one connection that comes up late for the end of a host that answers on others.
            unsent.unless_heard = (what.kind() == ErrorKind::TimedOut).then_some(began);
        }
    }
    while let Some(word) = shared.mail.take() {
        match word {
            UpstreamMessage::Send(wanted) => unbegun.push(wanted),
            UpstreamMessage::CheckHealth { tag, .. } => {
                pool.module.send(DecisionMessage::HealthCheckFailed { tag, outcome: unsent.if_gone });
            }
            _ => {}
        }
    }
    let again = if *lock(&shared.heard) > Duration::ZERO { std::mem::take(&mut unbegun) } else { Vec::new() };
    unsent.attempts.extend(unbegun.into_iter().map(|wanted| wanted.key));
    fallen.push(unsent);
    (fallen, again)
}

/// An attempt that is out: since when, and whether it named the client's copy.
struct AttemptOut {
    key: AttemptKey,
    sent: Duration,
    seen: bool,
}

struct ConnectionActor<'a> {
    name: &'a str,
    pool: &'a ConnectionPool,
    shared: &'a UpstreamConnection,
    queue: &'a AttemptQueue,
    stream: TcpStream,
    /// What is on its way out, and the attempts that follow it.
    out: Vec<u8>,
    waiting: VecDeque<OutgoingAttempt>,
    /// Attempts out by their id on the line.
    attempts: BTreeMap<String, AttemptOut>,
    probes: BTreeSet<u64>,
    buffer: Buffer,
    /// The part of `ConnectionPool::held` that is the buffer's.
    held: usize,
    /// When anything last came, and when the answer that is coming began.
    heard: Duration,
    began: Option<Duration>,
    retired: bool,
    /// What ends the attempts that are out: a break, or what can't be used.
    outcome: Outcome,
}

impl ConnectionActor<'_> {
    fn serve(&mut self) {
        loop {
            let mut moved = self.read_mail();
            // Read first: a host that has closed is not written to, so that what waits goes out on another line.
            let went_on = match self.standstill() {
                Some(what) => Err(what.to_string()),
                None => self.read().and_then(|read| Ok(read | self.pull() | self.write()?)),
            };
            match went_on {
                Ok(more) => moved |= more,
                Err(what) if self.attempts.is_empty() => {
                    return debug!(host = self.name, what, "connection over")
                }
                Err(what) => {
                    return warn!(host = self.name, what, attempts = self.attempts.len(), "connection broke")
                }
            }
            let out = self.attempts.len() + self.waiting.len() + self.shared.mail.len();
            self.shared.out.store(out, Ordering::Relaxed);
            if self.retired && self.attempts.is_empty() && self.waiting.is_empty() {
                return debug!(host = self.name, "connection closed");
            }
            if !moved {
                self.stream.wait_io();
            }
        }
    }

    /// Takes what has waited longest for a connection, once nothing else is out or under way on this one.
    fn pull(&mut self) -> bool {
        let free = self.attempts.is_empty() && self.waiting.is_empty() && !self.shared.is_midway();
        if !free || self.retired || self.queue.is_empty() || self.shared.is_spent(self.pool) {
            return false;
        }
        let Some(wanted) = self.queue.pull(self.shared) else { return false };
        self.shared.carry(&wanted.id, self.pool);
        self.carry(UpstreamMessage::Send(wanted));
        true
    }

    fn read_mail(&mut self) -> bool {
        let mut some = false;
        while let Some(word) = self.shared.mail.take() {
            some = true;
            self.carry(word);
        }
        some
    }

    fn carry(&mut self, word: UpstreamMessage) {
        let now = self.pool.clock.now();
        match word {
            UpstreamMessage::Send(wanted) => {
                self.waiting.push_back(wanted);
                *lock(&self.shared.used) = now;
            }
            // What was given up before it went out never does.
            UpstreamMessage::Cancel { key, .. } if self.waiting.iter().any(|wanted| wanted.key == key) => {
                self.waiting.retain(|wanted| wanted.key != key);
            }
            UpstreamMessage::Cancel { key, unheard } => {
                let found = self.attempts.iter().find(|(_, attempt)| attempt.key == key);
                let Some((id, sent)) = found.map(|(id, attempt)| (id.clone(), attempt.sent)) else { return };
                self.attempts.remove(&id);
                self.out.extend_from_slice(&upstream::encode_cancel(&id));
                let unanswered = lock(&self.shared.carried).values().filter(|id| !id.answered).count();
                let many = unanswered >= MAX_UNANSWERED * self.pool.max_streams;
                // Guards against a machine that vanished or was cut off: the connection would stay open and
                // silent, and after a cut it recovers late. A new one shows at once whether anyone is there. And
                // against one on which this attempt alone is never answered: it is of no further use then.
                if self.heard < sent || unheard && self.attempts.is_empty() || many {
                    self.shared.spent.store(true, Ordering::Relaxed);
                    self.retired = true;
                }
            }
            UpstreamMessage::CheckHealth { tag, load } => {
                self.out.extend_from_slice(&upstream::encode_health_check(&tag.to_string(), load));
                self.probes.insert(tag);
            }
            UpstreamMessage::Inspect => {}
            UpstreamMessage::CloseIdle | UpstreamMessage::Retire => {
                self.shared.spent.store(true, Ordering::Relaxed);
                self.retired = true;
            }
        }
    }

    fn write(&mut self) -> Result<bool, String> {
        let mut wrote = false;
        loop {
            while !self.out.is_empty() {
                match self.stream.inner().write(&self.out) {
                    Ok(n) => {
                        self.out.drain(..n);
                        wrote = true;
                    }
                    Err(what) if what.kind() == ErrorKind::WouldBlock => return self.within_cap(wrote),
                    Err(what) if what.kind() == ErrorKind::Interrupted => {}
                    Err(what) => return self.broken(what.to_string()),
                }
            }
            let Some(wanted) = self.waiting.pop_front() else { return Ok(wrote) };
            if !self.begin(wanted)? {
                return self.within_cap(wrote);
            }
            wrote = true;
        }
    }

    /// Writes the first bytes of an attempt, if it still may begin; false: the host takes nothing now.
    fn begin(&mut self, wanted: OutgoingAttempt) -> Result<bool, String> {
        let now = self.pool.clock.now();
        if !wanted.pass.begin(now) {
            self.pool
                .module
                .send(DecisionMessage::AttemptFailed { key: wanted.key, outcome: Outcome::NotSent });
            return Ok(true);
        }
        match self.stream.inner().write(&wanted.line) {
            Ok(n) => {
                self.out.extend_from_slice(&wanted.line[n..]);
                let OutgoingAttempt { key, id, seen, .. } = wanted;
                self.attempts.insert(id, AttemptOut { key, sent: now, seen });
                Ok(true)
            }
            Err(what) => {
                wanted.pass.put_back();
                self.waiting.push_front(wanted);
                match what.kind() {
                    ErrorKind::WouldBlock => Ok(false),
                    ErrorKind::Interrupted => Ok(true),
                    _ => self.broken(what.to_string()),
                }
            }
        }
    }

    fn within_cap(&self, wrote: bool) -> Result<bool, String> {
        let held = self.out.len() + self.waiting.iter().map(|wanted| wanted.line.len()).sum::<usize>();
        if held > self.pool.line_out {
            return Err("a host that reads nothing".to_string());
        }
        Ok(wrote)
    }

    /// Guards against an answer that stops short while its connection stays open, and against a line that comes
    /// in crumbs without end: nothing else would get through behind it.
    fn standstill(&self) -> Option<&'static str> {
        let (now, limit) = (self.pool.clock.now(), self.pool.connect_limit);
        let line_here = self.buffer.filled().contains(&b'\n');
        let since = if line_here { self.began.map(|_| self.heard) } else { self.began };
        since.filter(|since| now.saturating_sub(*since) > limit).map(|_| "an answer that stands still")
    }

    /// The connection is gone. In the middle of an answer it was a live host's.
    fn broken(&mut self, what: String) -> Result<bool, String> {
        if self.began.is_none() {
            self.outcome = Outcome::ConnectionLost;
        }
        Err(what)
    }

    fn read(&mut self) -> Result<bool, String> {
        let Some(room) = self.buffer.spare() else {
            return Err("an answer that fills the buffer".to_string());
        };
        match self.stream.inner().read(room) {
            Ok(0) => return self.broken("end of stream".to_string()),
            Ok(n) => self.buffer.commit(n),
            Err(what) if what.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(what) if what.kind() == ErrorKind::Interrupted => return Ok(true),
            Err(what) => return self.broken(what.to_string()),
        }
        self.heard = self.pool.clock.now();
        *lock(&self.shared.heard) = self.heard;
        let was = std::mem::replace(&mut self.held, self.buffer.capacity());
        let held = self.pool.held.fetch_add(self.held, Ordering::Relaxed) + self.held;
        self.pool.held.fetch_sub(was, Ordering::Relaxed);
        if self.held > was && held - was > self.pool.max_held {
            return Err("no memory left for an answer".to_string());
        }
        while let Some((length, answer)) = upstream::decode_response(self.buffer.filled())? {
            self.buffer.consume(length);
            let probe = matches!(answer.status, upstream::Status::Healthy | upstream::Status::Unhealthy);
            let tag = answer.id.parse().ok().filter(|_| probe);
            if let Some(carried) = lock(&self.shared.carried).get_mut(&answer.id) {
                carried.answered = true;
            }
            if let Some(tag) = tag.filter(|tag| self.probes.remove(tag)) {
                self.pool.module.send(DecisionMessage::HealthCheckAnswered { tag, answer });
            } else if let Some(attempt) = self.attempts.get(&answer.id).filter(|_| !probe) {
                if answer.status == upstream::Status::NotModified && !attempt.seen {
                    return Err("unchanged, where no copy was named".to_string());
                }
                let key = self.attempts.remove(&answer.id).expect("found above").key;
                self.pool.module.send(DecisionMessage::ResponseReceived { key, answer });
            } else {
                // Framed well and nobody's: an answer to what is over, a second one, or one ahead. It costs
                // nobody anything.
                debug!(host = self.name, id = answer.id, "an answer that nobody waits for");
            }
        }
        let midway = !self.buffer.filled().is_empty();
        self.began = midway.then(|| self.began.unwrap_or(self.heard));
        self.shared.midway.store(midway, Ordering::Relaxed);
        Ok(true)
    }
}
