//! A cache host, parent or origin that answers each attempt after a fixed delay and records the attempts.

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

/// The most answers of one connection that wait to be written.
const MAX_QUEUED_ANSWERS: usize = 1024;
/// What a host without a cache answers to every attempt. The attempt's id precedes it.
const UNCACHED_ANSWER: &str = "data ver=t1,note=warm 5\r\nbytes\r\n";

/// An attempt that a host received, with the fields of its request line.
#[derive(Clone, Debug)]
pub struct RecordedAttempt {
    /// The time at which the host received the attempt.
    pub received_at: Instant,
    /// The id of the client's request, which all attempts for that request share.
    pub request_id: String,
    /// The host from which the receiver would fill a missing object; `None` if the attempt names none.
    pub source: Option<String>,
    /// The name of the requested object.
    pub object: String,
    /// The greatest age of a copy that may be served, in milliseconds; `None` if any age is acceptable.
    pub max_age_ms: Option<f64>,
}

/// A running host, which stops when the handle is dropped.
pub struct Host {
    /// The name of the host, which its thread carries too.
    pub name: String,
    /// The address at which the host listens.
    pub address: SocketAddr,
    state: Arc<HostState>,
    stop: watch::Sender<bool>,
}

impl Host {
    /// Starts a host that answers each attempt after `delay`. At first it records attempts and has no cache.
    ///
    /// # Panics
    /// If the host can't listen or its thread can't be started.
    pub fn start(name: &str, delay: Duration) -> Host {
        let (listener, address) = bind_loopback();
        let state = Arc::new(HostState::new(delay));
        let (stop, mut stopped) = watch::channel(false);
        let server_state = state.clone();
        spawn_thread(name, async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, server_state.clone()));
                    }
                    _ = stopped.changed() => return,
                }
            }
        });
        Host { name: name.to_string(), address, state, stop }
    }

    /// The number of attempts received so far, whether or not they were recorded.
    pub fn attempt_count(&self) -> u64 {
        self.state.attempt_count.load(Ordering::Relaxed)
    }

    /// Removes and returns the recorded attempts, in the order in which they arrived.
    pub fn take_attempts(&self) -> Vec<RecordedAttempt> {
        std::mem::take(&mut *lock(&self.state.attempts))
    }

    /// Gives the host a cache with one copy of each object. A copy that is older than an attempt accepts is replaced by
    /// a new one. Answers contain the number of the copy, which counts up from 1 for each object.
    pub fn enable_cache(&self) {
        lock(&self.state.copies).get_or_insert_default();
    }

    /// Makes the host count attempts without recording them, so that memory does not grow in a long run.
    pub fn stop_recording(&self) {
        self.state.is_recording.store(false, Ordering::Relaxed);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

/// The state that the handle of a host shares with its connections.
struct HostState {
    delay: Duration,
    is_recording: AtomicBool,
    attempts: Mutex<Vec<RecordedAttempt>>,
    attempt_count: AtomicU64,
    /// The cached copies by object; `None` if the host has no cache.
    copies: Mutex<Option<HashMap<String, CachedCopy>>>,
}

/// A copy of an object in the cache of a host.
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

    /// Counts an attempt, records it if recording is on, and returns the answer without the attempt's id.
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

    /// The answer to an attempt for an object, for which the cache is updated if there is one.
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

/// Answers the attempts and health checks of one connection. Each attempt is answered after the delay, independently of
/// the others; a health check is answered at once.
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

/// Writes queued answers until the connection fails or all senders are dropped.
async fn write_answers(mut write_half: OwnedWriteHalf, mut queue: mpsc::Receiver<String>) {
    while let Some(answer) = queue.recv().await {
        if write_half.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
