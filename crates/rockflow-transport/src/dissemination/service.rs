//! The thread in which a node runs: its socket, its clock, and a mailbox of bounded size. It decides nothing.

use crate::datagram::DatagramError;
use crate::dissemination::frame::FrameCodec;
use crate::socket::{self, DatagramSocket, SocketDriver, Traffic};
use rockflow_dissemination::{
    ApplyToken, Counters, Directory, EntryId, Identity, Message, Node, NodeConfig, NodeStatus, Output,
    Publication, Publisher, Purge, RejectionReason,
};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Commands that may wait; further ones are rejected. More than a dispatcher can owe at a time, so that no confirmation
/// is lost.
const MAX_WAITING_COMMANDS: usize = 32_768;
/// A control node that starts keeps the board's backlog for this long, while the streams of the others arrive, before it
/// publishes it.
const SETTLING_HEARTBEATS: u32 = 8;

/// How a node is started.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The format of its datagrams.
    pub codec: FrameCodec,
    /// Its configuration.
    pub config: NodeConfig,
    /// At a control node only.
    pub directory: Option<Directory>,
    /// Address of its socket.
    pub listen: SocketAddr,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Called once, in the thread of the node; it must not block.
pub type Reply<T> = Box<dyn FnOnce(T) + Send>;

/// What the owner of a node asks of it.
pub enum Command {
    /// The decisions have applied what was given under this token.
    ConfirmApplied(ApplyToken),
    /// A setting can't be applied.
    Reject {
        /// The setting.
        id: EntryId,
        /// Why.
        reason: RejectionReason,
    },
    /// At control: the notice board announces a purge, which is published by the active control node.
    PurgeNotice {
        /// What is purged.
        purge: Purge,
        /// Time since the purge was made.
        age: Duration,
        /// Whether the board may have announced it before this control node started.
        backlog: bool,
    },
    /// Publish these.
    Publish {
        /// What to publish.
        publications: Vec<Publication>,
        /// Receives the ids of the entries, or of those that replace them.
        reply: Reply<Vec<EntryId>>,
    },
    /// At control: replace the directory.
    SetDirectory(Directory),
    /// Report the state.
    Status(Reply<TransportStatus>),
    /// Leave, and end the thread.
    Stop,
}

/// The state of a node and its socket.
#[derive(Clone, Debug)]
pub struct TransportStatus {
    /// State of the node.
    pub node: NodeStatus,
    /// What the node has counted.
    pub counters: Counters,
    /// Datagrams sent, received and rejected.
    pub traffic: Traffic,
}

/// Sends commands to a node, from any thread.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    /// The address of the node's socket.
    pub listens_at: SocketAddr,
}

/// Sends commands from what the node itself hands out; it does not keep the node alive.
#[derive(Clone)]
pub struct WeakHandle(mpsc::WeakSender<Command>);

impl Handle {
    /// Starts the thread. `on_output` is called in it with every output of the node except what it sends; it must not
    /// block.
    ///
    /// # Errors
    /// The socket can't be bound, or the thread can't be started.
    pub fn start(
        options: NodeOptions,
        on_output: impl FnMut(&WeakHandle, Output) + Send + 'static,
    ) -> io::Result<Handle> {
        let (commands, mailbox) = mpsc::channel(MAX_WAITING_COMMANDS);
        let weak = WeakHandle(commands.downgrade());
        let listens_at = socket::spawn("dissemination", options.listen, move |socket| {
            Box::pin(run(options, DatagramSocket::new(socket), weak, mailbox, on_output))
        })?;
        Ok(Handle { commands, listens_at })
    }

    /// The same without a thread of its own, for many nodes that share one. The node lives as long as the returned future
    /// is polled, within a runtime of tokio.
    ///
    /// # Errors
    /// The socket can't be bound.
    pub fn shared(
        options: NodeOptions,
        on_output: impl FnMut(&WeakHandle, Output) + Send + 'static,
    ) -> io::Result<(Handle, impl Future<Output = ()>)> {
        let socket = std::net::UdpSocket::bind(options.listen)?;
        socket.set_nonblocking(true)?;
        let listens_at = socket.local_addr()?;
        let socket = tokio::net::UdpSocket::from_std(socket)?;
        let (commands, mailbox) = mpsc::channel(MAX_WAITING_COMMANDS);
        let weak = WeakHandle(commands.downgrade());
        let node = async move { run(options, DatagramSocket::new(socket), weak, mailbox, on_output).await };
        Ok((Handle { commands, listens_at }, node))
    }

    /// Returns false where too many commands wait, or the thread has ended: the command is dropped.
    pub fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }

    /// Whether the thread has ended.
    pub fn has_ended(&self) -> bool {
        self.commands.is_closed()
    }
}

impl WeakHandle {
    /// As [`Handle::send`].
    pub fn send(&self, command: Command) -> bool {
        self.0.upgrade().is_some_and(|commands| commands.try_send(command).is_ok())
    }
}

async fn run(
    options: NodeOptions,
    socket: DatagramSocket,
    weak: WeakHandle,
    mut mailbox: mpsc::Receiver<Command>,
    mut on_output: impl FnMut(&WeakHandle, Output) + Send + 'static,
) {
    let on_output = Box::new(move |output| on_output(&weak, output));
    let mut service = Service::new(options, socket, on_output);
    service.start();
    socket::run(&mut service, &mut mailbox).await;
}

