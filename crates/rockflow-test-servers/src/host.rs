//! A cache host, parent or origin: it answers each attempt after a delay, and records what it received.

use crate::runtime::{bind_loopback, spawn_thread};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Answers of one connection that wait to be written.
const MAX_QUEUED_ANSWERS: usize = 1024;
/// The answer of a host without a cache, behind the attempt's id.
const UNCACHED_ANSWER: &str = "data ver=t1,note=warm 5\r\nbytes\r\n";

/// An attempt as a host received it.
#[derive(Clone, Debug)]
pub struct RecordedAttempt {
    /// When it was received.
    pub received_at: Instant,
    /// The id of the client's request.
    pub request_id: String,
    /// The source that a miss would be filled from.
    pub source: Option<String>,
    /// The object that was requested.
    pub object: String,
    /// The greatest age of an acceptable copy, in milliseconds.
    pub max_age_ms: Option<f64>,
}

/// A host, which stops when dropped.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<HostState>,
    stop: watch::Sender<bool>,
}

impl Host {
    /// Starts a host that answers each attempt after `delay`, records attempts, and has no cache.
    ///
    /// # Panics
    /// If it can't listen or start its thread.
    pub fn start(name: &str, delay: Duration) -> Host {
        let (listener, address) = bind_loopback();
        let state = Arc::new(HostState::new(delay));
        let (stop, mut stopped) = watch::channel(false);
        let serving = state.clone();
        spawn_thread(name, async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, serving.clone()));
                    }
                    _ = stopped.changed() => return,
                }
            }
        });
        Host { name: name.to_string(), address, state, stop }
    }

    /// How many attempts it has received, recorded or not.
    pub fn attempt_count(&self) -> u64 {
        self.state.attempt_count.load(Ordering::Relaxed)
    }

    /// Removes and returns the recorded attempts, in the order in which they were received.
    pub fn take_attempts(&self) -> Vec<RecordedAttempt> {
        std::mem::take(&mut *lock(&self.state.attempts))
    }

    /// From now on it caches a copy of each object, fills it anew where it is older than an attempt accepts, and answers
    /// with the copy's number.
    pub fn enable_cache(&self) {
        lock(&self.state.copies).get_or_insert_default();
    }

    /// From now on attempts are only counted, so that memory stays small in a long run.
    pub fn stop_recording(&self) {
        self.state.is_recording.store(false, Ordering::Relaxed);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

/// What a host's handle and its connections share.
struct HostState {
    delay: Duration,
    is_recording: AtomicBool,
    attempts: Mutex<Vec<RecordedAttempt>>,
    attempt_count: AtomicU64,
    /// Cached copies by object; `None` for a host without a cache.
    copies: Mutex<Option<HashMap<String, CachedCopy>>>,
}

/// A copy that a host has cached.
#[derive(Clone, Copy)]
struct CachedCopy {
    number: u64,
    filled_at: Instant,
}

impl HostState {
    fn new(delay: Duration) -> HostState {
        HostState {
            delay,
            is_recording: AtomicBool::new(true),
            attempts: Mutex::default(),
            attempt_count: AtomicU64::new(0),
            copies: Mutex::default(),
        }
    }

    /// Records an attempt and returns its answer, without the attempt's id.
    fn on_attempt(&self, request_id: &str, fields: &str) -> String {
        self.attempt_count.fetch_add(1, Ordering::Relaxed);
        let field = |prefix: &str| fields.split(',').find_map(|field| field.strip_prefix(prefix));
        let object = field("k=").unwrap_or_default();
        let max_age_ms = field("oldest=").and_then(|ms| ms.parse().ok());
        let answer = self.answer(object, max_age_ms);
        if self.is_recording.load(Ordering::Relaxed) {
            let attempt = RecordedAttempt {
                received_at: Instant::now(),
                request_id: request_id.to_string(),
                source: field("from=").map(str::to_string),
                object: object.to_string(),
                max_age_ms,
            };
            lock(&self.attempts).push(attempt);
        }
        answer
    }

    fn answer(&self, object: &str, max_age_ms: Option<f64>) -> String {
        let mut copies = lock(&self.copies);
        let Some(copies) = copies.as_mut() else { return UNCACHED_ANSWER.to_string() };
        let first = CachedCopy { number: 1, filled_at: Instant::now() };
        let copy = copies.entry(object.to_string()).or_insert(first);
        let age_ms = copy.filled_at.elapsed().as_secs_f64() * 1e3;
        if max_age_ms.is_some_and(|max_age_ms| age_ms > max_age_ms) {
            *copy = CachedCopy { number: copy.number + 1, ..first };
        }
        let number = copy.number;
        let body = format!("copy {number}");
        format!("data ver=t{number},note=warm {}\r\n{body}\r\n", body.len())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers the attempts and health checks of one connection, each when its delay is over.
async fn serve(stream: TcpStream, state: Arc<HostState>) {
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let (answers, queue) = mpsc::channel(MAX_QUEUED_ANSWERS);
    tokio::spawn(write_answers(write_half, queue));
    let mut lines = BufReader::new(read_half).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["want", id, fields, _] => {
                let answer = format!("{id} {}", state.on_attempt(id, fields));
                let (delay, answers) = (state.delay, answers.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = answers.send(answer).await;
                });
            }
            ["there" | "busy", tag] => {
                let _ = answers.send(format!("{tag} well - 0\r\n\r\n")).await;
            }
            _ => {}
        }
    }
}

async fn write_answers(mut write_half: OwnedWriteHalf, mut queue: mpsc::Receiver<String>) {
    while let Some(answer) = queue.recv().await {
        if write_half.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
