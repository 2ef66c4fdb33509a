//! A discovery service that sends numbered server-sent events. A client that reconnects resumes after the last event
//! that it received.

use crate::runtime::{bind_loopback, spawn_thread};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A comment is sent on a stream when there has been no event for this long, as a sign that the connection is alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest request head; a connection whose request exceeds it is closed.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const READ_BYTES: usize = 1024;

/// All events since the server started; `None` once it has stopped.
type EventLog = Option<Vec<Event>>;

/// An event with its revision and the text that is written to the stream.
#[derive(Clone)]
struct Event {
    revision: u64,
    text: Arc<str>,
}

/// A running discovery server, which stops when the handle is dropped.
pub struct DiscoveryServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    events: watch::Sender<EventLog>,
}

impl DiscoveryServer {
    /// Starts a server that has no events yet.
    ///
    /// # Panics
    /// If the server can't listen or its thread can't be started.
    pub fn start() -> DiscoveryServer {
        let (listener, address) = bind_loopback();
        let (events, event_log) = watch::channel(Some(Vec::new()));
        spawn_thread("discovery", async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let mut stopped = event_log.clone();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, event_log.clone()));
                    }
                    _ = stopped.wait_for(Option::is_none) => return,
                }
            }
        });
        DiscoveryServer { address, events }
    }

    /// Sends an event to all clients, including those that connect later. The `rev` of the event must be greater than
    /// that of every earlier event.
    pub fn publish(&self, event: Value) {
        let revision = event["rev"].as_u64().unwrap_or(0);
        let text: Arc<str> = format!("id: {revision}\ndata: {event}\n\n").into();
        self.events.send_modify(|event_log| {
            if let Some(events) = event_log {
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

/// Sends all events after the last one that the client received, until the server stops or the connection closes.
async fn serve(mut stream: TcpStream, mut event_log: watch::Receiver<EventLog>) {
    let Some(mut last_revision) = read_last_event_id(&mut stream).await else { return };
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    if stream.write_all(head).await.is_err() {
        return;
    }
    loop {
        // Copies only the new events, so that the cost of an event does not grow with the length of the log.
        let new_events = event_log.borrow_and_update().as_ref().map(|events| {
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
        let changed = tokio::time::timeout(KEEP_ALIVE_INTERVAL, event_log.changed()).await;
        if changed.is_err() && stream.write_all(b":\n\n").await.is_err() {
            return;
        }
    }
}

/// Reads a request head and returns its `Last-Event-ID`, or 0 without a valid one. Returns `None` if the head is too
/// large or the connection closes before its end.
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
