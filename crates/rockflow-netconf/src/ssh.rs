//! NETCONF over SSH (RFC 6242).
//!
//! Users authenticate with a public key listed in their file in the configured folder of authorized keys. The
//! subsystem `netconf` is the only SSH service offered.

use crate::error::StartError;
use crate::rpc::Server;
use crate::session::{self, SessionLimits};
use rockflow_management::{Operator, Protocol};
use rockflow_management_service::credentials::FileSecrecy;
use rockflow_management_service::{credentials, UnauthenticatedConnection};
use russh::keys::ssh_key::{AuthorizedKeys, PublicKey};
use russh::keys::PrivateKey;
use russh::server::{Auth, ChannelOpenHandle, Handler, Msg, Session, VerifiedPublicKey};
use russh::{Channel, ChannelId, MethodKind, MethodSet};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Semaphore};
use tracing::{info, warn};

/// Maximum number of channels opened on one connection, each of which may carry one session.
const MAX_CHANNELS: usize = 8;
/// Maximum number of authentication attempts per connection.
const MAX_AUTH_ATTEMPTS: usize = 6;
/// Maximum length of a user name in bytes; longer names are cut to as many characters in logs.
const MAX_USER_CHARS: usize = 64;

/// Reads the server's private host key.
pub(crate) fn host_key(path: &Path) -> Result<PrivateKey, StartError> {
    let text = credentials::read_file(path, FileSecrecy::OwnerOnly)?;
    let text = String::from_utf8(text).map_err(|_| StartError::KeyNotText { path: path.to_path_buf() })?;
    russh::keys::decode_secret_key(&text, None)
        .map_err(|source| StartError::Key { path: path.to_path_buf(), source })
}

/// Settings and state shared by all SSH connections.
pub(crate) struct Ssh {
    pub(crate) server: Arc<Server>,
    /// The folder that contains a file of authorized keys for each user, named like the user.
    pub(crate) authorized_keys: PathBuf,
    pub(crate) limits: SessionLimits,
    pub(crate) config: Arc<russh::server::Config>,
    /// Limits the number of authenticated connections, each of which holds one permit.
    pub(crate) permits: Arc<Semaphore>,
}

/// Returns the SSH protocol settings.
pub(crate) fn config(key: PrivateKey) -> Arc<russh::server::Config> {
    Arc::new(russh::server::Config {
        keys: vec![key],
        methods: MethodSet::from(&[MethodKind::PublicKey][..]),
        auth_rejection_time: Duration::from_millis(300),
        auth_rejection_time_initial: Some(Duration::ZERO),
        max_auth_attempts: MAX_AUTH_ATTEMPTS,
        // The management service ends idle sessions. Keepalives detect dead connections.
        inactivity_timeout: None,
        keepalive_interval: Some(Duration::from_secs(30)),
        keepalive_max: 3,
        // Number of bytes that the client may send on one channel before the server extends the window.
        window_size: 64 * 1024,
        maximum_packet_size: 32 * 1024,
        channel_buffer_size: 8,
        nodelay: true,
        ..russh::server::Config::default()
    })
}

/// Returns whether the user's file contains the key. The user name must be a plain file name, so that it
/// can't lead to another folder.
fn is_authorized(folder: &Path, user: &str, key: &PublicKey) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'@');
    if user.is_empty()
        || user.len() > MAX_USER_CHARS
        || user.starts_with('.')
        || !user.bytes().all(is_allowed)
    {
        return false;
    }
    let path = folder.join(user);
    if !path.exists() {
        return false;
    }
    let text = match credentials::read_file(&path, FileSecrecy::Readable).map(String::from_utf8) {
        Ok(Ok(text)) => text,
        Ok(Err(_)) => return false,
        Err(error) => {
            warn!(%error, "authorized keys not usable");
            return false;
        }
    };
    AuthorizedKeys::new(&text)
        .filter_map(Result::ok)
        .any(|entry| entry.public_key().key_data() == key.key_data())
}

/// Handles the SSH protocol events of one connection.
struct Peer {
    ssh: Arc<Ssh>,
    from: SocketAddr,
    user: Option<String>,
    /// Notified when the client has authenticated; `None` after that.
    authenticated: Option<oneshot::Sender<()>>,
    /// Open channels on which no subsystem was started yet.
    channels: BTreeMap<ChannelId, Channel<Msg>>,
    /// Number of sessions started on this connection, including those that have ended.
    sessions: usize,
}

