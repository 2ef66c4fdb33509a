//! The actor that reads the event board and passes each event on once, in order.

use crate::clock::Clock;
use crate::config::Config;
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{DiscoveryMessage, EndpointListMessage};
use crate::timer;
use may::coroutine;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow_protocol::discovery::{self, WatchStream};
use rockflow_protocol::Buffer;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{error, info, warn};

/// A comment comes each second: a board that says nothing for more than two has gone.
const SILENCE: Duration = Duration::from_millis(2300);
const CONNECT: Duration = Duration::from_millis(500);
/// The wait before the next call: from the first to the second, doubled with each failure, less by chance.
const WAIT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Part of the time that a drain may take up to which a call, or the wait before it, may last.
const DRAIN_PART: u32 = 4;

/// What is known of the connection to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryStatus {
    pub address: SocketAddr,
    pub last_revision: u64,
    pub last_received: Option<Duration>,
}

/// What others see of the board.
#[derive(Debug)]
pub struct SharedDiscoveryStatus {
    address: Mutex<SocketAddr>,
    last: AtomicU64,
    /// In milliseconds of the clock; 0: never.
    heard: AtomicU64,
}

impl SharedDiscoveryStatus {
    pub fn new(address: SocketAddr, last: u64) -> Arc<SharedDiscoveryStatus> {
        Arc::new(SharedDiscoveryStatus {
            address: Mutex::new(address),
            last: AtomicU64::new(last),
            heard: AtomicU64::new(0),
        })
    }

    /// The address, the number of the last event, and when it was last heard.
    pub fn read(&self) -> DiscoveryStatus {
        let heard = self.heard.load(Ordering::Relaxed);
        DiscoveryStatus {
            address: *self.address.lock().unwrap_or_else(PoisonError::into_inner),
            last_revision: self.last.load(Ordering::Relaxed),
            last_received: (heard > 0).then(|| Duration::from_millis(heard)),
        }
    }
}

/// How long nothing has been heard, and whether that has been said. Decides; does no I/O.
#[derive(Debug)]
pub struct SilenceDetector {
    since: Duration,
    limit: Duration,
    said: bool,
}

impl SilenceDetector {
    pub fn new(now: Duration, limit: Duration) -> SilenceDetector {
        SilenceDetector { since: now, limit, said: false }
    }

    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// How long it was, once it was said.
    pub fn heard(&mut self, now: Duration) -> Option<Duration> {
        let silent = now.saturating_sub(std::mem::replace(&mut self.since, now));
        std::mem::take(&mut self.said).then_some(silent)
    }

    /// How long it is by now, the first time that this is past the limit.
    pub fn grown(&mut self, now: Duration) -> Option<Duration> {
        let silent = now.saturating_sub(self.since);
        let news = silent > self.limit && !self.said;
        self.said |= news;
        news.then_some(silent)
    }
}

/// Follows the board at its told address from its told number on, passing events to `list`.
impl DiscoveryClient {
    pub fn new(clock: Clock, told: &Config, list: Arc<Mailbox<EndpointListMessage>>) -> DiscoveryClient {
        DiscoveryClient {
            clock,
            address: told.discovery_address,
            last: told.snapshot.revision,
            mail: Mailbox::new(),
            list,
            seen: SharedDiscoveryStatus::new(told.discovery_address, told.snapshot.revision),
            chance: oorandom::Rand64::new(u128::from(told.seed)),
            silence: SilenceDetector::new(clock.now(), told.wiring.drain_timeout),
            gap_borne: None,
            unread: None,
        }
    }
}

pub struct DiscoveryClient {
    pub clock: Clock,
    pub address: SocketAddr,
    pub last: u64,
    pub mail: Arc<Mailbox<DiscoveryMessage>>,
    pub list: Arc<Mailbox<EndpointListMessage>>,
    pub seen: Arc<SharedDiscoveryStatus>,
    pub chance: oorandom::Rand64,
    pub silence: SilenceDetector,
    /// What was asked for a second time: the number after a gap, and one that could not be read.
    pub gap_borne: Option<u64>,
    pub unread: Option<u64>,
}

impl DiscoveryClient {
    pub fn run(&mut self) {
        let mut wait = WAIT.0;
        loop {
            let (before, at) = (self.last, self.address);
            let what = self.poll().unwrap_or_else(|what| what);
            info!(what, last = self.last, "board connection over");
            self.watch();
            let longest = self.within_drain(WAIT.1);
            wait = if self.last > before || self.address != at { WAIT.0 } else { (2 * wait).min(longest) };
            let until = self.clock.now() + wait.mul_f64(0.5 + 0.5 * self.chance.rand_float());
            self.mail.wake_by(Wake::Park(coroutine::current()));
            while self.clock.now() < until && !self.moved() {
                timer::park(WAIT.0);
                self.watch();
            }
        }
    }

