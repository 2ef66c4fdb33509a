//! Fetching the whole table of settings: from a node whose digest differs, or whose log no longer holds the entries
//! that led to it.

use crate::entry::{SequenceNumber, StreamId};
use crate::identity::{Identity, Incarnation, NodeId};
use crate::message::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A digest that differs for this long leads to a fetch.
const MISMATCH_PATIENCE_HEARTBEATS: u32 = 4;
/// After a fetch that left the digest differing the next one waits for this time more.
const FUTILE_FETCH_BACKOFF_HEARTBEATS: u32 = 16;
/// That time doubles each time that all parts were sent in vain, at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// A request without an answer is repeated after this time.
const FETCH_RETRY_HEARTBEATS: u32 = 2;
/// Requests without an answer before a fetch is abandoned. What led to it leads to another.
const MAX_FETCH_ATTEMPTS: u32 = 8;
/// Nodes whose digests are watched. When full, a further one isn't.
const MAX_WATCHED_NODES: usize = 16;

/// Which part of which table a message holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TablePart {
    /// Digest of the whole table.
    pub digest: u32,
    /// Index of the part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
}

/// A whole table has been fetched: streams may continue from these numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FetchedTable {
    pub skips: BTreeMap<StreamId, SequenceNumber>,
}

/// What to do about a digest that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MismatchAction {
    Wait,
    /// Send this request.
    Fetch(SocketAddr, Message),
    /// The other node lacks something itself: send this node's table, from this part on.
    Send(u16),
}

/// A request to be sent.
type Request = Option<(SocketAddr, Message)>;

/// A fetch under way.
#[derive(Clone, Debug)]
struct TableFetch {
    from: Identity,
    address: SocketAddr,
    digest: Option<u32>,
    parts: u16,
    received_parts: BTreeSet<u16>,
    /// Streams that may continue from there once all parts are here.
    skips: BTreeMap<StreamId, SequenceNumber>,
    due: Duration,
    attempts: u32,
}

/// A node whose digest differs.
#[derive(Clone, Copy, Debug)]
struct DigestMismatch {
    incarnation: Incarnation,
    since: Duration,
    /// Its whole table was fetched: if the digest still differs, the node lacks something itself.
    is_fetched: bool,
    /// The part that is sent to it next.
    next_part: u16,
    /// How often all parts were sent to it.
    rounds: u32,
}

/// A stream that may continue at `next` once the table of this node was fetched.
#[derive(Clone, Copy, Debug)]
struct WaitingSkip {
    from: Identity,
    address: SocketAddr,
    next: SequenceNumber,
}

/// Owns the digests that differ, and the one fetch that is under way.
#[derive(Clone, Debug)]
pub(crate) struct TableSync {
    heartbeat_interval: Duration,
    mismatches: BTreeMap<NodeId, DigestMismatch>,
    skips: BTreeMap<StreamId, WaitingSkip>,
    fetch: Option<TableFetch>,
}

impl TableSync {
    /// Nothing to fetch.
    pub fn new(heartbeat_interval: Duration) -> TableSync {
        TableSync { heartbeat_interval, mismatches: BTreeMap::new(), skips: BTreeMap::new(), fetch: None }
    }

    /// Another parent is followed: no digest is watched any more.
    pub fn clear_mismatches(&mut self) {
        self.mismatches.clear();
    }

    /// A node's digest is equal.
    pub fn clear_mismatch(&mut self, node: NodeId) {
        self.mismatches.remove(&node);
    }

    /// A fetch from this node has left the digest differing, and this node's table was sent up to the part `next`
    /// (`None`: to its end). The next fetch waits longer.
    pub fn record_futile_fetch(&mut self, now: Duration, node: NodeId, next: Option<u16>) {
        if let Some(mismatch) = self.mismatches.get_mut(&node) {
            mismatch.next_part = next.unwrap_or(0);
            mismatch.rounds = mismatch.rounds.saturating_add(u32::from(next.is_none()));
            let doublings = mismatch.rounds.min(MAX_BACKOFF_DOUBLINGS);
            mismatch.since = now + self.heartbeat_interval * (FUTILE_FETCH_BACKOFF_HEARTBEATS << doublings);
        }
    }

    /// A node's digest differs, with no gap open. Its table is fetched; if the digest still differs as long after
    /// that, this node's table has what the other lacks.
    pub fn on_mismatch(&mut self, now: Duration, from: Identity, address: SocketAddr) -> MismatchAction {
        let patience = self.heartbeat_interval * MISMATCH_PATIENCE_HEARTBEATS;
        let mismatch = self.watch(now, from).filter(|mismatch| now >= mismatch.since + patience);
        let Some(mismatch) = mismatch else { return MismatchAction::Wait };
        mismatch.since = now;
        if std::mem::take(&mut mismatch.is_fetched) {
            return MismatchAction::Send(mismatch.next_part);
        }
        match self.start_fetch(now, from, address) {
            Some((to, message)) => MismatchAction::Fetch(to, message),
            None => MismatchAction::Wait,
        }
    }

