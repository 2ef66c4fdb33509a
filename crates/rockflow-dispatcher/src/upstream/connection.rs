//! An established connection to a host.

use crate::attempt::{AttemptKey, CancelReason, EndedAttempts, OutgoingAttempt};
use crate::connection_pool::{lock, AttemptQueue, ConnectionPool, UpstreamConnection};
use crate::decision::message::DecisionMessage;
use crate::memory::{MemoryReservation, MemoryUse};
use crate::turns::Turn;
use crate::upstream::message::UpstreamMessage;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::Outcome;
use rockflow_protocol::upstream::{
    self, DecodeError, DecodedResponse, HealthCheckKind, HostResponse, Status,
};
use rockflow_protocol::{Buffer, INITIAL_CAPACITY_BYTES};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tracing::{debug, warn};

/// Limit on the remembered ids of a connection that never got a response, as a multiple of the attempts that it may
/// carry concurrently. A connection that reaches it is retired.
const MAX_UNANSWERED_FACTOR: usize = 8;

/// Why a connection fails.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error("end of stream")]
    EndOfStream,
    #[error("{0}")]
    Io(#[source] std::io::Error),
    #[error("incomplete response made no progress")]
    Stalled,
    #[error("too many unsent bytes: the host does not read")]
    HostNotReading,
    #[error("response exceeds the receive buffer")]
    OversizedResponse,
    #[error("no memory for a larger response")]
    OutOfMemory,
    #[error("\"unchanged\" in response to an attempt without a cached copy")]
    UnexpectedNotModified,
    #[error("{0}")]
    Malformed(#[from] DecodeError),
}

/// Result of writing the first bytes of an attempt to the socket.
enum SendOutcome {
    /// Writing may go on: the attempt was sent at least in part, was reported as not sent, or is retried after an
    /// interrupted system call.
    Done,
    /// The socket accepts no bytes at the moment.
    Blocked,
}

/// The attempts that are left when an established connection ends.
pub(super) struct EndedConnection {
    /// The attempts in flight, which may have executed.
    pub in_flight: EndedAttempts,
    /// The attempts that were not sent.
    pub unsent: Vec<OutgoingAttempt>,
}

/// An attempt whose first byte was sent.
struct SentAttempt {
    key: AttemptKey,
    sent_at: Duration,
    names_cached_copy: bool,
}

/// Owns the socket and the attempts on it. The host's actor reads the state in [`UpstreamConnection`].
pub(super) struct ConnectionActor<'a> {
    endpoint: &'a str,
    pool: &'a ConnectionPool,
    shared: &'a UpstreamConnection,
    queue: &'a AttemptQueue,
    stream: TcpStream,
    /// Encoded bytes that are being written.
    unsent_bytes: Vec<u8>,
    /// Attempts that are written after `unsent_bytes`.
    unsent_attempts: VecDeque<OutgoingAttempt>,
    /// Attempts in flight, by their id on the wire.
    in_flight: BTreeMap<String, SentAttempt>,
    /// Tags of the health checks in flight.
    health_checks: BTreeSet<u64>,
    buffer: Buffer,
    /// The memory of this buffer.
    buffer_memory: MemoryReservation,
    /// When data last arrived; zero if none has.
    last_received: Duration,
    /// When the receive buffer last became non-empty, usually with the first bytes of a response. `None` while it is
    /// empty.
    response_started: Option<Duration>,
    /// No attempts are taken from the queue, and the connection closes once nothing is in flight.
    retired: bool,
    /// Outcome of the attempts in flight when the connection ends, if the host is gone.
    outcome: Outcome,
}

impl<'a> ConnectionActor<'a> {
    pub(super) fn new(
        endpoint: &'a str,
        stream: TcpStream,
        pool: &'a ConnectionPool,
        shared: &'a UpstreamConnection,
        queue: &'a AttemptQueue,
    ) -> Self {
        ConnectionActor {
            endpoint,
            pool,
            shared,
            queue,
            stream,
            unsent_bytes: Vec::new(),
            unsent_attempts: VecDeque::new(),
            in_flight: BTreeMap::new(),
            health_checks: BTreeSet::new(),
            buffer: Buffer::new(upstream::MAX_RESPONSE_BYTES),
            buffer_memory: pool.memory.count(MemoryUse::Responses, 0),
            last_received: Duration::ZERO,
            response_started: None,
            retired: false,
            outcome: Outcome::MalformedResponse,
        }
    }

