//! A replica of the records of requests. Its promises bind it for the lifetime of its process, and it does not vote on
//! requests about which an earlier incarnation may have made promises that it does not know.

use crate::config::ClusterConfig;
use crate::identity::{Ballot, Identity, Incarnation, MemberId, RequestId};
use crate::message::{Message, RejectionReason, StateTransfer, Step, TransferredRecord};
use crate::record::{Record, RequestDescriptor, RequestProgress};
use crate::votes::KnownIncarnations;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of records in one part of a state transfer.
pub const MAX_TRANSFERRED_RECORDS: usize = 4;

/// Whether this incarnation has all records that its earlier incarnations held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RecoveryState {
    /// Earlier incarnations recorded nothing, or everything that they recorded has expired.
    Complete,
    /// The incarnation began with empty memory and recovers its records from other members.
    Recovering {
        /// Members that have sent all their records, each with the synchronized members from which it has recovered
        /// them itself, or `None` if it was synchronized.
        sources: BTreeMap<MemberId, Option<BTreeSet<MemberId>>>,
        /// Incomplete transfers, by sender.
        transfers: BTreeMap<MemberId, PartialTransfer>,
        /// When everything that earlier incarnations recorded has expired.
        until: Duration,
    },
}

/// The parts of one state transfer that have arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PartialTransfer {
    number: u32,
    parts: BTreeSet<u16>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredRecord {
    record: Record,
    /// The latest known deadline of the request.
    request_deadline: Duration,
    expires: Duration,
}

/// The content of a [`Message::Write`].
#[derive(Clone, Debug)]
pub struct WriteRequest<'a> {
    /// The step to be recorded.
    pub at: Step,
    /// What the client asks for.
    pub descriptor: RequestDescriptor,
    /// The attempts and the final answer to be recorded.
    pub progress: &'a RequestProgress,
    /// The time until the deadline of the request.
    pub left: Duration,
}

/// The records that one incarnation of a member holds as a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    identity: Identity,
    replica_count: usize,
    majority: usize,
    max_records: usize,
    retention: Duration,
    recovery: RecoveryState,
    records: BTreeMap<RequestId, StoredRecord>,
    /// The expiry times of all records, earliest first.
    expiry: BTreeSet<(Duration, RequestId)>,
    /// The latest known incarnation of each other member.
    incarnations: BTreeMap<MemberId, Incarnation>,
}

