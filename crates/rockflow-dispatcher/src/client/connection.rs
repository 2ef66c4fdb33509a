//! One client connection: its requests, its responses, and when it ends.

use crate::client::end_reason::EndReason;
use crate::client::message::ClientMessage;
use crate::client::outgoing::OutgoingResponse;
use crate::client::registry::{ClientRegistry, ClientSlot};
use crate::decision::message::DecisionMessage;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::RequestId;
use rockflow_protocol::client::{
    self, ClientRequest, HttpStatus, ParsedRequest, Persistence, PipelinedBytes, Response,
};
use rockflow_protocol::Buffer;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// A client closes a connection that is idle for 4 s; one that has sent no complete request for twice that is gone.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// The time for a request to arrive completely: from the connection for the first, else from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// The time, and the bytes, that a client is left to read its last response and close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Rounds after which a client that always has more to send lets others have their turn.
const ROUNDS_PER_TURN: u64 = 16;
/// One head, and the start of the next.
const RECEIVE_BUFFER_BYTES: usize = 2 * client::MAX_HEAD_BYTES;
/// Bytes that are discarded with one read.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// What came of an attempt to read.
enum ReadOutcome {
    /// Nothing is there, or nothing is to be read now.
    Nothing,
    Progress,
    EndOfStream,
    Failed,
}

/// The request that is open on the connection.
struct OpenRequest {
    id: RequestId,
    /// Whether the client keeps the connection after it.
    persistence: Persistence,
}

/// Owns the state of one connection; only its [`ClientSlot`] is seen by others.
pub(super) struct ClientConnection<'a> {
    registry: &'a ClientRegistry,
    stream: TcpStream,
    slot: Arc<ClientSlot>,
    buffer: Buffer,
    open: Option<OpenRequest>,
    /// The connection ends once the requests that have arrived completely have their responses: what else arrives is
    /// discarded.
    ending: bool,
    /// Bytes that were discarded behind an open request, or since the last response was written.
    discarded_bytes: usize,
    /// No further request is expected: our side is shut as soon as nothing that has arrived needs a response.
    shutting: bool,
    /// When the request that is arriving began; none: nothing of one is here.
    head_started: Option<Duration>,
    /// That request began before the response to the one before it had been written.
    is_pipelined: bool,
    /// Asked to yield its place.
    yielding: bool,
    /// Counted in `ClientRegistry::open_requests`.
    is_counted: bool,
    response: OutgoingResponse,
    /// The connection ends with the response that is being written, or after the last one.
    is_last: bool,
    /// Our side is shut: the client is left to read its last response and close.
    lingering: bool,
    /// When the connection last made progress: it was accepted, a request arrived, a response was given or written.
    last_progress: Duration,
}

impl<'a> ClientConnection<'a> {
    pub(super) fn new(
        registry: &'a ClientRegistry,
        stream: TcpStream,
        slot: Arc<ClientSlot>,
        now: Duration,
    ) -> Self {
        ClientConnection {
            registry,
            stream,
            slot,
            buffer: Buffer::new(RECEIVE_BUFFER_BYTES),
            open: None,
            ending: false,
            discarded_bytes: 0,
            shutting: false,
            head_started: Some(now),
            is_pipelined: false,
            yielding: false,
            is_counted: false,
            response: OutgoingResponse::default(),
            is_last: false,
            lingering: false,
            last_progress: now,
        }
    }

    /// Serves the connection until it ends.
    pub(super) fn serve(&mut self) -> EndReason {
        let mut round: u64 = 0;
        loop {
            round += 1;
            match self.serve_round() {
                Err(reason) => return reason,
                Ok(false) => {
                    self.stream.wait_io();
                }
                Ok(true) if round.is_multiple_of(ROUNDS_PER_TURN) => may::coroutine::yield_now(),
                Ok(true) => {}
            }
        }
    }

