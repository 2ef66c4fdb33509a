//! Fetching the whole table of settings from one whose digest differs, or who no longer holds what led to it.

use crate::messages::Message;
use crate::words::{Identity, Incarnation, NodeId, Number, StreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A digest that differs for so many pulses leads to a fetch.
const DIFFERS: u32 = 4;
/// After a fetch that left it differing, so many more; twice as many after each time that all parts went up in vain, so
/// often at the most.
const IN_VAIN: u32 = 16;
const MAX_DOUBLED: u32 = 5;
/// An asking without an answer comes again after so many pulses.
const AGAIN: u32 = 2;
/// After so many in vain the fetch is given up; what led to it leads to another.
const MAX_TRIES: u32 = 8;
/// Peers whose digests are watched. When full, one more isn't.
const MAX_WATCHED: usize = 16;

#[derive(Clone, Debug)]
struct Fetch {
    from: Identity,
    at: SocketAddr,
    digest: Option<u32>,
    parts: u16,
    got: BTreeSet<u16>,
    /// Streams that may go on from there once all is here.
    jumps: BTreeMap<StreamId, Number>,
    due: Duration,
    tries: u32,
}

/// A peer whose digest is another.
#[derive(Clone, Copy, Debug)]
struct Watch {
    life: Incarnation,
    since: Duration,
    /// Its whole table is here: what still differs it lacks itself.
    fetched: bool,
    /// The part that goes up to it next, and how often all of them went.
    part: u16,
    rounds: u32,
}

/// A whole table is here; what may go on by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetched {
    pub jumps: BTreeMap<StreamId, Number>,
}

/// What is to be done where a digest differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Differs {
    Wait,
    Fetch(SocketAddr, Message),
    /// What is held here is to go up, from this part on.
    Give(u16),
}

#[derive(Clone, Debug)]
pub struct Tables {
    pulse: Duration,
    differs: BTreeMap<NodeId, Watch>,
    jumps: BTreeMap<StreamId, (Identity, SocketAddr, Number)>,
    fetch: Option<Fetch>,
}

type Asking = Option<(SocketAddr, Message)>;

impl Tables {
    pub fn new(pulse: Duration) -> Tables {
        Tables { pulse, differs: BTreeMap::new(), jumps: BTreeMap::new(), fetch: None }
    }

    /// Nobody's digest is watched any more, as another is followed.
    pub fn turned(&mut self) {
        self.differs.clear();
    }

    /// A fetch from this peer has left it differing, and what is held here went up before the part `next`; none: up to
    /// the last. The next fetch waits longer.
    pub fn in_vain(&mut self, now: Duration, peer: NodeId, next: Option<u16>) {
        if let Some(watch) = self.differs.get_mut(&peer) {
            watch.part = next.unwrap_or(0);
            watch.rounds = watch.rounds.saturating_add(u32::from(next.is_none()));
            watch.since = now + self.pulse * (IN_VAIN << watch.rounds.min(MAX_DOUBLED));
        }
    }

    pub fn same(&mut self, peer: NodeId) {
        self.differs.remove(&peer);
    }

    fn watch(&mut self, now: Duration, peer: Identity) -> Option<&mut Watch> {
        if self.differs.len() >= MAX_WATCHED && !self.differs.contains_key(&peer.node) {
            return None;
        }
        let new = Watch { life: peer.incarnation, since: now, fetched: false, part: 0, rounds: 0 };
        let watch = self.differs.entry(peer.node).or_insert(new);
        if watch.life != peer.incarnation {
            *watch = new;
        }
        Some(watch)
    }

