//! The state machine of one client connection: reads requests, writes responses, and decides when to close.

use crate::client::end_reason::EndReason;
use crate::client::message::ClientMessage;
use crate::client::outgoing::OutgoingResponse;
use crate::client::registry::{ClientRegistry, ClientSlot};
use crate::decision::message::DecisionMessage;
use crate::memory::{MemoryReservation, CLIENT_CONNECTION_BYTES};
use crate::turns::Turn;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::RequestId;
use rockflow_protocol::client::{
    self, ClientRequest, HttpStatus, ParsedRequest, Persistence, PipelinedBytes, Response,
};
use rockflow_protocol::{Buffer, INITIAL_CAPACITY_BYTES};
use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// Time without a complete request after which the connection is closed. Clients close a connection that is idle for
/// 4 s, so twice that means that the client has vanished.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for a complete request head to arrive. It runs from the accept for the first request of a connection, and
/// from the first byte of the head for later ones.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a client has to read its last response and close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the bytes that are discarded after a request or after the last response.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Holds one complete head and the start of a pipelined one.
const RECEIVE_BUFFER_BYTES: usize = 2 * client::MAX_HEAD_BYTES;
/// Size of the buffer for one read of bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// The result of one read from the socket.
enum ReadOutcome {
    /// No bytes are available, or the connection does not read at the moment.
    Nothing,
    /// The connection may have more to read: bytes arrived, or the call was interrupted.
    Progress,
    /// The client shut down its sending side.
    EndOfStream,
    /// The read returned an error, or the client sent more than the limit on discarded bytes.
    Failed,
}

/// The request on this connection that has no response yet.
struct OpenRequest {
    id: RequestId,
    /// Whether the client asked to keep the connection open after the response.
    persistence: Persistence,
}

/// Owns the state of one connection. Other actors see only its [`ClientSlot`].
pub(super) struct ClientConnection<'a> {
    registry: &'a ClientRegistry,
    stream: TcpStream,
    slot: Arc<ClientSlot>,
    buffer: Buffer,
    /// The memory of this connection, with what its buffer takes beyond its initial capacity.
    memory: MemoryReservation,
    /// Whether the memory budget kept the full buffer from growing when it was last read into.
    lacks_memory: bool,
    open_request: Option<OpenRequest>,
    /// Whether new bytes are discarded. Complete requests in the buffer still get their responses, then the connection
    /// closes.
    discards_input: bool,
    /// Number of bytes discarded while a request was open, or since the last response was written.
    discarded_bytes: usize,
    /// Whether the connection expired while idle: it closes unless a complete request is already in the buffer.
    close_pending: bool,
    /// Start of the head timeout: when the connection was accepted, the first byte of a head arrived, or the previous
    /// response was written if a pipelined head follows. `None` if no head is expected or arriving.
    head_started_at: Option<Duration>,
    /// Whether the buffered bytes are pipelined: they began to arrive before the previous response was written.
    is_pipelined: bool,
    /// Whether the registry has asked this connection to close if it is idle.
    eviction_pending: bool,
    /// Whether this connection's request is counted in `ClientRegistry::open_requests`.
    is_counted_as_open: bool,
    response: OutgoingResponse,
    /// Whether the connection closes after the current response, or now if none is being written.
    closes_after_response: bool,
    /// Whether the sending side is shut down and the connection waits for the client to close.
    is_lingering: bool,
    /// When bytes were last read into the buffer: no later than this the last byte of each buffered request arrived.
    received_at: Duration,
    /// When the connection was accepted, received a complete request, got a response to write, or wrote a part of one,
    /// whichever was last.
    last_progress_at: Duration,
}

impl<'a> ClientConnection<'a> {
    pub(super) fn new(
        registry: &'a ClientRegistry,
        stream: TcpStream,
        slot: Arc<ClientSlot>,
        memory: MemoryReservation,
    ) -> Self {
        let now = registry.clock.now();
        ClientConnection {
            registry,
            stream,
            slot,
            buffer: Buffer::new(RECEIVE_BUFFER_BYTES),
            memory,
            lacks_memory: false,
            open_request: None,
            discards_input: false,
            discarded_bytes: 0,
            close_pending: false,
            head_started_at: Some(now),
            is_pipelined: false,
            eviction_pending: false,
            is_counted_as_open: false,
            response: OutgoingResponse::default(),
            closes_after_response: false,
            is_lingering: false,
            received_at: now,
            last_progress_at: now,
        }
    }

