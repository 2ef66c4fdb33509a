//! The thread in which a member's machine lives: its socket, its clock, and two mailboxes of bounded size. It decides
//! nothing.

use crate::frame::{self, DatagramError};
use crate::wire::{self, Carried, Traffic, Wire};
use rockflow_cluster::{
    Answer, CallId, Counts, Fleet, Kind, Life, MemberId, Message, Out, Seat, Standing, Subject, Told,
};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Words of the dispatcher that may wait; more are turned away, and what they were about goes uncovered.
const MAX_WORDS: usize = 4096;

/// What a member is told of itself and of the others.
#[derive(Clone, Debug)]
pub struct Plan {
    pub told: Told,
    pub me: MemberId,
    /// Where each member listens, by its place.
    pub addresses: Vec<SocketAddr>,
    pub listen: SocketAddr,
    pub life: Life,
    pub seed: u64,
    /// This fleet was never there before: nothing can have been forgotten.
    pub first: bool,
}

/// From the dispatcher.
pub enum Word {
    /// A request was taken; its client waits so long.
    Taken {
        call: CallId,
        subject: Subject,
        left: Duration,
    },
    /// An attempt of a covered call is wanted; `Out::MayBegin` comes, or another word on the call.
    Begin {
        call: CallId,
        attempt: u16,
        host: u64,
    },
    /// The decisions have ended a call; of a covered one `Out::Final` comes.
    Ended {
        call: CallId,
        kind: Kind,
        answer: Answer,
    },
    Left {
        call: CallId,
    },
    /// A planned stop: what is open is handed over, and this life leaves.
    Stop,
    Survey(Box<dyn FnOnce(Tally) + Send>),
}

/// What is known and counted here, for whoever looks on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub standing: Option<Standing>,
    pub present: Vec<Seat>,
    pub counts: Counts,
    /// Records kept for others, calls in hand.
    pub kept: usize,
    pub in_hand: usize,
    pub sure: bool,
    pub traffic: Traffic,
}

/// The way in, from any thread.
#[derive(Clone)]
pub struct Link {
    words: mpsc::Sender<Word>,
    pub listens_at: SocketAddr,
}

impl Link {
    /// Starts the thread. `heard` is called in it with every word of the machine but those it sends itself.
    pub fn start(plan: Plan, heard: impl FnMut(Out) + Send + 'static) -> io::Result<Link> {
        let (words, mut taken) = mpsc::channel(MAX_WORDS);
        let listens_at = wire::spawn("fleet", plan.listen, move |socket| {
            Box::pin(async move {
                let mut carrier = Carrier::new(plan, Wire::new(socket), Box::new(heard));
                carrier.join();
                wire::run(&mut carrier, &mut taken).await;
            })
        })?;
        Ok(Link { words, listens_at })
    }

    /// False: too much waits, or the thread is gone; nothing will come of it.
    pub fn say(&self, word: Word) -> bool {
        self.words.try_send(word).is_ok()
    }
}

struct Carrier {
    plan: Plan,
    fleet: Fleet,
    wire: Wire,
    heard: Box<dyn FnMut(Out) + Send>,
}

impl Carrier {
    fn new(plan: Plan, wire: Wire, heard: Box<dyn FnMut(Out) + Send>) -> Carrier {
        let seat = Seat { member: plan.me, life: plan.life };
        let fleet = Fleet::new(plan.told.clone(), seat, plan.seed, plan.first, Duration::ZERO);
        Carrier { plan, fleet, wire, heard }
    }

    fn join(&mut self) {
        info!(
            member = self.plan.me.0,
            life = self.plan.life.0,
            members = self.plan.told.members.len(),
            "fleet"
        );
        let outs = self.fleet.join(self.wire.now());
        self.carry(outs);
    }

    fn tally(&self, now: Duration) -> Tally {
        let (kept, in_hand) = self.fleet.held();
        Tally {
            standing: Some(self.fleet.standing(now)),
            present: self.fleet.present().collect(),
            counts: self.fleet.counts(),
            kept,
            in_hand,
            sure: self.fleet.is_sure(),
            traffic: self.wire.traffic.clone(),
        }
    }

    /// Sends what is to be sent, packed by peer, and passes the rest on.
    fn carry(&mut self, outs: Vec<Out>) {
        let mut sends: BTreeMap<MemberId, Vec<Message>> = BTreeMap::new();
        for out in outs {
            match out {
                Out::Send { to, message } => sends.entry(to).or_default().push(message),
                Out::Outlived { life } => self.begin_again(life),
                other => (self.heard)(other),
            }
        }
        for (to, messages) in sends {
            let Some(address) = self.plan.addresses.get(usize::from(to.0)) else { continue };
            let packed = frame::encode(&self.plan.told, self.fleet.seat(), &messages);
            self.wire.send_packed(*address, packed);
        }
    }

    /// A later life of this name is known: what was in hand under this one is not ours any more.
    fn begin_again(&mut self, above: Life) {
        warn!(
            life = self.plan.life.0,
            above = above.0,
            "a later life of this name is known: begun again above it"
        );
        self.plan.life = Life(above.0 + 1);
        let seat = Seat { member: self.plan.me, life: self.plan.life };
        let now = self.wire.now();
        self.fleet = Fleet::new(self.plan.told.clone(), seat, self.plan.seed, false, now);
        let outs = self.fleet.join(now);
        self.carry(outs);
    }
}

impl Carried for Carrier {
    type Word = Word;

    fn wire(&mut self) -> &mut Wire {
        &mut self.wire
    }

    fn next_due(&self) -> Option<Duration> {
        self.fleet.next_due()
    }

    fn tick(&mut self) {
        let outs = self.fleet.tick(self.wire.now());
        self.carry(outs);
    }

    fn datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match frame::decode(&self.plan.told, bytes) {
            Ok(frame) if frame.from.member != self.plan.me => {
                for message in frame.messages {
                    let outs = self.fleet.hear(self.wire.now(), frame.from, message);
                    self.carry(outs);
                }
            }
            // Its own, sent back, or another process under the same name: left alone.
            Ok(_) => self.wire.fault(DatagramError::OutOfRange, from),
            Err(fault) => self.wire.fault(fault, from),
        }
    }

    fn word(&mut self, word: Word) {
        let now = self.wire.now();
        let outs = match word {
            Word::Taken { call, subject, left } => self.fleet.taken(now, call, subject, now + left),
            Word::Begin { call, attempt, host } => {
                let (at_once, mut outs) = self.fleet.begin(now, call, attempt, host);
                if at_once {
                    outs.push(Out::Uncovered { call });
                }
                outs
            }
            Word::Ended { call, kind, answer } => {
                let (at_once, mut outs) = self.fleet.ended(now, call, kind, answer.clone());
                if at_once && kind.covered() {
                    outs.push(Out::Final { call, answer });
                }
                outs
            }
            Word::Left { call } => {
                self.fleet.left(call);
                Vec::new()
            }
            Word::Stop => self.fleet.stop(now),
            Word::Survey(reply) => {
                reply(self.tally(now));
                Vec::new()
            }
        };
        self.carry(outs);
    }
}
