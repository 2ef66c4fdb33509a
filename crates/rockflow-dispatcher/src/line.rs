//! The actor of one connection to a host: the legs that are out on it, and what becomes of them.

use crate::host::{LegKey, Order, Wires};
use crate::mailbox::{Mailbox, Wake};
use crate::module::Word;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::interface::Outcome;
use rockflow_protocol::{hostline, Buffer};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// Part of the told idle time after which a connection is not used again: the host may be closing it.
const IDLE_PART: f64 = 0.8;
/// Ids on a line that were never answered, in times the legs it carries at once; past it the line is spent.
const MOST_UNANSWERED: usize = 8;

pub enum LineWord {
    Want { key: LegKey, id: String, line: Vec<u8> },
    NeverMind { key: LegKey, unheard: bool },
    Probe { tag: u64, load: bool },
    CloseIdle,
    Retire,
}

/// What the host's actor sees of a line.
pub struct Line {
    mail: Arc<Mailbox<LineWord>>,
    over: AtomicBool,
    /// Nothing new goes on it.
    spent: AtomicBool,
    out: AtomicUsize,
    used: Mutex<Duration>,
    /// Ids whose answers may still come, given up or not: another leg under one could not be told apart.
    unanswered: Mutex<BTreeSet<String>>,
}

impl Line {
    pub fn start(
        name: String,
        address: SocketAddr,
        wires: Arc<Wires>,
        host: Arc<Mailbox<Order>>,
    ) -> Arc<Line> {
        let line = Arc::new(Line {
            mail: Mailbox::new(),
            over: AtomicBool::new(false),
            spent: AtomicBool::new(false),
            out: AtomicUsize::new(0),
            used: Mutex::new(wires.clock.now()),
            unanswered: Mutex::new(BTreeSet::new()),
        });
        wires.lines.fetch_add(1, Ordering::Relaxed);
        let shared = line.clone();
        may::go!(move || {
            run(&name, address, &wires, &shared);
            wires.lines.fetch_sub(1, Ordering::Relaxed);
            host.send(Order::LineOver);
        });
        line
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn send(&self, word: LineWord) {
        if let LineWord::Want { id, .. } = &word {
            lock(&self.unanswered).insert(id.clone());
            self.out.fetch_add(1, Ordering::Relaxed);
        }
        self.mail.send(word);
    }

    pub fn takes(&self, id: &str, wires: &Wires) -> bool {
        let again = lock(&self.unanswered).contains(id);
        !self.is_over()
            && !again
            && !self.is_spent(wires)
            && self.out.load(Ordering::Relaxed) < wires.most_streams
    }

    /// Whether nothing new will ever go on it.
    pub fn is_spent(&self, wires: &Wires) -> bool {
        let idle = wires.clock.now().saturating_sub(*lock(&self.used));
        self.spent.load(Ordering::Relaxed) || idle >= wires.idle_limit.mul_f64(IDLE_PART)
    }
}

/// No coroutine gives way while it holds one of these.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run(name: &str, address: SocketAddr, wires: &Wires, shared: &Line) {
    match TcpStream::connect_timeout(&address, wires.connect_limit) {
        Ok(stream) => {
            debug!(host = name, "connected");
            let _ = stream.set_nodelay(true);
            shared.mail.wake_by(Wake::Io(stream.waker()));
            let mut wire = Wire {
                name,
                wires,
                shared,
                stream,
                out: Vec::new(),
                legs: BTreeMap::new(),
                probes: BTreeSet::new(),
                buffer: Buffer::new(hostline::MOST_ANSWER),
                heard: Duration::ZERO,
                retired: false,
            };
            if catch_unwind(AssertUnwindSafe(|| wire.serve())).is_err() {
                error!(host = name, "actor panicked");
            }
            shared.over.store(true, Ordering::Relaxed);
            for (key, _) in wire.legs.into_values() {
                wires.module.send(Word::Fell { key, outcome: Outcome::Broken });
            }
            for tag in wire.probes {
                wires.module.send(Word::ProbeFell { tag, outcome: Outcome::Broken });
            }
        }
        Err(what) => {
            info!(host = name, %what, "not connected");
            shared.over.store(true, Ordering::Relaxed);
        }
    }
    // None of these was ever written, so none of them ran.
    let outcome = Outcome::NotConnected;
    while let Some(word) = shared.mail.take() {
        match word {
            LineWord::Want { key, .. } => wires.module.send(Word::Fell { key, outcome }),
            LineWord::Probe { tag, .. } => wires.module.send(Word::ProbeFell { tag, outcome }),
            _ => {}
        }
    }
}

struct Wire<'a> {
    name: &'a str,
    wires: &'a Wires,
    shared: &'a Line,
    stream: TcpStream,
    out: Vec<u8>,
    /// Legs out by their id on the line, with the time they were written.
    legs: BTreeMap<String, (LegKey, Duration)>,
    probes: BTreeSet<u64>,
    buffer: Buffer,
    /// When anything last came.
    heard: Duration,
    retired: bool,
}

