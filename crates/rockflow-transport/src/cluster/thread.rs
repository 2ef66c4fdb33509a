//! The thread that runs a member's state machine on a UDP socket. Commands arrive through a bounded channel, outputs leave
//! through a callback.

use super::frame;
use crate::datagram::DatagramError;
use crate::socket::{self, DatagramSocket, SocketDriver, Traffic};
use rockflow_cluster::node::{HeldCounts, Permission};
use rockflow_cluster::{
    Answer, ClusterConfig, ClusterNode, Counts, EffectKind, Identity, Incarnation, MemberId,
    MembershipStatus, Message, Output, RequestDescriptor, RequestId,
};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Capacity of the command channel. Commands beyond it are dropped, and their requests are not recorded at replicas.
const MAX_QUEUED_COMMANDS: usize = 4096;

/// Options for starting a member.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Configuration that all members share.
    pub config: ClusterConfig,
    /// Id of this member.
    pub member: MemberId,
    /// UDP address of each member, indexed by member id.
    pub addresses: Vec<SocketAddr>,
    /// Local address to bind the UDP socket to.
    pub listen: SocketAddr,
    /// Incarnation of this member, greater than that of every earlier process of it.
    pub incarnation: Incarnation,
    /// Seed of the state machine's random number generator.
    pub seed: u64,
    /// Whether the cluster never ran before. The member then starts with no records to recover from others.
    pub is_new_cluster: bool,
}

/// A command that a dispatcher sends to its member.
pub enum Command {
    /// A client's request arrived.
    RequestArrived {
        /// Id of the request.
        request: RequestId,
        /// The object that the request is for, and what a second execution of it would do.
        descriptor: RequestDescriptor,
        /// Time until the client's deadline.
        left: Duration,
    },
    /// The dispatcher wants to send an attempt of a request that needs a quorum. [`Output::MaySend`] follows, or another
    /// output for the request.
    ProposeAttempt {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: u16,
        /// The host that the attempt is for.
        host: u64,
    },
    /// The decision logic (crate rockflow) has ended a request. If the request needs a quorum, [`Output::FinalAnswer`]
    /// follows.
    RequestEnded {
        /// Id of the request.
        request: RequestId,
        /// What a second execution of the request would do.
        kind: EffectKind,
        /// The answer for the client.
        answer: Answer,
    },
    /// A client disconnected and no longer waits for its answer.
    ClientDisconnected {
        /// Id of the client's request.
        request: RequestId,
    },
    /// Graceful shutdown: hand the open requests over to other members, and leave the cluster.
    ShutDown,
    /// Report the status. The callback runs in the member's thread and must not block.
    ReportStatus(Box<dyn FnOnce(StatusReport) + Send>),
}

/// State and counters of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    /// The member's view of the cluster, and its own health.
    pub membership: MembershipStatus,
    /// The members that are present, this one included.
    pub present: Vec<Identity>,
    /// Counters of the state machine since this incarnation began.
    pub counts: Counts,
    /// Numbers of records and open requests in memory.
    pub held: HeldCounts,
    /// Whether the records from before the last restart are recovered, so that this member may vote on every request.
    pub is_synchronized: bool,
    /// Datagrams sent, received and rejected since the start.
    pub traffic: Traffic,
}

/// Sends commands to a member, from any thread. The member's thread ends when its last handle is dropped.
#[derive(Clone)]
pub struct NodeHandle {
    commands: mpsc::Sender<Command>,
    /// Local address of the member's socket.
    pub listens_at: SocketAddr,
}

