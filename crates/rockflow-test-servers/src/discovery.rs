//! A notice board: events in order, to whoever asks from a number on, with a comment each second.

use serde_json::Value;
use std::net::{SocketAddr, TcpListener as Listener};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub struct DiscoveryServer {
    pub address: SocketAddr,
    /// All events so far; none: the board is gone for good.
    events: watch::Sender<Option<Vec<Event>>>,
}

/// An event by its number, as it is written on the stream.
type Event = (u64, Arc<str>);

impl DiscoveryServer {
    pub fn start() -> DiscoveryServer {
        let listener = Listener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("nonblocking");
        let address = listener.local_addr().expect("an address");
        let (events, told) = watch::channel(Some(Vec::new()));
        crate::thread("board", async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let mut over = told.clone();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, told.clone()));
                    }
                    ended = over.wait_for(Option::is_none) => {
                        let _ = ended;
                        return;
                    }
                }
            }
        });
        DiscoveryServer { address, events }
    }

    /// Tells an event, whose `rev` must be the next number.
    pub fn publish(&self, event: Value) {
        let rev = event["rev"].as_u64().unwrap_or(0);
        let text: Arc<str> = format!("id: {rev}\ndata: {event}\n\n").into();
        self.events
            .send_modify(|events| events.iter_mut().for_each(|events| events.push((rev, text.clone()))));
    }
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        let _ = self.events.send(None);
    }
}

async fn serve(mut stream: TcpStream, mut told: watch::Receiver<Option<Vec<Event>>>) {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 && head.len() < 16 * 1024 => head.extend_from_slice(&buffer[..n]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let last = text.lines().find_map(|line| line.strip_prefix("last-event-id:"));
    let mut last: u64 = last.and_then(|word| word.trim().parse().ok()).unwrap_or(0);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    if stream.write_all(answer).await.is_err() {
        return;
    }
    loop {
        let new = told.borrow_and_update().as_ref().map(|events| {
            // Only what is new is copied, so that a long run costs no more for each event.
            let first = events.partition_point(|(rev, _)| *rev <= last);
            events[first..].to_vec()
        });
        let Some(new) = new else { return };
        for (rev, text) in new {
            last = rev;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
        let wait = tokio::time::timeout(Duration::from_secs(1), told.changed()).await;
        if wait.is_err() && stream.write_all(b":\n\n").await.is_err() {
            return;
        }
    }
}