/// The board's purges at a control node.
struct BoardFeed {
    publisher: Publisher,
    /// When to look next at what is to be published.
    due: Duration,
    interval: Duration,
}

/// Owns a node and its socket.
struct Service {
    codec: FrameCodec,
    identity: Identity,
    node: Node,
    /// At a control node only.
    feed: Option<BoardFeed>,
    socket: DatagramSocket,
    on_output: Box<dyn FnMut(Output) + Send>,
    is_stopped: bool,
}

impl Service {
    fn new(
        options: NodeOptions,
        socket: DatagramSocket,
        on_output: Box<dyn FnMut(Output) + Send>,
    ) -> Service {
        let NodeOptions { codec, config, directory, seed, .. } = options;
        let interval = config.heartbeat_interval;
        let has_peers = config.control.len() > 1;
        let settling = if has_peers { interval * SETTLING_HEARTBEATS } else { Duration::ZERO };
        let feed = config.control_id.map(|_| BoardFeed {
            publisher: Publisher::new(config.purge_window).settling(settling),
            due: socket.now(),
            interval,
        });
        let identity = config.identity;
        let node = Node::new(config, directory, seed, socket.now());
        Service { codec, identity, node, feed, socket, on_output, is_stopped: false }
    }

    fn start(&mut self) {
        info!(node = self.identity.node.0, incarnation = self.identity.incarnation.0, "dissemination");
        let outputs = self.node.start(self.socket.now());
        self.execute(outputs);
    }

    /// Sends what is to be sent, packed by receiver, and passes the rest on.
    fn execute(&mut self, outputs: Vec<Output>) {
        let mut messages: BTreeMap<SocketAddr, Vec<Message>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => messages.entry(to).or_default().push(message),
                // What is sent from now on is of the new incarnation.
                Output::IncarnationSuperseded { incarnation } => {
                    self.identity.incarnation = incarnation;
                    (self.on_output)(output);
                }
                other => {
                    self.note_published(&other);
                    (self.on_output)(other);
                }
            }
        }
        for (to, messages) in messages {
            let packed = self.codec.encode(self.identity, &messages);
            self.socket.send_packed(to, packed);
        }
    }

    /// What another control node has published need not be published here.
    fn note_published(&mut self, output: &Output) {
        let (Some(feed), Output::Purge { purges, .. }) = (&mut self.feed, output) else { return };
        let now = self.socket.now();
        for (purge, age) in purges {
            feed.publisher.on_published(now, *purge, *age);
        }
    }

    fn on_purge_notice(&mut self, now: Duration, purge: Purge, age: Duration, backlog: bool) {
        let Some(feed) = &mut self.feed else { return };
        match backlog {
            true => feed.publisher.on_backlog_notice(now, purge, age),
            false => feed.publisher.on_purge_notice(now, purge, age),
        }
        feed.due = now;
    }

    fn publish_due(&mut self, now: Duration) {
        let Some(feed) = self.feed.as_mut().filter(|feed| feed.due <= now) else { return };
        feed.due = now + feed.interval;
        let publications = feed.publisher.tick(now, self.node.publisher_role(now));
        if !publications.is_empty() {
            let (_, outputs) = self.node.publish(now, publications);
            self.execute(outputs);
        }
    }

    fn status(&self, now: Duration) -> TransportStatus {
        TransportStatus {
            node: self.node.status(now),
            counters: *self.node.counters(),
            traffic: self.socket.traffic.clone(),
        }
    }
}

impl SocketDriver for Service {
    type Command = Command;

    fn socket(&mut self) -> &mut DatagramSocket {
        &mut self.socket
    }

    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match self.codec.decode(bytes) {
            Ok(frame) if frame.from.node != self.identity.node => {
                // Together, so that what results from one datagram leaves in one datagram to each receiver.
                let mut outputs = Vec::new();
                for message in frame.messages {
                    outputs.extend(self.node.on_message(self.socket.now(), frame.from, from, message));
                }
                self.execute(outputs);
            }
            Ok(_) => self.socket.reject(DatagramError::OwnName, from),
            Err(error) => self.socket.reject(error, from),
        }
    }

    fn on_command(&mut self, command: Command) {
        let now = self.socket.now();
        let outputs = match command {
            Command::ConfirmApplied(token) => self.node.confirm_applied(now, token),
            Command::Reject { id, reason } => self.node.reject(now, id, reason),
            Command::PurgeNotice { purge, age, backlog } => {
                self.on_purge_notice(now, purge, age, backlog);
                Vec::new()
            }
            Command::Publish { publications, reply } => {
                let (ids, outputs) = self.node.publish(now, publications);
                reply(ids);
                outputs
            }
            Command::SetDirectory(directory) => self.node.set_directory(now, directory),
            Command::Status(reply) => {
                reply(self.status(now));
                Vec::new()
            }
            Command::Stop => {
                self.is_stopped = true;
                self.node.stop(now)
            }
        };
        if !outputs.is_empty() {
            self.execute(outputs);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let due = self.node.next_due();
        Some(self.feed.as_ref().map_or(due, |feed| due.min(feed.due)))
    }

    fn tick(&mut self) {
        let now = self.socket.now();
        if self.node.next_due() <= now {
            let outputs = self.node.tick(now);
            self.execute(outputs);
        }
        self.publish_due(now);
    }

    fn has_ended(&self) -> bool {
        self.is_stopped
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        if !self.is_stopped {
            warn!("the thread of dissemination ends without a stop");
        }
    }
}
