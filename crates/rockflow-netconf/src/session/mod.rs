//! A NETCONF session over an authenticated stream.
//!
//! The session starts with the exchange of hellos. Requests are then processed one at a time in the order
//! received, and notifications are sent between replies.

mod hello;
mod subscriptions;

use crate::framing::{encode, Framing};
use crate::monitoring::{self, Counts};
use crate::ns;
use crate::rpc::{self, Reply, Server};
use crate::xml::{self, Element, Writer};
use hello::ClientHello;
use rockflow_management::{ErrorTag, ManagementError, Operator};
use rockflow_management_service::SessionHandle;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use subscriptions::Subscriptions;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tracing::{debug, info};

/// How long sending one message may take before the session ends.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Capacity of the queue of unsent notifications. While it is full, the subscriptions wait and merge their
/// updates.
const MAX_WAITING_NOTIFICATIONS: usize = 16;
/// Maximum number of bytes of one read from the stream.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Limits that apply to each session.
#[derive(Clone, Copy, Debug)]
pub struct SessionLimits {
    /// Maximum size of a received message in bytes.
    pub max_message_bytes: usize,
    /// How long the client may take to authenticate, and then again to send its hello.
    pub hello_timeout: Duration,
}

/// The reason why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The management service refused to open a session, for example because the session limit is reached.
    NoSessionLeft,
    /// The client sent `<close-session>`.
    Closed,
    /// The session was killed by another session or exceeded the idle limit.
    KilledOrIdle,
    /// A message could not be sent: the write timed out or failed.
    NotRead,
    /// The client's hello is invalid or has no base protocol version in common with the server.
    BadHello,
    /// The client did not send its hello in time.
    NoHello,
    /// The received bytes violate the message framing.
    Framing,
    /// A message is not well-formed XML or not an `<rpc>`.
    Malformed,
    /// The client closed the connection, or reading from it failed.
    ConnectionEnded,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SessionEnd::NoSessionLeft => "no session left",
            SessionEnd::Closed => "closed",
            SessionEnd::KilledOrIdle => "killed or idle",
            SessionEnd::NotRead => "write failed or timed out",
            SessionEnd::BadHello => "bad hello",
            SessionEnd::NoHello => "no hello in time",
            SessionEnd::Framing => "framing error",
            SessionEnd::Malformed => "malformed message",
            SessionEnd::ConnectionEnded => "connection ended",
        })
    }
}

/// Runs a session until it ends and returns the reason.
pub async fn run<S>(server: Arc<Server>, operator: Operator, stream: S, limits: SessionLimits) -> SessionEnd
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
{
    let user = operator.user.clone();
    let handle = match server.service.open_session(operator) {
        Ok(handle) => handle,
        Err(error) => {
            info!(user, %error, "NETCONF session refused");
            Counts::add(&server.counts.dropped);
            return SessionEnd::NoSessionLeft;
        }
    };
    Counts::add(&server.counts.sessions);
    let (sender, notifications) = mpsc::channel(MAX_WAITING_NOTIFICATIONS);
    let mut session = Session {
        server: server.clone(),
        handle,
        stream,
        framing: Framing::new(limits.max_message_bytes),
        subscriptions: Subscriptions::new(sender),
    };
    let end = match session.serve(limits, notifications).await {
        Ok(never) => match never {},
        Err(end) => end,
    };
    // TLS clients treat a connection that ends without close_notify as a truncation attack.
    let _ = tokio::time::timeout(WRITE_TIMEOUT, session.stream.shutdown()).await;
    if !matches!(end, SessionEnd::Closed | SessionEnd::KilledOrIdle) {
        Counts::add(&server.counts.dropped);
    }
    debug!(user, reason = %end, "NETCONF session ended");
    end
}