impl NodeHandle {
    /// Starts the thread. It calls `on_output` for every output except messages to be sent and the restart under a greater
    /// incarnation, which it handles itself; the callback must not block.
    ///
    /// # Errors
    /// The socket can't be bound, or the thread can't be started.
    pub fn start(
        options: NodeOptions,
        on_output: impl FnMut(Output) + Send + 'static,
    ) -> io::Result<NodeHandle> {
        let (commands, mut command_queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let listens_at = socket::spawn("fleet", options.listen, move |socket| {
            Box::pin(async move {
                let mut service = Service::new(options, DatagramSocket::new(socket), Box::new(on_output));
                service.join();
                socket::run(&mut service, &mut command_queue).await;
            })
        })?;
        Ok(NodeHandle { commands, listens_at })
    }

    /// Queues a command. Returns `false`, and drops the command, if the queue is full or the thread has ended.
    pub fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

/// The driver of a member's state machine and its socket.
struct Service {
    options: NodeOptions,
    node: ClusterNode,
    socket: DatagramSocket,
    on_output: Box<dyn FnMut(Output) + Send>,
}

impl Service {
    fn new(
        options: NodeOptions,
        socket: DatagramSocket,
        on_output: Box<dyn FnMut(Output) + Send>,
    ) -> Service {
        let identity = Identity { member: options.member, incarnation: options.incarnation };
        let config = options.config.clone();
        let node = ClusterNode::new(config, identity, options.seed, options.is_new_cluster, Duration::ZERO);
        Service { options, node, socket, on_output }
    }

    fn join(&mut self) {
        info!(
            member = self.options.member.0,
            incarnation = self.options.incarnation.0,
            members = self.options.config.members.len(),
            "joining the cluster"
        );
        let outputs = self.node.join(self.socket.now());
        self.apply(outputs);
    }

    fn status_report(&self, now: Duration) -> StatusReport {
        StatusReport {
            membership: self.node.status(now),
            present: self.node.present().collect(),
            counts: self.node.counts(),
            held: self.node.held(),
            is_synchronized: self.node.is_synchronized(),
            traffic: self.socket.traffic.clone(),
        }
    }

    /// Sends the messages, packed into datagrams by receiver, restarts the state machine where it is superseded, and passes
    /// the other outputs to the callback.
    fn apply(&mut self, outputs: Vec<Output>) {
        let mut messages: BTreeMap<MemberId, Vec<Message>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => messages.entry(to).or_default().push(message),
                Output::IncarnationSuperseded { incarnation } => {
                    self.restart_with_greater_incarnation(incarnation)
                }
                other => (self.on_output)(other),
            }
        }
        for (to, messages) in messages {
            let Some(address) = self.options.addresses.get(usize::from(to.0)) else { continue };
            let packed = frame::encode(&self.options.config, self.node.identity(), &messages);
            self.socket.send_packed(*address, packed);
        }
    }

    /// Replaces the state machine by one with empty memory and an incarnation above `later`. Another process of this member
    /// ran as `later`, so the requests of the current incarnation are no longer its own.
    fn restart_with_greater_incarnation(&mut self, later: Incarnation) {
        warn!(
            incarnation = self.options.incarnation.0,
            later = later.0,
            "a later incarnation of this member is known; restarting with a greater one"
        );
        self.options.incarnation = Incarnation(later.0 + 1);
        let identity = Identity { member: self.options.member, incarnation: self.options.incarnation };
        let now = self.socket.now();
        self.node = ClusterNode::new(self.options.config.clone(), identity, self.options.seed, false, now);
        let outputs = self.node.join(now);
        self.apply(outputs);
    }

    fn propose_attempt(&mut self, now: Duration, request: RequestId, attempt: u16, host: u64) -> Vec<Output> {
        let (permission, mut outputs) = self.node.propose_attempt(now, request, attempt, host);
        if permission == Permission::Immediate {
            // The cluster has no record of this request, so the dispatcher proceeds without it.
            outputs.push(Output::QuorumUnavailable { request });
        }
        outputs
    }

    fn end_request(
        &mut self,
        now: Duration,
        request: RequestId,
        kind: EffectKind,
        answer: Answer,
    ) -> Vec<Output> {
        let (permission, mut outputs) = self.node.on_request_ended(now, request, kind, answer.clone());
        if permission == Permission::Immediate && kind.requires_quorum() {
            outputs.push(Output::FinalAnswer { request, answer });
        }
        outputs
    }
}

impl SocketDriver for Service {
    type Command = Command;

    fn socket(&mut self) -> &mut DatagramSocket {
        &mut self.socket
    }

    fn next_due(&self) -> Option<Duration> {
        self.node.next_due()
    }

    fn tick(&mut self) {
        let outputs = self.node.tick(self.socket.now());
        self.apply(outputs);
    }

    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match frame::decode(&self.options.config, bytes) {
            Ok(frame) if frame.from.member != self.options.member => {
                for message in frame.messages {
                    let outputs = self.node.on_message(self.socket.now(), frame.from, message);
                    self.apply(outputs);
                }
            }
            // A reflected datagram, or one of another process that runs as the same member.
            Ok(_) => self.socket.reject(DatagramError::OutOfRange, from),
            Err(error) => self.socket.reject(error, from),
        }
    }

    fn on_command(&mut self, command: Command) {
        let now = self.socket.now();
        let outputs = match command {
            Command::RequestArrived { request, descriptor, left } => {
                self.node.on_request(now, request, descriptor, now + left)
            }
            Command::ProposeAttempt { request, attempt, host } => {
                self.propose_attempt(now, request, attempt, host)
            }
            Command::RequestEnded { request, kind, answer } => self.end_request(now, request, kind, answer),
            Command::ClientDisconnected { request } => {
                self.node.on_client_disconnected(request);
                Vec::new()
            }
            Command::ShutDown => self.node.shut_down(now),
            Command::ReportStatus(reply) => {
                reply(self.status_report(now));
                Vec::new()
            }
        };
        self.apply(outputs);
    }
}
