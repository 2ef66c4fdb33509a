//! The client of the discovery service: reads its event stream and forwards each event once, in order.

pub mod clock;
mod connection;
pub mod message;
mod overdue;
mod silence;
mod status;
mod stream_end;

pub use silence::SilenceDetector;
pub use status::{DiscoveryStatus, SharedDiscoveryStatus};

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::connection::{Connection, Transfer};
use crate::discovery::message::DiscoveryMessage;
use crate::discovery::overdue::OverdueConnection;
use crate::discovery::stream_end::StreamEnd;
use crate::endpoint_list::message::EndpointListMessage;
use crate::mailbox::{Mailbox, Wake};
use crate::purge_backlog::MAX_DELIVERY_DELAY;
use crate::timer;
use crate::turns::Turn;
use may::coroutine;
use may::net::TcpStream;
use rockflow_protocol::discovery::WatchEvent;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info, warn};

/// Upper limit of the time to connect; short drain times lower it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper limit of the time of the connect in the background.
const BACKGROUND_CONNECT_TIMEOUT: Duration = MAX_DELIVERY_DELAY;
/// The backoff before reconnecting doubles with each failure, from the minimum to the maximum, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The fraction of the backoff that is always waited; the remainder is random jitter.
const FIXED_BACKOFF_SHARE: f64 = 0.5;
/// A connection attempt, or the backoff before it, lasts at most the drain timeout divided by this.
const DRAIN_TIMEOUT_DIVISOR: u32 = 4;

/// Actor that owns the connections to the discovery service: the current one, and one with an overdue response.
pub struct DiscoveryClient {
    clock: Clock,
    address: SocketAddr,
    /// Revision of the last event that was forwarded or skipped.
    last_revision: u64,
    mailbox: Arc<Mailbox<DiscoveryMessage>>,
    /// Receives the events.
    endpoint_list: Arc<Mailbox<EndpointListMessage>>,
    turn: Turn,
    status: Arc<SharedDiscoveryStatus>,
    rng: oorandom::Rand64,
    silence: SilenceDetector,
    overdue: OverdueConnection,
    /// Whether the service has begun its event stream on the current connection.
    has_stream: bool,
    /// Whether a connect with more time runs beside the usual ones.
    connects_in_background: bool,
    /// First revision of the last gap for which the events were requested again.
    requested_gap: Option<u64>,
    /// Revision of the last malformed event that was requested again.
    requested_malformed: Option<u64>,
}

impl DiscoveryClient {
    /// Creates a client that sends events newer than the configured snapshot to `endpoint_list`.
    pub fn new(clock: Clock, config: &Config, endpoint_list: Arc<Mailbox<EndpointListMessage>>) -> Self {
        let (address, last_revision) = (config.discovery_address, config.snapshot.revision);
        DiscoveryClient {
            clock,
            address,
            last_revision,
            mailbox: Mailbox::new(),
            endpoint_list,
            turn: Turn::default(),
            status: SharedDiscoveryStatus::new(address, last_revision),
            rng: oorandom::Rand64::new(u128::from(config.seed)),
            silence: SilenceDetector::new(clock.now(), config.network_settings.drain_timeout),
            overdue: OverdueConnection::new(),
            has_stream: false,
            connects_in_background: false,
            requested_gap: None,
            requested_malformed: None,
        }
    }

    /// Returns the client's mailbox.
    pub fn mailbox(&self) -> Arc<Mailbox<DiscoveryMessage>> {
        self.mailbox.clone()
    }

    /// Returns the shared status of the connection, which this client keeps up to date.
    pub fn status(&self) -> Arc<SharedDiscoveryStatus> {
        self.status.clone()
    }

