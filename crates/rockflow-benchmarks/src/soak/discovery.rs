//! The discovery service of a run. It sends numbered events on open streams, and can be made to misbehave.

use super::ledger::SharedLedger;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How often a comment is sent on a stream to keep it alive.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// How often the task of a stream checks for a fault and for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest request head; a connection whose request exceeds it is closed.
const MAX_HEAD_BYTES: usize = 4096;

/// What an event announces, as far as the ledger records it.
enum Subject {
    /// A purge, by its index in the ledger.
    Purge { number: usize },
    /// The drain of a host.
    Drain { host: String },
    /// An event that the checks don't use.
    Other,
}

/// An event with its revision, the text that is written to streams, and its subject.
struct Event {
    revision: u64,
    text: String,
    subject: Subject,
}

/// A discovery service, which sends the same events at each address at which it listens.
pub(super) struct Discovery {
    events: RefCell<Vec<Event>>,
    next_revision: Cell<u64>,
    event_published: Notify,
    /// Streams opened before this time send nothing more, but stay open; `None` until the fault is injected.
    silenced_at: Cell<Option<Instant>>,
    /// Whether the stream that sends the next event sends half of it and closes.
    truncates_next_event: Cell<bool>,
    ledger: SharedLedger,
}

impl Discovery {
    /// Creates a service whose first event has the given revision.
    pub(super) fn new(first_revision: u64, ledger: SharedLedger) -> Rc<Discovery> {
        Rc::new(Discovery {
            events: RefCell::default(),
            next_revision: Cell::new(first_revision),
            event_published: Notify::new(),
            silenced_at: Cell::new(None),
            truncates_next_event: Cell::new(false),
            ledger,
        })
    }

    /// Starts listening at a new address, in addition to earlier ones, and returns it.
    pub(super) async fn listen(self: &Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let service = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let service = service.clone();
                tokio::task::spawn_local(async move {
                    let _ = service.serve(stream).await;
                });
            }
        });
        address
    }

    /// Announces the state of a host, given as its entry in the discovery protocol.
    pub(super) fn announce(&self, instance: Value) {
        let host = instance["instanceId"].as_str().unwrap_or_default().to_string();
        let is_drain = instance["lifecycle"] == "leaving";
        let subject = if is_drain { Subject::Drain { host } } else { Subject::Other };
        self.publish(json!({"pool": {"instances": [instance]}}), subject);
    }

    /// Announces the purge of an object. `number` is the index of the purge in the ledger.
    pub(super) fn purge(&self, number: usize, object: &str, issued_at_ms: u64) {
        self.publish(json!({"flush": {"asset": object, "ms": issued_at_ms}}), Subject::Purge { number });
    }

    /// Makes all streams that are open now send nothing more. Streams that are opened later work as usual.
    pub(super) fn silence_open_streams(&self) {
        self.silenced_at.set(Some(Instant::now()));
    }

    /// Makes the stream that sends the next event close in the middle of it.
    pub(super) fn truncate_next_event(&self) {
        self.truncates_next_event.set(true);
    }

    /// The revision of the last event and all events so far, in the format of the dispatcher's configuration.
    pub(super) fn snapshot(&self) -> (u64, Vec<Value>) {
        let events = self.events.borrow();
        let data = |event: &Event| {
            event.text.lines().find_map(|line| line.strip_prefix("data: ")).map(str::to_string)
        };
        let values = events.iter().filter_map(|event| serde_json::from_str(&data(event)?).ok()).collect();
        (self.next_revision.get() - 1, values)
    }

    /// Adds an event under the next revision and wakes the streams.
    fn publish(&self, mut event: Value, subject: Subject) {
        let revision = self.next_revision.replace(self.next_revision.get() + 1);
        event["rev"] = json!(revision);
        let text = format!("id: {revision}\ndata: {event}\n\n");
        self.events.borrow_mut().push(Event { revision, text, subject });
        self.event_published.notify_waiters();
    }

    /// Sends events to one client until the connection fails or a fault closes it.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut last_revision = read_last_event_id(&mut stream).await?;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").await?;
        let opened_at = Instant::now();
        let mut commented_at = opened_at;
        loop {
            if self.silenced_at.get().is_some_and(|since| since > opened_at) {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            if commented_at.elapsed() >= COMMENT_INTERVAL {
                stream.write_all(b":\n\n").await?;
                commented_at = Instant::now();
            }
            let Some((index, text)) = self.event_after(last_revision) else {
                let _ = tokio::time::timeout(POLL_INTERVAL, self.event_published.notified()).await;
                continue;
            };
            if self.truncates_next_event.replace(false) {
                stream.write_all(&text.as_bytes()[..text.len() / 2]).await?;
                return Ok(());
            }
            stream.write_all(text.as_bytes()).await?;
            last_revision = self.on_event_written(index);
        }
    }

    /// The index and text of the first event after a revision; `None` if there is none yet.
    fn event_after(&self, revision: u64) -> Option<(usize, String)> {
        let events = self.events.borrow();
        let index = events.partition_point(|event| event.revision <= revision);
        events.get(index).map(|event| (index, event.text.clone()))
    }

    /// Records that a complete event was written to a stream, and returns its revision. The time of the first write
    /// counts.
    fn on_event_written(&self, index: usize) -> u64 {
        let now = Instant::now();
        let events = self.events.borrow();
        let event = &events[index];
        let mut ledger = self.ledger.borrow_mut();
        ledger.add_event(None, format!("discovery: sent {}", event.text.lines().nth(1).unwrap_or_default()));
        match &event.subject {
            Subject::Purge { number } => {
                ledger.purges[*number].notified_at.get_or_insert(now);
            }
            Subject::Drain { host } => {
                ledger.drains.entry(host.clone()).or_insert(now);
            }
            Subject::Other => {}
        }
        event.revision
    }
}

/// Reads a request head and returns its `Last-Event-ID`, or 0 without a valid one.
async fn read_last_event_id(stream: &mut TcpStream) -> std::io::Result<u64> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 || head.len() > MAX_HEAD_BYTES {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("last-event-id:"));
    Ok(id.and_then(|value| value.trim().parse().ok()).unwrap_or(0))
}
