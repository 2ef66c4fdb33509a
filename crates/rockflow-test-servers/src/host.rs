//! A cache host, parent or origin: answers what it is asked after a while, and keeps when each attempt came.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as Listener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// What is kept of one attempt.
#[derive(Clone, Debug)]
pub struct RecordedAttempt {
    pub received_at: Instant,
    /// The id under which the client asked.
    pub request_id: String,
    /// The source that a miss would be filled from.
    pub source: Option<String>,
    pub object: String,
    /// The oldest copy that would do, in milliseconds.
    pub max_age_ms: Option<f64>,
}

/// A copy that a host holds, by its number and the time at which it was filled.
#[derive(Clone, Copy, Debug)]
struct Copy {
    number: u64,
    filled: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    came: Mutex<Vec<RecordedAttempt>>,
    /// Only attempts from here on are kept, so that a long run stays small.
    keep: AtomicBool,
    attempts: AtomicU64,
    /// By object, where copies are held.
    copies: Mutex<Option<HashMap<String, Copy>>>,
    delay_us: AtomicU64,
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

impl Host {
    /// Answers each attempt after so long.
    pub fn start(name: &str, delay: Duration) -> Host {
        let listener = Listener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("nonblocking");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared { keep: AtomicBool::new(true), ..Shared::default() });
        shared.delay_us.store(delay.as_micros() as u64, Ordering::Relaxed);
        let (stop, mut stopped) = watch::channel(false);
        let held = shared.clone();
        crate::thread(name, async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, held.clone()));
                    }
                    _ = stopped.changed() => return,
                }
            }
        });
        Host { name: name.to_string(), address, shared, stop }
    }

    /// Attempts since the start.
    pub fn attempt_count(&self) -> u64 {
        self.shared.attempts.load(Ordering::Relaxed)
    }

    /// Takes what was kept of the attempts so far.
    pub fn take_attempts(&self) -> Vec<RecordedAttempt> {
        std::mem::take(&mut *lock(&self.shared.came))
    }

    /// From here on it holds a copy of each object that it is asked for, fills it anew where it is older than an attempt
    /// takes, and answers with `copy` and the copy's number.
    pub fn enable_cache(&self) {
        lock(&self.shared.copies).get_or_insert_default();
    }

    pub fn stop_recording(&self) {
        self.shared.keep.store(false, Ordering::Relaxed);
    }
}

fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// What an attempt is answered with, whose copy may be so old.
    fn answer(&self, object: &str, oldest: Option<f64>) -> String {
        let mut copies = lock(&self.copies);
        let Some(copies) = copies.as_mut() else { return "data ver=t1,note=warm 5\r\nbytes\r\n".to_string() };
        let fresh = Copy { number: 1, filled: Instant::now() };
        let copy = copies.entry(object.to_string()).or_insert(fresh);
        if oldest.is_some_and(|oldest| copy.filled.elapsed().as_secs_f64() * 1e3 > oldest) {
            *copy = Copy { number: copy.number + 1, ..fresh };
        }
        let (body, number) = (format!("copy {}", copy.number), copy.number);
        format!("data ver=t{number},note=warm {}\r\n{body}\r\n", body.len())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (sender, mut receiver) = mpsc::channel::<String>(1024);
    tokio::spawn(async move {
        while let Some(answer) = receiver.recv().await {
            if write.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["want", id, fields, _] => {
                shared.attempts.fetch_add(1, Ordering::Relaxed);
                let field = |name: &str| fields.split(',').find_map(|field| field.strip_prefix(name));
                let object = field("k=").unwrap_or_default();
                let oldest = field("oldest=").and_then(|ms| ms.parse().ok());
                let answer = shared.answer(object, oldest);
                if shared.keep.load(Ordering::Relaxed) {
                    let source = field("from=").map(str::to_string);
                    let (id, object) = (id.to_string(), object.to_string());
                    lock(&shared.came).push(RecordedAttempt {
                        received_at: Instant::now(),
                        request_id: id,
                        source,
                        object,
                        max_age_ms: oldest,
                    });
                }
                let (id, sender) = (id.to_string(), sender.clone());
                let delay = Duration::from_micros(shared.delay_us.load(Ordering::Relaxed));
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = sender.send(format!("{id} {answer}")).await;
                });
            }
            ["there" | "busy", tag] => {
                let _ = sender.send(format!("{tag} well - 0\r\n\r\n")).await;
            }
            _ => {}
        }
    }
}
