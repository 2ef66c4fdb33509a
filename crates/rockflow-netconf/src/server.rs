//! The SSH and TLS listeners. They limit the number of unauthenticated connections; the management service
//! limits the number of sessions.

use crate::error::StartError;
use crate::monitoring::Counts;
use crate::rpc;
use crate::session::{self, SessionLimits};
use crate::ssh::{self, Ssh};
use rockflow_management::{Operator, Protocol};
use rockflow_management_service::credentials::FileSecrecy;
use rockflow_management_service::{
    authentication, credentials, AuthenticatedStream, ManagementService, NetconfSection,
    UnauthenticatedConnection, UnauthenticatedConnections,
};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_rustls::TlsAcceptor;

/// Maximum number of concurrent authenticated SSH connections. A TLS connection carries exactly one session,
/// which the management service limits.
const MAX_SSH_CONNECTIONS: usize = 128;

/// The bound listeners. They are bound before the thread that serves them starts, so that configuration
/// errors are reported at startup.
pub struct BoundServer {
    section: NetconfSection,
    ssh: Option<SshListener>,
    tls: Option<TlsListener>,
}

struct SshListener {
    listener: StdListener,
    config: Arc<russh::server::Config>,
    authorized_keys: PathBuf,
}

struct TlsListener {
    listener: StdListener,
    acceptor: TlsAcceptor,
}

/// The addresses on which the server listens, with the actual port if port 0 was configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// The SSH listen address, or `None` if SSH is not configured.
    pub ssh: Option<SocketAddr>,
    /// The TLS listen address, or `None` if TLS is not configured.
    pub tls: Option<SocketAddr>,
}

impl BoundServer {
    /// Reads the keys and certificates and binds the listeners configured in the section.
    pub fn bind(section: &NetconfSection) -> Result<BoundServer, StartError> {
        let ssh = match (section.ssh, &section.host_key, &section.authorized_keys) {
            (Some(address), Some(key), Some(folder)) => {
                credentials::check_permissions(folder, FileSecrecy::Readable)?;
                let config = ssh::config(ssh::host_key(key)?);
                Some(SshListener { listener: listen(address)?, config, authorized_keys: folder.clone() })
            }
            _ => None,
        };
        let tls = match &section.tls {
            Some(tls) => {
                let config = credentials::tls_server_config(tls, &[])?;
                Some(TlsListener { listener: listen(tls.listen)?, acceptor: TlsAcceptor::from(config) })
            }
            None => None,
        };
        Ok(BoundServer { section: section.clone(), ssh, tls })
    }

    /// Checks that the keys and certificates are usable, without binding the listeners.
    pub fn check(section: &NetconfSection) -> Result<(), StartError> {
        if let (Some(key), Some(folder)) = (&section.host_key, &section.authorized_keys) {
            credentials::check_permissions(folder, FileSecrecy::Readable)?;
            ssh::host_key(key)?;
        }
        if let Some(tls) = &section.tls {
            credentials::tls_server_config(tls, &[])?;
        }
        Ok(())
    }

    /// Returns the addresses to which the listeners are bound.
    pub fn addresses(&self) -> ListenAddresses {
        let address = |listener: &StdListener| listener.local_addr().ok();
        ListenAddresses {
            ssh: self.ssh.as_ref().and_then(|ssh| address(&ssh.listener)),
            tls: self.tls.as_ref().and_then(|tls| address(&tls.listener)),
        }
    }

    /// Starts serving in the current Tokio runtime, until that runtime shuts down.
    pub fn serve(self, service: Arc<ManagementService>) -> Result<(), StartError> {
        let limits = SessionLimits {
            max_message_bytes: self.section.message_kb as usize * 1024,
            hello_timeout: Duration::from_secs(self.section.handshake_seconds.into()),
        };
        let started = service.now();
        let server = Arc::new(rpc::Server { service, counts: Counts::default(), started });
        // Each listener has its own limit, so that a flood of connections to one doesn't block the other.
        let unauthenticated = || UnauthenticatedConnections::new(self.section.handshakes as usize);
        if let Some(ssh) = self.ssh {
            serve_ssh(ssh, server.clone(), limits, unauthenticated())?;
        }
        if let Some(tls) = self.tls {
            serve_tls(tls, server, limits, unauthenticated())?;
        }
        Ok(())
    }
}

fn listen(address: SocketAddr) -> Result<StdListener, StartError> {
    let error = |source| StartError::Listen { address, source };
    let listener = StdListener::bind(address).map_err(error)?;
    listener.set_nonblocking(true).map_err(error)?;
    Ok(listener)
}

fn serve_ssh(
    ssh: SshListener,
    server: Arc<rpc::Server>,
    limits: SessionLimits,
    unauthenticated: UnauthenticatedConnections,
) -> Result<(), StartError> {
    let SshListener { listener, config, authorized_keys } = ssh;
    let listener = TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_SSH_CONNECTIONS));
    let ssh = Arc::new(Ssh { server, authorized_keys, limits, config, permits });
    tokio::spawn(authentication::accept_connections(
        listener,
        unauthenticated,
        move |stream, from, connection| {
            tokio::spawn(ssh::serve(ssh.clone(), stream, from, connection));
        },
    ));
    Ok(())
}

fn serve_tls(
    tls: TlsListener,
    server: Arc<rpc::Server>,
    limits: SessionLimits,
    unauthenticated: UnauthenticatedConnections,
) -> Result<(), StartError> {
    let TlsListener { listener, acceptor } = tls;
    let listener = TcpListener::from_std(listener)?;
    tokio::spawn(authentication::accept_connections(
        listener,
        unauthenticated,
        move |stream, from, connection| {
            let (acceptor, server) = (acceptor.clone(), server.clone());
            tokio::spawn(serve_tls_connection(acceptor, server, limits, stream, from, connection));
        },
    ));
    Ok(())
}

async fn serve_tls_connection(
    acceptor: TlsAcceptor,
    server: Arc<rpc::Server>,
    limits: SessionLimits,
    stream: TcpStream,
    from: SocketAddr,
    connection: UnauthenticatedConnection,
) {
    let timeout = limits.hello_timeout;
    let authenticated = authentication::tls_handshake(acceptor, stream, from, connection, timeout).await;
    let Some(AuthenticatedStream { stream, user }) = authenticated else { return };
    let operator = Operator { user, protocol: Protocol::NetconfTls, source: from.ip().to_string() };
    session::run(server, operator, stream, limits).await;
}
