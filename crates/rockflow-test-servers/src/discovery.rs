//! The discovery service: a stream of numbered server-sent events, which a client resumes after the last one it received.

use crate::runtime::{bind_loopback, spawn_thread};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A comment is sent after this long without an event.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A request's head that grows beyond this closes the connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const READ_BYTES: usize = 1024;

/// All events so far; `None` once the server has stopped.
type EventLog = Option<Vec<Event>>;

/// An event as it is written to the stream.
#[derive(Clone)]
struct Event {
    revision: u64,
    text: Arc<str>,
}

/// A discovery server, which stops when dropped.
pub struct DiscoveryServer {
    /// Where it listens.
    pub address: SocketAddr,
    events: watch::Sender<EventLog>,
}

impl DiscoveryServer {
    /// Starts a server that has no events yet.
    ///
    /// # Panics
    /// If it can't listen or start its thread.
    pub fn start() -> DiscoveryServer {
        let (listener, address) = bind_loopback();
        let (events, log) = watch::channel(Some(Vec::new()));
        spawn_thread("discovery", async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let mut stopped = log.clone();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, log.clone()));
                    }
                    _ = stopped.wait_for(Option::is_none) => return,
                }
            }
        });
        DiscoveryServer { address, events }
    }

    /// Sends an event to all clients, those that connect later included. Its `rev` must be greater than that of every
    /// earlier event.
    pub fn publish(&self, event: Value) {
        let revision = event["rev"].as_u64().unwrap_or(0);
        let text: Arc<str> = format!("id: {revision}\ndata: {event}\n\n").into();
        self.events.send_modify(|log| {
            if let Some(events) = log {
                events.push(Event { revision, text });
            }
        });
    }
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        let _ = self.events.send(None);
    }
}

/// Answers one connection with all events after the last that its client received, till either side closes.
async fn serve(mut stream: TcpStream, mut log: watch::Receiver<EventLog>) {
    let Some(mut last_revision) = read_last_event_id(&mut stream).await else { return };
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    if stream.write_all(head).await.is_err() {
        return;
    }
    loop {
        // Only the new events are copied, so that the cost of an event does not grow with the log.
        let new_events = log.borrow_and_update().as_ref().map(|events| {
            let first = events.partition_point(|event| event.revision <= last_revision);
            events[first..].to_vec()
        });
        let Some(new_events) = new_events else { return };
        for event in new_events {
            last_revision = event.revision;
            if stream.write_all(event.text.as_bytes()).await.is_err() {
                return;
            }
        }
        let changed = tokio::time::timeout(KEEP_ALIVE_INTERVAL, log.changed()).await;
        if changed.is_err() && stream.write_all(b":\n\n").await.is_err() {
            return;
        }
    }
}

/// Reads a request's head and returns its `Last-Event-ID`, 0 if it has none; `None` if the head does not end.
async fn read_last_event_id(stream: &mut TcpStream) -> Option<u64> {
    let mut head = Vec::new();
    let mut buffer = [0; READ_BYTES];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 && head.len() < MAX_HEAD_BYTES => {
                head.extend_from_slice(&buffer[..length]);
            }
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("last-event-id:"));
    Some(id.and_then(|value| value.trim().parse().ok()).unwrap_or(0))
}
