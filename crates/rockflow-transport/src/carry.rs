//! The thread in which a member's machine incarnations: its socket, its clock, and two mailboxes of bounded size. It decides
//! nothing.

use crate::frame::{self, Fault};
use crate::wire::{self, Carried, Traffic, Wire};
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

/// Words of the dispatcher that may wait; more are turned away, and what they were about goes uncovered.
const MAX_QUEUED_COMMANDS: usize = 4096;

/// What a member is config of itself and of the others.
#[derive(Clone, Debug)]
pub struct Plan {
    pub config: ClusterConfig,
    pub me: MemberId,
    /// Where each member listens, by its place.
    pub addresses: Vec<SocketAddr>,
    pub listen: SocketAddr,
    pub incarnation: Incarnation,
    pub seed: u64,
    /// This node was never there before: nothing can have been forgotten.
    pub first: bool,
}

/// From the dispatcher.
pub enum Command {
    /// A request was taken; its client waits so long.
    Taken {
        request: RequestId,
        descriptor: RequestDescriptor,
        left: Duration,
    },
    /// An attempt of a covered request is wanted; `Output::MayBegin` comes, or another command on the request.
    Begin {
        request: RequestId,
        attempt: u16,
        host: u64,
    },
    /// The decisions have ended a request; of a covered one `Output::Final` comes.
    Outcome {
        request: RequestId,
        kind: EffectKind,
        answer: Answer,
    },
    Left {
        request: RequestId,
    },
    /// A planned stop: what is open is handed over, and this incarnation leaves.
    Stop,
    Survey(Box<dyn FnOnce(StatusReport) + Send>),
}

/// What is known and counted here, for whoever looks on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusReport {
    pub status: Option<MembershipStatus>,
    pub present: Vec<Identity>,
    pub counts: Counts,
    /// Records kept for others, requests in hand.
    pub kept: usize,
    pub in_hand: usize,
    pub sure: bool,
    pub traffic: Traffic,
}

/// The way in, from any thread.
#[derive(Clone)]
pub struct NodeHandle {
    commands: mpsc::Sender<Command>,
    pub listens_at: SocketAddr,
}

impl NodeHandle {
    /// Starts the thread. `heard` is called in it with every command of the machine but those it sends itself.
    pub fn start(plan: Plan, heard: impl FnMut(Output) + Send + 'static) -> io::Result<NodeHandle> {
        let (commands, mut taken) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let listens_at = wire::spawn("fleet", plan.listen, move |socket| {
            Box::pin(async move {
                let mut carrier = Carrier::new(plan, Wire::new(socket), Box::new(heard));
                carrier.join();
                wire::run(&mut carrier, &mut taken).await;
            })
        })?;
        Ok(NodeHandle { commands, listens_at })
    }

    /// False: too much waits, or the thread is gone; nothing will come of it.
    pub fn say(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

struct Carrier {
    plan: Plan,
    node: ClusterNode,
    wire: Wire,
    heard: Box<dyn FnMut(Output) + Send>,
}

impl Carrier {
    fn new(plan: Plan, wire: Wire, heard: Box<dyn FnMut(Output) + Send>) -> Carrier {
        let identity = Identity { member: plan.me, incarnation: plan.incarnation };
        let node = ClusterNode::new(plan.config.clone(), identity, plan.seed, plan.first, Duration::ZERO);
        Carrier { plan, node, wire, heard }
    }

    fn join(&mut self) {
        info!(
            member = self.plan.me.0,
            incarnation = self.plan.incarnation.0,
            members = self.plan.config.members.len(),
            "fleet"
        );
        let outputs = self.node.join(self.wire.now());
        self.carry(outputs);
    }

    fn status_report(&self, now: Duration) -> StatusReport {
        let (kept, in_hand) = self.node.held();
        StatusReport {
            status: Some(self.node.status(now)),
            present: self.node.present().collect(),
            counts: self.node.counts(),
            kept,
            in_hand,
            sure: self.node.is_synchronized(),
            traffic: self.wire.traffic.clone(),
        }
    }

    /// Sends what is to be sent, packed by peer, and passes the rest on.
    fn carry(&mut self, outputs: Vec<Output>) {
        let mut sends: BTreeMap<MemberId, Vec<Message>> = BTreeMap::new();
        for out in outputs {
            match out {
                Output::Send { to, message } => sends.entry(to).or_default().push(message),
                Output::IncarnationSuperseded { incarnation } => self.begin_again(incarnation),
                other => (self.heard)(other),
            }
        }
        for (to, messages) in sends {
            let Some(address) = self.plan.addresses.get(usize::from(to.0)) else { continue };
            let packed = frame::encode(&self.plan.config, self.node.identity(), &messages);
            self.wire.send_packed(*address, packed);
        }
    }

    /// A later incarnation of this name is known: what was in hand under this one is not ours any more.
    fn begin_again(&mut self, above: Incarnation) {
        warn!(
            incarnation = self.plan.incarnation.0,
            above = above.0,
            "a later life of this name is known: begun again above it"
        );
        self.plan.incarnation = Incarnation(above.0 + 1);
        let identity = Identity { member: self.plan.me, incarnation: self.plan.incarnation };
        let now = self.wire.now();
        self.node = ClusterNode::new(self.plan.config.clone(), identity, self.plan.seed, false, now);
        let outputs = self.node.join(now);
        self.carry(outputs);
    }
}

impl Carried for Carrier {
    type Command = Command;

    fn wire(&mut self) -> &mut Wire {
        &mut self.wire
    }

    fn next_due(&self) -> Option<Duration> {
        self.node.next_due()
    }

    fn tick(&mut self) {
        let outputs = self.node.tick(self.wire.now());
        self.carry(outputs);
    }

    fn datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match frame::decode(&self.plan.config, bytes) {
            Ok(frame) if frame.from.member != self.plan.me => {
                for message in frame.messages {
                    let outputs = self.node.on_message(self.wire.now(), frame.from, message);
                    self.carry(outputs);
                }
            }
            // Its own, sent back, or another process under the same name: left alone.
            Ok(_) => self.wire.fault(Fault::OutOfRange, from),
            Err(fault) => self.wire.fault(fault, from),
        }
    }

    fn command(&mut self, command: Command) {
        let now = self.wire.now();
        let outputs = match command {
            Command::RequestArrived { request, descriptor, left } => {
                self.node.on_request(now, request, descriptor, now + left)
            }
            Command::ProposeAttempt { request, attempt, host } => {
                let (at_once, mut outputs) = self.node.propose_attempt(now, request, attempt, host);
                if at_once {
                    outputs.push(Output::QuorumUnavailable { request });
                }
                outputs
            }
            Command::RequestEnded { request, kind, answer } => {
                let (at_once, mut outputs) = self.node.on_request_ended(now, request, kind, answer.clone());
                if at_once && kind.requires_quorum() {
                    outputs.push(Output::FinalAnswer { request, answer });
                }
                outputs
            }
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
        self.carry(outputs);
    }
}