impl Handler for Peer {
    type Error = russh::Error;

    async fn auth_publickey(&mut self, user: &str, key: VerifiedPublicKey<'_>) -> Result<Auth, Self::Error> {
        if is_authorized(&self.ssh.authorized_keys, user, key.public_key) {
            self.user = Some(user.to_string());
            return Ok(Auth::Accept);
        }
        info!(user = user.chars().take(MAX_USER_CHARS).collect::<String>(), from = %self.from, "SSH public key rejected");
        Ok(Auth::reject())
    }

    async fn auth_succeeded(&mut self, _: &mut Session) -> Result<(), Self::Error> {
        if let Some(authenticated) = self.authenticated.take() {
            let _ = authenticated.send(());
        }
        Ok(())
    }

    async fn channel_open_session(
        &mut self,
        channel: Channel<Msg>,
        reply: ChannelOpenHandle,
        _: &mut Session,
    ) -> Result<(), Self::Error> {
        if self.channels.len() + self.sessions >= MAX_CHANNELS {
            reply.reject(russh::ChannelOpenFailure::ResourceShortage).await;
            return Ok(());
        }
        self.channels.insert(channel.id(), channel);
        reply.accept().await;
        Ok(())
    }

    async fn subsystem_request(
        &mut self,
        id: ChannelId,
        name: &str,
        session: &mut Session,
    ) -> Result<(), Self::Error> {
        let (Some(channel), Some(user), "netconf") = (self.channels.remove(&id), &self.user, name) else {
            session.channel_failure(id)?;
            return Ok(());
        };
        session.channel_success(id)?;
        self.sessions += 1;
        let operator = Operator {
            user: user.clone(),
            protocol: Protocol::NetconfSsh,
            source: self.from.ip().to_string(),
        };
        let (server, limits) = (self.ssh.server.clone(), self.ssh.limits);
        tokio::spawn(async move {
            session::run(server, operator, channel.into_stream(), limits).await;
        });
        Ok(())
    }
}

/// Serves one connection. It counts towards the limit of unauthenticated connections until the client has
/// authenticated.
pub(crate) async fn serve(
    ssh: Arc<Ssh>,
    stream: TcpStream,
    from: SocketAddr,
    unauthenticated: UnauthenticatedConnection,
) {
    let (sender, authenticated) = oneshot::channel();
    let peer = Peer {
        ssh: ssh.clone(),
        from,
        user: None,
        authenticated: Some(sender),
        channels: BTreeMap::new(),
        sessions: 0,
    };
    let timeout = ssh.limits.hello_timeout;
    let handshake = russh::server::run_stream(ssh.config.clone(), stream, peer);
    let running = tokio::select! {
        result = tokio::time::timeout(timeout, handshake) => match result {
            Ok(Ok(running)) => running,
            Ok(Err(error)) => return info!(%from, %error, "SSH handshake failed"),
            Err(_) => return info!(%from, "SSH handshake timed out"),
        },
        () = unauthenticated.evicted() => return info!(%from, "SSH handshake evicted by another connection"),
    };
    let guard = guard_authentication(&ssh, running.handle(), from, authenticated, unauthenticated);
    tokio::select! {
        result = running => {
            if let Err(error) = result {
                info!(%from, %error, "SSH connection ended");
            }
        }
        () = guard => {}
    }
}

/// Disconnects a client that doesn't authenticate in time, or if there are too many connections.
///
/// The future never completes, so that it holds the connection's permit until it is dropped with the
/// connection.
async fn guard_authentication(
    ssh: &Ssh,
    handle: russh::server::Handle,
    from: SocketAddr,
    authenticated: oneshot::Receiver<()>,
    unauthenticated: UnauthenticatedConnection,
) {
    let is_authenticated = tokio::select! {
        result = tokio::time::timeout(ssh.limits.hello_timeout, authenticated) => {
            result.is_ok_and(|notified| notified.is_ok())
        }
        () = unauthenticated.evicted() => false,
    };
    drop(unauthenticated);
    let permit = ssh.permits.try_acquire();
    if !is_authenticated || permit.is_err() {
        info!(%from, authenticated = is_authenticated, "SSH peer not authenticated in time, or too many connections");
        let _ = handle.disconnect(russh::Disconnect::ByApplication, String::new(), String::new()).await;
    }
    std::future::pending::<()>().await
}
