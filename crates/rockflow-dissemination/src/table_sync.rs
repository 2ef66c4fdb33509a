//! Fetching the whole table of settings from one whose digest differs, or who no longer holds what led to it.

use crate::entry::{SequenceNumber, StreamId};
use crate::identity::{Identity, Incarnation, NodeId};
use crate::message::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A digest that differs for so many pulses leads to a fetch.
const MISMATCH_PATIENCE_HEARTBEATS: u32 = 4;
/// After a fetch that left it differing, so many more; twice as many after each time that all parts went up in vain, so
/// often at the most.
const FUTILE_FETCH_BACKOFF_HEARTBEATS: u32 = 16;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// An asking without an answer comes again after so many pulses.
const FETCH_RETRY_HEARTBEATS: u32 = 2;
/// After so many in vain the fetch is given up; what led to it leads to another.
const MAX_FETCH_ATTEMPTS: u32 = 8;
/// Peers whose digests are watched. When full, one more isn't.
const MAX_WATCHED_PEERS: usize = 16;

#[derive(Clone, Debug)]
struct TableFetch {
    from: Identity,
    address: SocketAddr,
    digest: Option<u32>,
    parts: u16,
    received_parts: BTreeSet<u16>,
    /// Streams that may go on from there once all is here.
    skips: BTreeMap<StreamId, SequenceNumber>,
    due: Duration,
    attempts: u32,
}

/// A peer whose digest is another.
#[derive(Clone, Copy, Debug)]
struct DigestMismatch {
    incarnation: Incarnation,
    since: Duration,
    /// Its whole table is here: what still differs it lacks itself.
    on_table_fetched: bool,
    /// The part that goes up to it next, and how often all of them went.
    part: u16,
    rounds: u32,
}

/// A whole table is here; what may go on by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchedTable {
    pub skips: BTreeMap<StreamId, SequenceNumber>,
}

/// What is to be done where a digest differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MismatchAction {
    Wait,
    Fetch(SocketAddr, Message),
    /// What is held here is to go up, from this part on.
    Send(u16),
}

#[derive(Clone, Debug)]
pub struct TableSync {
    heartbeat_interval: Duration,
    mismatches: BTreeMap<NodeId, DigestMismatch>,
    skips: BTreeMap<StreamId, (Identity, SocketAddr, SequenceNumber)>,
    fetch: Option<TableFetch>,
}

type SettingsRequest = Option<(SocketAddr, Message)>;

impl TableSync {
    pub fn new(heartbeat_interval: Duration) -> TableSync {
        TableSync { heartbeat_interval, mismatches: BTreeMap::new(), skips: BTreeMap::new(), fetch: None }
    }

    /// Nobody's digest is watched any more, as another is followed.
    pub fn clear_mismatches(&mut self) {
        self.mismatches.clear();
    }

    /// A fetch from this peer has left it differing, and what is held here went up before the part `next`; none: up to
    /// the last. The next fetch waits longer.
    pub fn record_futile_fetch(&mut self, now: Duration, peer: NodeId, next: Option<u16>) {
        if let Some(watch) = self.mismatches.get_mut(&peer) {
            watch.part = next.unwrap_or(0);
            watch.rounds = watch.rounds.saturating_add(u32::from(next.is_none()));
            watch.since = now
                + self.heartbeat_interval
                    * (FUTILE_FETCH_BACKOFF_HEARTBEATS << watch.rounds.min(MAX_BACKOFF_DOUBLINGS));
        }
    }

    pub fn clear_mismatch(&mut self, peer: NodeId) {
        self.mismatches.remove(&peer);
    }

    fn watch(&mut self, now: Duration, peer: Identity) -> Option<&mut DigestMismatch> {
        if self.mismatches.len() >= MAX_WATCHED_PEERS && !self.mismatches.contains_key(&peer.node) {
            return None;
        }
        let new = DigestMismatch {
            incarnation: peer.incarnation,
            since: now,
            on_table_fetched: false,
            part: 0,
            rounds: 0,
        };
        let watch = self.mismatches.entry(peer.node).or_insert(new);
        if watch.incarnation != peer.incarnation {
            *watch = new;
        }
        Some(watch)
    }

