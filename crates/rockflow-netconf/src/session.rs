//! One session, whatever carries it: hellos, then requests in their order, with notifications between replies.

use crate::framing::{encode, Framing};
use crate::monitoring::{self, Counts};
use crate::notify;
use crate::ns;
use crate::rpc::{self, Reply, Server};
use crate::xml::{self, Element, Writer};
use rockflow_management::{ErrorTag, ManagementError, Operator};
use rockflow_management_service::{ManagementEvent, SessionHandle};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{broadcast, mpsc};
use tokio::task::AbortHandle;
use tracing::{debug, info};

/// How long a peer may take to read what it is sent.
const WRITE: Duration = Duration::from_secs(30);
/// Notifications that wait for the peer; the subscriptions behind them hold back, and merge.
const MAX_WAITING: usize = 16;
/// Subscriptions of one session.
const MAX_FOLLOWED: usize = 16;
const READ: usize = 16 * 1024;

/// Limits of one session.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub message: usize,
    pub hello: Duration,
}

/// Runs a session to its end, and says why that was.
pub async fn run<S>(server: Arc<Server>, who: Operator, stream: S, bounds: Bounds) -> &'static str
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
{
    let user = who.user.clone();
    let handle = match server.service.open_session(who) {
        Ok(handle) => handle,
        Err(fault) => {
            info!(user, %fault, "netconf session not begun");
            Counts::add(&server.counts.dropped);
            return "no session left";
        }
    };
    Counts::add(&server.counts.sessions);
    let (sender, receiver) = mpsc::channel(MAX_WAITING);
    let mut session = Session {
        server: server.clone(),
        handle,
        stream,
        framing: Framing::new(bounds.message),
        sender,
        receiver: Some(receiver),
        followed: BTreeMap::new(),
        events: false,
    };
    let why = session.serve(bounds).await;
    // TLS peers take an end without a word for an attack.
    let _ = tokio::time::timeout(WRITE, session.stream.shutdown()).await;
    if !matches!(why, "closed" | "killed or silent") {
        Counts::add(&server.counts.dropped);
    }
    debug!(user, why, "netconf session over");
    why
}

struct Session<S> {
    server: Arc<Server>,
    handle: SessionHandle,
    stream: S,
    framing: Framing,
    sender: mpsc::Sender<String>,
    receiver: Option<mpsc::Receiver<String>>,
    /// The task of each subscription, by its number.
    followed: BTreeMap<u64, AbortHandle>,
    events: bool,
}

