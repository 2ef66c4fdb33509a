//! The NETCONF client. It sends one request at a time; notifications that arrive before the reply are queued
//! in order.

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

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout for the reply to a request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of notifications queued while a request waits for its reply; further ones are dropped.
const MAX_QUEUED: usize = 10_000;

/// A byte stream over which a session can run.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// A NETCONF session with a server.
pub struct Client {
    stream: Box<dyn Stream>,
    framing: Framing,
    next_message_id: u64,
    /// The session id that the server assigned; 0 if its hello had none.
    pub session: u32,
    /// The capabilities that the server announced in its hello.
    pub capabilities: Vec<String>,
    queued: VecDeque<Element>,
    /// Keeps the SSH connection open for as long as the session; `None` over other streams.
    _ssh: Option<russh::client::Handle<HostKey>>,
}

/// An SSH event handler that accepts only this host key.
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

fn connection_error(cause: impl std::fmt::Display) -> ClientError {
    ClientError::Connection(cause.to_string())
}

impl Client {
    /// Connects over SSH and authenticates as `user` with `key`. Fails with [`ClientError::Untrusted`] if the
    /// server's host key is not `host`, or if the server does not accept the user's key.
    pub async fn ssh(
        address: &str,
        user: &str,
        key: PrivateKey,
        host: PublicKey,
    ) -> Result<Client, ClientError> {
        let stream = TcpStream::connect(address).await.map_err(connection_error)?;
        let _ = stream.set_nodelay(true);
        let config = Arc::new(russh::client::Config { nodelay: true, ..russh::client::Config::default() });
        let connected = russh::client::connect_stream(config, stream, HostKey(host)).await;
        let mut handle = connected.map_err(|error| match error {
            russh::Error::UnknownKey => ClientError::Untrusted("the server has another host key".to_string()),
            other => connection_error(other),
        })?;
        let key = PrivateKeyWithHashAlg::new(Arc::new(key), None);
        let authentication = handle.authenticate_publickey(user, key).await.map_err(connection_error)?;
        if !authentication.success() {
            return Err(ClientError::Untrusted(format!("the server does not know this key for {user}")));
        }
        let channel = handle.channel_open_session().await.map_err(connection_error)?;
        channel.request_subsystem(true, "netconf").await.map_err(connection_error)?;
        Client::begin(Box::new(channel.into_stream()), Some(handle)).await
    }

    /// Connects over TLS. `name` must match the server's certificate; `config` holds the client's certificate
    /// and the trusted authorities.
    pub async fn tls(
        address: &str,
        name: &str,
        config: Arc<rustls::ClientConfig>,
    ) -> Result<Client, ClientError> {
        let stream = TcpStream::connect(address).await.map_err(connection_error)?;
        let name = rustls::pki_types::ServerName::try_from(name.to_string()).map_err(connection_error)?;
        let stream = tokio_rustls::TlsConnector::from(config).connect(name, stream).await;
        Client::begin(Box::new(stream.map_err(|error| ClientError::Untrusted(error.to_string()))?), None)
            .await
    }