impl Replica {
    /// Creates the replica of an incarnation that begins with empty memory and must recover its records first.
    pub fn new(config: &ClusterConfig, identity: Identity, now: Duration) -> Replica {
        Replica {
            identity,
            replica_count: config.replica_count(),
            majority: config.majority(),
            max_records: config.max_records,
            retention: config.retention,
            recovery: RecoveryState::Recovering {
                sources: BTreeMap::new(),
                transfers: BTreeMap::new(),
                until: now + config.retention,
            },
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// Creates a replica of a cluster that never ran before, so that there is nothing to recover.
    pub fn of_new_cluster(config: &ClusterConfig, identity: Identity, now: Duration) -> Replica {
        Replica { recovery: RecoveryState::Complete, ..Replica::new(config, identity, now) }
    }

    /// The number of records that the replica holds.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the replica holds no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a request, or `None` if the replica holds none.
    pub fn get(&self, request: RequestId) -> Option<&Record> {
        self.records.get(&request).map(|stored| &stored.record)
    }

    /// The latest known deadline of a request, or `None` if the replica holds no record of it.
    pub fn request_deadline(&self, request: RequestId) -> Option<Duration> {
        self.records.get(&request).map(|stored| stored.request_deadline)
    }

    /// All records, by request.
    pub fn records(&self) -> impl Iterator<Item = (&RequestId, &Record)> {
        self.records.iter().map(|(request, stored)| (request, &stored.record))
    }

    /// Records that this incarnation of a member exists. It is ignored if a later one is known.
    pub fn observe_incarnation(&mut self, identity: Identity) {
        let known = self.incarnations.entry(identity.member).or_insert(identity.incarnation);
        *known = identity.incarnation.max(*known);
    }

    /// The latest known incarnation of another member, or `None` if none is known.
    pub fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        self.incarnations.get(&member).copied()
    }

    /// Removes expired records, and ends the recovery once all records of earlier incarnations have expired.
    pub fn tick(&mut self, now: Duration) {
        if matches!(self.recovery, RecoveryState::Recovering { until, .. } if until <= now) {
            self.recovery = RecoveryState::Complete;
        }
        while let Some((at, request)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            self.expiry.remove(&(at, request));
            self.records.remove(&request);
        }
    }

    /// When [`Replica::tick`] is to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let recovery_ends = match &self.recovery {
            RecoveryState::Complete => None,
            RecoveryState::Recovering { until, .. } => Some(*until),
        };
        let next_expiry = self.expiry.first().map(|(at, _)| *at);
        [recovery_ends, next_expiry].into_iter().flatten().min()
    }

    /// Records the progress of a request with these replicas. Returns the vote or the rejection to reply with.
    pub fn on_write(&mut self, now: Duration, replicas: &[MemberId], write: &WriteRequest) -> Message {
        let at = write.at;
        if self.is_unsynchronized(replicas) {
            return reject(at, RejectionReason::Unsynchronized);
        }
        if let Some(record) = self.get(at.request) {
            if record.descriptor.is_some_and(|known| known != write.descriptor) {
                return reject(at, RejectionReason::RequestMismatch);
            }
            // A first owner may write again under its own ballot, but does not override one that arrived earlier.
            if at.ballot != record.promised && (at.ballot.round == 0 || at.ballot < record.promised) {
                return reject(at, RejectionReason::Promised(record.promised));
            }
        } else if self.records.len() >= self.max_records {
            return reject(at, RejectionReason::Full);
        }
        let stored = self.record_entry(now + self.retention, at.request, at.ballot);
        stored.request_deadline = (now + write.left).max(stored.request_deadline);
        stored.record.descriptor = Some(write.descriptor);
        stored.record.promised = at.ballot;
        stored.record.progress.merge(write.progress);
        Message::Vote { at, incarnations: self.known_incarnations(replicas), held: None }
    }

    /// Promises a ballot unless a higher one was promised. Returns the vote, with the record, or the rejection to reply
    /// with.
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
        let record = &mut self.record_entry(now + self.retention, at.request, at.ballot).record;
        record.promised = at.ballot;
        record.descriptor = record.descriptor.or(descriptor);
        let held = Some(record.clone());
        Message::Vote { at, incarnations: self.known_incarnations(replicas), held }
    }

    /// Removes the record of a request that has ended, if the request is idempotent and its record has this ballot. For
    /// other requests the record must stay, as it is what prevents a second execution.
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

    /// Members whose records are still needed for the recovery. A member that was synchronized when it sent its records
    /// has nothing to add.
    pub fn missing_sources<'a>(&'a self, config: &'a ClusterConfig) -> impl Iterator<Item = MemberId> + 'a {
        let own = self.identity.member;
        let is_needed = move |id: &MemberId| match &self.recovery {
            RecoveryState::Complete => false,
            RecoveryState::Recovering { sources, .. } => sources.get(id) != Some(&None),
        };
        config.ids().filter(move |id| *id != own && is_needed(id))
    }

    /// The parts of a transfer of all records that a restarted member may have held. Its earlier incarnations count as
    /// superseded from now on.
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
                left: stored.request_deadline.saturating_sub(now),
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

    /// Merges a part of a state transfer into the records. The sender counts as a source once all parts of one transfer
    /// have arrived.
    pub fn apply_state_transfer(&mut self, now: Duration, sender: MemberId, transfer: StateTransfer) {
        if transfer.identity != self.identity || self.recovery == RecoveryState::Complete {
            return;
        }
        let mut is_complete = true;
        for transferred in transfer.records {
            // A record that exceeds the maximum is dropped, so the part is incomplete and its sender must not count
            // as a source.
            if self.records.len() >= self.max_records && !self.records.contains_key(&transferred.request) {
                is_complete = false;
                continue;
            }
            self.merge_transferred(now, &transferred);
        }
        let RecoveryState::Recovering { sources, transfers, .. } = &mut self.recovery else { return };
        let partial = transfers.entry(sender).or_default();
        if partial.number != transfer.number {
            *partial = PartialTransfer { number: transfer.number, parts: BTreeSet::new() };
        }
        if is_complete {
            partial.parts.insert(transfer.part);
        }
        if partial.parts.len() == usize::from(transfer.parts) {
            transfers.remove(&sender);
            let own_sources: Option<BTreeSet<_>> = transfer.sources.map(|ids| ids.into_iter().collect());
            match sources.get_mut(&sender) {
                // A source that was synchronized once remains synchronized.
                Some(known) => *known = known.take().and(own_sources),
                None => {
                    sources.insert(sender, own_sources);
                }
            }
        }
    }

    /// Whether this incarnation has recovered enough records to vote on every request.
    pub fn is_synchronized(&self, config: &ClusterConfig) -> bool {
        self.synchronized_sources(config).is_none()
    }

    /// The synchronized members from which this incarnation has recovered its records, or `None` if it is synchronized
    /// itself.
    fn synchronized_sources(&self, config: &ClusterConfig) -> Option<Vec<MemberId>> {
        let RecoveryState::Recovering { sources, .. } = &self.recovery else { return None };
        let synchronized: Vec<_> =
            sources.iter().filter(|(_, own_sources)| own_sources.is_none()).map(|(id, _)| *id).collect();
        // In the worst case the replicas of a request include all members that have not sent their records.
        let missing = config.members.len() - 1 - synchronized.len();
        (missing + 2 > self.majority).then_some(synchronized)
    }

    /// Whether this incarnation must not vote on a request with these replicas, because an earlier one may have made
    /// a promise about it that is not recovered. It may vote once more than `replica_count - majority` of the other
    /// replicas have sent their records, each synchronized for this request itself: every majority that contained the
    /// earlier incarnation then contains one of them.
    fn is_unsynchronized(&self, replicas: &[MemberId]) -> bool {
        let RecoveryState::Recovering { sources, .. } = &self.recovery else { return false };
        let intersects_majorities = |count: usize| count > self.replica_count - self.majority;
        let other_replicas = |member: MemberId| replicas.iter().filter(move |id| **id != member);
        let is_synchronized = |sender: &MemberId| match sources.get(sender) {
            None => false,
            Some(None) => true,
            Some(Some(own_sources)) => {
                let synchronized_sources = other_replicas(*sender).filter(|id| own_sources.contains(id));
                intersects_majorities(synchronized_sources.count())
            }
        };
        let synchronized = other_replicas(self.identity.member).filter(|id| is_synchronized(id));
        !intersects_majorities(synchronized.count())
    }

    /// The known incarnations of a request's other replicas, which are sent with each vote.
    fn known_incarnations(&self, replicas: &[MemberId]) -> KnownIncarnations {
        let known = replicas.iter().filter_map(|id| Some((*id, *self.incarnations.get(id)?)));
        known.map(|(member, incarnation)| Identity { member, incarnation }).collect()
    }

    fn merge_transferred(&mut self, now: Duration, transferred: &TransferredRecord) {
        let identity = self.identity;
        let expires = now + transferred.retained_for.min(self.retention);
        let received = &transferred.record;
        let stored = self.record_entry(expires, transferred.request, received.promised);
        stored.request_deadline = (now + transferred.left).max(stored.request_deadline);
        // The records name two different first owners, and the earlier incarnation may have voted for either. Neither
        // may continue to write; a member that takes over sees the attempts of both.
        let own = &mut stored.record;
        let have_different_first_owners =
            own.promised.round == 0 && received.promised.round == 0 && own.promised != received.promised;
        own.promised = if have_different_first_owners {
            Ballot::unowned(identity)
        } else {
            own.promised.max(received.promised)
        };
        own.descriptor = own.descriptor.or(received.descriptor);
        own.progress.merge(&received.progress);
    }

    /// The record of a request. If there is none, creates one that has promised this ballot and expires at `expires`.
    fn record_entry(&mut self, expires: Duration, request: RequestId, promised: Ballot) -> &mut StoredRecord {
        let expiry = &mut self.expiry;
        self.records.entry(request).or_insert_with(|| {
            expiry.insert((expires, request));
            let record = Record { descriptor: None, promised, progress: RequestProgress::default() };
            StoredRecord { record, request_deadline: Duration::ZERO, expires }
        })
    }
}

fn reject(at: Step, reason: RejectionReason) -> Message {
    Message::Reject { at, reason }
}