impl<S> Drop for Session<S> {
    fn drop(&mut self) {
        self.followed.values().for_each(AbortHandle::abort);
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Session<S> {
    async fn serve(&mut self, bounds: Bounds) -> &'static str {
        let (server, id) = (self.server.clone(), self.handle.id);
        let separate = server.service.inspect(|all| all.has_separate_startup());
        let hello = monitoring::hello(server.service.schema(), separate, id.0);
        if !self.write(&hello).await {
            return "not read";
        }
        match tokio::time::timeout(bounds.hello, self.next()).await {
            Ok(Ok(message)) => match judge_hello(&message) {
                Ok(chunked) => {
                    if chunked {
                        self.framing.chunked();
                    }
                }
                Err(what) => {
                    info!(session = id.0, what, "bad hello");
                    Counts::add(&server.counts.bad_hellos);
                    return "bad hello";
                }
            },
            Ok(Err(why)) => return why,
            Err(_) => return "no hello in time",
        }
        let Some(mut receiver) = self.receiver.take() else { return "over" };
        let mut buffer = vec![0; READ];
        loop {
            match self.framing.take() {
                Ok(Some(message)) => {
                    if let Some(why) = self.request(&message).await {
                        return why;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(what) => {
                    info!(session = id.0, %what, "framing");
                    return "framing";
                }
            }
            tokio::select! {
                read = self.stream.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => return "connection ended",
                    Ok(n) => self.framing.add(&buffer[..n]),
                },
                Some(message) = receiver.recv() => {
                    Counts::add(&server.counts.notifications);
                    if !self.write(&message).await {
                        return "not read";
                    }
                }
                () = server.service.session_closed(id) => return "killed or silent",
            }
        }
    }

    /// The first message, before anything else is read.
    async fn next(&mut self) -> Result<Vec<u8>, &'static str> {
        let mut buffer = vec![0; READ];
        loop {
            match self.framing.take() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(_) => return Err("framing"),
            }
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return Err("connection ended"),
                Ok(n) => self.framing.add(&buffer[..n]),
            }
        }
    }

    /// False: the peer does not read.
    async fn write(&mut self, message: &str) -> bool {
        let bytes = encode(message, self.framing.is_chunked());
        let written = async {
            self.stream.write_all(&bytes).await?;
            self.stream.flush().await
        };
        matches!(tokio::time::timeout(WRITE, written).await, Ok(Ok(())))
    }

    /// Answers one message; says why the session ends, if it does.
    async fn request(&mut self, message: &[u8]) -> Option<&'static str> {
        let server = self.server.clone();
        Counts::add(&server.counts.rpcs);
        let schema = server.service.schema();
        let request = match xml::read(message) {
            Ok(request) if request.name == "rpc" && request.ns == ns::BASE => request,
            read => {
                Counts::add(&server.counts.bad_rpcs);
                let what = read.err().unwrap_or_else(|| "no rpc".to_string());
                let fault = ManagementError::new(ErrorTag::MalformedMessage, what);
                // Only base:1.1 has a word for it; either way nothing more can be made of this peer.
                let reply = reply(&[], &rpc::write_errors(schema, &[fault]));
                self.write(&reply).await;
                return Some("malformed");
            }
        };
        let attributes: Vec<(&str, &str)> =
            request.attributes.iter().map(|one| (one.qualified.as_str(), one.value.as_str())).collect();
        let fail = |faults: &[ManagementError]| {
            Counts::add(&server.counts.errors);
            reply(&attributes, &rpc::write_errors(schema, faults))
        };
        if request.attribute("", "message-id").is_none() {
            Counts::add(&server.counts.bad_rpcs);
            let fault =
                ManagementError::new(ErrorTag::MissingAttribute, "message-id is missing").with_element("rpc");
            let out = fail(&[fault]);
            return (!self.write(&out).await).then_some("not read");
        }
        let [operation] = request.children.as_slice() else {
            Counts::add(&server.counts.bad_rpcs);
            let out =
                fail(&[ManagementError::new(ErrorTag::MissingElement, "one operation is wanted")
                    .with_element("rpc")]);
            return (!self.write(&out).await).then_some("not read");
        };
        let mut over = None;
        let out = match server.call(&self.handle, operation).await {
            Ok(Reply::Ok) => reply(&attributes, "<ok/>"),
            Ok(Reply::Content(content)) => reply(&attributes, &content),
            Ok(Reply::Close) => {
                over = Some("closed");
                reply(&attributes, "<ok/>")
            }
            Ok(begun) => match self.follow(operation, begun).await {
                Ok(content) => reply(&attributes, &content),
                Err(fault) => fail(&[fault]),
            },
            Err(faults) => fail(&faults),
        };
        if !self.write(&out).await {
            return Some("not read");
        }
        over
    }

    async fn follow(&mut self, operation: &Element, begun: Reply) -> Result<String, ManagementError> {
        let schema = self.server.service.schema().clone();
        if self.followed.len() >= MAX_FOLLOWED && !matches!(begun, Reply::Unsubscribe(_)) {
            let message = format!("more than {MAX_FOLLOWED} subscriptions in a session");
            return Err(ManagementError::new(ErrorTag::ResourceDenied, message));
        }
        let sender = self.sender.clone();
        let (number, task) = match begun {
            Reply::Events => {
                if std::mem::replace(&mut self.events, true) {
                    return Err(ManagementError::new(ErrorTag::InUse, "this session follows events already"));
                }
                let mut events = self.handle.subscribe_events();
                let task = tokio::spawn(async move {
                    loop {
                        let (at, event): (Duration, ManagementEvent) = match events.recv().await {
                            Ok(event) => event,
                            // What a slow reader missed is told by the next picture it asks for.
                            Err(broadcast::error::RecvError::Lagged(missed)) => {
                                info!(missed, "a follower of events was too slow");
                                continue;
                            }
                            Err(broadcast::error::RecvError::Closed) => return,
                        };
                        for message in notify::event(&schema, at, &event) {
                            if sender.send(message).await.is_err() {
                                return;
                            }
                        }
                    }
                });
                (0, task)
            }
            Reply::Push { patterns, trigger, updates_only } => {
                let following = self.handle.subscribe(patterns, trigger, updates_only).await?;
                let (number, desk) = (following.number, self.server.service.clone());
                let task = tokio::spawn(async move {
                    loop {
                        let update = following.next().await;
                        let message = notify::push(&schema, desk.now(), number, update);
                        if sender.send(message).await.is_err() {
                            return;
                        }
                    }
                });
                (number, task)
            }
            Reply::Unsubscribe(number) => {
                let task = self.followed.remove(&number);
                let task = task.ok_or_else(|| {
                    ManagementError::new(ErrorTag::InvalidValue, format!("no subscription {number} here"))
                        .with_app_tag("no-such-subscription")
                })?;
                task.abort();
                self.handle.release_subscription();
                return Ok("<ok/>".to_string());
            }
            _ => return Ok("<ok/>".to_string()),
        };
        self.followed.insert(number, task.abort_handle());
        if operation.ns == ns::SUBSCRIBED {
            let mut out = Writer::new();
            out.leaf("id", &[("xmlns", ns::SUBSCRIBED)], &number.to_string());
            return Ok(out.finish());
        }
        Ok("<ok/>".to_string())
    }
}

/// Whether both sides know base:1.1; a hello that is none, or claims a session's number, is a fault.
fn judge_hello(message: &[u8]) -> Result<bool, String> {
    let hello = xml::read(message)?;
    if hello.name != "hello" || hello.ns != ns::BASE {
        return Err("no hello".to_string());
    }
    if hello.child("session-id").is_some() {
        return Err("a client tells no session-id".to_string());
    }
    let told = hello.child("capabilities").ok_or("no capabilities")?;
    // Whole names: there are clients that tell 1.1 under another's name, and then speak 1.0.
    let knows = |name: &str| told.children.iter().any(|one| one.text().split('?').next() == Some(name));
    let old = "urn:ietf:params:xml:ns:netconf:base:1.0";
    if knows("urn:ietf:params:netconf:base:1.1") {
        Ok(true)
    } else if knows("urn:ietf:params:netconf:base:1.0") || knows(old) {
        Ok(false)
    } else {
        Err("no base in common".to_string())
    }
}

fn reply(attributes: &[(&str, &str)], content: &str) -> String {
    let mut out = Writer::new();
    let mut all = attributes.to_vec();
    if !all.iter().any(|(name, _)| *name == "xmlns") {
        all.insert(0, ("xmlns", ns::BASE));
    }
    // A request may bear its namespace under a prefix; the reply's own names stand without one.
    all.iter_mut().filter(|(name, _)| *name == "xmlns").for_each(|(_, value)| *value = ns::BASE);
    out.open("rpc-reply", &all);
    out.raw(content);
    out.close("rpc-reply");
    out.finish()
}