/// The state of one session, owned by the task that runs it.
struct Session<S> {
    server: Arc<Server>,
    handle: SessionHandle,
    stream: S,
    framing: Framing,
    subscriptions: Subscriptions,
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Session<S> {
    /// Serves the session until it ends. The reason for the end is returned as the error.
    async fn serve(
        &mut self,
        limits: SessionLimits,
        mut notifications: mpsc::Receiver<String>,
    ) -> Result<std::convert::Infallible, SessionEnd> {
        self.exchange_hellos(limits.hello_timeout).await?;
        let (server, id) = (self.server.clone(), self.handle.id);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match self.framing.next_message() {
                Ok(Some(message)) => {
                    self.answer(&message).await?;
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    info!(session = id.0, %error, "NETCONF framing error");
                    return Err(SessionEnd::Framing);
                }
            }
            tokio::select! {
                read = self.stream.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => return Err(SessionEnd::ConnectionEnded),
                    Ok(count) => self.framing.add(&buffer[..count]),
                },
                Some(notification) = notifications.recv() => {
                    Counts::add(&server.counts.notifications);
                    self.send(&notification).await?;
                }
                () = server.service.session_closed(id) => return Err(SessionEnd::KilledOrIdle),
            }
        }
    }

    async fn exchange_hellos(&mut self, timeout: Duration) -> Result<(), SessionEnd> {
        let (server, id) = (self.server.clone(), self.handle.id);
        let separate_startup = server.service.inspect(|datastores| datastores.has_separate_startup());
        self.send(&monitoring::hello(server.service.schema(), separate_startup, id.0)).await?;
        let received = tokio::time::timeout(timeout, self.receive()).await;
        let message = received.map_err(|_| SessionEnd::NoHello)??;
        match ClientHello::parse(&message) {
            Ok(hello) => {
                if hello.supports_chunks {
                    self.framing.switch_to_chunks();
                }
                Ok(())
            }
            Err(error) => {
                info!(session = id.0, %error, "invalid NETCONF hello");
                Counts::add(&server.counts.bad_hellos);
                Err(SessionEnd::BadHello)
            }
        }
    }

    /// Waits for the next message. Used for the hello, when no notifications or requests are pending.
    async fn receive(&mut self) -> Result<Vec<u8>, SessionEnd> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match self.framing.next_message() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(_) => return Err(SessionEnd::Framing),
            }
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return Err(SessionEnd::ConnectionEnded),
                Ok(count) => self.framing.add(&buffer[..count]),
            }
        }
    }

    async fn send(&mut self, message: &str) -> Result<(), SessionEnd> {
        let bytes = encode(message, self.framing.is_chunked());
        let written = async {
            self.stream.write_all(&bytes).await?;
            self.stream.flush().await
        };
        match tokio::time::timeout(WRITE_TIMEOUT, written).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(SessionEnd::NotRead),
        }
    }

    /// Processes one message and sends the reply.
    async fn answer(&mut self, message: &[u8]) -> Result<(), SessionEnd> {
        let server = self.server.clone();
        Counts::add(&server.counts.rpcs);
        let rpc = match xml::read(message) {
            Ok(element) if element.name == "rpc" && element.ns == ns::BASE => element,
            Ok(_) => return self.refuse_message("no rpc".to_string()).await,
            Err(error) => return self.refuse_message(error.to_string()).await,
        };
        let operation = match single_operation(&rpc) {
            Ok(operation) => operation,
            Err(error) => {
                Counts::add(&server.counts.bad_rpcs);
                return self.send_errors(&rpc, &[error]).await;
            }
        };
        match server.call(&self.handle, operation).await {
            Ok(Reply::Ok) => self.send_reply(&rpc, "<ok/>").await,
            Ok(Reply::Content(content)) => self.send_reply(&rpc, &content).await,
            Ok(Reply::Close) => {
                self.send_reply(&rpc, "<ok/>").await?;
                Err(SessionEnd::Closed)
            }
            Ok(Reply::Events) => {
                let subscribed = self.subscriptions.subscribe_events(&server, &mut self.handle);
                self.send_subscribed(&rpc, operation, subscribed).await
            }
            Ok(Reply::Push { patterns, trigger, updates_only }) => {
                let subscriptions = &mut self.subscriptions;
                let subscribed =
                    subscriptions.subscribe(&server, &mut self.handle, patterns, trigger, updates_only).await;
                self.send_subscribed(&rpc, operation, subscribed).await
            }
            Ok(Reply::Unsubscribe(number)) => {
                match self.subscriptions.unsubscribe(&mut self.handle, number) {
                    Ok(()) => self.send_reply(&rpc, "<ok/>").await,
                    Err(error) => self.send_errors(&rpc, &[error]).await,
                }
            }
            Err(errors) => self.send_errors(&rpc, &errors).await,
        }
    }

    /// Replies to a message that is not an `<rpc>` and ends the session, because later messages can't be
    /// trusted either.
    async fn refuse_message(&mut self, message: String) -> Result<(), SessionEnd> {
        Counts::add(&self.server.counts.bad_rpcs);
        let error = ManagementError::new(ErrorTag::MalformedMessage, message);
        let content = rpc::write_errors(self.server.service.schema(), &[error]);
        let _ = self.send(&write_reply(&[], &content)).await;
        Err(SessionEnd::Malformed)
    }

    async fn send_subscribed(
        &mut self,
        rpc: &Element,
        operation: &Element,
        subscribed: Result<u64, ManagementError>,
    ) -> Result<(), SessionEnd> {
        match subscribed {
            Ok(number) if operation.ns == ns::SUBSCRIBED => {
                let mut out = Writer::new();
                out.leaf("id", &[("xmlns", ns::SUBSCRIBED)], &number.to_string());
                self.send_reply(rpc, &out.finish()).await
            }
            Ok(_) => self.send_reply(rpc, "<ok/>").await,
            Err(error) => self.send_errors(rpc, &[error]).await,
        }
    }

    async fn send_errors(&mut self, rpc: &Element, errors: &[ManagementError]) -> Result<(), SessionEnd> {
        Counts::add(&self.server.counts.errors);
        let content = rpc::write_errors(self.server.service.schema(), errors);
        self.send_reply(rpc, &content).await
    }

    async fn send_reply(&mut self, rpc: &Element, content: &str) -> Result<(), SessionEnd> {
        let attributes: Vec<(&str, &str)> = rpc
            .attributes
            .iter()
            .map(|attribute| (attribute.qualified.as_str(), attribute.value.as_str()))
            .collect();
        self.send(&write_reply(&attributes, content)).await
    }
}