    /// Serves the connection until it fails or is retired and idle.
    pub(super) fn serve(&mut self) {
        let mut turn = Turn::default();
        loop {
            let mut progress = self.read_mailbox();
            match self.transfer() {
                Ok(transferred) => progress |= transferred,
                Err(error) => return self.log_end(&error),
            }
            let in_flight = self.in_flight.len() + self.unsent_attempts.len() + self.shared.mailbox.len();
            self.shared.in_flight.store(in_flight, Ordering::Relaxed);
            self.shared.health_checks.store(self.health_checks.len(), Ordering::Relaxed);
            if self.retired && self.in_flight.is_empty() && self.unsent_attempts.is_empty() {
                return debug!(endpoint = self.endpoint, "connection closed");
            }
            if progress {
                turn.end_round();
            } else {
                self.stream.wait_io();
                turn.restart();
            }
        }
    }

    /// Fails the health checks of this connection, and returns its attempts.
    pub(super) fn finish(self) -> EndedConnection {
        for tag in self.health_checks {
            let outcome = Outcome::ConnectionLost;
            self.pool.decisions.send(DecisionMessage::HealthCheckFailed { tag, outcome });
        }
        let in_flight = EndedAttempts {
            attempts: self.in_flight.into_values().map(|attempt| attempt.key).collect(),
            alive_if_received_since: None,
            outcome_if_gone: self.outcome,
            outcome_if_alive: Outcome::MalformedResponse,
        };
        EndedConnection { in_flight, unsent: self.unsent_attempts.into() }
    }

    /// Reads, takes an attempt from the queue, and writes; returns whether any of these made progress. Reading comes
    /// first to detect a close by the host: attempts that were not written yet can then be sent on another connection.
    fn transfer(&mut self) -> Result<bool, ConnectionError> {
        let has_read = self.read()?;
        // Checked only if nothing is left to read: a response is not stalled if the worker merely read it late.
        if !has_read {
            self.check_progress()?;
        }
        let has_taken = self.take_queued();
        let has_written = self.write()?;
        Ok(has_read | has_taken | has_written)
    }

    fn log_end(&self, error: &ConnectionError) {
        if self.in_flight.is_empty() {
            debug!(endpoint = self.endpoint, %error, "connection ended");
        } else {
            warn!(endpoint = self.endpoint, %error, attempts = self.in_flight.len(), "connection failed");
        }
    }

    /// Takes the oldest queued attempt that this connection may carry, if nothing is in flight or arriving on it.
    /// Returns whether it took one.
    fn take_queued(&mut self) -> bool {
        let is_free =
            self.in_flight.is_empty() && self.unsent_attempts.is_empty() && !self.shared.is_receiving();
        if !is_free || self.retired || self.queue.is_empty() || self.shared.is_exhausted(self.pool) {
            return false;
        }
        let Some(attempt) = self.queue.pop_for(self.shared) else { return false };
        self.shared.remember(&attempt.id, self.pool);
        self.enqueue(attempt);
        true
    }

    /// Handles all messages in the mailbox; returns whether there were any.
    fn read_mailbox(&mut self) -> bool {
        let mut progress = false;
        while let Some(message) = self.shared.mailbox.take() {
            progress = true;
            self.on_message(message);
        }
        progress
    }

    fn on_message(&mut self, message: UpstreamMessage) {
        match message {
            UpstreamMessage::Send(attempt) => self.enqueue(attempt),
            UpstreamMessage::Cancel { key, reason } => self.cancel(key, reason),
            UpstreamMessage::CheckHealth { tag, kind } => self.check_health(tag, kind),
            UpstreamMessage::Retire => self.retire(),
            // The message only has to wake the actor, which then calls `check_progress`.
            UpstreamMessage::Inspect => {}
        }
    }

    fn enqueue(&mut self, attempt: OutgoingAttempt) {
        self.unsent_attempts.push_back(attempt);
        *lock(&self.shared.last_used) = self.pool.clock.now();
    }

    fn check_health(&mut self, tag: u64, kind: HealthCheckKind) {
        self.unsent_bytes.extend_from_slice(&upstream::encode_health_check(&tag.to_string(), kind));
        self.health_checks.insert(tag);
    }