    /// A peer's digest is another than ours, with no gap open. Its table is fetched; where it differs as long after that,
    /// ours has what it lacks.
    pub fn differs(&mut self, now: Duration, peer: Identity, at: SocketAddr) -> Differs {
        let wait = self.pulse * DIFFERS;
        let Some(watch) = self.watch(now, peer).filter(|watch| now >= watch.since + wait) else {
            return Differs::Wait;
        };
        watch.since = now;
        if std::mem::take(&mut watch.fetched) {
            return Differs::Give(watch.part);
        }
        self.begin(now, peer, at).map_or(Differs::Wait, |(to, message)| Differs::Fetch(to, message))
    }

    /// A stream's log begins at `next` at this peer: by its table this node may go on from there.
    pub fn jump(&mut self, now: Duration, peer: Identity, at: SocketAddr, to: (StreamId, Number)) -> Asking {
        self.jumps.insert(to.0, (peer, at, to.1));
        self.begin(now, peer, at)
    }

    fn begin(&mut self, now: Duration, from: Identity, at: SocketAddr) -> Asking {
        if self.fetch.is_some() {
            return None;
        }
        let mine = |(stream, (peer, _, next)): (&StreamId, &(Identity, SocketAddr, Number))| {
            (*peer == from).then_some((*stream, *next))
        };
        let jumps: BTreeMap<StreamId, Number> = self.jumps.iter().filter_map(mine).collect();
        self.jumps.retain(|stream, _| !jumps.contains_key(stream));
        let got = BTreeSet::new();
        let due = now + self.pulse * AGAIN;
        self.fetch = Some(Fetch { from, at, digest: None, parts: 0, got, jumps, due, tries: 0 });
        Some((at, Message::WantSettings { part: 0 }))
    }

    /// A part has come, and was judged. The next parts are asked for once those that were sent together are here.
    pub fn part(
        &mut self,
        now: Duration,
        from: Identity,
        of: (u32, u16, u16),
        at_once: u16,
    ) -> (Asking, Option<Fetched>) {
        let (digest, part, parts) = of;
        let pulse = self.pulse;
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == from) else { return (None, None) };
        if part >= parts {
            return (None, None);
        }
        if fetch.digest != Some(digest) || fetch.parts != parts {
            fetch.digest = Some(digest);
            fetch.parts = parts;
            fetch.got.clear();
        }
        fetch.got.insert(part);
        fetch.tries = 0;
        fetch.due = now + pulse * AGAIN;
        if fetch.got.len() < usize::from(parts) {
            let next = fetch.next();
            let round = next % at_once.max(1) == 0 && next == part.saturating_add(1);
            return (round.then_some((fetch.at, Message::WantSettings { part: next })), None);
        }
        let done = self.fetch.take();
        if let Some(watch) = self.watch(now, from) {
            watch.fetched = true;
            watch.since = now;
        }
        let done = done.map(|fetch| Fetched { jumps: fetch.jumps });
        (self.waiting(now), done)
    }

    fn waiting(&mut self, now: Duration) -> Asking {
        let (peer, at, _) = self.jumps.values().next().copied()?;
        self.begin(now, peer, at)
    }

    pub fn tick(&mut self, now: Duration) -> Asking {
        let pulse = self.pulse;
        let Some(fetch) = self.fetch.as_mut() else { return self.waiting(now) };
        if now < fetch.due {
            return None;
        }
        if fetch.tries >= MAX_TRIES {
            self.fetch = None;
            return self.waiting(now);
        }
        fetch.tries += 1;
        fetch.due = now + pulse * AGAIN;
        Some((fetch.at, Message::WantSettings { part: fetch.next() }))
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.fetch.as_ref().map(|fetch| fetch.due)
    }

    /// What is held: jumps, watched digests, parts.
    pub fn held(&self) -> usize {
        self.jumps.len() + self.differs.len() + self.fetch.as_ref().map_or(0, |fetch| fetch.got.len())
    }
}

impl Fetch {
    /// The first part that isn't here.
    fn next(&self) -> u16 {
        let mut next = 0;
        for part in &self.got {
            if *part != next {
                break;
            }
            next = next.saturating_add(1);
        }
        next
    }
}
