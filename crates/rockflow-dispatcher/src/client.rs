//! The actor of a client's connection: one query at a time, exactly one answer to each.

use crate::clock::Clock;
use crate::mailbox::{Mailbox, Wake};
use crate::module::Word;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::interface::QueryId;
use rockflow_protocol::front::{self, Answer, Request};
use rockflow_protocol::Buffer;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing::{debug, error};

/// A client closes a connection that is idle for 4 s; one that has said nothing whole for twice that is gone.
const IDLE: Duration = Duration::from_secs(8);

/// The same while others wait for a seat, and for a client to close after its last answer.
const IDLE_WHEN_CROWDED: Duration = Duration::from_secs(1);

pub enum ClientWord {
    Answer(QueryId, Answer),
    /// Look whether the connection has outlived its use.
    Look,
}

/// What all client connections share.
pub struct Door {
    pub clock: Clock,
    pub module: Arc<Mailbox<Word>>,
    pub module_words: usize,
    /// Queries can be decided.
    pub ready: Arc<AtomicBool>,
    /// Connections are closed as soon as no query is open on them.
    pub closing: AtomicBool,
    /// Clients wait for a seat.
    pub crowded: AtomicBool,
    /// The longest time that a query, and so the writing of an answer, may take.
    pub longest: Duration,
    /// The mailboxes of all connections.
    pub clients: Mutex<BTreeMap<u64, Arc<Mailbox<ClientWord>>>>,
    pub next_client: AtomicU64,
    pub next_query: AtomicU64,
    /// Queries whose answer has not gone out whole.
    pub open: AtomicUsize,
}

impl Door {
    /// No coroutine gives way while it holds this lock.
    fn clients(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Mailbox<ClientWord>>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has every connection look whether it has outlived its use.
    pub fn look(&self) {
        self.clients().values().for_each(|mail| mail.send(ClientWord::Look));
    }
}

/// The query that is open on the connection, and whether the client keeps the connection after it.
struct Open {
    query: QueryId,
    keep: bool,
}

struct Client<'a> {
    door: &'a Door,
    stream: TcpStream,
    mail: Arc<Mailbox<ClientWord>>,
    buffer: Buffer,
    open: Option<Open>,
    /// Counted in `Door::open`.
    owing: bool,
    /// What is being written, how much of it is out, and whether the connection ends after it.
    out: Vec<u8>,
    body: Vec<u8>,
    written: usize,
    last: bool,
    lingering: bool,
    /// When the connection last moved on: it came up, a query came, an answer was given or a part of it went.
    moved: Duration,
}

pub fn run(stream: TcpStream, door: &Door) {
    let _ = stream.set_nodelay(true);
    let mail = Mailbox::new();
    mail.wake_by(Wake::Io(stream.waker()));
    let number = door.next_client.fetch_add(1, Ordering::Relaxed);
    door.clients().insert(number, mail.clone());
    let mut client = Client {
        door,
        stream,
        mail,
        // One head, and the start of the next.
        buffer: Buffer::new(2 * front::MOST_HEAD),
        open: None,
        owing: false,
        out: Vec::new(),
        body: Vec::new(),
        written: 0,
        last: false,
        lingering: false,
        moved: door.clock.now(),
    };
    let ended = catch_unwind(AssertUnwindSafe(|| client.serve())).unwrap_or_else(|_| {
        error!(client = number, "actor panicked");
        "panicked"
    });
    door.clients().remove(&number);
    if let Some(open) = client.open.take() {
        debug!(query = open.query.0, ended, "client left");
        door.module.send(Word::Left(open.query));
    }
    client.settled();
}

