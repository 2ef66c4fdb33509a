//! NETCONF over SSH (RFC 6242): the subsystem `netconf`, for those whose public keys lie in the operator's
//! folder. Nothing else of SSH is offered.

use crate::rpc::Server;
use crate::session::{self, Bounds};
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

/// Sessions on one connection.
const MAX_CHANNELS: usize = 8;
const MAX_TRIES: usize = 6;

pub fn host_key(path: &Path) -> Result<PrivateKey, String> {
    let text = credentials::read_file(path, FileSecrecy::OwnerOnly).map_err(|error| error.to_string())?;
    let text = String::from_utf8(text).map_err(|_| format!("{}: not text", path.display()))?;
    russh::keys::decode_secret_key(&text, None).map_err(|what| format!("{}: {what}", path.display()))
}

/// What the connections share.
pub struct Ssh {
    pub server: Arc<Server>,
    pub keys: PathBuf,
    pub bounds: Bounds,
    pub config: Arc<russh::server::Config>,
    /// One for each connection that has proved who it is.
    pub places: Arc<Semaphore>,
}

pub fn config(key: PrivateKey) -> Arc<russh::server::Config> {
    Arc::new(russh::server::Config {
        keys: vec![key],
        methods: MethodSet::from(&[MethodKind::PublicKey][..]),
        auth_rejection_time: Duration::from_millis(300),
        auth_rejection_time_initial: Some(Duration::ZERO),
        max_auth_attempts: MAX_TRIES,
        // Silent sessions are the desk's matter; dead connections are found by these.
        inactivity_timeout: None,
        keepalive_interval: Some(Duration::from_secs(30)),
        keepalive_max: 3,
        // What one channel may have on its way to us unread.
        window_size: 64 * 1024,
        maximum_packet_size: 32 * 1024,
        channel_buffer_size: 8,
        nodelay: true,
        ..russh::server::Config::default()
    })
}

/// Whether the key lies in the user's file. A user's name is a file's name, and nothing more of a path.
pub fn authorized(folder: &Path, user: &str, key: &PublicKey) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'@');
    if user.is_empty() || user.len() > 64 || user.starts_with('.') || !user.bytes().all(plain) {
        return false;
    }
    let path = folder.join(user);
    if !path.exists() {
        return false;
    }
    let text = match credentials::read_file(&path, FileSecrecy::Readable).map(String::from_utf8) {
        Ok(Ok(text)) => text,
        Ok(Err(_)) => return false,
        Err(what) => {
            warn!(what = what.to_string(), "keys not used");
            return false;
        }
    };
    AuthorizedKeys::new(&text)
        .filter_map(Result::ok)
        .any(|entry| entry.public_key().key_data() == key.key_data())
}

struct Peer {
    ssh: Arc<Ssh>,
    from: SocketAddr,
    user: Option<String>,
    /// Told once the peer has proved who it is.
    proved: Option<oneshot::Sender<()>>,
    channels: BTreeMap<ChannelId, Channel<Msg>>,
    sessions: usize,
}

impl Handler for Peer {
    type Error = russh::Error;

    async fn auth_publickey(&mut self, user: &str, key: VerifiedPublicKey<'_>) -> Result<Auth, Self::Error> {
        if authorized(&self.ssh.keys, user, key.public_key) {
            self.user = Some(user.to_string());
            return Ok(Auth::Accept);
        }
        info!(user = user.chars().take(64).collect::<String>(), from = %self.from, "key not known");
        Ok(Auth::reject())
    }

    async fn auth_succeeded(&mut self, _: &mut Session) -> Result<(), Self::Error> {
        if let Some(proved) = self.proved.take() {
            let _ = proved.send(());
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
        let who = Operator {
            user: user.clone(),
            protocol: Protocol::NetconfSsh,
            source: self.from.ip().to_string(),
        };
        let (server, bounds) = (self.ssh.server.clone(), self.ssh.bounds);
        tokio::spawn(async move {
            session::run(server, who, channel.into_stream(), bounds).await;
        });
        Ok(())
    }
}

/// Serves one connection, which is one of those that have not proved who they are until it has.
pub async fn serve(ssh: Arc<Ssh>, stream: TcpStream, from: SocketAddr, unproved: UnauthenticatedConnection) {
    let (proved, wait) = oneshot::channel();
    let peer = Peer {
        ssh: ssh.clone(),
        from,
        user: None,
        proved: Some(proved),
        channels: BTreeMap::new(),
        sessions: 0,
    };
    let limit = ssh.bounds.hello;
    let begun = russh::server::run_stream(ssh.config.clone(), stream, peer);
    let running = tokio::select! {
        begun = tokio::time::timeout(limit, begun) => match begun {
            Ok(Ok(running)) => running,
            Ok(Err(what)) => return info!(%from, %what, "ssh handshake"),
            Err(_) => return info!(%from, "ssh handshake not done in time"),
        },
        () = unproved.evicted() => return info!(%from, "gave way to another handshake"),
    };
    let handle = running.handle();
    let watch = async move {
        // Guards against connections that shake hands and never prove who they are.
        let proved = tokio::select! {
            proved = tokio::time::timeout(limit, wait) => proved.is_ok_and(|told| told.is_ok()),
            () = unproved.evicted() => false,
        };
        drop(unproved);
        // Kept as long as the connection is: this part ends with it.
        let place = ssh.places.try_acquire();
        if !proved || place.is_err() {
            info!(%from, proved, "ssh peer did not prove who it is in time, or there is no room for it");
            let _ = handle.disconnect(russh::Disconnect::ByApplication, String::new(), String::new()).await;
        }
        std::future::pending::<()>().await
    };
    tokio::select! {
        ended = running => {
            if let Err(what) = ended {
                info!(%from, %what, "ssh connection over");
            }
        }
        () = watch => {}
    }
}
