//! The thread in which a member's machine lives: its socket, its clock, and two mailboxes of bounded size. It decides
//! nothing.

use crate::frame::{self, Fault};
use rockflow_fleet::{
    Answer, CallId, Counts, Fleet, Kind, Life, MemberId, Message, Out, Seat, Standing, Subject, Told,
};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Words of the dispatcher that may wait; more are turned away, and what they were about goes uncovered.
const MOST_WORDS: usize = 4096;
/// Datagrams taken from the socket, and words taken, before time is looked at again.
const MOST_AT_ONCE: usize = 64;
/// Bytes a second that one member sends at the most, and the span over which a burst may use them up.
const MOST_RATE: f64 = 16.0 * 1024.0 * 1024.0;
const BURST: f64 = 0.25;
/// How often a peer's fault is said in the log: the first of each kind, and then every so many.
const SAID_EVERY: u64 = 1000;

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
    /// A query was taken; its client waits so long.
    Taken {
        call: CallId,
        subject: Subject,
        left: Duration,
    },
    /// A leg of a covered call is wanted; `Out::MayBegin` comes, or another word on the call.
    Begin {
        call: CallId,
        leg: u16,
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
    pub frames_out: u64,
    pub bytes_out: u64,
    pub frames_in: u64,
    pub bytes_in: u64,
    /// Datagrams held back since more would have been sent than may be, and messages too large for one.
    pub held_back: u64,
    pub left_out: u64,
    /// Datagrams that were not taken, by why.
    pub faults: BTreeMap<Fault, u64>,
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
        let socket = std::net::UdpSocket::bind(plan.listen)?;
        socket.set_nonblocking(true)?;
        let listens_at = socket.local_addr()?;
        let (words, taken) = mpsc::channel(MOST_WORDS);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
        std::thread::Builder::new().name("fleet".to_string()).spawn(move || {
            runtime.block_on(async move {
                match UdpSocket::from_std(socket) {
                    Ok(socket) => Carrier::new(plan, socket, taken, Box::new(heard)).run().await,
                    Err(what) => warn!(%what, "the fleet's socket can't be used"),
                }
            });
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
    socket: UdpSocket,
    words: mpsc::Receiver<Word>,
    heard: Box<dyn FnMut(Out) + Send>,
    start: Instant,
    tally: Tally,
    /// Bytes that may be sent now, and as of when.
    room: f64,
    room_at: Duration,
}

impl Carrier {
    fn new(
        plan: Plan,
        socket: UdpSocket,
        words: mpsc::Receiver<Word>,
        heard: Box<dyn FnMut(Out) + Send>,
    ) -> Carrier {
        let seat = Seat { member: plan.me, life: plan.life };
        let fleet = Fleet::new(plan.told.clone(), seat, plan.seed, plan.first, Duration::ZERO);
        let (start, room) = (Instant::now(), MOST_RATE * BURST);
        let tally = Tally::default();
        Carrier { plan, fleet, socket, words, heard, start, tally, room, room_at: Duration::ZERO }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn run(mut self) {
        info!(
            member = self.plan.me.0,
            life = self.plan.life.0,
            members = self.plan.told.members.len(),
            "fleet"
        );
        let outs = self.fleet.join(self.now());
        self.carry(outs);
        let mut buffer = vec![0; frame::MOST_BYTES + 1];
        loop {
            let due =
                self.fleet.next_due().map_or(Duration::from_secs(1), |due| due.saturating_sub(self.now()));
            tokio::select! {
                biased;
                readable = self.socket.readable() => {
                    if let Err(what) = readable {
                        return warn!(%what, "the fleet's socket has failed");
                    }
                }
                word = self.words.recv() => match word {
                    Some(word) => self.word(word),
                    None => return,
                },
                () = tokio::time::sleep(due) => {}
            }
            // What waits goes ahead of time: an answer that is here must not count as one that did not come.
            for _ in 0..MOST_AT_ONCE {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, from)) => self.datagram(&buffer[..length], from),
                    // Of a peer that is not there: nobody's fault here.
                    Err(what) if what.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
            }
            for _ in 0..MOST_AT_ONCE {
                match self.words.try_recv() {
                    Ok(word) => self.word(word),
                    Err(_) => break,
                }
            }
            let now = self.now();
            if self.fleet.next_due().is_some_and(|due| due <= now) {
                let outs = self.fleet.tick(now);
                self.carry(outs);
            }
        }
    }

    fn datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        self.tally.frames_in += 1;
        self.tally.bytes_in += bytes.len() as u64;
        match frame::decode(&self.plan.told, bytes) {
            Ok(frame) if frame.from.member != self.plan.me => {
                for message in frame.messages {
                    let outs = self.fleet.hear(self.now(), frame.from, message);
                    self.carry(outs);
                }
            }
            // Its own, sent back, or another process under the same name: left alone.
            Ok(_) => self.fault(Fault::OutOfRange, from),
            Err(fault) => self.fault(fault, from),
        }
    }

    fn fault(&mut self, fault: Fault, from: SocketAddr) {
        let count = self.tally.faults.entry(fault).or_default();
        *count += 1;
        if *count % SAID_EVERY == 1 {
            warn!(%from, %fault, count, "datagram not taken");
        }
    }

    fn word(&mut self, word: Word) {
        let now = self.now();
        let outs = match word {
            Word::Taken { call, subject, left } => self.fleet.taken(now, call, subject, now + left),
            Word::Begin { call, leg, host } => {
                let (at_once, mut outs) = self.fleet.begin(now, call, leg, host);
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

    fn tally(&self, now: Duration) -> Tally {
        let (kept, in_hand) = self.fleet.held();
        Tally {
            standing: Some(self.fleet.standing(now)),
            present: self.fleet.present().collect(),
            counts: self.fleet.counts(),
            kept,
            in_hand,
            sure: self.fleet.is_sure(),
            ..self.tally.clone()
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
            let (frames, left_out) = frame::encode(&self.plan.told, self.fleet.seat(), &messages);
            self.tally.left_out += left_out as u64;
            for bytes in frames {
                self.send(to, &bytes);
            }
        }
    }

    /// Guards against a link that takes the network from everything else: what is over its rate is not sent, and the
    /// machine sends again what matters.
    fn send(&mut self, to: MemberId, bytes: &[u8]) {
        let now = self.now();
        let passed = now.saturating_sub(self.room_at).as_secs_f64();
        self.room = (self.room + passed * MOST_RATE).min(MOST_RATE * BURST);
        self.room_at = now;
        let Some(address) = self.plan.addresses.get(usize::from(to.0)) else { return };
        if self.room < bytes.len() as f64 {
            self.tally.held_back += 1;
            return;
        }
        self.room -= bytes.len() as f64;
        // A datagram that can't go out is one that is lost.
        if self.socket.try_send_to(bytes, *address).is_ok() {
            self.tally.frames_out += 1;
            self.tally.bytes_out += bytes.len() as u64;
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
        let now = self.now();
        self.fleet = Fleet::new(self.plan.told.clone(), seat, self.plan.seed, false, now);
        let outs = self.fleet.join(now);
        self.carry(outs);
    }
}
