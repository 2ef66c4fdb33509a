//! Clients: each asks, waits for its one answer, asks again. Whatever is not exactly one whole answer is counted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct LoadSummary {
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Asked and never answered whole; answered more than once.
    pub unanswered: u64,
    pub duplicated: u64,
    /// Of the answered ones, in microseconds.
    pub took: Vec<u32>,
}

impl LoadSummary {
    pub fn answered(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// The time within which that share of the answers came.
    pub fn latency_percentile(&self, share: f64) -> Duration {
        let mut took = self.took.clone();
        took.sort_unstable();
        let at = ((took.len() as f64 * share).ceil() as usize).clamp(1, took.len().max(1)) - 1;
        Duration::from_micros(took.get(at).copied().unwrap_or(0).into())
    }

    fn add(&mut self, other: LoadSummary) {
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.duplicated += other.duplicated;
        self.took.extend(other.took);
    }
}

/// A stretch of the load's time: a request is of the one that ran when it was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadPhase(u16);

impl LoadPhase {
    /// The turn of a request, by the id under which a client asks it and a host is asked.
    pub fn from_request_id(id: &str) -> Option<LoadPhase> {
        u64::from_str_radix(id, 16).ok().map(|id| LoadPhase((id >> TURN_BITS) as u16))
    }
}

/// In an id, what is below its turn.
const TURN_BITS: u32 = 48;

/// What has come of the turn that runs, by client.
#[derive(Clone, Debug, Default)]
struct Progress {
    turn: LoadPhase,
    succeeded: Vec<u64>,
    /// Ended in any other way.
    otherwise: Vec<u64>,
}

impl Progress {
    fn next_turn(&mut self) -> LoadPhase {
        let clients = self.succeeded.len();
        let turn = LoadPhase(self.turn.0.checked_add(1).expect("fewer turns"));
        *self = Progress { turn, succeeded: vec![0; clients], otherwise: vec![0; clients] };
        turn
    }
}

pub struct Load {
    stop: watch::Sender<bool>,
    progress: Arc<watch::Sender<Progress>>,
    total: Arc<Mutex<LoadSummary>>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// So many clients, each with so long between an answer and its next request.
    pub fn start(address: SocketAddr, clients: usize, pause: Duration, seed: u64) -> Load {
        let (stop, stopped) = watch::channel(false);
        let total = Arc::new(Mutex::new(LoadSummary::default()));
        let sum = total.clone();
        let mut progress = Progress::default();
        (progress.succeeded, progress.otherwise) = (vec![0; clients], vec![0; clients]);
        let progress = Arc::new(watch::Sender::new(progress));
        let told = progress.clone();
        let thread = crate::thread("load", async move {
            let mut all = Vec::new();
            for number in 0..clients {
                let (stopped, seed) = (stopped.clone(), (seed << 20) + number as u64);
                all.push(tokio::spawn(client(address, pause, seed, stopped, number, told.clone())));
            }
            for one in all {
                if let Ok(tally) = one.await {
                    sum.lock().unwrap_or_else(PoisonError::into_inner).add(tally);
                }
            }
        });
        Load { stop, progress, total, thread: Some(thread) }
    }

    /// Begins another turn: what a client asks from now on is of this one.
    pub fn start_phase(&self) -> LoadPhase {
        let mut begun = LoadPhase::default();
        self.progress.send_modify(|progress| begun = progress.next_turn());
        begun
    }

    /// Begins another turn, and waits till each client has so often asked in it and been served. Whatever was open before
    /// is over then, as a client asks one request at a time. Panics past the limit, with what came of each client.
    pub async fn wait_until_served(&self, each: u64, limit: Duration) -> LoadPhase {
        let turn = self.start_phase();
        let mut told = self.progress.subscribe();
        let all = told.wait_for(|progress| progress.succeeded.iter().all(|count| *count >= each));
        let all = tokio::time::timeout(limit, all).await.is_ok();
        let now = self.progress.borrow();
        assert!(all, "{each} each not served within {limit:?}: {now:?}");
        assert_eq!(now.turn, turn, "one waits at a time");
        turn
    }

    /// Lets the open requests end, and counts.
    pub fn stop(mut self) -> LoadSummary {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.total.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn client(
    address: SocketAddr,
    pause: Duration,
    seed: u64,
    stopped: watch::Receiver<bool>,
    number: usize,
    told: Arc<watch::Sender<Progress>>,
) -> LoadSummary {
    let (mut tally, mut chance) = (LoadSummary::default(), oorandom::Rand64::new(u128::from(seed)));
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
        let turn = told.borrow().turn;
        let id = u64::from(turn.0) << TURN_BITS | id >> (u64::BITS - TURN_BITS);
        let ask = format!(
            "GET /invoke/pages/{object:016x}?part=0 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\n\
             X-Patience-Ms: 4000\r\nX-Group: 1\r\n\r\n"
        );
        let begun = Instant::now();
        if stream.write_all(ask.as_bytes()).await.is_err() {
            // A crossing with a close of an idle connection: asked again on another.
            continue;
        }
        let came = tokio::time::timeout(Duration::from_secs(8), answer(&mut stream)).await;
        told.send_modify(|progress| {
            let served = matches!(came, Ok(Ok((200 | 304, ..))));
            let counts = if served { &mut progress.succeeded } else { &mut progress.otherwise };
            counts[number] += u64::from(progress.turn == turn);
        });
        match came {
            Ok(Ok((status, more, close))) => {
                match status {
                    200 | 304 => tally.succeeded += 1,
                    429 | 503 => tally.rejected += 1,
                    _ => tally.failed += 1,
                }
                tally.duplicated += u64::from(more);
                tally.took.push(begun.elapsed().as_micros() as u32);
                if !close {
                    connection = Some(stream);
                }
            }
            _ => tally.unanswered += 1,
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause.mul_f64(0.5 + chance.rand_float())).await;
        }
    }
    // Guards against a second answer that comes after the first was read.
    if let Some(mut stream) = connection {
        let mut rest = [0; 64];
        let more = tokio::time::timeout(Duration::from_millis(20), stream.read(&mut rest)).await;
        tally.duplicated += u64::from(matches!(more, Ok(Ok(n)) if n > 0));
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
