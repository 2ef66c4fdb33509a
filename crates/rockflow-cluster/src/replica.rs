//! A replica of the records of other members' requests. What it has promised binds it for as long as its process lives;
//! on what it may have forgotten it does not vote.

use crate::config::ClusterConfig;
use crate::identity::{Ballot, Identity, Incarnation, MemberId, RequestId};
use crate::message::{Message, RejectionReason, StateTransfer, Step, TransferredRecord};
use crate::record::{Record, RequestDescriptor, RequestProgress};
use crate::votes::KnownIncarnations;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of records in one part of a state transfer.
pub const MAX_TRANSFERRED_RECORDS: usize = 4;

/// What this incarnation knows of its own records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Memory {
    /// Nothing was ever recorded before this incarnation, or all of it has expired.
    Complete,
    /// It began with empty memory and recovers its records from others.
    Recovering {
        /// Members that have sent all their records, each with the synchronized sources of its own; none: it was
        /// synchronized itself.
        sources: BTreeMap<MemberId, Option<BTreeSet<MemberId>>>,
        /// Transfers of which parts are missing.
        transfers: BTreeMap<MemberId, PartialTransfer>,
        /// When everything recorded before this incarnation has expired.
        until: Duration,
    },
}

/// The parts that have arrived of a state transfer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PartialTransfer {
    number: u32,
    parts: BTreeSet<u16>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredRecord {
    record: Record,
    /// When the request itself ends, as far as is known here.
    request_ends: Duration,
    expires: Duration,
}

/// What is to be written of a request.
#[derive(Clone, Debug)]
pub struct WriteRequest<'a> {
    /// The step that asks for it.
    pub at: Step,
    /// What was asked for.
    pub descriptor: RequestDescriptor,
    /// How far the request has come.
    pub progress: &'a RequestProgress,
    /// The time that the request has left.
    pub left: Duration,
}

/// The records that one incarnation of a member holds for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    identity: Identity,
    replica_count: usize,
    majority: usize,
    max_records: usize,
    retention: Duration,
    memory: Memory,
    records: BTreeMap<RequestId, StoredRecord>,
    /// When records expire, earliest first.
    expiry: BTreeSet<(Duration, RequestId)>,
    /// The latest incarnation known of each other member.
    incarnations: BTreeMap<MemberId, Incarnation>,
}

