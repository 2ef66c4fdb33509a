//! Takeovers of requests whose owner is lost: which member takes them over, when, and how it proceeds with them.

use super::{ClusterNode, Output, Timer, TAKEOVER_ROUND_TRIPS};
use crate::identity::{Ballot, Identity, MemberId, RequestId};
use crate::membership::{Change, MembershipOutput};
use crate::owned_request::{OwnedRequest, Phase};
use crate::record::{Record, RequestDescriptor, RequestProgress};
use crate::takeover_policy::{takeover_action, unknown_answer, TakeoverAction};
use std::collections::BTreeSet;
use std::time::Duration;

/// A request that this member is to take over.
pub(super) struct Takeover {
    pub request: RequestId,
    pub descriptor: RequestDescriptor,
    /// The ballot that the new one must be higher than: that of the owner so far.
    pub above: Ballot,
    /// The deadline of the request, used if the request is not open here already. Nothing is executed after it.
    pub deadline: Duration,
}

impl ClusterNode {
    pub(super) fn apply_membership(&mut self, now: Duration, output: MembershipOutput) {
        let sends = output.frames.into_iter().map(|(to, message)| Output::Send { to, message });
        self.outputs.extend(sends);
        for change in output.changes {
            self.outputs.push(Output::MembershipChanged(change));
            match change {
                Change::Up(identity) => self.replica.observe_incarnation(identity),
                Change::Restarted { from, to } => {
                    self.replica.observe_incarnation(to);
                    self.on_owner_lost(now, from);
                }
                Change::Lost(identity) => self.on_owner_lost(now, identity),
            }
        }
    }

    /// The replicas of a request that are present, highest rank first.
    pub(super) fn present_replicas(&self, request: RequestId) -> Vec<MemberId> {
        let mut ids = self.config.replicas_of(request);
        ids.retain(|id| self.membership.incarnation_of(*id).is_some());
        ids
    }

    /// Whether another member that may be executing the request under this ballot is present.
    pub(super) fn is_owner_present(&self, ballot: Ballot) -> bool {
        ballot.is_owned() && ballot.identity != self.identity && self.membership.is_present(ballot.identity)
    }

    /// Takes over a request whose owner is no longer present. If this member may be partitioned itself, it checks again
    /// later instead.
    pub(super) fn take_over_if_lost(&mut self, now: Duration, request: RequestId) {
        let open = self.open_requests.get(&request);
        let lost = open.and_then(|open| match open.owned.phase() {
            Phase::Lost(ballot) => Some((open.owned.descriptor, *ballot)),
            _ => None,
        });
        let is_open_and_not_lost = open.is_some() && lost.is_none();
        let recorded = self.replica.get(request).filter(|record| record.progress.answer.is_none());
        let recorded = recorded.and_then(|record| Some((record.descriptor?, record.promised)));
        let latest = recorded.into_iter().chain(lost).max_by_key(|(_, ballot)| *ballot);
        let Some((descriptor, above)) = latest else { return };
        // A request that is recorded under a ballot of this member, but is not open here, was abandoned and may be
        // taken over.
        if is_open_and_not_lost || self.is_stopping || self.is_owner_present(above) {
            return;
        }
        if self.status(now).possibly_partitioned {
            return self.schedule(now + self.round_trips(TAKEOVER_ROUND_TRIPS), Timer::TakeOver(request));
        }
        let deadline = self.replica.request_deadline(request).unwrap_or(now);
        // After the deadline a takeover is of no use, and replicas whose record has expired would create a new one.
        if deadline <= now && lost.is_none() {
            return;
        }
        self.take_over(now, Takeover { request, descriptor, above, deadline });
    }

    /// Asks the replicas to promise a ballot that is higher than that of the previous owner.
    pub(super) fn take_over(&mut self, now: Duration, takeover: Takeover) {
        let Takeover { request, descriptor, above, deadline } = takeover;
        let previous =
            self.open_requests.get(&request).map(|open| (open.has_client, open.deadline, open.takeovers));
        let (has_client, deadline, takeovers) = previous.unwrap_or((false, deadline, 0));
        let number = self.next_ballot();
        let owned = OwnedRequest::take_over(&self.config, request, descriptor, self.identity, number, above);
        self.open_request(now, owned, deadline, has_client);
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.takeovers = takeovers + 1;
        }
        self.counts.takeovers += 1;
        self.send_pending(now, request);
    }

    /// A majority has recorded that this member owns the request. If it was taken over, proceeds with it according to
    /// its recorded progress.
    pub(super) fn on_owned(&mut self, now: Duration, request: RequestId, progress: &RequestProgress) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        if open.takeovers == 0 {
            return;
        }
        self.counts.takeovers_won += 1;
        let descriptor = open.owned.descriptor;
        let is_awaited = open.has_client || !open.awaited_by.is_empty();
        let has_time_left = now < open.deadline;
        let action = takeover_action(descriptor.kind, progress, is_awaited, has_time_left);
        match action {
            TakeoverAction::Answered(answer) => {
                self.counts.answered_from_record += 1;
                open.owned.propose_answer(answer);
                self.send_pending(now, request);
            }
            TakeoverAction::FailUnknown => {
                self.counts.failed_unknown += 1;
                open.owned.propose_answer(unknown_answer());
                self.send_pending(now, request);
            }
            TakeoverAction::Abandon => {
                self.counts.abandoned += 1;
                self.open_requests.remove(&request);
            }
            TakeoverAction::Run | TakeoverAction::RunWithIdempotencyKey => {
                self.counts.run_again += 1;
                self.outputs.push(Output::TakeOver {
                    request,
                    descriptor,
                    started_attempts: progress.started_attempts.clone(),
                    requires_idempotency_key: action == TakeoverAction::RunWithIdempotencyKey,
                });
            }
        }
    }

    /// Schedules the takeover of each request of a lost incarnation that is recorded or awaited here. The first
    /// replica that is present takes over at once, each further one [`TAKEOVER_ROUND_TRIPS`] later, and a member that
    /// is no replica last.
    fn on_owner_lost(&mut self, now: Duration, lost: Identity) {
        let is_orphaned = |record: &Record| {
            record.promised.identity == lost
                && record.progress.answer.is_none()
                && record.descriptor.is_some_and(|descriptor| descriptor.kind.requires_quorum())
        };
        let recorded = self.replica.records().filter(|(_, record)| is_orphaned(record));
        let mut requests: BTreeSet<_> = recorded.map(|(request, _)| *request).collect();
        for (request, open) in &self.open_requests {
            if matches!(open.owned.phase(), Phase::Lost(ballot) if ballot.identity == lost) {
                requests.insert(*request);
            }
        }
        for request in requests {
            let replicas = self.present_replicas(request);
            let rank = replicas.iter().position(|id| *id == self.identity.member);
            let rank = rank.unwrap_or_else(|| self.config.replica_count());
            let wait = self.round_trips(TAKEOVER_ROUND_TRIPS * rank as f64);
            self.schedule(now + wait, Timer::TakeOver(request));
        }
    }
}
