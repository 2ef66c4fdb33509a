//! Clients: each asks, waits for its one answer, asks again. Whatever is not exactly one whole answer is counted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What became of the queries.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub succeeded: u64,
    pub dismissed: u64,
    pub terminated: u64,
    /// Asked and never answered whole; answered more than once.
    pub lost: u64,
    pub doubled: u64,
    /// Of the answered ones, in microseconds.
    pub took: Vec<u32>,
}

impl Tally {
    pub fn answered(&self) -> u64 {
        self.succeeded + self.dismissed + self.terminated
    }

    /// The time within which that share of the answers came.
    pub fn within(&self, share: f64) -> Duration {
        let mut took = self.took.clone();
        took.sort_unstable();
        let at = ((took.len() as f64 * share).ceil() as usize).clamp(1, took.len().max(1)) - 1;
        Duration::from_micros(took.get(at).copied().unwrap_or(0).into())
    }

    fn add(&mut self, other: Tally) {
        self.succeeded += other.succeeded;
        self.dismissed += other.dismissed;
        self.terminated += other.terminated;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.took.extend(other.took);
    }
}

pub struct Load {
    stop: watch::Sender<bool>,
    total: Arc<Mutex<Tally>>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// So many clients, each with so long between an answer and its next query.
    pub fn start(address: SocketAddr, clients: usize, pause: Duration, seed: u64) -> Load {
        let (stop, stopped) = watch::channel(false);
        let total = Arc::new(Mutex::new(Tally::default()));
        let sum = total.clone();
        let thread = crate::thread("load", async move {
            let mut all = Vec::new();
            for number in 0..clients {
                let (stopped, seed) = (stopped.clone(), (seed << 20) + number as u64);
                all.push(tokio::spawn(client(address, pause, seed, stopped)));
            }
            for one in all {
                if let Ok(tally) = one.await {
                    sum.lock().unwrap_or_else(PoisonError::into_inner).add(tally);
                }
            }
        });
        Load { stop, total, thread: Some(thread) }
    }

    /// Lets the open queries end, and counts.
    pub fn stop(mut self) -> Tally {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.total.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn client(address: SocketAddr, pause: Duration, seed: u64, stopped: watch::Receiver<bool>) -> Tally {
    let (mut tally, mut chance) = (Tally::default(), oorandom::Rand64::new(u128::from(seed)));
    let mut connection: Option<TcpStream> = None;
    while !*stopped.borrow() {
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    stream
                }
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
        };
        let (id, object) = (chance.rand_u64(), chance.rand_range(0..400));
        let ask = format!(
            "GET /invoke/pages/{object:016x}?part=0 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\n\
             X-Patience-Ms: 4000\r\nX-Group: 1\r\n\r\n"
        );
        let begun = Instant::now();
        if stream.write_all(ask.as_bytes()).await.is_err() {
            // A crossing with a close of an idle connection: asked again on another.
            continue;
        }
        match tokio::time::timeout(Duration::from_secs(8), answer(&mut stream)).await {
            Ok(Ok((status, more, close))) => {
                match status {
                    200 | 304 => tally.succeeded += 1,
                    429 | 503 => tally.dismissed += 1,
                    _ => tally.terminated += 1,
                }
                tally.doubled += u64::from(more);
                tally.took.push(begun.elapsed().as_micros() as u32);
                if !close {
                    connection = Some(stream);
                }
            }
            _ => tally.lost += 1,
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause.mul_f64(0.5 + chance.rand_float())).await;
        }
    }
    // Guards against a second answer that comes after the first was read.
    if let Some(mut stream) = connection {
        let mut rest = [0; 64];
        let more = tokio::time::timeout(Duration::from_millis(20), stream.read(&mut rest)).await;
        tally.doubled += u64::from(matches!(more, Ok(Ok(n)) if n > 0));
    }
    tally
}

/// One whole answer: its status, whether more came with it, and whether the connection ends.
async fn answer(stream: &mut TcpStream) -> std::io::Result<(u16, bool, bool)> {
    let mut held = Vec::with_capacity(512);
    let ended = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    loop {
        if let Some(head) = held.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&held[..head]).to_string();
            let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or_else(ended)?;
            let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let length: usize = length.and_then(|word| word.parse().ok()).unwrap_or(0);
            let whole = head + 4 + length;
            while held.len() < whole {
                if stream.read_buf(&mut held).await? == 0 {
                    return Err(ended());
                }
            }
            return Ok((status, held.len() > whole, text.contains("Connection: close")));
        }
        if stream.read_buf(&mut held).await? == 0 {
            return Err(ended());
        }
    }
}
