//! The thread in which a node's machine lives: its socket, its clock, and a mailbox of bounded size. It decides nothing.

use crate::dissemination::frame::Bounds;
use crate::wire::{self, Carried, Traffic, Wire};
use crate::Fault;
use rockflow_dissemination::*;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Words that may wait; more are turned away. Above all that a dispatcher can owe at once, so that no word of what is in
/// effect is lost.
const MAX_WORDS: usize = 32_768;
/// A control node that begins waits for so many pulses for what the others' streams bring, before it publishes what the
/// board said before.
const SETTLE: u32 = 8;

/// What a node is told of itself and of the others.
#[derive(Clone, Debug)]
pub struct Plan {
    pub bounds: Bounds,
    pub config: NodeConfig,
    /// At control alone.
    pub directory: Option<Directory>,
    pub listen: SocketAddr,
    pub seed: u64,
}

/// Called once, in the thread of the machine; it must not wait.
pub type Reply<T> = Box<dyn FnOnce(T) + Send>;

/// From the dispatcher, or from control.
pub enum Word {
    /// The decisions go by it.
    InEffect(ApplyToken),
    Refuse {
        id: EntryId,
        why: RejectionReason,
    },
    /// At control: the notice board says so. Published by whichever control node it is to be published by.
    Board {
        purge: Purge,
        age: Duration,
        /// The board may have said it before this control node began.
        backlog: bool,
    },
    /// To all; the reply names each, or those that stand for them.
    Publish {
        publications: Vec<Publication>,
        reply: Reply<Vec<EntryId>>,
    },
    Directory(Directory),
    Status(Reply<Tally>),
    /// A planned stop: this life leaves, and the thread ends.
    Stop,
}

/// What is known and counted here, for whoever looks on.
#[derive(Clone, Debug)]
pub struct Tally {
    pub survey: NodeStatus,
    pub counts: Counters,
    pub traffic: Traffic,
}

/// The way in, from any thread.
#[derive(Clone)]
pub struct Link {
    words: mpsc::Sender<Word>,
    pub listens_at: SocketAddr,
}

/// The same, for what the thread itself hands out: it keeps no machine alive.
#[derive(Clone)]
pub struct WeakLink(mpsc::WeakSender<Word>);

impl Link {
    /// Starts the thread. `heard` is called in it with every word of the machine but those it sends itself.
    pub fn start(plan: Plan, mut heard: impl FnMut(&WeakLink, Output) + Send + 'static) -> io::Result<Link> {
        let (words, mut taken) = mpsc::channel(MAX_WORDS);
        let weak = WeakLink(words.downgrade());
        let listens_at = wire::spawn("dissemination", plan.listen, move |socket| {
            Box::pin(async move {
                let heard = Box::new(move |out| heard(&weak, out));
                let mut carrier = Carrier::new(plan, Wire::new(socket), heard);
                carrier.start();
                wire::run(&mut carrier, &mut taken).await;
            })
        })?;
        Ok(Link { words, listens_at })
    }

    /// The same without a thread of its own, for many nodes that share one: the node lives as long as the future that
    /// comes back is polled, within a runtime of tokio.
    pub fn shared(
        plan: Plan,
        mut heard: impl FnMut(&WeakLink, Output) + Send + 'static,
    ) -> io::Result<(Link, impl Future<Output = ()>)> {
        let socket = std::net::UdpSocket::bind(plan.listen)?;
        socket.set_nonblocking(true)?;
        let listens_at = socket.local_addr()?;
        let socket = tokio::net::UdpSocket::from_std(socket)?;
        let (words, mut taken) = mpsc::channel(MAX_WORDS);
        let weak = WeakLink(words.downgrade());
        let node = async move {
            let heard = Box::new(move |out| heard(&weak, out));
            let mut carrier = Carrier::new(plan, Wire::new(socket), heard);
            carrier.start();
            wire::run(&mut carrier, &mut taken).await;
        };
        Ok((Link { words, listens_at }, node))
    }

    /// False: too much waits, or the thread is gone; nothing will come of it.
    pub fn say(&self, word: Word) -> bool {
        self.words.try_send(word).is_ok()
    }

    /// Whether the thread has ended.
    pub fn is_over(&self) -> bool {
        self.words.is_closed()
    }
}

impl WeakLink {
    pub fn say(&self, word: Word) -> bool {
        self.0.upgrade().is_some_and(|words| words.try_send(word).is_ok())
    }
}

/// What the board told a control node, and when to look whether it is to be published.
struct Feed {
    publisher: Publisher,
    due: Duration,
    every: Duration,
}

struct Carrier {
    bounds: Bounds,
    identity: Identity,
    node: Node,
    /// At control alone.
    feed: Option<Feed>,
    wire: Wire,
    heard: Box<dyn FnMut(Output) + Send>,
    stopped: bool,
}