impl Replica {
    /// An incarnation that begins with empty memory.
    pub fn new(config: &ClusterConfig, identity: Identity, now: Duration) -> Replica {
        Replica {
            identity,
            replica_count: config.replica_count(),
            majority: config.majority(),
            max_records: config.max_records,
            retention: config.retention,
            memory: Memory::Recovering {
                sources: BTreeMap::new(),
                transfers: BTreeMap::new(),
                until: now + config.retention,
            },
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// A replica of a cluster that never ran before, so that nothing can have been forgotten.
    pub fn of_new_cluster(config: &ClusterConfig, identity: Identity, now: Duration) -> Replica {
        Replica { memory: Memory::Complete, ..Replica::new(config, identity, now) }
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a request.
    pub fn get(&self, request: RequestId) -> Option<&Record> {
        self.records.get(&request).map(|stored| &stored.record)
    }

    /// When the request of a record ends, as far as is known here.
    pub fn request_ends(&self, request: RequestId) -> Option<Duration> {
        self.records.get(&request).map(|stored| stored.request_ends)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = (&RequestId, &Record)> {
        self.records.iter().map(|(request, stored)| (request, &stored.record))
    }

    /// Takes note of an incarnation of another member; only a later one replaces the one known.
    pub fn observe_incarnation(&mut self, identity: Identity) {
        let known = self.incarnations.entry(identity.member).or_insert(identity.incarnation);
        *known = identity.incarnation.max(*known);
    }

    /// The latest incarnation known of a member.
    pub fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        self.incarnations.get(&member).copied()
    }

    /// Drops what has expired.
    pub fn tick(&mut self, now: Duration) {
        if matches!(self.memory, Memory::Recovering { until, .. } if until <= now) {
            self.memory = Memory::Complete;
        }
        while let Some((at, request)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            self.expiry.remove(&(at, request));
            self.records.remove(&request);
        }
    }

    /// When [`Replica::tick`] is to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let recovered = match &self.memory {
            Memory::Complete => None,
            Memory::Recovering { until, .. } => Some(*until),
        };
        let expires = self.expiry.first().map(|(at, _)| *at);
        [recovered, expires].into_iter().flatten().min()
    }

    /// Records what is written of a request with these replicas, and votes.
    pub fn on_write(&mut self, now: Duration, replicas: &[MemberId], write: &WriteRequest) -> Message {
        let at = write.at;
        if self.is_unsynchronized(replicas) {
            return reject(at, RejectionReason::Unsynchronized);
        }
        if let Some(record) = self.get(at.request) {
            if record.descriptor.is_some_and(|known| known != write.descriptor) {
                return reject(at, RejectionReason::RequestMismatch);
            }
            // A first owner may write on; it takes nothing from another that came first.
            if at.ballot != record.promised && (at.ballot.round == 0 || at.ballot < record.promised) {
                return reject(at, RejectionReason::Promised(record.promised));
            }
        } else if self.records.len() >= self.max_records {
            return reject(at, RejectionReason::Full);
        }
        let stored = self.entry(now + self.retention, at.request, at.ballot);
        stored.request_ends = (now + write.left).max(stored.request_ends);
        stored.record.descriptor = Some(write.descriptor);
        stored.record.promised = at.ballot;
        stored.record.progress.merge(write.progress);
        Message::Vote { at, incarnations: self.known_incarnations(replicas), held: None }
    }

    /// Promises a ballot, if it is later than any before, and replies with what is recorded.
    pub fn on_prepare(
        &mut self,
        now: Duration,
        replicas: &[MemberId],
        at: Step,
        descriptor: Option<RequestDescriptor>,
    ) -> Message {
        if self.is_unsynchronized(replicas) {
            return reject(at, RejectionReason::Unsynchronized);
        }
        if let Some(record) = self.get(at.request) {
            if record.descriptor.is_some() && descriptor.is_some() && record.descriptor != descriptor {
                return reject(at, RejectionReason::RequestMismatch);
            }
            if at.ballot < record.promised {
                return reject(at, RejectionReason::Promised(record.promised));
            }
        } else if self.records.len() >= self.max_records {
            return reject(at, RejectionReason::Full);
        }
        let record = &mut self.entry(now + self.retention, at.request, at.ballot).record;
        record.promised = at.ballot;
        record.descriptor = record.descriptor.or(descriptor);
        let held = Some(record.clone());
        Message::Vote { at, incarnations: self.known_incarnations(replicas), held }
    }

    /// The owner of a request says that nobody will ask for it. Only for idempotent requests: for others the record is
    /// all that stands between them and a second execution.
    pub fn drop_record(&mut self, request: RequestId, ballot: Ballot) {
        let is_idempotent =
            |record: &Record| record.descriptor.is_some_and(|descriptor| !descriptor.kind.requires_quorum());
        let is_droppable =
            self.get(request).is_some_and(|record| record.promised == ballot && is_idempotent(record));
        if !is_droppable {
            return;
        }
        if let Some(stored) = self.records.remove(&request) {
            self.expiry.remove(&(stored.expires, request));
        }
    }

    /// Members whose records are still wanted: a synchronized one that has sent them has nothing to add.
    pub fn missing_sources<'a>(&'a self, config: &'a ClusterConfig) -> impl Iterator<Item = MemberId> + 'a {
        let own = self.identity.member;
        let is_wanted = move |id: &MemberId| match &self.memory {
            Memory::Complete => false,
            Memory::Recovering { sources, .. } => sources.get(id) != Some(&None),
        };
        config.ids().filter(move |id| *id != own && is_wanted(id))
    }

    /// What a member that restarted may have recorded, in parts. Its earlier incarnations count for nothing from now on.
    pub fn prepare_state_transfer(
        &mut self,
        now: Duration,
        config: &ClusterConfig,
        requester: Identity,
        number: u32,
    ) -> Vec<StateTransfer> {
        self.observe_incarnation(requester);
        let is_replica = |request: &RequestId| config.replicas_of(*request).contains(&requester.member);
        let records: Vec<_> = self
            .records
            .iter()
            .filter(|(request, _)| is_replica(request))
            .map(|(request, stored)| TransferredRecord {
                request: *request,
                record: stored.record.clone(),
                left: stored.request_ends.saturating_sub(now),
                retained_for: stored.expires.saturating_sub(now),
            })
            .collect();
        let parts = records.len().div_ceil(MAX_TRANSFERRED_RECORDS).max(1) as u16;
        let sources = self.synchronized_sources(config);
        let part = |part: u16| {
            let skipped = usize::from(part) * MAX_TRANSFERRED_RECORDS;
            let records = records.iter().skip(skipped).take(MAX_TRANSFERRED_RECORDS).cloned().collect();
            StateTransfer { identity: requester, number, part, parts, sources: sources.clone(), records }
        };
        (0..parts).map(part).collect()
    }

    /// Takes in a part of a state transfer. Its sender counts as a source once all parts of one are here.
    pub fn apply_state_transfer(&mut self, now: Duration, sender: MemberId, transfer: StateTransfer) {
        if transfer.identity != self.identity || self.memory == Memory::Complete {
            return;
        }
        let mut has_room = true;
        for transferred in transfer.records {
            // Guards against a cap that would make a transfer forgotten in part: then its sender does not count.
            if self.records.len() >= self.max_records && !self.records.contains_key(&transferred.request) {
                has_room = false;
                continue;
            }
            self.merge_transferred(now, &transferred);
        }
        let Memory::Recovering { sources, transfers, .. } = &mut self.memory else { return };
        let partial = transfers.entry(sender).or_default();
        if partial.number != transfer.number {
            *partial = PartialTransfer { number: transfer.number, parts: BTreeSet::new() };
        }
        if has_room {
            partial.parts.insert(transfer.part);
        }
        if partial.parts.len() == usize::from(transfer.parts) {
            transfers.remove(&sender);
            let own_sources: Option<BTreeSet<_>> = transfer.sources.map(|ids| ids.into_iter().collect());
            match sources.get_mut(&sender) {
                // A source that was synchronized once stays so.
                Some(known) => *known = known.take().and(own_sources),
                None => {
                    sources.insert(sender, own_sources);
                }
            }
        }
    }

    /// Whether this incarnation may vote on all that it can be asked.
    pub fn is_synchronized(&self, config: &ClusterConfig) -> bool {
        self.synchronized_sources(config).is_none()
    }

    /// The synchronized members from which this incarnation has recovered. None: it is synchronized itself.
    fn synchronized_sources(&self, config: &ClusterConfig) -> Option<Vec<MemberId>> {
        let Memory::Recovering { sources, .. } = &self.memory else { return None };
        let synchronized: Vec<_> =
            sources.iter().filter(|(_, own_sources)| own_sources.is_none()).map(|(id, _)| *id).collect();
        // The worst set of replicas has all those in it from which nothing came.
        let missing = config.members.len() - 1 - synchronized.len();
        (missing + 2 > self.majority).then_some(synchronized)
    }

    /// Guards against a vote on what may have been forgotten: so many of the request's other replicas must have sent this
    /// incarnation what they hold, synchronized for this request themselves, that any majority with the earlier
    /// incarnation in it is intersected.
    fn is_unsynchronized(&self, replicas: &[MemberId]) -> bool {
        let Memory::Recovering { sources, .. } = &self.memory else { return false };
        let is_enough = |count: usize| count > self.replica_count - self.majority;
        let others = |of: MemberId| replicas.iter().filter(move |id| **id != of);
        let is_synchronized = |sender: &MemberId| match sources.get(sender) {
            None => false,
            Some(None) => true,
            Some(Some(own_sources)) => {
                is_enough(others(*sender).filter(|id| own_sources.contains(id)).count())
            }
        };
        !is_enough(others(self.identity.member).filter(|id| is_synchronized(id)).count())
    }

    /// The incarnations of a request's other replicas, to go with a vote.
    fn known_incarnations(&self, replicas: &[MemberId]) -> KnownIncarnations {
        let known = replicas.iter().filter_map(|id| Some((*id, *self.incarnations.get(id)?)));
        known.map(|(member, incarnation)| Identity { member, incarnation }).collect()
    }

    fn merge_transferred(&mut self, now: Duration, transferred: &TransferredRecord) {
        let identity = self.identity;
        let expires = now + transferred.retained_for.min(self.retention);
        let theirs = &transferred.record;
        let stored = self.entry(expires, transferred.request, theirs.promised);
        stored.request_ends = (now + transferred.left).max(stored.request_ends);
        // Guards against a vote for one of two first owners where the forgotten vote was for the other: neither may
        // write on, and whoever takes over sees both.
        let own = &mut stored.record;
        let is_split =
            own.promised.round == 0 && theirs.promised.round == 0 && own.promised != theirs.promised;
        own.promised = if is_split { Ballot::unowned(identity) } else { own.promised.max(theirs.promised) };
        own.descriptor = own.descriptor.or(theirs.descriptor);
        own.progress.merge(&theirs.progress);
    }

    /// The record of a request; a new one expires then and has promised this ballot.
    fn entry(&mut self, expires: Duration, request: RequestId, promised: Ballot) -> &mut StoredRecord {
        let expiry = &mut self.expiry;
        self.records.entry(request).or_insert_with(|| {
            expiry.insert((expires, request));
            let record = Record { descriptor: None, promised, progress: RequestProgress::default() };
            StoredRecord { record, request_ends: Duration::ZERO, expires }
        })
    }
}

fn reject(at: Step, reason: RejectionReason) -> Message {
    Message::Reject { at, reason }
}