    fn cancel(&mut self, key: AttemptKey, reason: CancelReason) {
        // An attempt that was not sent yet is dropped without a message to the host.
        if self.unsent_attempts.iter().any(|attempt| attempt.key == key) {
            self.unsent_attempts.retain(|attempt| attempt.key != key);
            return;
        }
        let sent_attempt = self.in_flight.iter().find(|(_, attempt)| attempt.key == key);
        let Some((id, sent_at)) = sent_attempt.map(|(id, attempt)| (id.clone(), attempt.sent_at)) else {
            return;
        };
        self.in_flight.remove(&id);
        self.unsent_bytes.extend_from_slice(&upstream::encode_cancel(&id));
        // A connection to a machine that vanished or was cut off from the network stays open and silent, and recovers
        // late after the network does. Connecting anew shows at once whether the machine is reachable, so a connection
        // without data since this attempt was sent is retired. So is one on which the timed-out attempt was the last in
        // flight, as it is of no further use, and one with too many ids that never got a response.
        let is_silent = self.last_received < sent_at;
        let is_last_unanswered = reason == CancelReason::TimedOut && self.in_flight.is_empty();
        if is_silent || is_last_unanswered || self.has_too_many_unanswered() {
            self.retire();
        }
    }

    fn has_too_many_unanswered(&self) -> bool {
        let unanswered = lock(&self.shared.remembered_ids).values().filter(|id| !id.is_answered).count();
        unanswered >= MAX_UNANSWERED_FACTOR * self.pool.max_concurrent_attempts
    }

    fn retire(&mut self) {
        self.shared.exhausted.store(true, Ordering::Relaxed);
        self.retired = true;
    }

    /// Writes until the socket accepts no more bytes or nothing is left to write; returns whether anything was written.
    fn write(&mut self) -> Result<bool, ConnectionError> {
        let mut has_written = false;
        loop {
            while !self.unsent_bytes.is_empty() {
                match self.stream.inner().write(&self.unsent_bytes) {
                    Ok(length) => {
                        self.unsent_bytes.drain(..length);
                        has_written = true;
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        self.check_unsent()?;
                        return Ok(has_written);
                    }
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(error) => return Err(self.on_write_failed(error)),
                }
            }
            let Some(attempt) = self.unsent_attempts.pop_front() else { return Ok(has_written) };
            match self.send_attempt(attempt)? {
                SendOutcome::Done => has_written = true,
                SendOutcome::Blocked => {
                    self.check_unsent()?;
                    return Ok(has_written);
                }
            }
        }
    }

    /// Writes the first bytes of an attempt, or reports it as not sent if its permit is no longer valid.
    fn send_attempt(&mut self, attempt: OutgoingAttempt) -> Result<SendOutcome, ConnectionError> {
        let now = self.pool.clock.now();
        if !attempt.permit.start_sending(now) {
            let outcome = Outcome::NotSent;
            self.pool.decisions.send(DecisionMessage::AttemptFailed { key: attempt.key, outcome });
            return Ok(SendOutcome::Done);
        }
        match self.stream.inner().write(&attempt.line) {
            Ok(length) => {
                self.unsent_bytes.extend_from_slice(&attempt.line[length..]);
                let OutgoingAttempt { key, id, names_cached_copy, .. } = attempt;
                self.in_flight.insert(id, SentAttempt { key, sent_at: now, names_cached_copy });
                Ok(SendOutcome::Done)
            }
            Err(error) => {
                attempt.permit.undo_sending();
                self.unsent_attempts.push_front(attempt);
                match error.kind() {
                    ErrorKind::WouldBlock => Ok(SendOutcome::Blocked),
                    ErrorKind::Interrupted => Ok(SendOutcome::Done),
                    _ => Err(self.on_write_failed(error)),
                }
            }
        }
    }

    /// Reads the responses that arrived before a write failed, which would otherwise be lost with the connection.
    /// Returns the error with which the connection ends.
    fn on_write_failed(&mut self, write_error: std::io::Error) -> ConnectionError {
        loop {
            match self.read() {
                Ok(true) => {}
                Ok(false) => return self.on_connection_lost(ConnectionError::Io(write_error)),
                Err(read_error) => return read_error,
            }
        }
    }

