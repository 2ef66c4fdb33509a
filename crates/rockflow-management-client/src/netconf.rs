//! The NETCONF client: one request at a time; notifications that arrive meanwhile are queued in their order.

use crate::ClientError;
use rockflow_netconf::codec;
use rockflow_netconf::framing::{encode, Framing};
use rockflow_netconf::ns;
use rockflow_netconf::xml::{self, Element, Writer};
use rockflow_yang::{DataTree, Path, Schema};
use russh::keys::{PrivateKey, PrivateKeyWithHashAlg, PublicKey, PublicKeyOrCertificate};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of a message at the most.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// How long a reply is waited for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Notifications queued while requests are answered; further ones are dropped.
const MAX_QUEUED: usize = 10_000;

/// A stream that can carry a session.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// A session with a server.
pub struct Client {
    stream: Box<dyn Stream>,
    framing: Framing,
    next_message_id: u64,
    /// The session's number, which the server gave.
    pub session: u32,
    /// What the server announced in its hello.
    pub capabilities: Vec<String>,
    queued: VecDeque<Element>,
    /// Lives as long as the session; none over TLS.
    _ssh: Option<russh::client::Handle<HostKey>>,
}

/// Accepts one host key only.
pub struct HostKey(PublicKey);

impl russh::client::Handler for HostKey {
    type Error = russh::Error;

    async fn check_server_key(&mut self, key: &PublicKeyOrCertificate) -> Result<bool, Self::Error> {
        Ok(match key {
            PublicKeyOrCertificate::PublicKey { key, .. } => key.key_data() == self.0.key_data(),
            _ => false,
        })
    }
}

fn connection(what: impl std::fmt::Display) -> ClientError {
    ClientError::Connection(what.to_string())
}

impl Client {
    /// Connects over SSH, as `user` with the key, to a server that has that host key.
    pub async fn ssh(
        address: &str,
        user: &str,
        key: PrivateKey,
        host: PublicKey,
    ) -> Result<Client, ClientError> {
        let stream = TcpStream::connect(address).await.map_err(connection)?;
        let _ = stream.set_nodelay(true);
        let config = Arc::new(russh::client::Config { nodelay: true, ..russh::client::Config::default() });
        let connected = russh::client::connect_stream(config, stream, HostKey(host)).await;
        let mut handle = connected.map_err(|what| match what {
            russh::Error::UnknownKey => ClientError::Untrusted("the server has another host key".to_string()),
            what => connection(what),
        })?;
        let key = PrivateKeyWithHashAlg::new(Arc::new(key), None);
        let proved = handle.authenticate_publickey(user, key).await.map_err(connection)?;
        if !proved.success() {
            return Err(ClientError::Untrusted(format!("the server does not know this key for {user}")));
        }
        let channel = handle.channel_open_session().await.map_err(connection)?;
        channel.request_subsystem(true, "netconf").await.map_err(connection)?;
        Client::begin(Box::new(channel.into_stream()), Some(handle)).await
    }

    /// Connects over TLS; `config` holds the client's certificate and the server's authority.
    pub async fn tls(
        address: &str,
        name: &str,
        config: Arc<rustls::ClientConfig>,
    ) -> Result<Client, ClientError> {
        let stream = TcpStream::connect(address).await.map_err(connection)?;
        let name = rustls::pki_types::ServerName::try_from(name.to_string()).map_err(connection)?;
        let stream = tokio_rustls::TlsConnector::from(config).connect(name, stream).await;
        Client::begin(Box::new(stream.map_err(|what| ClientError::Untrusted(what.to_string()))?), None).await
    }

    /// Begins a session over any stream: exchanges the hellos.
    pub async fn begin(
        stream: Box<dyn Stream>,
        ssh: Option<russh::client::Handle<HostKey>>,
    ) -> Result<Client, ClientError> {
        let mut client = Client {
            stream,
            framing: Framing::new(MAX_MESSAGE_BYTES),
            next_message_id: 1,
            session: 0,
            capabilities: Vec::new(),
            queued: VecDeque::new(),
            _ssh: ssh,
        };
        let mut out = Writer::new();
        out.open("hello", &[("xmlns", ns::BASE)]);
        out.open("capabilities", &[]);
        out.leaf("capability", &[], "urn:ietf:params:netconf:base:1.0");
        out.leaf("capability", &[], "urn:ietf:params:netconf:base:1.1");
        out.close("capabilities");
        out.close("hello");
        client.send(&out.finish()).await?;
        let hello = client.message().await?;
        let announced = hello.child("capabilities").map(|all| all.children.as_slice()).unwrap_or_default();
        client.capabilities = announced.iter().map(|one| one.text().to_string()).collect();
        client.session = hello.text_of("session-id").and_then(|word| word.parse().ok()).unwrap_or(0);
        if client.capabilities.iter().any(|one| one == "urn:ietf:params:netconf:base:1.1") {
            client.framing.switch_to_chunks();
        }
        Ok(client)
    }

