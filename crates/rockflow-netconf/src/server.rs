//! Listeners, and what they let in: so many peers at once that have not proved who they are, and sessions as the
//! desk has room for.

use crate::monitoring::Counts;
use crate::rpc;
use crate::session::{self, Bounds};
use crate::ssh::{self, Ssh};
use rockflow_management::{Operator, Protocol};
use rockflow_management_service::credentials::FileSecrecy;
use rockflow_management_service::{
    authentication, credentials, AuthenticatedStream, ManagementService, NetconfSection,
    UnauthenticatedConnections,
};
use std::net::{SocketAddr, TcpListener as Listener};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_rustls::TlsAcceptor;

/// Connections over SSH at once that have proved who they are; over TLS each is a session, which the desk caps.
const MAX_CONNECTIONS: usize = 128;

/// Bound and read, ahead of the thread that serves: what is wrong is known at the start.
pub struct Bound {
    part: NetconfSection,
    ssh: Option<(Listener, Arc<russh::server::Config>)>,
    tls: Option<(Listener, TlsAcceptor)>,
}

impl Bound {
    pub fn new(part: &NetconfSection) -> Result<Bound, String> {
        let listen = |address: SocketAddr| {
            let fault = |what: std::io::Error| format!("netconf {address}: {what}");
            let listener = Listener::bind(address).map_err(fault)?;
            listener.set_nonblocking(true).map_err(fault)?;
            Ok::<_, String>(listener)
        };
        let ssh = match (part.ssh, &part.host_key, &part.authorized_keys) {
            (Some(address), Some(key), Some(folder)) => {
                credentials::check_permissions(folder, FileSecrecy::Readable)
                    .map_err(|error| error.to_string())?;
                let config = ssh::config(ssh::host_key(key)?);
                Some((listen(address)?, config))
            }
            _ => None,
        };
        let tls = match &part.tls {
            Some(tls) => {
                let acceptor = TlsAcceptor::from(
                    credentials::tls_server_config(tls, &[]).map_err(|error| error.to_string())?,
                );
                Some((listen(tls.listen)?, acceptor))
            }
            None => None,
        };
        Ok(Bound { part: part.clone(), ssh, tls })
    }

    /// Whether the keys and certificates can be used.
    pub fn check(part: &NetconfSection) -> Result<(), String> {
        if let (Some(key), Some(folder)) = (&part.host_key, &part.authorized_keys) {
            credentials::check_permissions(folder, FileSecrecy::Readable)
                .map_err(|error| error.to_string())?;
            ssh::host_key(key)?;
        }
        part.tls
            .as_ref()
            .map(|tls| credentials::tls_server_config(tls, &[]))
            .transpose()
            .map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Where SSH and TLS listen.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let at = |listener: &Listener| listener.local_addr().ok();
        (
            self.ssh.as_ref().and_then(|(listener, _)| at(listener)),
            self.tls.as_ref().and_then(|(listener, _)| at(listener)),
        )
    }
}

pub struct Server;

impl Server {
    /// Serves as long as the runtime does that this is called in.
    pub fn start(bound: Bound, service: Arc<ManagementService>) -> Result<(), String> {
        let Bound { part, ssh, tls } = bound;
        let bounds = Bounds {
            message: part.message_kb as usize * 1024,
            hello: Duration::from_secs(part.handshake_seconds.into()),
        };
        let started = service.now();
        let server = Arc::new(rpc::Server { service, counts: Counts::default(), started });
        // One for each listener, so that a flood at one keeps nobody out of the other.
        let waiting = || UnauthenticatedConnections::new(part.handshakes as usize);
        if let (Some((listener, config)), Some(keys)) = (ssh, part.authorized_keys.clone()) {
            let listener = TcpListener::from_std(listener).map_err(|what| what.to_string())?;
            let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
            let ssh = Arc::new(Ssh { server: server.clone(), keys, bounds, config, places });
            tokio::spawn(authentication::accept_connections(
                listener,
                waiting(),
                move |stream, from, unproved| {
                    tokio::spawn(ssh::serve(ssh.clone(), stream, from, unproved));
                },
            ));
        }
        if let Some((listener, acceptor)) = tls {
            let listener = TcpListener::from_std(listener).map_err(|what| what.to_string())?;
            tokio::spawn(authentication::accept_connections(
                listener,
                waiting(),
                move |stream, from, unproved| {
                    let (acceptor, server) = (acceptor.clone(), server.clone());
                    tokio::spawn(async move {
                        let shaken =
                            authentication::tls_handshake(acceptor, stream, from, unproved, bounds.hello)
                                .await;
                        let Some(AuthenticatedStream { stream, user }) = shaken else { return };
                        let source = from.ip().to_string();
                        let who = Operator { user, protocol: Protocol::NetconfTls, source };
                        session::run(server, who, stream, bounds).await;
                    });
                },
            ));
        }
        Ok(())
    }
}
