//! Limits the connections whose peer is not authenticated yet. At the limit, a new connection evicts the
//! oldest one, so that hundreds of half-open handshakes don't block a client that authenticates promptly.

use crate::credentials;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;
use tracing::{info, warn};

/// Backoff after a failed `accept`, which happens for example when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The unauthenticated connections of a listener. Clones share the same table and limit.
#[derive(Clone)]
pub struct UnauthenticatedConnections {
    max_connections: usize,
    table: Arc<Mutex<ConnectionTable>>,
}

#[derive(Default)]
struct ConnectionTable {
    next_id: u64,
    /// The eviction signal of each connection, by connection id. Ids increase, so the first entry is the
    /// oldest.
    evictions: BTreeMap<u64, Arc<Notify>>,
}

/// An entry in the table of unauthenticated connections; dropping it removes the entry.
pub struct UnauthenticatedConnection {
    connections: UnauthenticatedConnections,
    id: u64,
    eviction: Arc<Notify>,
}

/// A TLS connection whose client has presented a certificate signed by the client authority.
pub struct AuthenticatedStream {
    /// The encrypted connection, after the handshake.
    pub stream: TlsStream<TcpStream>,
    /// The user named in the client's certificate.
    pub user: String,
}

impl UnauthenticatedConnections {
    /// Creates a table for at most `max_connections` entries; 0 counts as 1.
    pub fn new(max_connections: usize) -> UnauthenticatedConnections {
        UnauthenticatedConnections { max_connections: max_connections.max(1), table: Arc::default() }
    }

    /// Adds a connection. At the limit, the oldest connection is evicted first.
    pub fn admit(&self) -> UnauthenticatedConnection {
        let mut table = self.lock();
        while table.evictions.len() >= self.max_connections {
            if let Some((_, oldest)) = table.evictions.pop_first() {
                // `notify_one` stores the signal if the connection is not waiting for it yet.
                oldest.notify_one();
            }
        }
        let id = table.next_id;
        table.next_id += 1;
        let eviction = Arc::new(Notify::new());
        table.evictions.insert(id, eviction.clone());
        drop(table);
        UnauthenticatedConnection { connections: self.clone(), id, eviction }
    }

    /// The number of unauthenticated connections.
    pub fn len(&self) -> usize {
        self.lock().evictions.len()
    }

    /// Whether there are no unauthenticated connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UnauthenticatedConnection {
    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for UnauthenticatedConnection {
    fn drop(&mut self) {
        self.connections.lock().evictions.remove(&self.id);
    }
}

/// Accepts connections in an endless loop and passes each to `serve`, with the peer's address and the
/// connection's entry in the table of unauthenticated connections.
pub async fn accept_connections(
    listener: TcpListener,
    connections: UnauthenticatedConnections,
    mut serve: impl FnMut(TcpStream, SocketAddr, UnauthenticatedConnection),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let _ = stream.set_nodelay(true);
                serve(stream, from, connections.admit());
            }
            Err(error) => {
                warn!(%error, "accepting a management connection failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Performs the TLS handshake. `None` if it fails, exceeds the timeout, or the connection is evicted.
pub async fn tls_handshake(
    acceptor: TlsAcceptor,
    stream: TcpStream,
    from: SocketAddr,
    connection: UnauthenticatedConnection,
    timeout: Duration,
) -> Option<AuthenticatedStream> {
    let handshake = tokio::select! {
        handshake = tokio::time::timeout(timeout, acceptor.accept(stream)) => handshake,
        () = connection.evicted() => {
            info!(%from, "handshake evicted by a newer connection");
            return None;
        }
    };
    let error = match handshake {
        Ok(Ok(stream)) => match certificate_user(&stream) {
            Some(user) => return Some(AuthenticatedStream { stream, user }),
            None => "the certificate names no valid user".to_string(),
        },
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_string(),
    };
    info!(%from, error, "TLS handshake failed");
    None
}

fn certificate_user(stream: &TlsStream<TcpStream>) -> Option<String> {
    let certificates = stream.get_ref().1.peer_certificates()?;
    credentials::certificate_user(certificates.first()?)
}
