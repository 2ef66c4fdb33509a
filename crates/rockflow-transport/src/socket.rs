//! What every thread with a socket does alike: it takes datagrams and commands, looks at the time, limits what is sent, and
//! counts what is rejected. It decides nothing.

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

/// Datagrams taken from the socket, and commands taken, before time is looked at again.
const MAX_AT_ONCE: usize = 64;
/// Bytes that one process sends per second, at most.
const MAX_BYTES_PER_SECOND: f64 = 16.0 * 1024.0 * 1024.0;
/// Seconds within which a burst may use them up.
const BURST_SECONDS: f64 = 0.25;
/// The first rejected datagram of each kind is logged, and then one in so many.
const REJECTED_PER_LOG_LINE: u64 = 1000;
/// The longest wait where nothing is due.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// What was sent, received and rejected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Datagrams sent.
    pub frames_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams received.
    pub frames_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Datagrams dropped by the limit of the bytes sent per second.
    pub held_back: u64,
    /// Messages too large for a datagram.
    pub left_out: u64,
    /// Datagrams rejected, by reason.
    pub faults: BTreeMap<DatagramError, u64>,
}

/// A socket whose traffic is counted and limited.
pub struct DatagramSocket {
    socket: UdpSocket,
    start: Instant,
    /// What was counted since the start.
    pub traffic: Traffic,
    /// Bytes that may be sent now.
    credit: f64,
    credit_updated_at: Duration,
}

impl DatagramSocket {
    /// Time counts from now on.
    pub fn new(socket: UdpSocket) -> DatagramSocket {
        DatagramSocket {
            socket,
            start: Instant::now(),
            traffic: Traffic::default(),
            credit: MAX_BYTES_PER_SECOND * BURST_SECONDS,
            credit_updated_at: Duration::ZERO,
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sends a datagram. One above the limit is dropped, so that dispatchers don't take the network from everything else;
    /// the state machines send again what matters.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.update_credit();
        if self.credit < bytes.len() as f64 {
            self.traffic.held_back += 1;
            return;
        }
        self.credit -= bytes.len() as f64;
        // A datagram that can't be sent is lost like any other.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.traffic.frames_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
        }
    }

    /// Sends what [`Header::pack`](crate::datagram::Header::pack) returns.
    pub fn send_packed(&mut self, to: SocketAddr, (datagrams, left_out): (Vec<Vec<u8>>, usize)) {
        self.traffic.left_out += left_out as u64;
        for datagram in &datagrams {
            self.send(to, datagram);
        }
    }

    /// Counts a datagram that is rejected, and logs some of them.
    pub fn reject(&mut self, error: DatagramError, from: SocketAddr) {
        let count = self.traffic.faults.entry(error).or_default();
        *count += 1;
        if *count % REJECTED_PER_LOG_LINE == 1 {
            warn!(%from, fault = %error, count, "datagram not taken");
        }
    }

    fn update_credit(&mut self) {
        let now = self.now();
        let elapsed = now.saturating_sub(self.credit_updated_at).as_secs_f64();
        let capacity = MAX_BYTES_PER_SECOND * BURST_SECONDS;
        self.credit = (self.credit + elapsed * MAX_BYTES_PER_SECOND).min(capacity);
        self.credit_updated_at = now;
    }
}

/// A state machine on its socket.
pub trait SocketDriver {
    /// What its owner asks of it.
    type Command;

    /// Its socket.
    fn socket(&mut self) -> &mut DatagramSocket;
    /// A datagram was received.
    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr);
    /// Its owner has sent a command.
    fn on_command(&mut self, command: Self::Command);
    /// When [`SocketDriver::tick`] is to be called; `None`: nothing is due.
    fn next_due(&self) -> Option<Duration>;
    /// Does what time alone requires.
    fn tick(&mut self);
    /// Whether it has ended by itself.
    fn has_ended(&self) -> bool {
        false
    }
}

/// Runs until the driver has ended, nobody holds a sender of commands, or the socket fails.
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
        // What waits goes ahead of time: an answer that is here must not count as one that did not arrive.
        receive_waiting(driver, &mut buffer);
        for _ in 0..MAX_AT_ONCE {
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

fn receive_waiting<D: SocketDriver>(driver: &mut D, buffer: &mut [u8]) {
    for _ in 0..MAX_AT_ONCE {
        match driver.socket().socket.try_recv_from(buffer) {
            Ok((length, from)) => {
                let traffic = &mut driver.socket().traffic;
                traffic.frames_in += 1;
                traffic.bytes_in += length as u64;
                driver.on_datagram(&buffer[..length], from);
            }
            // From a receiver that is not there, which says nothing about this socket.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(_) => break,
        }
    }
}

/// Binds a socket, so that the caller learns of an error, and starts the thread that uses it. Returns the socket's address.
///
/// # Errors
/// The socket can't be bound, or the thread or its runtime can't be started.
pub fn spawn<F>(name: &'static str, listen: SocketAddr, run: F) -> io::Result<SocketAddr>
where
    F: FnOnce(UdpSocket) -> Pin<Box<dyn Future<Output = ()>>> + Send + 'static,
{
    let socket = std::net::UdpSocket::bind(listen)?;
    socket.set_nonblocking(true)?;
    let listens_at = socket.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name(name.to_string()).spawn(move || {
        runtime.block_on(async move {
            match UdpSocket::from_std(socket) {
                Ok(socket) => run(socket).await,
                Err(error) => warn!(name, %error, "socket can't be used"),
            }
        });
    })?;
    Ok(listens_at)
}
