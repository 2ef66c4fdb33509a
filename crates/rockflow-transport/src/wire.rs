//! What every thread with a socket of ours does alike: it takes datagrams and words, looks at the time, keeps to a rate,
//! and counts what is not taken. It decides nothing.

use crate::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tracing::warn;

/// Datagrams taken from the socket, and words taken, before time is looked at again.
const MAX_AT_ONCE: usize = 64;
/// Bytes a second that one process sends at the most, and the span over which a burst may use them up.
const MAX_RATE: f64 = 16.0 * 1024.0 * 1024.0;
const BURST: f64 = 0.25;
/// How often a peer's fault is said in the log: the first of each kind, and then every so many.
const SAID_EVERY: u64 = 1000;
/// The longest wait where nothing is due.
const IDLE: Duration = Duration::from_secs(1);

/// What went and came, and what did not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    pub frames_out: u64,
    pub bytes_out: u64,
    pub frames_in: u64,
    pub bytes_in: u64,
    /// Datagrams held back since more would have been sent than may be, and messages too large for one.
    pub held_back: u64,
    pub left_out: u64,
    /// Datagrams that were not taken, by why.
    pub faults: BTreeMap<DatagramError, u64>,
}

pub struct Wire {
    socket: UdpSocket,
    start: Instant,
    pub traffic: Traffic,
    /// Bytes that may be sent now, and as of when.
    room: f64,
    room_at: Duration,
}

impl Wire {
    pub fn new(socket: UdpSocket) -> Wire {
        let room = MAX_RATE * BURST;
        Wire { socket, start: Instant::now(), traffic: Traffic::default(), room, room_at: Duration::ZERO }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Guards against a link that takes the network from everything else: what is over its rate is not sent, and the
    /// machine sends again what matters.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        let now = self.now();
        let passed = now.saturating_sub(self.room_at).as_secs_f64();
        self.room = (self.room + passed * MAX_RATE).min(MAX_RATE * BURST);
        self.room_at = now;
        if self.room < bytes.len() as f64 {
            self.traffic.held_back += 1;
            return;
        }
        self.room -= bytes.len() as f64;
        // A datagram that can't go out is one that is lost.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.traffic.frames_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
        }
    }

    pub fn send_packed(&mut self, to: SocketAddr, (frames, left_out): (Vec<Vec<u8>>, usize)) {
        self.traffic.left_out += left_out as u64;
        frames.iter().for_each(|bytes| self.send(to, bytes));
    }

    pub fn fault(&mut self, fault: DatagramError, from: SocketAddr) {
        let count = self.traffic.faults.entry(fault).or_default();
        *count += 1;
        if *count % SAID_EVERY == 1 {
            warn!(%from, %fault, count, "datagram not taken");
        }
    }
}

/// A machine on its socket.
pub trait Carried {
    type Word;

    fn wire(&mut self) -> &mut Wire;
    fn datagram(&mut self, bytes: &[u8], from: SocketAddr);
    fn word(&mut self, word: Self::Word);
    fn next_due(&self) -> Option<Duration>;
    fn tick(&mut self);
    /// It has said its last.
    fn is_over(&self) -> bool {
        false
    }
}

/// Till the machine is over, nobody holds a way in, or the socket fails.
pub async fn run<C: Carried>(carried: &mut C, words: &mut mpsc::Receiver<C::Word>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    while !carried.is_over() {
        let now = carried.wire().now();
        let wait = carried.next_due().map_or(IDLE, |due| due.saturating_sub(now));
        tokio::select! {
            biased;
            readable = carried.wire().socket.readable() => {
                if let Err(what) = readable {
                    return warn!(%what, "the socket has failed");
                }
            }
            word = words.recv() => match word {
                Some(word) => carried.word(word),
                None => return,
            },
            () = tokio::time::sleep(wait) => {}
        }
        // What waits goes ahead of time: an answer that is here must not count as one that did not come.
        for _ in 0..MAX_AT_ONCE {
            match carried.wire().socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let traffic = &mut carried.wire().traffic;
                    traffic.frames_in += 1;
                    traffic.bytes_in += length as u64;
                    carried.datagram(&buffer[..length], from);
                }
                // Of a peer that is not there: nobody's fault here.
                Err(what) if what.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        for _ in 0..MAX_AT_ONCE {
            match words.try_recv() {
                Ok(word) => carried.word(word),
                Err(_) => break,
            }
        }
        let now = carried.wire().now();
        if carried.next_due().is_some_and(|due| due <= now) {
            carried.tick();
        }
    }
}

/// A socket that is bound now, so that whoever starts hears of a fault, and the thread in which it is used.
pub fn spawn<F>(name: &'static str, listen: SocketAddr, run: F) -> io::Result<SocketAddr>
where
    F: FnOnce(UdpSocket) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()>>> + Send + 'static,
{
    let socket = std::net::UdpSocket::bind(listen)?;
    socket.set_nonblocking(true)?;
    let listens_at = socket.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name(name.to_string()).spawn(move || {
        runtime.block_on(async move {
            match UdpSocket::from_std(socket) {
                Ok(socket) => run(socket).await,
                Err(what) => warn!(name, %what, "the socket can't be used"),
            }
        });
    })?;
    Ok(listens_at)
}
