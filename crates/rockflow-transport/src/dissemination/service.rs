//! Runs a node of dissemination on a UDP socket, in a thread of its own or as a task. Commands arrive through a bounded
//! channel, outputs leave through a callback.

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

/// Capacity of the command channel; commands beyond it are dropped. It exceeds the number of confirmations that a
/// dispatcher can have outstanding, so that none of them is lost.
const MAX_WAITING_COMMANDS: usize = 32_768;
/// How many heartbeats a starting control node waits before it publishes the notice board's backlog. Meanwhile it
/// receives the streams of the other control nodes, which may have published those purges already.
const SETTLING_HEARTBEATS: u32 = 8;

/// Options for starting a node of dissemination.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Encodes and decodes the node's datagrams.
    pub codec: FrameCodec,
    /// Configuration of the node's state machine.
    pub config: NodeConfig,
    /// The fleet's members and their placement. Set at a control node; `None` elsewhere.
    pub directory: Option<Directory>,
    /// Local address to bind the UDP socket to. Port 0 lets the operating system choose one.
    pub listen: SocketAddr,
    /// Seed of the node's random number generator.
    pub seed: u64,
}

/// Receives the result of a command. It is called in the thread of the node and must not block.
pub type Reply<T> = Box<dyn FnOnce(T) + Send>;

/// A command that the process sends to its node.
pub enum Command {
    /// The decision logic (crate rockflow) has applied the output with this token.
    ConfirmApplied(ApplyToken),
    /// The decision logic can't apply a setting.
    Reject {
        /// The entry that carries the setting.
        id: EntryId,
        /// Why it can't be applied; control nodes report it.
        reason: RejectionReason,
    },
    /// For a control node: the notice board announces a purge, which the active control node publishes.
    PurgeNotice {
        /// The objects to be purged.
        purge: Purge,
        /// Time since the purge was requested.
        age: Duration,
        /// Whether the board may have announced it before this control node started, so that another control node may
        /// have published it.
        backlog: bool,
    },
    /// For a control node: publish purges and settings.
    Publish {
        /// The purges and settings, in the order of their entries.
        publications: Vec<Publication>,
        /// Receives the ids of the new entries, or of the entries that already replace them.
        reply: Reply<Vec<EntryId>>,
    },
    /// For a control node: replace the directory.
    SetDirectory(Directory),
    /// Report the state of the node and its socket.
    Status(Reply<TransportStatus>),
    /// Leave the fleet, and end the thread or task.
    Stop,
}

/// The state of a node and its socket.
#[derive(Clone, Debug)]
pub struct TransportStatus {
    /// State of the node's state machine.
    pub node: NodeStatus,
    /// Events at the node since it started.
    pub counters: Counters,
    /// Datagrams sent, received and rejected since the start.
    pub traffic: Traffic,
}

/// Sends commands to a node, from any thread. The node ends when its last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    /// Local address of the node's socket.
    pub listens_at: SocketAddr,
}

/// A handle for the callback that receives the node's outputs. It does not keep the node running.
#[derive(Clone)]
pub struct WeakHandle(mpsc::WeakSender<Command>);

impl Handle {
    /// Starts a thread that runs the node. It calls `on_output` for every output except the messages to be sent, which it
    /// sends itself; the callback must not block.
    ///
    /// # Errors
    /// The socket can't be bound, or the thread can't be started.
    pub fn start(
        options: NodeOptions,
        on_output: impl FnMut(&WeakHandle, Output) + Send + 'static,
    ) -> io::Result<Handle> {
        let (commands, command_queue) = mpsc::channel(MAX_WAITING_COMMANDS);
        let weak_handle = WeakHandle(commands.downgrade());
        let listens_at = socket::spawn("dissemination", options.listen, move |socket| {
            Box::pin(run(options, DatagramSocket::new(socket), weak_handle, command_queue, on_output))
        })?;
        Ok(Handle { commands, listens_at })
    }

    /// Like [`Handle::start`], but without a thread, so that many nodes can share one. The returned future runs the node and
    /// has to be polled. This must be called within a tokio runtime.
    ///
    /// # Errors
    /// The socket can't be bound or registered with the runtime.
    pub fn shared(
        options: NodeOptions,
        on_output: impl FnMut(&WeakHandle, Output) + Send + 'static,
    ) -> io::Result<(Handle, impl Future<Output = ()>)> {
        let socket = std::net::UdpSocket::bind(options.listen)?;
        socket.set_nonblocking(true)?;
        let listens_at = socket.local_addr()?;
        let socket = tokio::net::UdpSocket::from_std(socket)?;
        let (commands, command_queue) = mpsc::channel(MAX_WAITING_COMMANDS);
        let weak_handle = WeakHandle(commands.downgrade());
        let node = async move {
            run(options, DatagramSocket::new(socket), weak_handle, command_queue, on_output).await
        };
        Ok((Handle { commands, listens_at }, node))
    }

