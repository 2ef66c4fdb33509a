//! Peers that have not proved who they are: so many at once, and past that the one that has taken longest gives
//! way, so that handshakes left half open by the hundred keep nobody out who can prove it at once.

use crate::secrets;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;
use tracing::{info, warn};

/// After a failed accept, for example with no descriptor left.
const PAUSE: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Waiting {
    next: u64,
    all: BTreeMap<u64, Arc<Notify>>,
}

#[derive(Clone)]
pub struct UnauthenticatedConnections {
    most: usize,
    waiting: Arc<Mutex<Waiting>>,
}

/// One that has not proved who it is, as long as this lives.
pub struct UnauthenticatedConnection {
    doorway: UnauthenticatedConnections,
    number: u64,
    evicted: Arc<Notify>,
}

impl UnauthenticatedConnections {
    pub fn new(most: usize) -> UnauthenticatedConnections {
        UnauthenticatedConnections { most: most.max(1), waiting: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn admit(&self) -> UnauthenticatedConnection {
        let mut waiting = self.lock();
        while waiting.all.len() >= self.most {
            if let Some((_, oldest)) = waiting.all.pop_first() {
                // Kept for one that does not wait for it yet.
                oldest.notify_one();
            }
        }
        let (number, evicted) = (waiting.next, Arc::new(Notify::new()));
        waiting.next += 1;
        waiting.all.insert(number, evicted.clone());
        drop(waiting);
        UnauthenticatedConnection { doorway: self.clone(), number, evicted }
    }

    pub fn len(&self) -> usize {
        self.lock().all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Takes connections in as long as it runs, each with its place at the doorway.
pub async fn accept_connections(
    listener: TcpListener,
    doorway: UnauthenticatedConnections,
    mut serve: impl FnMut(TcpStream, SocketAddr, UnauthenticatedConnection),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let _ = stream.set_nodelay(true);
                serve(stream, from, doorway.admit());
            }
            Err(what) => {
                warn!(%what, "management accept");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Shakes hands by TLS within the limit; the stream, and the user whom its certificate names.
pub async fn tls_handshake(
    acceptor: TlsAcceptor,
    stream: TcpStream,
    from: SocketAddr,
    unproved: UnauthenticatedConnection,
    limit: Duration,
) -> Option<(TlsStream<TcpStream>, String)> {
    let shaken = tokio::select! {
        shaken = tokio::time::timeout(limit, acceptor.accept(stream)) => shaken,
        () = unproved.evicted() => {
            info!(%from, "gave way to another handshake");
            return None;
        }
    };
    let why = match shaken {
        Ok(Ok(stream)) => {
            let certificates = stream.get_ref().1.peer_certificates();
            match certificates.and_then(|all| secrets::user_of(all.first()?)) {
                Some(user) => return Some((stream, user)),
                None => "the certificate names no user".to_string(),
            }
        }
        Ok(Err(what)) => what.to_string(),
        Err(_) => "not done in time".to_string(),
    };
    info!(%from, why, "tls handshake");
    None
}

impl UnauthenticatedConnection {
    /// Waits till another takes its place.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for UnauthenticatedConnection {
    fn drop(&mut self) {
        self.doorway.lock().all.remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn the_oldest_gives_way_and_the_proved_leave_their_place() {
        let doorway = UnauthenticatedConnections::new(2);
        let (first, second) = (doorway.admit(), doorway.admit());
        drop(second);
        let third = doorway.admit();
        assert_eq!(doorway.len(), 2);
        let _fourth = doorway.admit();
        first.evicted().await;
        assert_eq!(doorway.len(), 2);
        let _fifth = doorway.admit();
        third.evicted().await;
        drop((first, third));
        assert_eq!(doorway.len(), 2);
    }
}