    /// Connects, forwards events, and reconnects after a backoff. Never returns.
    pub fn run(&mut self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let (revision_before, address_before) = (self.last_revision, self.address);
            let Err(end) = self.watch_events();
            self.has_stream = false;
            info!(reason = %end, revision = self.last_revision, "discovery connection ended");
            self.check_silence();
            let has_succeeded = self.last_revision > revision_before || self.address != address_before;
            let max_backoff = self.limited_by_drain_timeout(MAX_BACKOFF);
            backoff = if has_succeeded { MIN_BACKOFF } else { (2 * backoff).min(max_backoff) };
            self.wait_backoff(backoff);
        }
    }

    /// Waits until the service may be called again, its address has changed, or an overdue response has arrived.
    fn wait_backoff(&mut self, backoff: Duration) {
        let random_share = (1.0 - FIXED_BACKOFF_SHARE) * self.rng.rand_float();
        let until = self.clock.now() + backoff.mul_f64(FIXED_BACKOFF_SHARE + random_share);
        self.mailbox.wake_by(Wake::Park(coroutine::current()));
        while self.clock.now() < until && !self.has_address_changed() {
            if self.overdue.poll(self.clock.now()) {
                return;
            }
            timer::park(MIN_BACKOFF);
            self.check_silence();
        }
    }

    /// Limits the time until discovery is connected again, so that a drain that starts as the service becomes
    /// reachable is received early enough to be carried out within the drain timeout.
    fn limited_by_drain_timeout(&self, max: Duration) -> Duration {
        max.min(self.silence.limit() / DRAIN_TIMEOUT_DIVISOR).max(MIN_BACKOFF)
    }

    /// Processes the mailbox. Returns whether the address of the service has changed.
    fn has_address_changed(&mut self) -> bool {
        let old_address = self.address;
        while let Some(message) = self.mailbox.take() {
            match message {
                DiscoveryMessage::SetAddress(address) => {
                    self.address = address;
                    self.status.set_address(address);
                }
                DiscoveryMessage::BackgroundConnectEnded { address, result } => {
                    self.on_background_connect_ended(address, result);
                }
                DiscoveryMessage::Inspect => {}
            }
        }
        let has_changed = self.address != old_address;
        if has_changed {
            self.overdue.close();
        }
        has_changed
    }

    /// Connects, and forwards events until the stream ends.
    fn watch_events(&mut self) -> Result<Infallible, StreamEnd> {
        let mut connection = match self.overdue.take_answered(self.clock.now()) {
            Some(answered) => self.resume(answered)?,
            None => self.connect().map_err(StreamEnd::ConnectFailed)?,
        };
        loop {
            if self.has_address_changed() {
                return Err(StreamEnd::AddressChanged);
            }
            self.check_silence();
            if let Some(answered) = self.overdue.take_answered(self.clock.now()) {
                connection = self.resume(answered)?;
            }
            if let Err(end) = self.poll_connection(&mut connection) {
                if matches!(end, StreamEnd::ResponseOverdue) {
                    self.overdue.keep(connection);
                }
                return Err(end);
            }
        }
    }

    /// Makes a connection the current one whose response was overdue and has arrived.
    fn resume(&mut self, mut connection: Connection) -> Result<Connection, StreamEnd> {
        let now = self.clock.now();
        info!(response_seconds = connection.age(now).as_secs_f64(), "overdue response of discovery received");
        self.mailbox.wake_by(Wake::Io(connection.waker()));
        self.process_received(&mut connection, now)?;
        Ok(connection)
    }

    fn connect(&mut self) -> std::io::Result<Connection> {
        let timeout = self.limited_by_drain_timeout(CONNECT_TIMEOUT);
        let result = TcpStream::connect_timeout(&self.address, timeout);
        if result.as_ref().is_err_and(|error| error.kind() == ErrorKind::TimedOut) {
            self.connect_in_background();
        }
        let connection = Connection::new(result?, self.address, self.last_revision, self.clock.now());
        self.mailbox.wake_by(Wake::Io(connection.waker()));
        Ok(connection)
    }

    /// Connects once more beside the usual connects, which end too early for a slow handshake.
    fn connect_in_background(&mut self) {
        if self.connects_in_background {
            return;
        }
        self.connects_in_background = true;
        let (address, mailbox) = (self.address, self.mailbox.clone());
        may::go!(move || {
            let result = TcpStream::connect_timeout(&address, BACKGROUND_CONNECT_TIMEOUT);
            mailbox.send(DiscoveryMessage::BackgroundConnectEnded { address, result });
        });
    }

    /// Requests the events on the new connection if it leads to the right service and the events don't arrive yet.
    fn on_background_connect_ended(&mut self, address: SocketAddr, result: std::io::Result<TcpStream>) {
        self.connects_in_background = false;
        if address != self.address || self.has_stream {
            return;
        }
        if let Ok(stream) = result {
            self.overdue.keep(Connection::new(stream, address, self.last_revision, self.clock.now()));
        }
    }

    /// Processes what has arrived, or waits until something may have.
    fn poll_connection(&mut self, connection: &mut Connection) -> Result<(), StreamEnd> {
        let now = self.clock.now();
        match connection.transfer(now)? {
            Transfer::Received => {
                self.process_received(connection, now)?;
                self.turn.end_round();
                Ok(())
            }
            Transfer::Blocked => {
                connection.check_progress(now)?;
                connection.wait();
                self.turn.restart();
                Ok(())
            }
        }
    }

    fn process_received(&mut self, connection: &mut Connection, now: Duration) -> Result<(), StreamEnd> {
        self.on_received(now);
        self.forward_events(connection)?;
        if connection.has_begun() {
            self.has_stream = true;
            self.overdue.on_stream_begun();
        }
        Ok(())
    }

    fn on_received(&mut self, now: Duration) {
        if let Some(silence) = self.silence.on_received(now) {
            info!(silent_seconds = silence.as_secs_f64(), "discovery reachable again");
        }
        self.status.set_received(now);
    }

    /// Logs, once per silence, that nothing has been received for longer than the drain timeout.
    fn check_silence(&mut self) {
        if let Some(silence) = self.silence.check(self.clock.now()) {
            error!(
                address = %self.address, revision = self.last_revision, silent_seconds = silence.as_secs_f64(),
                "discovery unreachable for longer than the drain timeout, using the last endpoint list"
            );
        }
    }

    /// Forwards all complete events, including those that precede a decoding error.
    fn forward_events(&mut self, connection: &mut Connection) -> Result<(), StreamEnd> {
        let mut events = Vec::new();
        let decoded = connection.decode(&mut events);
        for event in events {
            self.forward_event(event)?;
        }
        if connection.has_unreadable_event() {
            self.skip_repeated_malformed_event();
        }
        Ok(decoded?)
    }

    fn forward_event(&mut self, event: WatchEvent) -> Result<(), StreamEnd> {
        let (revision, next) = (event.revision, self.last_revision + 1);
        if revision < next {
            return Ok(());
        }
        // A full endpoint list after the gap doesn't replace it, because the gap may contain purges.
        if revision > next && self.requested_gap != Some(next) {
            // The missing events are requested again once; if they are still missing, the service no longer
            // has them.
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

    /// Skips a malformed event that was already requested again, so that it isn't requested forever.
    fn skip_repeated_malformed_event(&mut self) {
        let next = self.last_revision + 1;
        if self.requested_malformed.replace(next) == Some(next) {
            warn!(first = next, last = next, "discovery events lost");
            self.last_revision = next;
        }
    }

    fn set_revision(&mut self, revision: u64) {
        self.last_revision = revision;
        self.status.set_revision(revision);
    }
}
