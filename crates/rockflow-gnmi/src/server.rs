//! The listener: TLS with certificates both ways, so many connections, and gRPC over them.

use crate::service::{Peer, Service};
use crate::wire::g_nmi_server::GNmiServer;
use rockflow_management_service::{
    authentication, credentials, AuthenticatedStream, GnmiSection, ManagementService,
    UnauthenticatedConnections,
};
use std::net::{SocketAddr, TcpListener as Listener};
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

/// Connections at once, and the time that one is given to prove who it is.
const MAX_CONNECTIONS: usize = 128;
const MAX_UNPROVED: usize = 32;
const HANDSHAKE: Duration = Duration::from_secs(10);
/// Calls at once on one connection.
const MAX_STREAMS: u32 = 64;
/// What a connection may have on its way to us unread.
const WINDOW: u32 = 256 * 1024;
const ALIVE: (Duration, Duration) = (Duration::from_secs(30), Duration::from_secs(20));

/// Bound and read, ahead of the thread that serves.
pub struct Bound {
    part: GnmiSection,
    listener: Listener,
    acceptor: TlsAcceptor,
}

impl Bound {
    pub fn check(part: &GnmiSection) -> Result<(), String> {
        credentials::tls_server_config(&part.tls, &[b"h2"]).map(|_| ()).map_err(|error| error.to_string())
    }

    pub fn new(part: &GnmiSection) -> Result<Bound, String> {
        let acceptor = TlsAcceptor::from(
            credentials::tls_server_config(&part.tls, &[b"h2"]).map_err(|error| error.to_string())?,
        );
        let fault = |what: std::io::Error| format!("gnmi {}: {what}", part.tls.listen);
        let listener = Listener::bind(part.tls.listen).map_err(fault)?;
        listener.set_nonblocking(true).map_err(fault)?;
        Ok(Bound { part: part.clone(), listener, acceptor })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }
}

/// A connection that has proved who it is.
pub struct Proved {
    stream: TlsStream<TcpStream>,
    peer: Peer,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Proved {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        self.peer.clone()
    }
}

impl AsyncRead for Proved {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Proved {
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

pub struct Server;

impl Server {
    /// Serves as long as the runtime does that this is called in.
    pub fn start(bound: Bound, desk: Arc<ManagementService>) -> Result<(), String> {
        let Bound { part, listener, acceptor } = bound;
        let listener = TcpListener::from_std(listener).map_err(|what| what.to_string())?;
        let service = Service {
            desk,
            subscribers: Arc::new(Semaphore::new(part.subscribers as usize)),
            least_interval: Duration::from_millis(part.least_interval_ms.into()),
        };
        let most = part.message_kb as usize * 1024;
        let service = GNmiServer::new(service).max_decoding_message_size(most);
        let (proved, connections) = mpsc::channel::<std::io::Result<Proved>>(1);
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        tokio::spawn(authentication::accept_connections(
            listener,
            UnauthenticatedConnections::new(MAX_UNPROVED),
            move |stream, from, unproved| {
                let (acceptor, proved, places) = (acceptor.clone(), proved.clone(), places.clone());
                tokio::spawn(async move {
                    let shaken =
                        authentication::tls_handshake(acceptor, stream, from, unproved, HANDSHAKE).await;
                    let Some(AuthenticatedStream { stream, user }) = shaken else { return };
                    match places.try_acquire_owned() {
                        Ok(permit) => {
                            let peer = Peer { user, from };
                            let _ = proved.send(Ok(Proved { stream, peer, _permit: permit })).await;
                        }
                        Err(_) => info!(%from, user, "too many gnmi connections at once"),
                    }
                });
            },
        ));
        let server = tonic::transport::Server::builder()
            .max_concurrent_streams(MAX_STREAMS)
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .http2_keepalive_interval(Some(ALIVE.0))
            .http2_keepalive_timeout(Some(ALIVE.1))
            .add_service(service)
            .serve_with_incoming(ReceiverStream::new(connections));
        tokio::spawn(async move {
            if let Err(what) = server.await {
                error!(%what, "gnmi serves no more");
            }
        });
        Ok(())
    }
}