    async fn send(&mut self, message: &str) -> Result<(), ClientError> {
        let bytes = encode(message, self.framing.is_chunked());
        self.stream.write_all(&bytes).await.map_err(connection)?;
        self.stream.flush().await.map_err(connection)
    }

    async fn message(&mut self) -> Result<Element, ClientError> {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            if let Some(message) =
                self.framing.next_message().map_err(|what| ClientError::Unreadable(what.to_string()))?
            {
                return xml::read(&message).map_err(|error| ClientError::Unreadable(error.to_string()));
            }
            match self.stream.read(&mut buffer).await.map_err(connection)? {
                0 => return Err(connection("ended")),
                n => self.framing.add(&buffer[..n]),
            }
        }
    }

    /// Calls an operation, given as XML; the reply, unless it holds an error.
    pub async fn call(&mut self, operation: &str) -> Result<Element, ClientError> {
        let id = self.next_message_id.to_string();
        self.next_message_id += 1;
        let mut out = Writer::new();
        out.open("rpc", &[("xmlns", ns::BASE), ("message-id", &id)]);
        out.raw(operation);
        out.close("rpc");
        self.send(&out.finish()).await?;
        let reply = tokio::time::timeout(REPLY_TIMEOUT, async {
            loop {
                let message = self.message().await?;
                if message.name == "notification" {
                    self.queue(message);
                } else {
                    return Ok::<_, ClientError>(message);
                }
            }
        });
        let reply = reply.await.map_err(|_| connection("no answer in time"))??;
        if reply.name != "rpc-reply"
            || reply.attribute("", "message-id").is_some_and(|answered| answered != id)
        {
            return Err(ClientError::Unreadable(format!("{} is no reply to this", reply.name)));
        }
        match reply.children.iter().find(|child| child.name == "rpc-error") {
            Some(error) => Err(ClientError::Rejected {
                tag: error.text_of("error-tag").unwrap_or("operation-failed").to_string(),
                app_tag: error.text_of("error-app-tag").map(str::to_string),
                message: error.text_of("error-message").unwrap_or_default().to_string(),
            }),
            None => Ok(reply),
        }
    }

    fn queue(&mut self, notification: Element) {
        if self.queued.len() < MAX_QUEUED {
            self.queued.push_back(notification);
        }
    }

    /// The next notification, however long that takes.
    pub async fn notification(&mut self) -> Result<Element, ClientError> {
        if let Some(queued) = self.queued.pop_front() {
            return Ok(queued);
        }
        loop {
            let message = self.message().await?;
            if message.name == "notification" {
                return Ok(message);
            }
        }
    }

    /// Reads what the paths name of a datastore, which is given by its identity: `running`, `operational` and so on.
    pub async fn get(
        &mut self,
        schema: &Schema,
        datastore: &str,
        paths: &[String],
    ) -> Result<DataTree, ClientError> {
        let mut out = Writer::new();
        out.open("get-data", &[("xmlns", ns::NMDA), ("xmlns:ds", ns::DATASTORES)]);
        out.leaf("datastore", &[], &format!("ds:{datastore}"));
        if !paths.is_empty() {
            out.leaf("xpath-filter", &[], &paths.join(" | "));
        }
        out.close("get-data");
        let reply = self.call(&out.finish()).await?;
        let data = reply.child("data").ok_or_else(|| ClientError::Unreadable("no data".to_string()))?;
        let known: Vec<Element> = data
            .children
            .iter()
            .filter(|child| schema.modules().iter().any(|module| module.namespace == child.ns))
            .cloned()
            .collect();
        let read =
            codec::read(schema, None, &known, &Path::default(), rockflow_yang::NodeScope::ConfigAndState);
        read.map_err(|error| ClientError::Unreadable(error.to_string()))
    }

    /// Merges a tree into the candidate.
    pub async fn edit(&mut self, schema: &Schema, fields: &DataTree) -> Result<(), ClientError> {
        let mut inner = Writer::new();
        codec::write(schema, fields, None, codec::Annotations::default(), &mut inner);
        self.edit_xml(&inner.finish()).await
    }

    /// Edits the candidate with the content of `<config>`; all of it or nothing.
    pub async fn edit_xml(&mut self, config: &str) -> Result<(), ClientError> {
        let mut out = Writer::new();
        out.open("edit-config", &[]);
        out.raw("<target><candidate/></target><error-option>rollback-on-error</error-option>");
        out.open("config", &[("xmlns:nc", ns::BASE)]);
        out.raw(config);
        out.close("config");
        out.close("edit-config");
        self.call(&out.finish()).await.map(|_| ())
    }

    /// Commits the candidate. `confirm_timeout`: the commit is undone unless it is confirmed by then, from any session that
    /// knows `persist` where that is given. `persist_id`: confirms such a commit.
    pub async fn commit(
        &mut self,
        confirm_timeout: Option<Duration>,
        persist: Option<&str>,
        persist_id: Option<&str>,
    ) -> Result<(), ClientError> {
        let mut out = Writer::new();
        out.open("commit", &[]);
        if let Some(confirm_timeout) = confirm_timeout {
            out.empty("confirmed", &[]);
            out.leaf("confirm-timeout", &[], &confirm_timeout.as_secs().max(1).to_string());
            if let Some(persist) = persist {
                out.leaf("persist", &[], persist);
            }
        }
        if let Some(id) = persist_id {
            out.leaf("persist-id", &[], id);
        }
        out.close("commit");
        self.call(&out.finish()).await.map(|_| ())
    }

    /// Calls one of the model's own operations; the version that it committed.
    pub async fn act(
        &mut self,
        schema: &Schema,
        name: &str,
        input: &[(&str, &str)],
    ) -> Result<u64, ClientError> {
        let space = schema.find(&[name]).map(|id| schema.module_of(id).namespace.clone()).unwrap_or_default();
        let mut out = Writer::new();
        out.open(name, &[("xmlns", &space)]);
        input.iter().for_each(|(name, value)| out.leaf(name, &[], value));
        out.close(name);
        let reply = self.call(&out.finish()).await?;
        let version = reply.text_of("version").and_then(|word| word.parse().ok());
        version.ok_or_else(|| ClientError::Unreadable("no version in the reply".to_string()))
    }

    /// Subscribes to what changes below the paths, or to all of it at intervals; the number of the subscription.
    pub async fn follow(&mut self, paths: &[String], period: Option<Duration>) -> Result<u64, ClientError> {
        let mut out = Writer::new();
        out.open("establish-subscription", &[("xmlns", ns::SUBSCRIBED), ("xmlns:ds", ns::DATASTORES)]);
        out.leaf("datastore", &[("xmlns", ns::PUSH)], "ds:operational");
        out.leaf("datastore-xpath-filter", &[("xmlns", ns::PUSH)], &paths.join(" | "));
        match period {
            Some(period) => {
                out.open("periodic", &[("xmlns", ns::PUSH)]);
                out.leaf("period", &[], &(period.as_millis() / 10).max(1).to_string());
                out.close("periodic");
            }
            None => out.empty("on-change", &[("xmlns", ns::PUSH)]),
        }
        out.close("establish-subscription");
        let reply = self.call(&out.finish()).await?;
        let id = reply.text_of("id").and_then(|word| word.parse().ok());
        id.ok_or_else(|| ClientError::Unreadable("no id in the reply".to_string()))
    }

    /// Subscribes to events.
    pub async fn events(&mut self) -> Result<(), ClientError> {
        let mut out = Writer::new();
        out.empty("create-subscription", &[("xmlns", ns::NOTIFICATION)]);
        self.call(&out.finish()).await.map(|_| ())
    }

    /// Closes the session.
    pub async fn close(&mut self) -> Result<(), ClientError> {
        self.call("<close-session/>").await.map(|_| ())
    }
}
