//! The actor of a client's connection: one request at a time, exactly one answer to each.

use crate::clock::Clock;
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{ClientMessage, DecisionMessage};
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::RequestId;
use rockflow_protocol::client::{self, ParsedRequest, Response};
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
/// The time for a request to come whole: from the connection for the first, else from its first byte.
const TO_COME_WHOLE: Duration = Duration::from_secs(2);
/// The time, and the bytes, that a client is left to read its last answer and close.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;
/// Rounds after which a client that always has more to say lets others have their turn.
const ROUNDS: usize = 16;

/// What others see of a connection.
pub struct ClientSlot {
    mail: Arc<Mailbox<ClientMessage>>,
    /// Since when nothing is owed on it, in microseconds; `OWED` while something is, or once it gives way.
    still: AtomicU64,
}

const OWED: u64 = u64::MAX;

/// What all client connections share.
pub struct ClientRegistry {
    pub clock: Clock,
    pub module: Arc<Mailbox<DecisionMessage>>,
    pub module_words: usize,
    /// Requests can be decided.
    pub ready: Arc<AtomicBool>,
    /// Connections are closed as soon as no request is open on them.
    pub closing: AtomicBool,
    /// Every seat is taken by a request: connections end with their answers.
    pub crowded: AtomicBool,
    /// The longest time that a request, and so the writing of an answer, may take.
    pub longest: Duration,
    /// Bytes of answers that are held.
    pub held: Arc<AtomicUsize>,
    /// All connections, and how many may stay while nothing is owed on them.
    pub clients: Mutex<BTreeMap<u64, Arc<ClientSlot>>>,
    pub location_dispatchers: usize,
    pub next_client: AtomicU64,
    pub next_request: AtomicU64,
    /// Requests whose answer has not gone out whole.
    pub open: AtomicUsize,
}

impl ClientRegistry {
    /// No coroutine gives way while it holds this lock.
    fn clients(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientSlot>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn connections(&self) -> usize {
        self.clients().len()
    }

    /// Has every connection look whether it has outlived its use.
    pub fn look(&self) {
        self.clients().values().for_each(|seat| seat.mail.send(ClientMessage::Inspect));
    }

    /// Guards against connections that keep their location_dispatchers for nothing while others come: past the location_dispatchers, the
    /// one on which nothing has been owed for longest gives way.
    fn make_room(&self) {
        let clients = self.clients();
        if clients.len() <= self.location_dispatchers {
            return;
        }
        let still = |seat: &&Arc<ClientSlot>| seat.still.load(Ordering::Relaxed);
        if let Some(seat) = clients.values().min_by_key(still).filter(|seat| still(seat) != OWED) {
            seat.still.store(OWED, Ordering::Relaxed);
            seat.mail.send(ClientMessage::Yield);
        }
    }
}

/// The request that is open on the connection, and whether the client keeps the connection after it.
struct Open {
    request: RequestId,
    keep: bool,
}

struct Client<'a> {
    door: &'a ClientRegistry,
    stream: TcpStream,
    seat: Arc<ClientSlot>,
    buffer: Buffer,
    open: Option<Open>,
    /// Bytes that came behind the request that is open and were thrown away, as there was no room; the connection
    /// ends with its answer then.
    overran: usize,
    /// Nothing more is expected: our side is shut as soon as nothing is here to be answered.
    parting: bool,
    /// When the request that is coming began; none: nothing of one is here.
    begun: Option<Duration>,
    giving_way: bool,
    /// Counted in `Door::open`.
    owing: bool,
    /// What is being written, how much of it is out, and whether the connection ends after it.
    out: Vec<u8>,
    body: Vec<u8>,
    written: usize,
    last: bool,
    /// Bytes read since the last answer went out.
    lingering: Option<usize>,
    /// When the connection last moved on: it came up, a request came, an answer was given or a part of it went.
    moved: Duration,
}

