//! Fetches the whole table of settings from another node: one whose digest differs, or one whose log no longer holds
//! entries that are missing here.

use crate::entry::{SequenceNumber, StreamId};
use crate::identity::{Identity, Incarnation, NodeId};
use crate::message::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A node's table is fetched once its digest has differed for this long.
const MISMATCH_PATIENCE_HEARTBEATS: u32 = 4;
/// The extra time before the next fetch from a node whose digest still differed after a fetch.
const FUTILE_FETCH_BACKOFF_HEARTBEATS: u32 = 16;
/// The extra time doubles each time that all parts of this node's table were sent to the other node and its digest
/// still differs, at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// A request is repeated after this time without an answer.
const FETCH_RETRY_HEARTBEATS: u32 = 2;
/// Repeated requests without an answer before a fetch is abandoned. If its cause persists, another fetch follows.
const MAX_FETCH_ATTEMPTS: u32 = 8;
/// Limit of nodes whose digests are watched. A further node's digest is ignored.
const MAX_WATCHED_NODES: usize = 16;

/// Which part of which table a message carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TablePart {
    /// Digest of the whole table; it changes when the sender's table does.
    pub digest: u32,
    /// Index of the part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
}

/// The result of fetching a whole table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FetchedTable {
    /// Streams that may continue at this number, as the table replaces all entries before it.
    pub skips: BTreeMap<StreamId, SequenceNumber>,
}

/// What to do about a digest that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MismatchAction {
    /// Nothing for now.
    Wait,
    /// Send this request to this address.
    Fetch(SocketAddr, Message),
    /// The other node lacks settings that this node holds: send this node's table, starting with this part.
    Send(u16),
}

/// A request to be sent, and the address to which it goes; `None` if nothing is to be sent.
type Request = Option<(SocketAddr, Message)>;

/// The fetch that is under way.
#[derive(Clone, Debug)]
struct TableFetch {
    from: Identity,
    address: SocketAddr,
    /// Digest of the table of which parts were received. `None` before the first part.
    digest: Option<u32>,
    /// Number of parts of that table.
    parts: u16,
    received_parts: BTreeSet<u16>,
    /// Streams that may continue at this number once all parts are received.
    skips: BTreeMap<StreamId, SequenceNumber>,
    /// When the request is repeated.
    due: Duration,
    /// Repeated requests since a part was received.
    attempts: u32,
}

/// A node whose digest differs.
#[derive(Clone, Copy, Debug)]
struct DigestMismatch {
    incarnation: Incarnation,
    /// When the wait for the next step began; in the future after a futile fetch.
    since: Duration,
    /// Whether its whole table was fetched. If the digest still differs then, that node lacks settings held here.
    is_fetched: bool,
    /// Part of this node's table that is sent to it next.
    next_part: u16,
    /// How often all parts of this node's table were sent to it.
    rounds: u32,
}

/// A stream that may continue at `next` once the table of the node `from` is fetched.
#[derive(Clone, Copy, Debug)]
struct PendingSkip {
    from: Identity,
    address: SocketAddr,
    next: SequenceNumber,
}

/// Owns the nodes whose digests differ, and the fetch that is under way, at most one.
#[derive(Clone, Debug)]
pub(crate) struct TableSync {
    heartbeat_interval: Duration,
    mismatches: BTreeMap<NodeId, DigestMismatch>,
    /// Streams for which no fetch has been started.
    skips: BTreeMap<StreamId, PendingSkip>,
    fetch: Option<TableFetch>,
}

impl TableSync {
    /// No digest differs, and there is nothing to fetch.
    pub fn new(heartbeat_interval: Duration) -> TableSync {
        TableSync { heartbeat_interval, mismatches: BTreeMap::new(), skips: BTreeMap::new(), fetch: None }
    }

    /// Stops watching all digests, as another parent is followed.
    pub fn clear_mismatches(&mut self) {
        self.mismatches.clear();
    }