    /// Queues a command. Returns `false`, and drops the command, if the queue is full or the node has ended.
    pub fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }

    /// Whether the node has stopped or failed, so that no command reaches it any more.
    pub fn has_ended(&self) -> bool {
        self.commands.is_closed()
    }
}

impl WeakHandle {
    /// Queues a command like [`Handle::send`]. Also returns `false` if the last [`Handle`] is dropped.
    pub fn send(&self, command: Command) -> bool {
        self.0.upgrade().is_some_and(|commands| commands.try_send(command).is_ok())
    }
}

async fn run(
    options: NodeOptions,
    socket: DatagramSocket,
    weak_handle: WeakHandle,
    mut command_queue: mpsc::Receiver<Command>,
    mut on_output: impl FnMut(&WeakHandle, Output) + Send + 'static,
) {
    let on_output = Box::new(move |output| on_output(&weak_handle, output));
    let mut service = Service::new(options, socket, on_output);
    service.start();
    socket::run(&mut service, &mut command_queue).await;
}

/// Publishes the notice board's purges at a control node.
struct BoardFeed {
    publisher: Publisher,
    /// When to check next for purges to publish.
    next_check: Duration,
    /// Time between two checks.
    interval: Duration,
}

/// The driver of a node and its socket.
struct Service {
    codec: FrameCodec,
    identity: Identity,
    node: Node,
    /// `None` unless the node is a control node.
    board_feed: Option<BoardFeed>,
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
        let board_feed = config.control_id.map(|_| BoardFeed {
            publisher: Publisher::new(config.purge_window).settling(settling),
            next_check: socket.now(),
            interval,
        });
        let identity = config.identity;
        let node = Node::new(config, directory, seed, socket.now());
        Service { codec, identity, node, board_feed, socket, on_output, is_stopped: false }
    }

    fn start(&mut self) {
        info!(node = self.identity.node.0, incarnation = self.identity.incarnation.0, "dissemination starts");
        let outputs = self.node.start(self.socket.now());
        self.execute(outputs);
    }

    /// Sends the messages, packed into datagrams by receiver, and passes the other outputs to the callback.
    fn execute(&mut self, outputs: Vec<Output>) {
        let mut messages: BTreeMap<SocketAddr, Vec<Message>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => messages.entry(to).or_default().push(message),
                // All messages of this call are sent below, under the new incarnation.
                Output::IncarnationSuperseded { incarnation } => {
                    self.identity.incarnation = incarnation;
                    (self.on_output)(output);
                }
                other => {
                    self.record_published(&other);
                    (self.on_output)(other);
                }
            }
        }
        for (to, messages) in messages {
            let packed = self.codec.encode(self.identity, &messages);
            self.socket.send_packed(to, packed);
        }
    }

    /// Tells the publisher which purges another control node has published, so that it does not publish them again.
    fn record_published(&mut self, output: &Output) {
        let (Some(board_feed), Output::Purge { purges, .. }) = (&mut self.board_feed, output) else { return };
        let now = self.socket.now();
        for (purge, age) in purges {
            board_feed.publisher.on_published(now, *purge, *age);
        }
    }

    fn on_purge_notice(&mut self, now: Duration, purge: Purge, age: Duration, backlog: bool) {
        let Some(board_feed) = &mut self.board_feed else { return };
        match backlog {
            true => board_feed.publisher.on_backlog_notice(now, purge, age),
            false => board_feed.publisher.on_purge_notice(now, purge, age),
        }
        board_feed.next_check = now;
    }

    fn publish_due(&mut self, now: Duration) {
        let Some(board_feed) = self.board_feed.as_mut().filter(|feed| feed.next_check <= now) else {
            return;
        };
        board_feed.next_check = now + board_feed.interval;
        let publications = board_feed.publisher.tick(now, self.node.publisher_role(now));
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
                // Executed together, so that the replies to one datagram share a datagram for each receiver.
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
        Some(self.board_feed.as_ref().map_or(due, |feed| due.min(feed.next_check)))
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
            warn!("dissemination ended without a stop command");
        }
    }
}