impl Carrier {
    fn new(plan: Plan, wire: Wire, heard: Box<dyn FnMut(Output) + Send>) -> Carrier {
        let others = plan.config.control.len() > 1;
        let settle = if others { plan.config.heartbeat_interval * SETTLE } else { Duration::ZERO };
        let feed = plan.config.control_id.map(|_| Feed {
            publisher: Publisher::new(plan.config.purge_window).settling(settle),
            due: wire.now(),
            every: plan.config.heartbeat_interval,
        });
        let identity = plan.config.identity;
        let node = Node::new(plan.config, plan.directory, plan.seed, wire.now());
        Carrier { bounds: plan.bounds, identity, node, feed, wire, heard, stopped: false }
    }

    fn start(&mut self) {
        info!(node = self.identity.node.0, incarnation = self.identity.incarnation.0, "dissemination");
        let outs = self.node.start(self.wire.now());
        self.carry(outs);
    }

    /// Sends what is to be sent, packed by peer, and passes the rest on.
    fn carry(&mut self, outs: Vec<Output>) {
        let mut sends: BTreeMap<SocketAddr, Vec<Message>> = BTreeMap::new();
        for out in outs {
            match out {
                Output::Send { to, message } => sends.entry(to).or_default().push(message),
                // What is sent from now on is of the life that has begun.
                Output::IncarnationSuperseded { incarnation } => {
                    self.identity.incarnation = incarnation;
                    (self.heard)(out);
                }
                other => {
                    self.saw(&other);
                    (self.heard)(other);
                }
            }
        }
        for (to, messages) in sends {
            let packed = self.bounds.encode(self.identity, &messages);
            self.wire.send_packed(to, packed);
        }
    }

    /// What another control node has published need not be published here.
    fn saw(&mut self, out: &Output) {
        let (Some(feed), Output::Purge { purges, .. }) = (&mut self.feed, out) else { return };
        let now = self.wire.now();
        purges.iter().for_each(|(purge, age)| feed.publisher.on_published(now, *purge, *age));
    }

    fn board(&mut self, now: Duration, purge: Purge, age: Duration, backlog: bool) {
        let Some(feed) = &mut self.feed else { return };
        match backlog {
            true => feed.publisher.on_backlog_notice(now, purge, age),
            false => feed.publisher.on_purge_notice(now, purge, age),
        }
        feed.due = now;
    }

    fn publish(&mut self, now: Duration) {
        let Some(feed) = self.feed.as_mut().filter(|feed| feed.due <= now) else { return };
        feed.due = now + feed.every;
        let publications = feed.publisher.tick(now, self.node.publisher_role(now));
        if !publications.is_empty() {
            let (_, outs) = self.node.publish(now, publications);
            self.carry(outs);
        }
    }

    fn tally(&mut self, now: Duration) -> Tally {
        Tally {
            survey: self.node.status(now),
            counts: *self.node.counters(),
            traffic: self.wire.traffic.clone(),
        }
    }
}

impl Carried for Carrier {
    type Word = Word;

    fn wire(&mut self) -> &mut Wire {
        &mut self.wire
    }

    fn datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match self.bounds.decode(bytes) {
            Ok(frame) if frame.from.node != self.identity.node => {
                // Together, so that what comes of one datagram goes on in one to each peer.
                let mut outs = Vec::new();
                for message in frame.messages {
                    outs.extend(self.node.on_message(self.wire.now(), frame.from, from, message));
                }
                self.carry(outs);
            }
            // Its own, sent back, or another process under the same name: left alone.
            Ok(_) => self.wire.fault(Fault::Own, from),
            Err(fault) => self.wire.fault(fault, from),
        }
    }

    fn word(&mut self, word: Word) {
        let now = self.wire.now();
        let outs = match word {
            Word::InEffect(ticket) => self.node.confirm_applied(now, ticket),
            Word::Refuse { id, why } => self.node.reject(now, id, why),
            Word::Board { purge, age, backlog } => {
                self.board(now, purge, age, backlog);
                Vec::new()
            }
            Word::Publish { publications, reply } => {
                let (ids, outs) = self.node.publish(now, publications);
                reply(ids);
                outs
            }
            Word::Directory(directory) => self.node.set_directory(now, directory),
            Word::Status(reply) => {
                reply(self.tally(now));
                Vec::new()
            }
            Word::Stop => {
                self.stopped = true;
                self.node.stop(now)
            }
        };
        if !outs.is_empty() {
            self.carry(outs);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let due = self.node.next_due();
        Some(self.feed.as_ref().map_or(due, |feed| due.min(feed.due)))
    }

    fn tick(&mut self) {
        let now = self.wire.now();
        if self.node.next_due() <= now {
            let outs = self.node.tick(now);
            self.carry(outs);
        }
        self.publish(now);
    }

    fn is_over(&self) -> bool {
        self.stopped
    }
}

impl Drop for Carrier {
    fn drop(&mut self) {
        if !self.stopped {
            warn!("the thread of dissemination ends without a stop");
        }
    }
}
