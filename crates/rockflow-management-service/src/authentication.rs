//! Connections whose peer is not authenticated yet. They are limited in number; past the limit the oldest one is
//! evicted, so that handshakes left half open by the hundred keep nobody out who authenticates at once.

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

/// The pause after a failed accept, for example with no descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The unauthenticated connections of a listener, shared by all of its clones.
#[derive(Clone)]
pub struct UnauthenticatedConnections {
    max_connections: usize,
    table: Arc<Mutex<ConnectionTable>>,
}

#[derive(Default)]
struct ConnectionTable {
    next_id: u64,
    /// By age: ids only grow.
    evictions: BTreeMap<u64, Arc<Notify>>,
}

/// One unauthenticated connection, as long as this is not dropped.
pub struct UnauthenticatedConnection {
    connections: UnauthenticatedConnections,
    id: u64,
    eviction: Arc<Notify>,
}

/// A TLS connection whose client has shown a certificate of the client authority.
pub struct AuthenticatedStream {
    /// The connection.
    pub stream: TlsStream<TcpStream>,
    /// The user whom the certificate names.
    pub user: String,
}

impl UnauthenticatedConnections {
    /// Allows so many connections at once, and at least one.
    pub fn new(max_connections: usize) -> UnauthenticatedConnections {
        UnauthenticatedConnections { max_connections: max_connections.max(1), table: Arc::default() }
    }

    /// Adds a connection; past the limit the oldest is evicted.
    pub fn admit(&self) -> UnauthenticatedConnection {
        let mut table = self.lock();
        while table.evictions.len() >= self.max_connections {
            if let Some((_, oldest)) = table.evictions.pop_first() {
                // Stored for a connection that does not wait for it yet.
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

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.lock().evictions.len()
    }

    /// Whether there is none.
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

/// Accepts connections for ever, and passes each on with its place among the unauthenticated ones.
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

/// Makes a TLS handshake within the timeout; none where it fails or the connection is evicted.
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
            None => "the certificate names no user".to_string(),
        },
        Ok(Err(error)) => error.to_string(),
        Err(_) => "not done in time".to_string(),
    };
    info!(%from, error, "tls handshake failed");
    None
}

fn certificate_user(stream: &TlsStream<TcpStream>) -> Option<String> {
    let certificates = stream.get_ref().1.peer_certificates()?;
    credentials::certificate_user(certificates.first()?)
}