    /// Closes the mailbox and returns the request that is left without a response. From here on nothing is sent for this
    /// client.
    pub(super) fn close(&mut self) -> Option<RequestId> {
        self.slot.mailbox.close();
        self.open.take().map(|open| open.id)
    }

    /// Gives back what is counted for this connection.
    pub(super) fn release(&mut self) {
        self.set_body(Vec::new());
        self.settle();
    }

    /// Reads, takes messages, writes, and starts the next request. Returns whether anything happened.
    fn serve_round(&mut self) -> Result<bool, EndReason> {
        // All that has arrived is read before a response is given or a request is started: so what lies behind a request
        // counts as a whole, however it arrived, and no request starts for a client that is gone.
        match self.read() {
            ReadOutcome::EndOfStream => return Err(EndReason::EndOfStream),
            ReadOutcome::Failed => return Err(EndReason::ReadFailed),
            ReadOutcome::Progress => return Ok(true),
            ReadOutcome::Nothing => {}
        }
        let mut progress = self.take_messages()?;
        let wrote = self.write().map_err(|_| EndReason::WriteFailed)?;
        progress |= if self.is_last && self.response.is_complete() { self.linger() } else { wrote };
        if !progress && self.is_idle() && !self.is_last {
            progress = self.start_next();
        }
        if !progress && std::mem::take(&mut self.yielding) && self.is_idle() {
            return Err(EndReason::Yielded);
        }
        Ok(progress)
    }

    fn take_messages(&mut self) -> Result<bool, EndReason> {
        let mut progress = false;
        while let Some(message) = self.slot.mailbox.take() {
            match message {
                ClientMessage::Respond(request, response) => progress |= self.complete(request, response),
                ClientMessage::Inspect => self.inspect()?,
                ClientMessage::Yield => self.yielding = true,
            }
        }
        Ok(progress)
    }

    fn inspect(&mut self) -> Result<(), EndReason> {
        if !self.is_expired() {
            return Ok(());
        }
        if !self.is_idle() || self.is_last {
            return Err(EndReason::Expired);
        }
        self.shutting = true;
        Ok(())
    }

    /// Whether the connection holds its place for nothing: the client vanished, sends its request too slowly, or does not
    /// read.
    fn is_expired(&self) -> bool {
        let now = self.registry.clock.now();
        let stalled = now.saturating_sub(self.last_progress);
        if self.open.is_some() {
            return stalled > 2 * self.registry.max_deadline;
        }
        if !self.response.is_complete() {
            return stalled > self.registry.max_deadline;
        }
        if self.lingering {
            return stalled > LINGER_TIMEOUT;
        }
        let is_head_late =
            self.head_started.is_some_and(|started| now.saturating_sub(started) > HEAD_TIMEOUT);
        self.is_closing() || stalled > IDLE_TIMEOUT || is_head_late
    }

    /// No request is open, and the last response is written.
    fn is_idle(&self) -> bool {
        self.open.is_none() && self.response.is_complete()
    }

    fn is_closing(&self) -> bool {
        self.registry.closing.load(Ordering::Relaxed)
    }

    /// With nothing owed and nothing more to read: starts the next request, or shuts our side if it is time to. Returns
    /// whether anything happened.
    fn start_next(&mut self) -> bool {
        let has_partial_head = !self.buffer.filled().is_empty();
        if self.read_head() {
            return true;
        }
        if !std::mem::take(&mut self.shutting) {
            return false;
        }
        // What began behind a request and never became one is not responded to: nothing follows a response.
        if !has_partial_head || self.is_pipelined {
            self.end_silently();
        } else if self.is_closing() {
            self.respond(Response::Rejected { retry_after: None }, Persistence::Close);
        } else {
            let timeout = HttpStatus::new(408, "Request Timeout");
            self.respond(Response::Invalid(timeout), Persistence::Close);
        }
        true
    }