    /// Serves requests until the connection ends. The error says why it ended.
    pub(super) fn serve(&mut self) -> Result<Infallible, EndReason> {
        let mut turn = Turn::default();
        loop {
            if self.serve_round()? {
                turn.end_round();
            } else {
                self.stream.wait_io();
                turn.restart();
            }
        }
    }

    /// Closes the mailbox and returns the request that has no response yet. Afterwards no attempt is sent for this
    /// client, because send permits check whether its mailbox is closed.
    pub(super) fn close(&mut self) -> Option<RequestId> {
        self.slot.mailbox.close();
        self.open_request.take().map(|request| request.id)
    }

    /// Removes the open request of this connection from the registry's counter.
    pub(super) fn release_counters(&mut self) {
        self.uncount_open_request();
    }

    /// Reads, handles messages, writes, and starts the next request. Returns whether any of these made progress.
    fn serve_round(&mut self) -> Result<bool, EndReason> {
        // Reads all available bytes before a response or a request starts. Pipelined bytes are then classified the
        // same way however the network split them, and no request starts for a client that has disconnected.
        match self.read() {
            ReadOutcome::EndOfStream => return Err(EndReason::EndOfStream),
            ReadOutcome::Failed => return Err(EndReason::ReadFailed),
            ReadOutcome::Progress => return Ok(true),
            ReadOutcome::Nothing => {}
        }
        let mut progress = self.handle_messages()?;
        let wrote = self.write().map_err(|_| EndReason::WriteFailed)?;
        progress |= if self.closes_after_response && self.response.is_complete() {
            self.start_lingering()
        } else {
            wrote
        };
        if !progress && self.is_idle() && !self.closes_after_response {
            progress = self.start_next();
        }
        if !progress && std::mem::take(&mut self.eviction_pending) && self.is_idle() {
            return Err(EndReason::Evicted);
        }
        Ok(progress)
    }

    fn handle_messages(&mut self) -> Result<bool, EndReason> {
        let mut progress = false;
        while let Some(message) = self.slot.mailbox.take() {
            match message {
                ClientMessage::Respond(request, response, memory) => {
                    progress |= self.respond_to(request, response, memory);
                }
                ClientMessage::Inspect => self.inspect()?,
                ClientMessage::Evict => self.eviction_pending = true,
            }
        }
        Ok(progress)
    }

    /// Checks the time limits. If one has passed, an idle connection closes after the requests in its buffer, and any
    /// other ends at once.
    fn inspect(&mut self) -> Result<(), EndReason> {
        if !self.is_expired() {
            return Ok(());
        }
        if !self.is_idle() || self.closes_after_response {
            return Err(EndReason::Expired);
        }
        self.close_pending = true;
        Ok(())
    }

    /// Whether the connection occupies its slot without use: the client vanished, sends its request too slowly, or
    /// does not read its response.
    fn is_expired(&self) -> bool {
        let now = self.registry.clock.now();
        let since_progress = now.saturating_sub(self.last_progress_at);
        if self.open_request.is_some() {
            return since_progress > 2 * self.registry.max_deadline;
        }
        if !self.response.is_complete() {
            return since_progress > self.registry.max_deadline;
        }
        if self.is_lingering {
            return since_progress > LINGER_TIMEOUT;
        }
        let is_head_late =
            self.head_started_at.is_some_and(|started| now.saturating_sub(started) > HEAD_TIMEOUT);
        self.is_closing() || since_progress > IDLE_TIMEOUT || is_head_late
    }

    /// Whether no request is open and the last response is completely written.
    fn is_idle(&self) -> bool {
        self.open_request.is_none() && self.response.is_complete()
    }

    fn is_closing(&self) -> bool {
        self.registry.closing.load(Ordering::Relaxed)
    }

    /// Starts the next buffered request, or closes the connection if it has expired. Call it only when no response is
    /// pending and nothing more can be read. Returns whether it did either.
    fn start_next(&mut self) -> bool {
        let has_partial_head = !self.buffer.filled().is_empty();
        if self.read_head() {
            return true;
        }
        if self.lacks_memory && has_partial_head {
            self.reject_unreadable_head();
            return true;
        }
        if !std::mem::take(&mut self.close_pending) {
            return false;
        }
        // An empty buffer needs no response. Incomplete pipelined bytes get no error response: the client could take
        // it for a second response to its previous request.
        if !has_partial_head || self.is_pipelined {
            self.close_without_response();
        } else if self.is_closing() {
            self.respond(Response::Rejected { retry_after: None }, Persistence::Close);
        } else {
            let timeout = HttpStatus::new(408, "Request Timeout");
            self.respond(Response::Invalid(timeout), Persistence::Close);
        }
        true
    }

