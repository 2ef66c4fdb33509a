//! The listener: mutual TLS, a bounded number of connections, and the gRPC server on them.

use crate::error::StartError;
use crate::service::{Peer, Service};
use crate::wire::g_nmi_server::GNmiServer;
use rockflow_management_service::{
    authentication, credentials, AuthenticatedStream, GnmiSection, ManagementService,
    UnauthenticatedConnections,
};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::Connected;
use tracing::{error, info};

/// The protocols offered in the TLS handshake (ALPN): HTTP/2 only.
const ALPN: &[&[u8]] = &[b"h2"];
/// Maximum number of concurrent authenticated connections.
const MAX_CONNECTIONS: usize = 128;
/// Maximum number of concurrent connections that have not authenticated yet.
const MAX_UNAUTHENTICATED: usize = 32;
/// Timeout of the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of concurrent calls on one connection.
const MAX_STREAMS: u32 = 64;
/// Initial HTTP/2 flow control window in bytes, for a connection and for each stream.
const WINDOW_BYTES: u32 = 256 * 1024;
/// Interval between HTTP/2 keepalive pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// How long the peer may take to acknowledge a keepalive ping before the connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// A bound listener that does not serve yet. Binding is separate from serving, so that errors are reported at startup,
/// before the thread that serves is started.
pub struct BoundServer {
    section: GnmiSection,
    listener: StdListener,
    acceptor: TlsAcceptor,
}

impl BoundServer {
    /// Reads the certificates and binds the configured listen address.
    pub fn bind(section: &GnmiSection) -> Result<BoundServer, StartError> {
        let acceptor = TlsAcceptor::from(credentials::tls_server_config(&section.tls, ALPN)?);
        let address = section.tls.listen;
        let error = |source| StartError::Listen { address, source };
        let listener = StdListener::bind(address).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        Ok(BoundServer { section: section.clone(), listener, acceptor })
    }

    /// Checks that the certificates can be used, without binding the listener.
    pub fn check(section: &GnmiSection) -> Result<(), StartError> {
        credentials::tls_server_config(&section.tls, ALPN)?;
        Ok(())
    }

    /// The local address of the listener; `None` if the operating system can't tell it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Spawns the server on the current async runtime. It serves until the runtime shuts down.
    pub fn serve(self, management: Arc<ManagementService>) -> Result<(), StartError> {
        let BoundServer { section, listener, acceptor } = self;
        let service = Service {
            management,
            subscribers: Arc::new(Semaphore::new(section.subscribers as usize)),
            min_interval: Duration::from_millis(section.least_interval_ms.into()),
        };
        let max_message_bytes = section.message_kb as usize * 1024;
        let service = GNmiServer::new(service).max_decoding_message_size(max_message_bytes);
        let connections = accept(TcpListener::from_std(listener)?, acceptor);
        let server = tonic::transport::Server::builder()
            .max_concurrent_streams(MAX_STREAMS)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .add_service(service)
            .serve_with_incoming(ReceiverStream::new(connections));
        tokio::spawn(async move {
            if let Err(error) = server.await {
                error!(%error, "gNMI server stopped");
            }
        });
        Ok(())
    }
}

/// Spawns a task that accepts connections. The returned channel yields each connection once its peer is authenticated.
fn accept(
    listener: TcpListener,
    acceptor: TlsAcceptor,
) -> mpsc::Receiver<std::io::Result<AuthenticatedConnection>> {
    let (sender, connections) = mpsc::channel(1);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    tokio::spawn(authentication::accept_connections(
        listener,
        UnauthenticatedConnections::new(MAX_UNAUTHENTICATED),
        move |stream, from, unauthenticated| {
            let (acceptor, sender, permits) = (acceptor.clone(), sender.clone(), permits.clone());
            tokio::spawn(async move {
                let timeout = HANDSHAKE_TIMEOUT;
                let authenticated =
                    authentication::tls_handshake(acceptor, stream, from, unauthenticated, timeout).await;
                let Some(AuthenticatedStream { stream, user }) = authenticated else { return };
                match permits.try_acquire_owned() {
                    Ok(permit) => {
                        let peer = Peer { user, from };
                        let connection = AuthenticatedConnection { stream, peer, _permit: permit };
                        let _ = sender.send(Ok(connection)).await;
                    }
                    Err(_) => info!(%from, user, "gNMI connection rejected: too many connections"),
                }
            });
        },
    ));
    connections
}

/// A TLS connection whose peer is authenticated. It holds one of the [`MAX_CONNECTIONS`] permits.
struct AuthenticatedConnection {
    stream: TlsStream<TcpStream>,
    peer: Peer,
    _permit: OwnedSemaphorePermit,
}

impl Connected for AuthenticatedConnection {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        self.peer.clone()
    }
}

impl AsyncRead for AuthenticatedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AuthenticatedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