    /// What arrives from here on crossed our end of the connection: it is read and not served.
    fn end_silently(&mut self) {
        self.is_last = true;
        self.last_progress = self.registry.clock.now();
    }

    /// Takes a request head from the buffer; false: none is complete.
    fn read_head(&mut self) -> bool {
        if self.buffer.filled().is_empty() {
            return false;
        }
        if self.is_pipelined && self.pipelined_bytes() == PipelinedBytes::Unusable {
            self.end_silently();
            return true;
        }
        let Some(head) = client::decode_request(self.buffer.filled()) else { return false };
        self.buffer.consume(head.length);
        self.head_started = None;
        self.is_pipelined = false;
        let persistence = head.persistence;
        match head.request {
            ParsedRequest::HealthCheck if self.registry.ready.load(Ordering::Relaxed) => {
                self.respond(Response::Healthy, persistence);
            }
            ParsedRequest::HealthCheck => {
                self.respond(Response::Invalid(HttpStatus::new(503, "Not Ready")), persistence);
            }
            ParsedRequest::Invalid(status) => {
                debug!(status = status.code, reason = status.reason, "invalid request");
                self.respond(Response::Invalid(status), Persistence::Close);
            }
            // Guards against work that nobody is left to complete: what arrives after the shutdown's time is rejected.
            ParsedRequest::Fetch(_) if self.is_closing() => {
                self.respond(Response::Rejected { retry_after: None }, persistence);
            }
            // Guards against a pipelining client that keeps its place while no further connection can be accepted.
            ParsedRequest::Fetch(_) if self.ending && self.registry.ends_connections() => {
                self.respond(Response::Rejected { retry_after: None }, persistence);
            }
            ParsedRequest::Fetch(_) if self.registry.decisions.len() >= self.registry.max_queued_requests => {
                self.respond(Response::Rejected { retry_after: None }, persistence);
            }
            ParsedRequest::Fetch(request) => self.open_request(request, persistence),
        }
        true
    }

    fn open_request(&mut self, request: Box<ClientRequest>, persistence: Persistence) {
        let id = RequestId(self.registry.next_request_id());
        self.open = Some(OpenRequest { id, persistence });
        self.registry.open_requests.fetch_add(1, Ordering::Relaxed);
        self.is_counted = true;
        let arrived = self.registry.clock.now();
        self.last_progress = arrived;
        self.slot.set_busy();
        let client = self.slot.mailbox.clone();
        self.registry.decisions.send(DecisionMessage::RequestReceived { id, request, client, arrived });
    }

    /// Responds to the open request; false: it is another.
    fn complete(&mut self, request: RequestId, response: Response) -> bool {
        let Some(open) = self.open.take_if(|open| open.id == request) else { return false };
        self.respond(response, open.persistence);
        true
    }

    fn respond(&mut self, response: Response, requested: Persistence) {
        self.shutting = false;
        let persistence = self.persistence_of_response(requested);
        self.response.head = client::encode_response(&response, persistence);
        let body = if let Response::Succeeded { body, .. } = response { body } else { Vec::new() };
        self.set_body(body);
        self.response.written = 0;
        self.is_last = persistence == Persistence::Close;
        self.last_progress = self.registry.clock.now();
    }

    /// Whether the connection outlives a response. A connection that is to end still answers the requests that have arrived
    /// completely behind this one; what can't become a request ends it.
    fn persistence_of_response(&mut self, requested: Persistence) -> Persistence {
        self.ending |= self.registry.ends_connections();
        match self.pipelined_bytes() {
            PipelinedBytes::Request => requested,
            PipelinedBytes::Nothing | PipelinedBytes::PartialRequest if !self.ending => requested,
            _ => Persistence::Close,
        }
    }

    fn pipelined_bytes(&self) -> PipelinedBytes {
        client::classify_pipelined(self.buffer.filled())
    }

