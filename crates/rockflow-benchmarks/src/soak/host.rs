//! A host of a run, which answers attempts as its profile says and records them in the ledger.

use super::answer::encode_copy;
use super::ledger::{unix_now, ReceivedAttempt, SharedLedger};
use super::plan::{HostProfile, Random};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// The longest padding of a large copy.
const MAX_PADDING_BYTES: u64 = 60_000;
/// The most answers of one connection that wait to be written.
const MAX_QUEUED_ANSWERS: usize = 1024;

/// What a host writes in reply to an attempt or health check.
enum Reply {
    /// Bytes that may hold no, one or several answers.
    Bytes(Vec<u8>),
    /// Bytes after which the connection is reset.
    Reset(Vec<u8>),
}

/// A host of a run. Its tasks end with the run.
pub(super) struct Host {
    name: String,
    profile: HostProfile,
    ledger: SharedLedger,
    rng: RefCell<Random>,
    /// The creation time of the cached copy of each object, in Unix milliseconds.
    copies: RefCell<HashMap<String, u64>>,
}

impl Host {
    /// Starts a host and returns the address at which it listens.
    pub(super) async fn start(
        name: &str,
        profile: HostProfile,
        seed: u64,
        ledger: SharedLedger,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let host = Rc::new(Host {
            name: name.to_string(),
            profile,
            ledger,
            rng: RefCell::new(Random::new(seed)),
            copies: RefCell::default(),
        });
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(host.clone().serve(stream));
            }
        });
        address
    }

    /// Reads attempts and health checks from one connection until it is closed. Health checks are always answered as
    /// healthy.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if self.profile == HostProfile::Resetting && self.rng.borrow_mut().chance(0.1) {
            return reset(stream);
        }
        let (read_half, write_half) = stream.into_split();
        let (replies, queue) = mpsc::channel(MAX_QUEUED_ANSWERS);
        tokio::task::spawn_local(write_replies(write_half, queue));
        let mut lines = BufReader::new(read_half).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                ["want", id, fields, _] => self.on_attempt(id, fields, &replies),
                ["there" | "busy", tag] => {
                    let _ = replies.send(Reply::Bytes(format!("{tag} well - 0\r\n\r\n").into_bytes())).await;
                }
                _ => {}
            }
        }
    }

    /// Records an attempt, and queues the reply after a delay.
    fn on_attempt(&self, id: &str, fields: &str, replies: &mpsc::Sender<Reply>) {
        let field =
            |name: &str| fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
        let status = self.choose_status();
        let reply = self.reply(id, status, field("k").unwrap_or_default(), field("oldest"));
        let attempt = ReceivedAttempt {
            host: self.name.clone(),
            id: u64::from_str_radix(id, 16).unwrap_or_default(),
            source: field("from").map(str::to_string),
            received_at: Instant::now(),
            is_known_not_executed: matches!(status, "absent" | "full" | "moot"),
        };
        let mut ledger = self.ledger.borrow_mut();
        ledger.add_event(Some(attempt.id), format!("{}: want {fields}, answers {status}", self.name));
        ledger.attempts.push(attempt);
        drop(ledger);
        let Some(reply) = reply else { return };
        let (delay, replies) = (self.choose_delay(), replies.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            let _ = replies.send(reply).await;
        });
    }

    /// The status of the answer, which is `data` unless the profile refuses the attempt.
    fn choose_status(&self) -> &'static str {
        let mut rng = self.rng.borrow_mut();
        let statuses = ["absent", "full", "failed", "moot"];
        if self.profile == HostProfile::Refusing && rng.chance(0.5) {
            return statuses[rng.between(0, 3) as usize];
        }
        "data"
    }

    /// The delay of the reply to an attempt.
    fn choose_delay(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        Duration::from_millis(match self.profile {
            HostProfile::Slow => rng.between(20, 700),
            _ => rng.between(0, 8),
        })
    }

    /// The reply to an attempt, with the fault of the profile if one is drawn; `None` to leave the attempt unanswered.
    fn reply(&self, id: &str, status: &str, object: &str, max_age_ms: Option<&str>) -> Option<Reply> {
        if status != "data" {
            return Some(Reply::Bytes(format!("{id} {status} - 0\r\n\r\n").into_bytes()));
        }
        let body = self.copy_of(object, max_age_ms);
        let head = format!("{id} data ver=t1,note=warm {}\r\n", body.len());
        let answer = [head.as_bytes(), &body, b"\r\n"].concat();
        let mut rng = self.rng.borrow_mut();
        let has_fault = rng.chance(0.4);
        let split = rng.between(0, answer.len() as u64 - 1) as usize;
        match self.profile {
            HostProfile::Hanging if has_fault => None,
            HostProfile::Resetting if has_fault => Some(Reply::Reset(answer[..split].to_vec())),
            // A complete answer, after which the connection is reset.
            HostProfile::Resetting if rng.chance(0.2) => Some(Reply::Reset(answer)),
            HostProfile::SendingExtraAnswers if has_fault => {
                Some(Reply::Bytes([&answer[..], &answer[..]].concat()))
            }
            HostProfile::SendingExtraAnswers if rng.chance(0.3) => {
                let unrequested = b"ffffffffffffffff data ver=t9 3\r\nxxx\r\n";
                Some(Reply::Bytes([&unrequested[..], &answer[..]].concat()))
            }
            HostProfile::Corrupting if has_fault => {
                Some(Reply::Bytes(corrupt(&answer, split, rng.between(0, 2))))
            }
            _ => Some(Reply::Bytes(answer)),
        }
    }

    /// The body of an answer: the cached copy, which is replaced by a new one first if it is older than `max_age_ms`.
    fn copy_of(&self, object: &str, max_age_ms: Option<&str>) -> Vec<u8> {
        let now_ms = unix_now().as_millis() as u64;
        let max_age_ms: Option<u64> = max_age_ms.and_then(|age| age.parse().ok());
        let mut copies = self.copies.borrow_mut();
        let created_at_ms = copies.entry(object.to_string()).or_insert(now_ms);
        if max_age_ms.is_some_and(|max_age| now_ms.saturating_sub(*created_at_ms) > max_age) {
            *created_at_ms = now_ms;
        }
        let mut rng = self.rng.borrow_mut();
        let is_large = rng.chance(0.2);
        let padding = rng.between(0, if is_large { MAX_PADDING_BYTES } else { 600 });
        encode_copy(object, *created_at_ms, padding as usize)
    }
}

/// Makes an answer that can't be parsed: noise, the start of the answer, or the answer with an invalid status.
fn corrupt(answer: &[u8], split: usize, kind: u64) -> Vec<u8> {
    match kind {
        0 => b"noise that is no answer\r\n".to_vec(),
        1 => answer[..split].to_vec(),
        _ => {
            let text = String::from_utf8_lossy(answer).replacen(" data ", " data_ ", 1);
            text.into_bytes()
        }
    }
}

/// Writes queued replies until the connection fails or a reply resets it.
async fn write_replies(mut write_half: OwnedWriteHalf, mut queue: mpsc::Receiver<Reply>) {
    while let Some(reply) = queue.recv().await {
        match reply {
            Reply::Bytes(bytes) => {
                if write_half.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            Reply::Reset(bytes) => {
                let _ = write_half.write_all(&bytes).await;
                let _ = socket2::SockRef::from(write_half.as_ref()).set_linger(Some(Duration::ZERO));
                // The shutdown sends the bytes that were written; closing both halves then resets the connection.
                let _ = socket2::SockRef::from(write_half.as_ref()).shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