    /// Ends the connection because there is no memory for the rest of a head.
    fn reject_unreadable_head(&mut self) {
        if self.is_pipelined {
            self.close_without_response();
        } else {
            self.respond(Response::Rejected { retry_after: None }, Persistence::Close);
        }
    }

    /// Closes the connection without a further response. Later bytes are discarded: the client sent them before it
    /// saw the connection close.
    fn close_without_response(&mut self) {
        self.closes_after_response = true;
        self.last_progress_at = self.registry.clock.now();
    }

    /// Handles the next request head in the buffer. Returns false if no head is complete.
    fn read_head(&mut self) -> bool {
        if self.buffer.filled().is_empty() {
            return false;
        }
        if self.is_pipelined && self.pipelined_bytes() == PipelinedBytes::Unusable {
            self.close_without_response();
            return true;
        }
        let Some(head) = client::decode_request(self.buffer.filled()) else { return false };
        self.buffer.consume(head.length);
        self.head_started_at = None;
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
            // Requests that arrive after the drain are rejected, because the process may exit before they complete.
            ParsedRequest::Fetch(_) if self.is_closing() => {
                self.respond(Response::Rejected { retry_after: None }, persistence);
            }
            // Keeps a pipelining client from holding its connection while no further connection can be accepted.
            ParsedRequest::Fetch(_) if self.discards_input && self.registry.ends_connections() => {
                self.respond(Response::Rejected { retry_after: None }, persistence);
            }
            ParsedRequest::Fetch(_) if self.registry.decisions.len() >= self.registry.max_queued_requests => {
                self.respond(Response::Rejected { retry_after: None }, persistence);
            }
            ParsedRequest::Fetch(request) => self.start_request(request, persistence),
        }
        true
    }

    fn start_request(&mut self, request: Box<ClientRequest>, persistence: Persistence) {
        let id = RequestId(self.registry.next_request_id());
        self.open_request = Some(OpenRequest { id, persistence });
        self.registry.open_requests.fetch_add(1, Ordering::Relaxed);
        self.is_counted_as_open = true;
        self.last_progress_at = self.registry.clock.now();
        // A pipelined request has been waiting, and its client's time with it.
        let arrived = self.received_at;
        self.slot.set_busy();
        let client = self.slot.mailbox.clone();
        self.registry.decisions.send(DecisionMessage::RequestReceived { id, request, client, arrived });
    }

    /// Responds to the open request. Returns false and drops the response if it belongs to another request.
    fn respond_to(
        &mut self,
        request: RequestId,
        response: Response,
        memory: Option<MemoryReservation>,
    ) -> bool {
        let Some(open) = self.open_request.take_if(|open| open.id == request) else { return false };
        self.respond(response, open.persistence);
        self.response.memory = memory;
        true
    }

    fn respond(&mut self, response: Response, requested: Persistence) {
        self.close_pending = false;
        let persistence = self.persistence_of_response(requested);
        let head = client::encode_response(&response, persistence);
        let body = if let Response::Succeeded { body, .. } = response { body } else { Vec::new() };
        self.response = OutgoingResponse { head, body, memory: None, written: 0 };
        self.closes_after_response = persistence == Persistence::Close;
        self.last_progress_at = self.registry.clock.now();
    }

    /// Whether the connection stays open after the current response. A connection that is about to close first
    /// answers the complete requests pipelined after this one. Pipelined bytes that cannot become a request close it.
    fn persistence_of_response(&mut self, requested: Persistence) -> Persistence {
        self.discards_input |= self.registry.ends_connections();
        match self.pipelined_bytes() {
            PipelinedBytes::Request => requested,
            PipelinedBytes::Nothing | PipelinedBytes::PartialRequest if !self.discards_input => requested,
            _ => Persistence::Close,
        }
    }

    /// Whether the buffer holds a request that can be answered, if only with an error.
    fn has_request(&self) -> bool {
        client::decode_request(self.buffer.filled()).is_some()
    }

    fn pipelined_bytes(&self) -> PipelinedBytes {
        client::classify_pipelined(self.buffer.filled())
    }

    /// Writes as much of the response as the socket accepts. Returns whether any byte was written.
    fn write(&mut self) -> std::io::Result<bool> {
        let mut wrote = false;
        while !self.response.is_complete() {
            match self.stream.inner().write(self.response.unwritten()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.response.written += length;
                    self.last_progress_at = self.registry.clock.now();
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
        if self.open_request.is_none() {
            self.uncount_open_request();
        }
        Ok(wrote)
    }

    fn on_response_written(&mut self) {
        self.response = OutgoingResponse::default();
        let pipelined = self.pipelined_bytes();
        self.is_pipelined = pipelined != PipelinedBytes::Nothing;
        // Closes the connection if unusable bytes follow the request: an error response to them would be a second
        // response to one request. Bytes that arrived while the response was being written are seen only here.
        self.closes_after_response |= pipelined == PipelinedBytes::Unusable;
        // The head timeout of a pipelined request starts once the previous response is written.
        self.head_started_at = (!self.buffer.filled().is_empty()).then_some(self.last_progress_at);
        // A connection that is closing has no response pending, so it is the first to be evicted.
        let idle_since = if self.closes_after_response { Duration::ZERO } else { self.last_progress_at };
        self.slot.set_idle_since(idle_since);
    }

    /// Removes this connection's request from the count of open requests, if it is counted.
    fn uncount_open_request(&mut self) {
        if std::mem::take(&mut self.is_counted_as_open) {
            self.registry.open_requests.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Reads from the socket, even while a request is open: otherwise a disconnect would go unnoticed.
    fn read(&mut self) -> ReadOutcome {
        if !self.discards_input && !self.is_lingering {
            self.lacks_memory = !self.reserve_buffer();
            let is_full = self.lacks_memory || self.buffer.spare().is_none();
            // With a full buffer, reading must go on to notice a disconnect, also before the next request starts, so
            // further bytes are discarded.
            self.discards_input = is_full && (self.open_request.is_some() || self.has_request());
            if is_full && !self.discards_input {
                return ReadOutcome::Nothing;
            }
        }
        if self.discards_input || self.is_lingering {
            return self.discard();
        }
        let Some(spare) = self.buffer.spare() else { return ReadOutcome::Nothing };
        let outcome = self.stream.inner().read(spare);
        if let Ok(length) = outcome {
            self.buffer.commit(length);
            self.received_at = self.registry.clock.now();
            if self.open_request.is_none() && self.head_started_at.is_none() {
                self.head_started_at = Some(self.registry.clock.now());
            }
        }
        read_outcome(outcome)
    }

    /// Reserves memory for the capacity that the buffer has or needs next. Returns false if the budget has no room.
    fn reserve_buffer(&mut self) -> bool {
        let growth = self.buffer.next_capacity().saturating_sub(INITIAL_CAPACITY_BYTES);
        self.memory.resize(CLIENT_CONNECTION_BYTES + growth)
    }

    /// Reads and discards bytes, up to a limit for clients that send without end. Beyond the limit, the read fails
    /// and ends the connection, unless it lingers: then it reads no more and waits for the client or the timeout.
    fn discard(&mut self) -> ReadOutcome {
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            return if self.is_lingering { ReadOutcome::Nothing } else { ReadOutcome::Failed };
        }
        let outcome = self.stream.inner().read(&mut [0; DISCARD_BUFFER_BYTES]);
        self.discarded_bytes += outcome.as_ref().map_or(0, |length| *length);
        read_outcome(outcome)
    }

    /// Starts a lingering close: shuts down the sending side, and then bytes are discarded until the client closes
    /// too. Closing a socket with unread bytes would reset the connection, and the client could lose its last
    /// response. Returns whether this call shut down the sending side.
    fn start_lingering(&mut self) -> bool {
        if std::mem::replace(&mut self.is_lingering, true) {
            return false;
        }
        self.discarded_bytes = self.buffer.filled().len();
        self.buffer.consume(self.discarded_bytes);
        let _ = self.stream.shutdown(Shutdown::Write);
        true
    }
}

/// Classifies the result of a non-blocking read.
fn read_outcome(result: std::io::Result<usize>) -> ReadOutcome {
    match result {
        Ok(0) => ReadOutcome::EndOfStream,
        Ok(_) => ReadOutcome::Progress,
        Err(error) if error.kind() == ErrorKind::WouldBlock => ReadOutcome::Nothing,
        Err(error) if error.kind() == ErrorKind::Interrupted => ReadOutcome::Progress,
        Err(_) => ReadOutcome::Failed,
    }
}