    /// A peer's digest is another than ours, with no gap open. Its table is fetched; where it differs as long after that,
    /// ours has what it lacks.
    pub fn on_mismatch(&mut self, now: Duration, peer: Identity, address: SocketAddr) -> MismatchAction {
        let wait = self.heartbeat_interval * MISMATCH_PATIENCE_HEARTBEATS;
        let Some(watch) = self.watch(now, peer).filter(|watch| now >= watch.since + wait) else {
            return MismatchAction::Wait;
        };
        watch.since = now;
        if std::mem::take(&mut watch.on_table_fetched) {
            return MismatchAction::Send(watch.part);
        }
        self.start_fetch(now, peer, address)
            .map_or(MismatchAction::Wait, |(to, message)| MismatchAction::Fetch(to, message))
    }

    /// A stream's log begins at `next` at this peer: by its table this node may go on from there.
    pub fn request_skip(
        &mut self,
        now: Duration,
        peer: Identity,
        address: SocketAddr,
        to: (StreamId, SequenceNumber),
    ) -> SettingsRequest {
        self.skips.insert(to.0, (peer, address, to.1));
        self.start_fetch(now, peer, address)
    }

    fn start_fetch(&mut self, now: Duration, from: Identity, address: SocketAddr) -> SettingsRequest {
        if self.fetch.is_some() {
            return None;
        }
        let mine = |(stream, (peer, _, next)): (&StreamId, &(Identity, SocketAddr, SequenceNumber))| {
            (*peer == from).then_some((*stream, *next))
        };
        let skips: BTreeMap<StreamId, SequenceNumber> = self.skips.iter().filter_map(mine).collect();
        self.skips.retain(|stream, _| !skips.contains_key(stream));
        let received_parts = BTreeSet::new();
        let due = now + self.heartbeat_interval * FETCH_RETRY_HEARTBEATS;
        self.fetch = Some(TableFetch {
            from,
            address,
            digest: None,
            parts: 0,
            received_parts,
            skips,
            due,
            attempts: 0,
        });
        Some((address, Message::SettingsRequest { part: 0 }))
    }

    /// A part has come, and was judged. The next parts are asked for once those that were sent together are here.
    pub fn on_part(
        &mut self,
        now: Duration,
        from: Identity,
        of: (u32, u16, u16),
        at_once: u16,
    ) -> (SettingsRequest, Option<FetchedTable>) {
        let (digest, part, parts) = of;
        let heartbeat_interval = self.heartbeat_interval;
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == from) else { return (None, None) };
        if part >= parts {
            return (None, None);
        }
        if fetch.digest != Some(digest) || fetch.parts != parts {
            fetch.digest = Some(digest);
            fetch.parts = parts;
            fetch.received_parts.clear();
        }
        fetch.received_parts.insert(part);
        fetch.attempts = 0;
        fetch.due = now + heartbeat_interval * FETCH_RETRY_HEARTBEATS;
        if fetch.received_parts.len() < usize::from(parts) {
            let next = fetch.next();
            let round = next % at_once.max(1) == 0 && next == part.saturating_add(1);
            return (round.then_some((fetch.address, Message::SettingsRequest { part: next })), None);
        }
        let done = self.fetch.take();
        if let Some(watch) = self.watch(now, from) {
            watch.on_table_fetched = true;
            watch.since = now;
        }
        let done = done.map(|fetch| FetchedTable { skips: fetch.skips });
        (self.start_waiting_fetch(now), done)
    }

    fn start_waiting_fetch(&mut self, now: Duration) -> SettingsRequest {
        let (peer, address, _) = self.skips.values().next().copied()?;
        self.start_fetch(now, peer, address)
    }

    pub fn tick(&mut self, now: Duration) -> SettingsRequest {
        let heartbeat_interval = self.heartbeat_interval;
        let Some(fetch) = self.fetch.as_mut() else { return self.start_waiting_fetch(now) };
        if now < fetch.due {
            return None;
        }
        if fetch.attempts >= MAX_FETCH_ATTEMPTS {
            self.fetch = None;
            return self.start_waiting_fetch(now);
        }
        fetch.attempts += 1;
        fetch.due = now + heartbeat_interval * FETCH_RETRY_HEARTBEATS;
        Some((fetch.address, Message::SettingsRequest { part: fetch.next() }))
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.fetch.as_ref().map(|fetch| fetch.due)
    }
}

impl TableFetch {
    /// The first part that isn't here.
    fn next(&self) -> u16 {
        let mut next = 0;
        for part in &self.received_parts {
            if *part != next {
                break;
            }
            next = next.saturating_add(1);
        }
        next
    }
}