pub fn run(stream: TcpStream, door: &ClientRegistry) {
    let _ = stream.set_nodelay(true);
    let (mail, now) = (Mailbox::new(), door.clock.now());
    mail.wake_by(Wake::Io(stream.waker()));
    let number = door.next_client.fetch_add(1, Ordering::Relaxed);
    let seat = Arc::new(ClientSlot { mail, still: AtomicU64::new(now.as_micros() as u64) });
    door.clients().insert(number, seat.clone());
    door.make_room();
    let mut client = Client {
        door,
        stream,
        seat,
        // One head, and the start of the next.
        buffer: Buffer::new(2 * client::MAX_HEAD_BYTES),
        open: None,
        overran: 0,
        parting: false,
        begun: Some(now),
        giving_way: false,
        owing: false,
        out: Vec::new(),
        body: Vec::new(),
        written: 0,
        last: false,
        lingering: None,
        moved: now,
    };
    let ended = catch_unwind(AssertUnwindSafe(|| client.serve())).unwrap_or_else(|_| {
        error!(client = number, "actor panicked");
        "panicked"
    });
    door.clients().remove(&number);
    // Before anything is told: from here on nothing goes out for this client.
    client.seat.mail.close();
    if let Some(open) = client.open.take() {
        debug!(request = open.request.0, ended, "client left");
        door.module.send(DecisionMessage::ClientDisconnected(open.request));
    }
    client.hold(Vec::new());
    client.settled();
}