    /// Fails if more bytes wait to be written than [`ConnectionPool::max_unsent_bytes`].
    fn check_unsent(&self) -> Result<(), ConnectionError> {
        let attempt_bytes = self.unsent_attempts.iter().map(|attempt| attempt.line.len()).sum::<usize>();
        if self.unsent_bytes.len() + attempt_bytes > self.pool.max_unsent_bytes {
            return Err(ConnectionError::HostNotReading);
        }
        Ok(())
    }

    /// Fails if a partly received response has stalled, because it blocks all later responses on the connection. The
    /// first line has to be complete within the connect timeout after its first byte, so a line that arrives byte by
    /// byte without end fails too. After the first line, the timeout restarts whenever data arrives.
    fn check_progress(&self) -> Result<(), ConnectionError> {
        let now = self.pool.clock.now();
        let has_first_line = self.buffer.filled().contains(&b'\n');
        let stalled_since = match self.response_started {
            Some(_) if has_first_line => Some(self.last_received),
            response_started => response_started,
        };
        let is_stalled =
            stalled_since.is_some_and(|since| now.saturating_sub(since) > self.pool.connect_timeout);
        if is_stalled {
            return Err(ConnectionError::Stalled);
        }
        Ok(())
    }

    /// Sets the outcome of the attempts in flight after the connection was lost. If part of a response had arrived, the
    /// host was alive and the outcome stays [`Outcome::MalformedResponse`].
    fn on_connection_lost(&mut self, error: ConnectionError) -> ConnectionError {
        if self.response_started.is_none() {
            self.outcome = Outcome::ConnectionLost;
        }
        error
    }

    /// Reads once from the socket and passes complete responses on; returns whether to read again.
    fn read(&mut self) -> Result<bool, ConnectionError> {
        // The initial capacity is reserved with the connection, and counts here once something has arrived.
        let next_capacity = self.buffer.next_capacity();
        if next_capacity > INITIAL_CAPACITY_BYTES && !self.buffer_memory.resize(next_capacity) {
            return Err(ConnectionError::OutOfMemory);
        }
        let Some(spare) = self.buffer.spare() else { return Err(ConnectionError::OversizedResponse) };
        match self.stream.inner().read(spare) {
            Ok(0) => return Err(self.on_connection_lost(ConnectionError::EndOfStream)),
            Ok(length) => self.buffer.commit(length),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(true),
            Err(error) => return Err(self.on_connection_lost(ConnectionError::Io(error))),
        }
        self.last_received = self.pool.clock.now();
        *lock(&self.shared.last_received) = self.last_received;
        while let Some(DecodedResponse { length, response }) =
            upstream::decode_response(self.buffer.filled())?
        {
            self.buffer.consume(length);
            self.on_response(response)?;
        }
        // The buffer may have been freed with the last response in it.
        self.buffer_memory.resize(self.buffer.capacity());
        let is_receiving = !self.buffer.filled().is_empty();
        self.response_started = is_receiving.then(|| self.response_started.unwrap_or(self.last_received));
        self.shared.receiving.store(is_receiving, Ordering::Relaxed);
        Ok(true)
    }

    fn on_response(&mut self, response: HostResponse) -> Result<(), ConnectionError> {
        let is_health_check = matches!(response.status, Status::Healthy | Status::Unhealthy);
        if let Some(remembered) = lock(&self.shared.remembered_ids).get_mut(&response.id) {
            remembered.is_answered = true;
        }
        if is_health_check {
            let tag = response.id.parse().ok().filter(|tag| self.health_checks.remove(tag));
            match tag {
                Some(tag) => {
                    self.pool.decisions.send(DecisionMessage::HealthCheckAnswered { tag, response });
                }
                None => self.log_unmatched(&response),
            }
            return Ok(());
        }
        let Some(attempt) = self.in_flight.get(&response.id) else {
            self.log_unmatched(&response);
            return Ok(());
        };
        if response.status == Status::NotModified && !attempt.names_cached_copy {
            return Err(ConnectionError::UnexpectedNotModified);
        }
        let key = attempt.key;
        self.in_flight.remove(&response.id);
        let memory = self.pool.memory.count(MemoryUse::Responses, response.body.capacity());
        self.pool.decisions.send(DecisionMessage::ResponseReceived { key, response, memory });
        Ok(())
    }

    /// Logs a well-formed response that matches no attempt or health check in flight: a late, duplicate or unrequested
    /// one.
    fn log_unmatched(&self, response: &HostResponse) {
        debug!(endpoint = self.endpoint, request = response.id, "response without a matching request");
    }
}