/// Returns the operation element of an `<rpc>`, which must have a message-id and exactly one child element.
fn single_operation(rpc: &Element) -> Result<&Element, ManagementError> {
    if rpc.attribute("", "message-id").is_none() {
        let error = ManagementError::new(ErrorTag::MissingAttribute, "message-id is missing");
        return Err(error.with_element("rpc"));
    }
    match rpc.children.as_slice() {
        [operation] => Ok(operation),
        _ => {
            let error = ManagementError::new(ErrorTag::MissingElement, "one operation is wanted");
            Err(error.with_element("rpc"))
        }
    }
}

/// Writes an `<rpc-reply>` with the attributes of its request (RFC 6241, section 4.2).
fn write_reply(request_attributes: &[(&str, &str)], content: &str) -> String {
    let mut attributes = request_attributes.to_vec();
    // The request may bind the base namespace to a prefix, but the reply uses it as the default namespace.
    match attributes.iter_mut().find(|(name, _)| *name == "xmlns") {
        Some((_, namespace)) => *namespace = ns::BASE,
        None => attributes.insert(0, ("xmlns", ns::BASE)),
    }
    let mut out = Writer::new();
    out.open("rpc-reply", &attributes);
    out.raw(content);
    out.close("rpc-reply");
    out.finish()
}
