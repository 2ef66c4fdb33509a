//! The event loop of a thread that owns a UDP socket: it passes datagrams, commands and timers to a driver, limits the
//! rate of sent bytes, and counts traffic and rejected datagrams.

use crate::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tracing::warn;

/// Maximum number of datagrams, and of commands, that are handled in one pass of the event loop before the timers.
const MAX_BATCH: usize = 64;
/// Refill rate of the token bucket that limits the bytes sent by one socket.
const MAX_BYTES_PER_SECOND: f64 = 16.0 * 1024.0 * 1024.0;
/// Size of the token bucket, as the time in which it refills from empty.
const BURST_SECONDS: f64 = 0.25;
/// For each reason, the first rejected datagram is logged, and then one in this many.
const REJECTED_PER_LOG_LINE: u64 = 1000;
/// Maximum wait for a datagram or command while no timer is set.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// Counters of a socket since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Datagrams passed to the operating system.
    pub frames_out: u64,
    /// Bytes of those datagrams, without IP and UDP headers.
    pub bytes_out: u64,
    /// Datagrams received, rejected ones included.
    pub frames_in: u64,
    /// Bytes of those datagrams, without IP and UDP headers.
    pub bytes_in: u64,
    /// Datagrams dropped by the limit of bytes sent per second.
    pub rate_limited: u64,
    /// Messages dropped because they don't fit into a datagram.
    pub oversized: u64,
    /// Received datagrams that were rejected, by reason.
    pub faults: BTreeMap<DatagramError, u64>,
}

/// A UDP socket with counters and a limit of the bytes sent per second.
pub struct DatagramSocket {
    socket: UdpSocket,
    start: Instant,
    /// Counters since the start.
    pub traffic: Traffic,
    /// Fill level of the token bucket: the bytes that may be sent now.
    tokens: f64,
    refilled_at: Duration,
}

impl DatagramSocket {
    /// Wraps a bound socket. [`DatagramSocket::now`] counts from this call.
    pub fn new(socket: UdpSocket) -> DatagramSocket {
        DatagramSocket {
            socket,
            start: Instant::now(),
            traffic: Traffic::default(),
            tokens: MAX_BYTES_PER_SECOND * BURST_SECONDS,
            refilled_at: Duration::ZERO,
        }
    }

    /// Time since the socket was created; the clock of the state machine on it.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sends a datagram, or drops it if it exceeds the rate limit, so that this traffic does not crowd out all else on
    /// the network. The state machines repeat the messages that matter.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.refill();
        if self.tokens < bytes.len() as f64 {
            self.traffic.rate_limited += 1;
            return;
        }
        self.tokens -= bytes.len() as f64;
        // A datagram that can't be sent counts as lost on the network.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.traffic.frames_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
        }
    }

    /// Sends the datagrams that [`Header::pack`](crate::datagram::Header::pack) returned, and counts the messages that
    /// it dropped.
    pub fn send_packed(&mut self, to: SocketAddr, (datagrams, oversized): (Vec<Vec<u8>>, usize)) {
        self.traffic.oversized += oversized as u64;
        for datagram in &datagrams {
            self.send(to, datagram);
        }
    }

    /// Counts a rejected datagram, and logs the first for each reason and some of the later ones.
    pub fn reject(&mut self, error: DatagramError, from: SocketAddr) {
        let count = self.traffic.faults.entry(error).or_default();
        *count += 1;
        if *count % REJECTED_PER_LOG_LINE == 1 {
            warn!(%from, fault = %error, count, "datagram rejected");
        }
    }

    fn refill(&mut self) {
        let now = self.now();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let capacity = MAX_BYTES_PER_SECOND * BURST_SECONDS;
        self.tokens = (self.tokens + elapsed * MAX_BYTES_PER_SECOND).min(capacity);
        self.refilled_at = now;
    }
}

/// A state machine and its socket, driven by [`run`].
pub trait SocketDriver {
    /// Commands that the rest of the process sends to it.
    type Command;

    /// The socket that [`run`] reads from.
    fn socket(&mut self) -> &mut DatagramSocket;
    /// Handles a received datagram.
    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr);
    /// Handles a command.
    fn on_command(&mut self, command: Self::Command);
    /// When to call [`SocketDriver::tick`] next, by [`DatagramSocket::now`]. `None` if no timer is set.
    fn next_due(&self) -> Option<Duration>;
    /// Runs the timers that are due.
    fn tick(&mut self);
    /// Whether the state machine was stopped, which ends [`run`].
    fn has_ended(&self) -> bool {
        false
    }
}

/// Runs the event loop until the driver has ended, all senders of commands are dropped, or the socket fails.
pub async fn run<D: SocketDriver>(driver: &mut D, commands: &mut mpsc::Receiver<D::Command>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    while !driver.has_ended() {
        let now = driver.socket().now();
        let wait = driver.next_due().map_or(MAX_IDLE, |due| due.saturating_sub(now));
        tokio::select! {
            biased;
            readable = driver.socket().socket.readable() => {
                if let Err(error) = readable {
                    return warn!(%error, "socket failed");
                }
            }
            command = commands.recv() => match command {
                Some(command) => driver.on_command(command),
                None => return,
            },
            () = tokio::time::sleep(wait) => {}
        }
        // Datagrams and commands go before timers: a reply that has already arrived must not count as timed out.
        receive_pending(driver, &mut buffer);
        for _ in 0..MAX_BATCH {
            match commands.try_recv() {
                Ok(command) => driver.on_command(command),
                Err(_) => break,
            }
        }
        let now = driver.socket().now();
        if driver.next_due().is_some_and(|due| due <= now) {
            driver.tick();
        }
    }
}

/// Passes pending datagrams to the driver, at most [`MAX_BATCH`] of them.
fn receive_pending<D: SocketDriver>(driver: &mut D, buffer: &mut [u8]) {
    for _ in 0..MAX_BATCH {
        match driver.socket().socket.try_recv_from(buffer) {
            Ok((length, from)) => {
                let traffic = &mut driver.socket().traffic;
                traffic.frames_in += 1;
                traffic.bytes_in += length as u64;
                driver.on_datagram(&buffer[..length], from);
            }
            // An ICMP reply to an earlier datagram whose receiver does not listen; this socket still works.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(_) => break,
        }
    }
}

/// Binds a UDP socket and starts a thread that runs `run` on it. Returns the local address of the socket. The socket is
/// bound before the thread starts, so that the caller gets the error if the address is in use.
///
/// # Errors
/// The socket can't be bound, or the thread or its runtime can't be started.
pub fn spawn<F>(name: &'static str, listen: SocketAddr, run: F) -> io::Result<SocketAddr>
where
    F: FnOnce(UdpSocket) -> Pin<Box<dyn Future<Output = ()>>> + Send + 'static,
{
    let socket = std::net::UdpSocket::bind(listen)?;
    socket.set_nonblocking(true)?;
    let local_address = socket.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name(name.to_string()).spawn(move || {
        runtime.block_on(async move {
            match UdpSocket::from_std(socket) {
                Ok(socket) => run(socket).await,
                Err(error) => warn!(name, %error, "socket can't be used"),
            }
        });
    })?;
    Ok(local_address)
}