    /// A stream's log begins at `next` at this node: with its table the stream may continue from there.
    pub fn request_skip(
        &mut self,
        now: Duration,
        from: Identity,
        address: SocketAddr,
        (stream, next): (StreamId, SequenceNumber),
    ) -> Request {
        self.skips.insert(stream, WaitingSkip { from, address, next });
        self.start_fetch(now, from, address)
    }

    /// A part was received, and its settings were taken. The next parts are requested once those that were sent
    /// together, `parts_at_once` of them, are here.
    pub fn on_part(
        &mut self,
        now: Duration,
        from: Identity,
        part: TablePart,
        parts_at_once: u16,
    ) -> (Request, Option<FetchedTable>) {
        let TablePart { digest, part, parts } = part;
        let retry = self.heartbeat_interval * FETCH_RETRY_HEARTBEATS;
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == from && part < parts) else {
            return (None, None);
        };
        if fetch.digest != Some(digest) || fetch.parts != parts {
            fetch.digest = Some(digest);
            fetch.parts = parts;
            fetch.received_parts.clear();
        }
        fetch.received_parts.insert(part);
        fetch.attempts = 0;
        fetch.due = now + retry;
        if fetch.received_parts.len() < usize::from(parts) {
            let next = fetch.next_part();
            let is_round_over = next % parts_at_once.max(1) == 0 && next == part.saturating_add(1);
            let request = is_round_over.then_some((fetch.address, Message::SettingsRequest { part: next }));
            return (request, None);
        }
        let fetched = self.fetch.take().map(|fetch| FetchedTable { skips: fetch.skips });
        if let Some(mismatch) = self.watch(now, from) {
            mismatch.is_fetched = true;
            mismatch.since = now;
        }
        (self.start_waiting_fetch(now), fetched)
    }

    /// Repeats a request without an answer, or starts a fetch that waits.
    pub fn tick(&mut self, now: Duration) -> Request {
        let retry = self.heartbeat_interval * FETCH_RETRY_HEARTBEATS;
        let Some(fetch) = self.fetch.as_mut() else { return self.start_waiting_fetch(now) };
        if now < fetch.due {
            return None;
        }
        if fetch.attempts >= MAX_FETCH_ATTEMPTS {
            self.fetch = None;
            return self.start_waiting_fetch(now);
        }
        fetch.attempts += 1;
        fetch.due = now + retry;
        Some((fetch.address, Message::SettingsRequest { part: fetch.next_part() }))
    }

    /// When the next request is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.fetch.as_ref().map(|fetch| fetch.due)
    }

    /// The mismatch of this node, of its current incarnation; `None`: no room to watch it.
    fn watch(&mut self, now: Duration, node: Identity) -> Option<&mut DigestMismatch> {
        if self.mismatches.len() >= MAX_WATCHED_NODES && !self.mismatches.contains_key(&node.node) {
            return None;
        }
        let new = DigestMismatch {
            incarnation: node.incarnation,
            since: now,
            is_fetched: false,
            next_part: 0,
            rounds: 0,
        };
        let mismatch = self.mismatches.entry(node.node).or_insert(new);
        if mismatch.incarnation != node.incarnation {
            *mismatch = new;
        }
        Some(mismatch)
    }

    fn start_fetch(&mut self, now: Duration, from: Identity, address: SocketAddr) -> Request {
        if self.fetch.is_some() {
            return None;
        }
        let of_node = self.skips.iter().filter(|(_, skip)| skip.from == from);
        let skips: BTreeMap<StreamId, SequenceNumber> =
            of_node.map(|(stream, skip)| (*stream, skip.next)).collect();
        self.skips.retain(|stream, _| !skips.contains_key(stream));
        self.fetch = Some(TableFetch {
            from,
            address,
            digest: None,
            parts: 0,
            received_parts: BTreeSet::new(),
            skips,
            due: now + self.heartbeat_interval * FETCH_RETRY_HEARTBEATS,
            attempts: 0,
        });
        Some((address, Message::SettingsRequest { part: 0 }))
    }

    fn start_waiting_fetch(&mut self, now: Duration) -> Request {
        let skip = self.skips.values().next().copied()?;
        self.start_fetch(now, skip.from, skip.address)
    }
}

impl TableFetch {
    /// The first part that isn't here.
    fn next_part(&self) -> u16 {
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