impl Client<'_> {
    /// Returns why the connection is over.
    fn serve(&mut self) -> &'static str {
        loop {
            let mut moved = false;
            while let Some(word) = self.mail.take() {
                match word {
                    ClientWord::Answer(query, answer) => moved |= self.answered(query, answer),
                    ClientWord::Look if self.outlived() => return "outlived",
                    ClientWord::Look => {}
                }
            }
            if self.open.is_none() && !self.writing() && !self.last {
                moved |= self.read_head();
            }
            match self.write() {
                Err(_) => return "write failed",
                Ok(_) if self.last && !self.writing() => moved |= self.linger(),
                Ok(wrote) => moved |= wrote,
            }
            match self.fill() {
                Some(Ok(0)) => return "end of stream",
                Some(Ok(_)) => moved = true,
                Some(Err(_)) => return "read failed",
                None => {}
            }
            if !moved {
                self.stream.wait_io();
            }
        }
    }

    fn answered(&mut self, query: QueryId, answer: Answer) -> bool {
        let Some(open) = self.open.take_if(|open| open.query == query) else { return false };
        self.answer(answer, open.keep);
        true
    }

    /// Guards against an answer that is lost to the reset of a connection closed with bytes unread: our side
    /// is closed, and what still comes is read away till the client closes too.
    fn linger(&mut self) -> bool {
        self.buffer.consume(self.buffer.filled().len());
        let first = !std::mem::replace(&mut self.lingering, true);
        if first {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        first
    }

    /// Nothing is owed on this connection any more.
    fn settled(&mut self) {
        if std::mem::take(&mut self.owing) {
            self.door.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Guards against connections that hold a seat for nothing: a client that vanished, one that sends its
    /// head in crumbs, one that reads nothing. Where a query is open its own time limit holds, and this only
    /// if that should fail.
    fn outlived(&self) -> bool {
        let still = self.door.clock.now().saturating_sub(self.moved);
        match (&self.open, self.writing()) {
            (Some(_), _) => still > 2 * self.door.longest,
            (None, true) => still > self.door.longest,
            (None, false) => {
                let crowded = self.door.crowded.load(Ordering::Relaxed);
                let most = if crowded || self.lingering { IDLE_WHEN_CROWDED } else { IDLE };
                still > most || self.door.closing.load(Ordering::Relaxed)
            }
        }
    }

    fn writing(&self) -> bool {
        self.written < self.out.len() + self.body.len()
    }

    /// Reads on even while a query is open: only so it shows that a client has left.
    fn fill(&mut self) -> Option<std::io::Result<usize>> {
        let room = self.buffer.room()?;
        match self.stream.inner().read(room) {
            Ok(n) => {
                self.buffer.add(n);
                Some(Ok(n))
            }
            Err(what) if what.kind() == ErrorKind::WouldBlock => None,
            Err(what) if what.kind() == ErrorKind::Interrupted => Some(Ok(1)),
            Err(what) => Some(Err(what)),
        }
    }

    /// Whether a request was taken from the buffer.
    fn read_head(&mut self) -> bool {
        if self.buffer.filled().is_empty() {
            return false;
        }
        let Some(head) = front::decode(self.buffer.filled()) else { return false };
        self.buffer.consume(head.length);
        let keep = head.keep && !self.door.closing.load(Ordering::Relaxed);
        match head.request {
            Request::Health if self.door.ready.load(Ordering::Relaxed) => self.answer(Answer::Well, keep),
            Request::Health => self.answer(Answer::Wrong(503, "Not Ready"), keep),
            Request::Wrong(status, why) => {
                debug!(status, why, "request not taken");
                self.answer(Answer::Wrong(status, why), false);
            }
            Request::Ask(_) if self.door.module.len() >= self.door.module_words => {
                self.answer(Answer::Dismissed { pause: None }, keep)
            }
            Request::Ask(ask) => {
                let query = QueryId(self.door.next_query.fetch_add(1, Ordering::Relaxed));
                self.open = Some(Open { query, keep: head.keep });
                self.door.open.fetch_add(1, Ordering::Relaxed);
                self.owing = true;
                let (client, arrived) = (self.mail.clone(), self.door.clock.now());
                self.moved = arrived;
                self.door.module.send(Word::Asked { query, ask, client, arrived });
            }
        }
        true
    }

    fn answer(&mut self, answer: Answer, keep: bool) {
        let keep = keep && !self.door.closing.load(Ordering::Relaxed);
        self.out = front::encode(&answer, keep);
        self.body = if let Answer::Succeeded { body, .. } = answer { body } else { Vec::new() };
        (self.written, self.last, self.moved) = (0, !keep, self.door.clock.now());
    }

    /// Whether anything went out.
    fn write(&mut self) -> std::io::Result<bool> {
        let mut wrote = false;
        while self.writing() {
            let head = self.out.len();
            let rest = if self.written < head {
                &self.out[self.written..]
            } else {
                &self.body[self.written - head..]
            };
            match self.stream.inner().write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.written += n;
                    self.moved = self.door.clock.now();
                    wrote = true;
                }
                Err(what) if what.kind() == ErrorKind::WouldBlock => return Ok(wrote),
                Err(what) if what.kind() == ErrorKind::Interrupted => {}
                Err(what) => return Err(what),
            }
        }
        (self.out, self.body, self.written) = (Vec::new(), Vec::new(), 0);
        if self.open.is_none() {
            self.settled();
        }
        Ok(wrote)
    }
}