    /// Starts a session over any stream by exchanging the hello messages. `ssh` is the connection to keep
    /// open for as long as the session, if the stream is an SSH channel.
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
        let announced = hello.child("capabilities").map(|list| list.children.as_slice()).unwrap_or_default();
        client.capabilities = announced.iter().map(|capability| capability.text().to_string()).collect();
        client.session = hello.text_of("session-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        if client.capabilities.iter().any(|capability| capability == "urn:ietf:params:netconf:base:1.1") {
            client.framing.switch_to_chunks();
        }
        Ok(client)
    }

    async fn send(&mut self, message: &str) -> Result<(), ClientError> {
        let bytes = encode(message, self.framing.is_chunked());
        self.stream.write_all(&bytes).await.map_err(connection_error)?;
        self.stream.flush().await.map_err(connection_error)
    }

    /// Receives the next message, whether reply or notification.
    async fn message(&mut self) -> Result<Element, ClientError> {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            if let Some(message) =
                self.framing.next_message().map_err(|error| ClientError::Unreadable(error.to_string()))?
            {
                return xml::read(&message).map_err(|error| ClientError::Unreadable(error.to_string()));
            }
            match self.stream.read(&mut buffer).await.map_err(connection_error)? {
                0 => return Err(connection_error("closed by the server")),
                count => self.framing.add(&buffer[..count]),
            }
        }
    }

    /// Calls an operation, given as XML, and returns the reply. An `rpc-error` in the reply becomes
    /// [`ClientError::Rejected`].
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
        let reply = reply.await.map_err(|_| connection_error("no reply in time"))??;
        if reply.name != "rpc-reply"
            || reply.attribute("", "message-id").is_some_and(|reply_id| reply_id != id)
        {
            return Err(ClientError::Unreadable(format!("{} is not the reply to this request", reply.name)));
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

    /// Returns the next notification; waits without a timeout.
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

    /// Reads the data at the paths from a datastore, named by its identity, such as `running` or
    /// `operational`. Without paths, all of the datastore's data is read. Data of models unknown to the
    /// schema is skipped.
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
        let known_elements: Vec<Element> = data
            .children
            .iter()
            .filter(|child| schema.modules().iter().any(|module| module.namespace == child.ns))
            .cloned()
            .collect();
        let tree = codec::read(
            schema,
            None,
            &known_elements,
            &Path::default(),
            rockflow_yang::NodeScope::ConfigAndState,
        );
        tree.map_err(|error| ClientError::Unreadable(error.to_string()))
    }

    /// Merges a tree into the candidate datastore.
    pub async fn edit(&mut self, schema: &Schema, fields: &DataTree) -> Result<(), ClientError> {
        let mut inner = Writer::new();
        codec::write(schema, fields, None, codec::Annotations::default(), &mut inner);
        self.edit_xml(&inner.finish()).await
    }

    /// Edits the candidate datastore. `config` is the content of the `<config>` element; if any part of it
    /// fails, nothing is changed.
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

    /// Commits the candidate. With `confirm_timeout`, the commit is reverted unless it is confirmed in that
    /// time (in whole seconds, at least one). If `persist` is given too, any session that knows it can
    /// confirm the commit. `persist_id` confirms such a commit.
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

    /// Calls an operation that the model defines, such as `drain`, with the leaves in `input`. Returns the
    /// version that it committed.
    pub async fn act(
        &mut self,
        schema: &Schema,
        name: &str,
        input: &[(&str, &str)],
    ) -> Result<u64, ClientError> {
        let namespace =
            schema.find(&[name]).map(|id| schema.module_of(id).namespace.clone()).unwrap_or_default();
        let mut out = Writer::new();
        out.open(name, &[("xmlns", &namespace)]);
        input.iter().for_each(|(name, value)| out.leaf(name, &[], value));
        out.close(name);
        let reply = self.call(&out.finish()).await?;
        let version = reply.text_of("version").and_then(|text| text.parse().ok());
        version.ok_or_else(|| ClientError::Unreadable("no version in the reply".to_string()))
    }

    /// Subscribes to the operational data at the paths and returns the subscription's id. With a `period`,
    /// all of the data is sent at that interval, rounded down to hundredths of a second; otherwise changes
    /// are sent.
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
        let id = reply.text_of("id").and_then(|text| text.parse().ok());
        id.ok_or_else(|| ClientError::Unreadable("no id in the reply".to_string()))
    }

    /// Subscribes to the server's event notifications (RFC 5277).
    pub async fn events(&mut self) -> Result<(), ClientError> {
        let mut out = Writer::new();
        out.empty("create-subscription", &[("xmlns", ns::NOTIFICATION)]);
        self.call(&out.finish()).await.map(|_| ())
    }

    /// Closes the session gracefully, waiting for the server's reply.
    pub async fn close(&mut self) -> Result<(), ClientError> {
        self.call("<close-session/>").await.map(|_| ())
    }
}