impl Client<'_> {
    /// Returns why the connection is over.
    fn serve(&mut self) -> &'static str {
        for round in 1.. {
            let mut moved = false;
            while let Some(word) = self.seat.mail.take() {
                match word {
                    ClientMessage::Answer(request, answer) => moved |= self.answered(request, answer),
                    ClientMessage::Inspect if self.outlived() => {
                        if self.open.is_some() || self.writing() || self.last {
                            return "outlived";
                        }
                        self.parting = true;
                    }
                    ClientMessage::Inspect => {}
                    ClientMessage::Yield => self.giving_way = true,
                }
            }
            match self.write() {
                Err(_) => return "write failed",
                Ok(_) if self.last && !self.writing() => moved |= self.linger(),
                Ok(wrote) => moved |= wrote,
            }
            // All that is here is read before a request is taken, so that nothing begins for a client that is gone.
            match self.fill() {
                Some(Ok(0)) => return "end of stream",
                Some(Ok(_)) => moved = true,
                Some(Err(_)) => return "read failed",
                None if self.open.is_none() && !self.writing() && !self.last => moved |= self.next(),
                None => {}
            }
            if !moved && std::mem::take(&mut self.giving_way) && self.open.is_none() && !self.writing() {
                return "gave way";
            }
            if !moved {
                self.stream.wait_io();
            } else if round % ROUNDS == 0 {
                may::coroutine::yield_now();
            }
        }
        "over"
    }

    /// With nothing owed and nothing more to read: takes the next request, or parts if it is time to. Whether
    /// anything came of it.
    fn next(&mut self) -> bool {
        let here = !self.buffer.filled().is_empty();
        if self.read_head() {
            return true;
        }
        if !std::mem::take(&mut self.parting) {
            return false;
        }
        match here {
            true if self.closing() => self.answer(Response::Rejected { retry_after: None }, false),
            true => self.answer(Response::Invalid(408, "Request Timeout"), false),
            // What comes from here on was sent across our end of the connection: it is read and not taken.
            false => (self.last, self.moved) = (true, self.door.clock.now()),
        }
        true
    }

    fn closing(&self) -> bool {
        self.door.closing.load(Ordering::Relaxed)
    }

    fn answered(&mut self, request: RequestId, answer: Response) -> bool {
        let Some(open) = self.open.take_if(|open| open.request == request) else { return false };
        self.answer(answer, open.keep && self.overran == 0);
        true
    }

    /// Guards against an answer that is lost to the reset of a connection closed with bytes unread: our side
    /// is closed, and what still comes is read away till the client closes too.
    fn linger(&mut self) -> bool {
        let read = self.buffer.filled().len();
        self.buffer.consume(read);
        let first = self.lingering.is_none();
        self.lingering = Some(self.lingering.unwrap_or(0) + read);
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
    /// head in crumbs, one that reads nothing. Where a request is open its own time limit holds, and this only
    /// if that should fail.
    fn outlived(&self) -> bool {
        let now = self.door.clock.now();
        let still = now.saturating_sub(self.moved);
        match (&self.open, self.writing()) {
            (Some(_), _) => still > 2 * self.door.longest,
            (None, true) => still > self.door.longest,
            (None, false) if self.lingering.is_some() => still > LINGER,
            (None, false) if self.closing() => true,
            (None, false) => {
                still > IDLE || self.begun.is_some_and(|begun| now.saturating_sub(begun) > TO_COME_WHOLE)
            }
        }
    }

    fn writing(&self) -> bool {
        self.written < self.out.len() + self.body.len()
    }

    /// Reads on even while a request is open: only so it shows that a client has left.
    fn fill(&mut self) -> Option<std::io::Result<usize>> {
        // Guards against a body of any size that is sent on after its refusal.
        if self.lingering.is_some_and(|read| read > LINGER_BYTES) {
            return None;
        }
        // Guards against a client that leaves unseen behind more than the buffer holds: what follows its request
        // is thrown away, and past a cap so is the client.
        if self.open.is_some() && self.buffer.spare().is_none() {
            let full = self.buffer.filled().len();
            self.buffer.consume(full);
            self.overran += full;
            if self.overran > LINGER_BYTES {
                return Some(Err(ErrorKind::InvalidData.into()));
            }
        }
        let room = self.buffer.spare()?;
        match self.stream.inner().read(room) {
            Ok(n) => {
                self.buffer.commit(n);
                if self.open.is_none() && n > 0 {
                    self.begun.get_or_insert(self.door.clock.now());
                }
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
        let Some(head) = client::decode_request(self.buffer.filled()) else { return false };
        self.buffer.consume(head.length);
        self.begun = None;
        let keep = head.keep_alive;
        match head.request {
            ParsedRequest::HealthCheck if self.door.ready.load(Ordering::Relaxed) => {
                self.answer(Response::Healthy, keep)
            }
            ParsedRequest::HealthCheck => self.answer(Response::Invalid(503, "Not Ready"), keep),
            ParsedRequest::Invalid(status, why) => {
                debug!(status, why, "request not taken");
                self.answer(Response::Invalid(status, why), false);
            }
            // Guards against work that nobody is left to end: what comes after the planned stop's time is refused.
            ParsedRequest::Fetch(_) if self.closing() => {
                self.answer(Response::Rejected { retry_after: None }, false)
            }
            ParsedRequest::Fetch(_) if self.door.module.len() >= self.door.module_words => {
                self.answer(Response::Rejected { retry_after: None }, keep)
            }
            ParsedRequest::Fetch(ask) => {
                let request = RequestId(self.door.next_request.fetch_add(1, Ordering::Relaxed));
                self.open = Some(Open { request, keep: head.keep_alive });
                self.door.open.fetch_add(1, Ordering::Relaxed);
                self.owing = true;
                let (client, arrived) = (self.seat.mail.clone(), self.door.clock.now());
                self.moved = arrived;
                self.seat.still.store(OWED, Ordering::Relaxed);
                self.door.module.send(DecisionMessage::RequestReceived { request, ask, client, arrived });
            }
        }
        true
    }

    fn answer(&mut self, answer: Response, keep: bool) {
        self.parting = false;
        let ending = [&self.door.closing, &self.door.crowded].iter().any(|flag| flag.load(Ordering::Relaxed));
        let keep = keep && !ending;
        self.out = client::encode_response(&answer, keep);
        self.hold(if let Response::Succeeded { body, .. } = answer { body } else { Vec::new() });
        (self.written, self.last, self.moved) = (0, !keep, self.door.clock.now());
    }

    /// Holds this body in place of the one before.
    fn hold(&mut self, body: Vec<u8>) {
        self.door.held.fetch_add(body.len(), Ordering::Relaxed);
        self.door.held.fetch_sub(self.body.len(), Ordering::Relaxed);
        self.body = body;
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
        if wrote {
            self.hold(Vec::new());
            (self.out, self.written) = (Vec::new(), 0);
            // What came behind the request that is answered now begins only here.
            self.begun = (!self.buffer.filled().is_empty()).then_some(self.moved);
            // One that lingers owes nothing and is the first to go.
            let still = if self.last { 0 } else { self.moved.as_micros() as u64 };
            self.seat.still.store(still, Ordering::Relaxed);
        }
        if self.open.is_none() {
            self.settled();
        }
        Ok(wrote)
    }
}
