//! The client of the discovery service: reads its event stream and passes each event on once, in order.

pub mod clock;
pub mod message;
mod silence;
mod status;

pub use silence::SilenceDetector;
pub use status::{DiscoveryStatus, SharedDiscoveryStatus};

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::message::DiscoveryMessage;
use crate::endpoint_list::message::EndpointListMessage;
use crate::mailbox::{Mailbox, Wake};
use crate::timer;
use may::coroutine;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow_protocol::discovery::{self, DecodeError, WatchEvent, WatchStream};
use rockflow_protocol::Buffer;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tracing::{error, info, warn};

/// A comment arrives each second: a stream on which nothing has arrived for more than two is dead.
const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(2300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The wait before the next connection: doubled with each failure up to the second, less by chance.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The share of the backoff that is not random.
const FIXED_BACKOFF_SHARE: f64 = 0.5;
/// A connection attempt, or the wait before it, lasts at most this part of the time that a drain may take.
const DRAIN_LIMIT_PARTS: u32 = 4;

/// Why a stream of events ended.
#[derive(Debug, Error)]
enum StreamEnd {
    #[error("moved")]
    AddressChanged,
    #[error("ended")]
    EndOfStream,
    #[error("not connected: {0}")]
    ConnectFailed(#[source] std::io::Error),
    #[error("a head or chunk size without end")]
    OversizedFraming,
    #[error("silent")]
    Silent,
    #[error("{0}")]
    Io(#[source] std::io::Error),
    #[error("{0}")]
    Malformed(#[from] DecodeError),
    #[error("notices {first} to {last} are missing")]
    MissingEvents { first: u64, last: u64 },
}

/// Owns the connection to the discovery service, and the revision up to which events were passed on.
pub struct DiscoveryClient {
    clock: Clock,
    address: SocketAddr,
    last_revision: u64,
    mailbox: Arc<Mailbox<DiscoveryMessage>>,
    endpoint_list: Arc<Mailbox<EndpointListMessage>>,
    status: Arc<SharedDiscoveryStatus>,
    rng: oorandom::Rand64,
    silence: SilenceDetector,
    /// The revision after a gap that was requested a second time.
    requested_gap: Option<u64>,
    /// The revision of an unreadable event that was requested a second time.
    requested_unreadable: Option<u64>,
}

impl DiscoveryClient {
    /// A client that passes events after the configured snapshot to `endpoint_list`.
    pub fn new(clock: Clock, config: &Config, endpoint_list: Arc<Mailbox<EndpointListMessage>>) -> Self {
        let (address, last_revision) = (config.discovery_address, config.snapshot.revision);
        DiscoveryClient {
            clock,
            address,
            last_revision,
            mailbox: Mailbox::new(),
            endpoint_list,
            status: SharedDiscoveryStatus::new(address, last_revision),
            rng: oorandom::Rand64::new(u128::from(config.seed)),
            silence: SilenceDetector::new(clock.now(), config.network_settings.drain_timeout),
            requested_gap: None,
            requested_unreadable: None,
        }
    }

    /// The mailbox of the client.
    pub fn mailbox(&self) -> Arc<Mailbox<DiscoveryMessage>> {
        self.mailbox.clone()
    }

    /// What others see of the connection.
    pub fn status(&self) -> Arc<SharedDiscoveryStatus> {
        self.status.clone()
    }

    /// Runs for ever: connects, passes events on, and connects again after a backoff.
    pub fn run(&mut self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let (revision_before, address_before) = (self.last_revision, self.address);
            let end = self.watch_events();
            info!(reason = %end, revision = self.last_revision, "discovery connection ended");
            self.check_silence();
            let has_succeeded = self.last_revision > revision_before || self.address != address_before;
            let max_backoff = self.within_drain_limit(MAX_BACKOFF);
            backoff = if has_succeeded { MIN_BACKOFF } else { (2 * backoff).min(max_backoff) };
            self.wait_backoff(backoff);
        }
    }

    fn wait_backoff(&mut self, backoff: Duration) {
        let random_share = (1.0 - FIXED_BACKOFF_SHARE) * self.rng.rand_float();
        let until = self.clock.now() + backoff.mul_f64(FIXED_BACKOFF_SHARE + random_share);
        self.mailbox.wake_by(Wake::Park(coroutine::current()));
        while self.clock.now() < until && !self.has_address_changed() {
            timer::park(MIN_BACKOFF);
            self.check_silence();
        }
    }

    /// Guards against a drain that is received late where little time is left for it: a service that is reachable again is
    /// connected in time for one that began just then.
    fn within_drain_limit(&self, max: Duration) -> Duration {
        max.min(self.silence.limit() / DRAIN_LIMIT_PARTS).max(MIN_BACKOFF)
    }

    /// Reads the mailbox; returns whether the service has another address now.
    fn has_address_changed(&mut self) -> bool {
        let before = self.address;
        while let Some(message) = self.mailbox.take() {
            if let DiscoveryMessage::SetAddress(address) = message {
                self.address = address;
                self.status.set_address(address);
            }
        }
        self.address != before
    }

    /// Connects and passes events on until the stream ends.
    fn watch_events(&mut self) -> StreamEnd {
        let mut connection = match self.connect() {
            Ok(connection) => connection,
            Err(error) => return StreamEnd::ConnectFailed(error),
        };
        loop {
            if self.has_address_changed() {
                return StreamEnd::AddressChanged;
            }
            self.check_silence();
            if let Err(end) = self.advance(&mut connection) {
                return end;
            }
        }
    }

    /// Nothing is asked of the socket but to connect, write and read: its own time limits are not available on every
    /// platform, and the wait here is bounded by what is received.
    fn connect(&mut self) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, self.within_drain_limit(CONNECT_TIMEOUT))?;
        self.mailbox.wake_by(Wake::Io(stream.waker()));
        Ok(Connection {
            stream,
            unwritten: discovery::encode_watch_request(&self.address.to_string(), self.last_revision),
            buffer: Buffer::new(discovery::MAX_EVENT_BYTES),
            decoder: WatchStream::default(),
            last_received: self.clock.now(),
        })
    }

    /// Writes or reads once, or waits until that is possible.
    fn advance(&mut self, connection: &mut Connection) -> Result<(), StreamEnd> {
        match connection.transfer()? {
            Transfer::Other => {}
            Transfer::Received => {
                connection.last_received = self.clock.now();
                self.on_received(connection.last_received);
                self.pass_events(connection)?;
            }
            Transfer::Blocked => {
                let silence = self.clock.now().saturating_sub(connection.last_received);
                if silence > STREAM_SILENCE_LIMIT {
                    return Err(StreamEnd::Silent);
                }
                connection.stream.wait_io();
            }
        }
        Ok(())
    }

    fn on_received(&mut self, now: Duration) {
        if let Some(silence) = self.silence.on_received(now) {
            info!(silent_seconds = silence.as_secs_f64(), "discovery reachable again");
        }
        self.status.set_received(now);
    }

    /// Reports once that nothing has been received for longer than a drain may take.
    fn check_silence(&mut self) {
        if let Some(silence) = self.silence.check(self.clock.now()) {
            error!(
                address = %self.address, revision = self.last_revision, silent_seconds = silence.as_secs_f64(),
                "discovery unreachable for longer than a drain may take, using the last endpoint list"
            );
        }
    }

    /// Passes on the events that are complete, also those before an error.
    fn pass_events(&mut self, connection: &mut Connection) -> Result<(), StreamEnd> {
        let mut events = Vec::new();
        let decoded = connection.decoder.decode(connection.buffer.filled(), &mut events);
        for event in events {
            self.pass_event(event)?;
        }
        if connection.decoder.has_unreadable_event() {
            self.skip_unreadable();
        }
        connection.buffer.consume(decoded?);
        Ok(())
    }

    fn pass_event(&mut self, event: WatchEvent) -> Result<(), StreamEnd> {
        let (revision, next) = (event.revision, self.last_revision + 1);
        if revision < next {
            return Ok(());
        }
        // Also where a full list follows the gap: a purge may be in it.
        if revision > next && self.requested_gap != Some(next) {
            // Requested again once; what is missing after that is not available.
            self.requested_gap = Some(next);
            return Err(StreamEnd::MissingEvents { first: next, last: revision - 1 });
        }
        if revision > next {
            warn!(first = next, last = revision - 1, "discovery events lost");
        }
        self.set_revision(revision);
        self.endpoint_list.send(EndpointListMessage::Event(event));
        Ok(())
    }

    /// Guards against requesting an event that can't be read without end: the second time it is skipped.
    fn skip_unreadable(&mut self) {
        let next = self.last_revision + 1;
        if self.requested_unreadable.replace(next) == Some(next) {
            warn!(first = next, last = next, "discovery events lost");
            self.last_revision = next;
        }
    }

    fn set_revision(&mut self, revision: u64) {
        self.last_revision = revision;
        self.status.set_revision(revision);
    }
}

/// A connection to the service.
struct Connection {
    stream: TcpStream,
    /// What is left to write of the request.
    unwritten: Vec<u8>,
    buffer: Buffer,
    decoder: WatchStream,
    last_received: Duration,
}

/// What came of one write or read.
enum Transfer {
    /// Something arrived.
    Received,
    /// Nothing arrived, and the next one may be tried at once.
    Other,
    Blocked,
}

impl Connection {
    fn transfer(&mut self) -> Result<Transfer, StreamEnd> {
        let result = if self.unwritten.is_empty() { self.read() } else { self.write() };
        match result {
            Ok(transfer) => Ok(transfer),
            Err(StreamEnd::Io(error)) if error.kind() == ErrorKind::WouldBlock => Ok(Transfer::Blocked),
            Err(StreamEnd::Io(error)) if error.kind() == ErrorKind::Interrupted => Ok(Transfer::Other),
            Err(end) => Err(end),
        }
    }

    fn write(&mut self) -> Result<Transfer, StreamEnd> {
        let written = self.stream.inner().write(&self.unwritten).map_err(StreamEnd::Io)?;
        self.unwritten.drain(..written);
        Ok(Transfer::Other)
    }

    fn read(&mut self) -> Result<Transfer, StreamEnd> {
        let spare = self.buffer.spare().ok_or(StreamEnd::OversizedFraming)?;
        match self.stream.inner().read(spare).map_err(StreamEnd::Io)? {
            0 => Err(StreamEnd::EndOfStream),
            length => {
                self.buffer.commit(length);
                Ok(Transfer::Received)
            }
        }
    }
}