impl Wire<'_> {
    fn serve(&mut self) {
        loop {
            let mut moved = self.read_mail();
            match self.write().and_then(|wrote| Ok(wrote | self.read()?)) {
                Ok(more) => moved |= more,
                Err(what) if self.legs.is_empty() => {
                    return debug!(host = self.name, what, "connection over")
                }
                Err(what) => {
                    return warn!(host = self.name, what, legs = self.legs.len(), "connection broke")
                }
            }
            self.shared.out.store(self.legs.len() + self.shared.mail.len(), Ordering::Relaxed);
            if self.retired && self.legs.is_empty() {
                return debug!(host = self.name, "connection closed");
            }
            if !moved {
                self.stream.wait_io();
            }
        }
    }

    fn read_mail(&mut self) -> bool {
        let words: Vec<_> = std::iter::from_fn(|| self.shared.mail.take()).collect();
        let called_off = |word: &LineWord| match word {
            LineWord::NeverMind { key, .. } => Some(*key),
            _ => None,
        };
        let called_off: BTreeSet<_> = words.iter().filter_map(called_off).collect();
        let some = !words.is_empty();
        for word in words {
            match word {
                // Guards against wants that go out after their time, when the connection came up late.
                LineWord::Want { key, id, .. } if called_off.contains(&key) => {
                    lock(&self.shared.unanswered).remove(&id);
                }
                word => self.carry(word),
            }
        }
        some
    }

    fn carry(&mut self, word: LineWord) {
        let now = self.wires.clock.now();
        match word {
            LineWord::Want { key, id, line } => {
                self.out.extend_from_slice(&line);
                self.legs.insert(id, (key, now));
                *lock(&self.shared.used) = now;
            }
            LineWord::NeverMind { key, unheard } => {
                let found = self.legs.iter().find(|(_, (leg, _))| *leg == key);
                let Some((id, sent)) = found.map(|(id, (_, sent))| (id.clone(), *sent)) else { return };
                self.legs.remove(&id);
                self.out.extend_from_slice(&hostline::never_mind(&id));
                let many = lock(&self.shared.unanswered).len() >= MOST_UNANSWERED * self.wires.most_streams;
                // Guards against a machine that vanished or was cut off: the connection would stay open and
                // silent, and after a cut it recovers late. A new one shows at once whether anyone is there.
                if unheard && self.heard < sent || many {
                    self.shared.spent.store(true, Ordering::Relaxed);
                    self.retired = true;
                }
            }
            LineWord::Probe { tag, load } => {
                self.out.extend_from_slice(&hostline::probe(&tag.to_string(), load));
                self.probes.insert(tag);
            }
            LineWord::CloseIdle | LineWord::Retire => {
                self.shared.spent.store(true, Ordering::Relaxed);
                self.retired = true;
            }
        }
    }

    fn write(&mut self) -> Result<bool, String> {
        let mut done = 0;
        let result = loop {
            if done == self.out.len() {
                break Ok(done > 0);
            }
            match self.stream.inner().write(&self.out[done..]) {
                Ok(n) => done += n,
                Err(what) if what.kind() == ErrorKind::WouldBlock => break Ok(done > 0),
                Err(what) if what.kind() == ErrorKind::Interrupted => {}
                Err(what) => break Err(what.to_string()),
            }
        };
        self.out.drain(..done);
        if self.out.len() > self.wires.line_out {
            return Err("a host that reads nothing".to_string());
        }
        result
    }

    fn read(&mut self) -> Result<bool, String> {
        let Some(room) = self.buffer.room() else {
            return Err("an answer that fills the buffer".to_string());
        };
        match self.stream.inner().read(room) {
            Ok(0) => return Err("end of stream".to_string()),
            Ok(n) => self.buffer.add(n),
            Err(what) if what.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(what) if what.kind() == ErrorKind::Interrupted => return Ok(true),
            Err(what) => return Err(what.to_string()),
        }
        self.heard = self.wires.clock.now();
        while let Some((length, answer)) = hostline::decode(self.buffer.filled())? {
            self.buffer.consume(length);
            let probe = matches!(answer.word, hostline::Word::Well | hostline::Word::Ill);
            let tag = answer.id.parse().ok().filter(|_| probe);
            if let Some(tag) = tag.filter(|tag| self.probes.remove(tag)) {
                self.wires.module.send(Word::Probed { tag, answer });
            } else if probe || !lock(&self.shared.unanswered).remove(&answer.id) {
                return Err(format!("an answer under an unknown id {:?}", answer.id));
            } else if let Some((key, _)) = self.legs.remove(&answer.id) {
                self.wires.module.send(Word::Answered { key, answer });
            } else {
                debug!(host = self.name, id = answer.id, "answer to what is over");
            }
        }
        Ok(true)
    }
}