    /// Replaces the body, and counts the bytes that are held.
    fn set_body(&mut self, body: Vec<u8>) {
        self.registry.buffered_bytes.fetch_add(body.len(), Ordering::Relaxed);
        self.registry.buffered_bytes.fetch_sub(self.response.body.len(), Ordering::Relaxed);
        self.response.body = body;
    }

    /// Writes what the client takes; returns whether anything was written.
    fn write(&mut self) -> std::io::Result<bool> {
        let mut wrote = false;
        while !self.response.is_complete() {
            match self.stream.inner().write(self.response.unwritten()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.response.written += length;
                    self.last_progress = self.registry.clock.now();
                    wrote = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(wrote),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if wrote {
            self.on_response_written();
        }
        if self.open.is_none() {
            self.settle();
        }
        Ok(wrote)
    }

    fn on_response_written(&mut self) {
        self.set_body(Vec::new());
        self.response = OutgoingResponse::default();
        let pipelined = self.pipelined_bytes();
        self.is_pipelined = pipelined != PipelinedBytes::Nothing;
        // Guards against a second response to a client that sent one request: what it sent behind it was none. Its end of
        // the connection can be shut only now if it came while the response was being written.
        self.is_last |= pipelined == PipelinedBytes::Unusable;
        // A request that arrived behind the one that is completed now begins only here.
        self.head_started = (!self.buffer.filled().is_empty()).then_some(self.last_progress);
        // One that lingers owes nothing and is the first to yield.
        let idle_since = if self.is_last { Duration::ZERO } else { self.last_progress };
        self.slot.set_idle_since(idle_since);
    }

    /// No response is owed on this connection any more.
    fn settle(&mut self) {
        if std::mem::take(&mut self.is_counted) {
            self.registry.open_requests.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Reads even while a request is open: only so it shows that a client has disconnected.
    fn read(&mut self) -> ReadOutcome {
        // Guards against a client that disconnects unseen behind more than the buffer holds: what follows is discarded.
        if self.open.is_some() && self.buffer.spare().is_none() {
            self.ending = true;
        }
        if self.ending || self.lingering {
            return self.discard();
        }
        let Some(spare) = self.buffer.spare() else { return ReadOutcome::Nothing };
        let outcome = self.stream.inner().read(spare);
        if let Ok(length) = outcome {
            self.buffer.commit(length);
            if self.open.is_none() && self.head_started.is_none() {
                self.head_started = Some(self.registry.clock.now());
            }
        }
        read_outcome(outcome)
    }

    /// Reads what is not taken any more. Guards against a client that sends without end: behind an open request its
    /// connection ends, after the last response nothing more is read.
    fn discard(&mut self) -> ReadOutcome {
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            return if self.lingering { ReadOutcome::Nothing } else { ReadOutcome::Failed };
        }
        let outcome = self.stream.inner().read(&mut [0; DISCARD_BUFFER_BYTES]);
        self.discarded_bytes += outcome.as_ref().map_or(0, |length| *length);
        read_outcome(outcome)
    }

    /// Guards against a response that is lost to the reset of a connection closed with bytes unread: our side is shut, and
    /// what still arrives is discarded until the client closes too. Returns whether our side was shut just now.
    fn linger(&mut self) -> bool {
        if std::mem::replace(&mut self.lingering, true) {
            return false;
        }
        self.discarded_bytes = self.buffer.filled().len();
        self.buffer.consume(self.discarded_bytes);
        let _ = self.stream.shutdown(Shutdown::Write);
        true
    }
}

/// What came of a read from the socket.
fn read_outcome(result: std::io::Result<usize>) -> ReadOutcome {
    match result {
        Ok(0) => ReadOutcome::EndOfStream,
        Ok(_) => ReadOutcome::Progress,
        Err(error) if error.kind() == ErrorKind::WouldBlock => ReadOutcome::Nothing,
        Err(error) if error.kind() == ErrorKind::Interrupted => ReadOutcome::Progress,
        Err(_) => ReadOutcome::Failed,
    }
}