    /// Guards against a drain that is told late where little time is left for it: a board that is back is called in
    /// time to hear of one that began just then.
    fn within_drain(&self, most: Duration) -> Duration {
        most.min(self.silence.limit() / DRAIN_PART).max(WAIT.0)
    }

    /// Reads the mail; whether the board has another address now.
    fn moved(&mut self) -> bool {
        let at = self.address;
        while let Some(word) = self.mail.take() {
            if let DiscoveryMessage::SetAddress(address) = word {
                self.address = address;
                *self.seen.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
            }
        }
        self.address != at
    }

    /// One call, to its end; says why it is over. Nothing is asked of the socket but to connect, write and read:
    /// its own time limits are not to be had everywhere, and the wait here is bounded by what is heard.
    fn poll(&mut self) -> Result<String, String> {
        let fault = |what: std::io::Error| what.to_string();
        let stream = TcpStream::connect_timeout(&self.address, self.within_drain(CONNECT))
            .map_err(|what| format!("not connected: {what}"))?;
        self.mail.wake_by(Wake::Io(stream.waker()));
        let call = discovery::encode_watch_request(&self.address.to_string(), self.last);
        let (mut unwritten, mut heard) = (&call[..], self.clock.now());
        let (mut buffer, mut sent) = (Buffer::new(discovery::MAX_EVENT_BYTES), WatchStream::default());
        loop {
            if self.moved() {
                return Ok("moved".to_string());
            }
            self.watch();
            let asked = match unwritten {
                [] => Ok(true),
                rest => stream.inner().write(rest).map(|n| {
                    unwritten = &rest[n..];
                    false
                }),
            };
            let room = buffer.spare().ok_or("a head or chunk size without end")?;
            let read =
                asked.and_then(|asked| if asked { stream.inner().read(room).map(Some) } else { Ok(None) });
            match read {
                Ok(None) => {}
                Ok(Some(0)) => return Ok("ended".to_string()),
                Ok(Some(n)) => {
                    heard = self.clock.now();
                    self.heard(heard);
                    buffer.commit(n);
                    let taken = self.take(&mut sent, buffer.filled())?;
                    buffer.consume(taken);
                }
                Err(what) if what.kind() == ErrorKind::WouldBlock => {
                    if self.clock.now().saturating_sub(heard) > SILENCE {
                        return Err("silent".to_string());
                    }
                    stream.wait_io();
                }
                Err(what) if what.kind() == ErrorKind::Interrupted => {}
                Err(what) => return Err(fault(what)),
            }
        }
    }

    fn heard(&mut self, now: Duration) {
        if let Some(silent) = self.silence.heard(now) {
            info!(seconds = silent.as_secs_f64(), "board heard again");
        }
        self.seen.heard.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Says once that the board has been out of reach for longer than it may be.
    fn watch(&mut self) {
        if let Some(silent) = self.silence.grown(self.clock.now()) {
            error!(
                board = %self.address, last = self.last, seconds = silent.as_secs_f64(),
                "board unheard for longer than a drain may take; the last list is gone by"
            );
        }
    }

    /// Passes on what came whole, also ahead of a fault.
    fn take(&mut self, sent: &mut WatchStream, bytes: &[u8]) -> Result<usize, String> {
        let mut events = Vec::new();
        let taken = sent.decode(bytes, &mut events);
        for event in events {
            let (rev, next) = (event.revision, self.last + 1);
            if rev < next {
                continue;
            }
            // Also where a whole list comes behind the gap: a purge may be in it.
            if rev > next && self.gap_borne != Some(next) {
                // Asked for again once; what is missing after that is not to be had.
                self.gap_borne = Some(next);
                return Err(format!("events {next} to {} are missing", rev - 1));
            }
            if rev > next {
                warn!(from = next, to = rev - 1, "events lost");
            }
            self.last = rev;
            self.seen.last.store(rev, Ordering::Relaxed);
            self.list.send(EndpointListMessage::Event(event));
        }
        if sent.has_unreadable_event() {
            let next = self.last + 1;
            // Guards against asking for one that can't be read without end.
            if self.unread.replace(next) == Some(next) {
                warn!(from = next, to = next, "events lost");
                self.last = next;
            }
        }
        taken
    }
}
