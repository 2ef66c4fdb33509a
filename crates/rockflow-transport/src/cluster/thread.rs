//! The thread in which a member's state machine lives: its socket, its clock, and a mailbox of bounded size. It decides
//! nothing.

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

/// The maximum number of commands that wait; more are rejected, and their requests are not covered.
const MAX_QUEUED_COMMANDS: usize = 4096;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The configuration of the cluster.
    pub config: ClusterConfig,
    /// This member.
    pub member: MemberId,
    /// Where each member listens, by its id.
    pub addresses: Vec<SocketAddr>,
    /// Where this member listens.
    pub listen: SocketAddr,
    /// This incarnation.
    pub incarnation: Incarnation,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The cluster never ran before: nothing can have been forgotten.
    pub is_new_cluster: bool,
}

/// What the dispatcher tells its member.
pub enum Command {
    /// A request arrived.
    RequestArrived {
        /// The request.
        request: RequestId,
        /// What is asked for.
        descriptor: RequestDescriptor,
        /// How long its client waits.
        left: Duration,
    },
    /// An attempt of a covered request is wanted; [`Output::MaySend`] follows, or another output on the request.
    ProposeAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The host that it goes to.
        host: u64,
    },
    /// The decisions have ended a request; for a covered one [`Output::FinalAnswer`] follows.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// What a second execution would do.
        kind: EffectKind,
        /// The final answer.
        answer: Answer,
    },
    /// The client is gone.
    ClientDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// A graceful shutdown: open requests are handed over, and this incarnation leaves.
    ShutDown,
    /// Report the status. The callback runs in the member's thread and must not wait.
    ReportStatus(Box<dyn FnOnce(StatusReport) + Send>),
}

/// What a member knows and has counted.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    /// Its place in the cluster.
    pub membership: MembershipStatus,
    /// The members that are present.
    pub present: Vec<Identity>,
    /// Its counters.
    pub counts: Counts,
    /// What it holds.
    pub held: HeldCounts,
    /// Whether it may vote on all that it can be asked.
    pub is_synchronized: bool,
    /// Its datagrams.
    pub traffic: Traffic,
}

/// A handle on a member's thread, usable from any thread. The member ends with its last handle.
#[derive(Clone)]
pub struct NodeHandle {
    commands: mpsc::Sender<Command>,
    /// Where the member listens.
    pub listens_at: SocketAddr,
}

impl NodeHandle {
    /// Starts the thread. `on_output` is called in it with every output but those that it carries out itself, and must
    /// not wait.
    ///
    /// # Errors
    /// If the address can't be bound or the thread can't be started.
    pub fn start(plan: Plan, on_output: impl FnMut(Output) + Send + 'static) -> io::Result<NodeHandle> {
        let (commands, mut queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let listens_at = socket::spawn("fleet", plan.listen, move |socket| {
            Box::pin(async move {
                let mut carrier = Carrier::new(plan, DatagramSocket::new(socket), Box::new(on_output));
                carrier.join();
                socket::run(&mut carrier, &mut queue).await;
            })
        })?;
        Ok(NodeHandle { commands, listens_at })
    }

    /// Queues a command. False: too many wait, or the thread has ended, and nothing will come of it.
    pub fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

/// A node on its socket.
struct Carrier {
    plan: Plan,
    node: ClusterNode,
    socket: DatagramSocket,
    on_output: Box<dyn FnMut(Output) + Send>,
}

impl Carrier {
    fn new(plan: Plan, socket: DatagramSocket, on_output: Box<dyn FnMut(Output) + Send>) -> Carrier {
        let identity = Identity { member: plan.member, incarnation: plan.incarnation };
        let config = plan.config.clone();
        let node = ClusterNode::new(config, identity, plan.seed, plan.is_new_cluster, Duration::ZERO);
        Carrier { plan, node, socket, on_output }
    }

    fn join(&mut self) {
        info!(
            member = self.plan.member.0,
            incarnation = self.plan.incarnation.0,
            members = self.plan.config.members.len(),
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

    /// Sends what is to be sent, packed by peer, and passes the rest on.
    fn apply(&mut self, outputs: Vec<Output>) {
        let mut messages: BTreeMap<MemberId, Vec<Message>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => messages.entry(to).or_default().push(message),
                Output::IncarnationSuperseded { incarnation } => self.restart_above(incarnation),
                other => (self.on_output)(other),
            }
        }
        for (to, messages) in messages {
            let Some(address) = self.plan.addresses.get(usize::from(to.0)) else { continue };
            let packed = frame::encode(&self.plan.config, self.node.identity(), &messages);
            self.socket.send_packed(*address, packed);
        }
    }

    /// A later incarnation of this member is known: the requests of this one are not its own any more.
    fn restart_above(&mut self, later: Incarnation) {
        warn!(
            incarnation = self.plan.incarnation.0,
            later = later.0,
            "a later incarnation of this member is known: restarted above it"
        );
        self.plan.incarnation = Incarnation(later.0 + 1);
        let identity = Identity { member: self.plan.member, incarnation: self.plan.incarnation };
        let now = self.socket.now();
        self.node = ClusterNode::new(self.plan.config.clone(), identity, self.plan.seed, false, now);
        let outputs = self.node.join(now);
        self.apply(outputs);
    }

    fn propose_attempt(&mut self, now: Duration, request: RequestId, attempt: u16, host: u64) -> Vec<Output> {
        let (permission, mut outputs) = self.node.propose_attempt(now, request, attempt, host);
        if permission == Permission::Immediate {
            // A request that is not covered: the dispatcher goes on alone.
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

impl SocketDriver for Carrier {
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
        match frame::decode(&self.plan.config, bytes) {
            Ok(frame) if frame.from.member != self.plan.member => {
                for message in frame.messages {
                    let outputs = self.node.on_message(self.socket.now(), frame.from, message);
                    self.apply(outputs);
                }
            }
            // Its own, sent back, or that of another process under the same name: ignored.
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