    /// Stops watching a node whose digest equals this node's.
    pub fn clear_mismatch(&mut self, node: NodeId) {
        self.mismatches.remove(&node);
    }

    /// Records that `node` had another digest even after its table was fetched, and that this node's table was sent
    /// to it up to, but not including, the part `next` (`None`: to the end). Delays the next fetch from that node.
    pub fn record_futile_fetch(&mut self, now: Duration, node: NodeId, next: Option<u16>) {
        if let Some(mismatch) = self.mismatches.get_mut(&node) {
            mismatch.next_part = next.unwrap_or(0);
            mismatch.rounds = mismatch.rounds.saturating_add(u32::from(next.is_none()));
            let doublings = mismatch.rounds.min(MAX_BACKOFF_DOUBLINGS);
            mismatch.since = now + self.heartbeat_interval * (FUTILE_FETCH_BACKOFF_HEARTBEATS << doublings);
        }
    }

    /// Handles a digest that differs although no recent gap explains it. If it differs for long enough, the other
    /// node's table is fetched. If it differs for as long again after that, the other node lacks settings that this
    /// node holds.
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

    /// Requests the table of the node `from`, whose log of the stream begins only at `next`. With that table the stream
    /// may continue at `next`.
    pub fn request_skip(
        &mut self,
        now: Duration,
        from: Identity,
        address: SocketAddr,
        (stream, next): (StreamId, SequenceNumber),
    ) -> Request {
        self.skips.insert(stream, PendingSkip { from, address, next });
        self.start_fetch(now, from, address)
    }

    /// Records that a part was received and its settings were added. Each request is answered with `parts_at_once`
    /// parts; the next ones are requested when the last of those arrives. Also returns the result once all parts are
    /// received.
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
            let is_answer_complete = next % parts_at_once.max(1) == 0 && next == part.saturating_add(1);
            let request =
                is_answer_complete.then_some((fetch.address, Message::SettingsRequest { part: next }));
            return (request, None);
        }
        let fetched = self.fetch.take().map(|fetch| FetchedTable { skips: fetch.skips });
        if let Some(mismatch) = self.watch(now, from) {
            mismatch.is_fetched = true;
            mismatch.since = now;
        }
        (self.start_pending_fetch(now), fetched)
    }

    /// Repeats a request that is not answered, or starts the next pending fetch.
    pub fn tick(&mut self, now: Duration) -> Request {
        let retry = self.heartbeat_interval * FETCH_RETRY_HEARTBEATS;
        let Some(fetch) = self.fetch.as_mut() else { return self.start_pending_fetch(now) };
        if now < fetch.due {
            return None;
        }
        if fetch.attempts >= MAX_FETCH_ATTEMPTS {
            self.fetch = None;
            return self.start_pending_fetch(now);
        }
        fetch.attempts += 1;
        fetch.due = now + retry;
        Some((fetch.address, Message::SettingsRequest { part: fetch.next_part() }))
    }

    /// When the request of the fetch under way is repeated; `None` without a fetch.
    pub fn next_due(&self) -> Option<Duration> {
        self.fetch.as_ref().map(|fetch| fetch.due)
    }

    /// The mismatch with this incarnation of a node, which is added if it is new. `None`: there is no room for it.
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

    /// Starts a fetch, unless one is under way, and returns its first request.
    fn start_fetch(&mut self, now: Duration, from: Identity, address: SocketAddr) -> Request {
        if self.fetch.is_some() {
            return None;
        }
        let from_node = self.skips.iter().filter(|(_, skip)| skip.from == from);
        let skips: BTreeMap<StreamId, SequenceNumber> =
            from_node.map(|(stream, skip)| (*stream, skip.next)).collect();
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

    /// Starts a fetch for the first stream that needs another node's table to continue.
    fn start_pending_fetch(&mut self, now: Duration) -> Request {
        let skip = self.skips.values().next().copied()?;
        self.start_fetch(now, skip.from, skip.address)
    }
}

impl TableFetch {
    /// The lowest part that was not received.
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
