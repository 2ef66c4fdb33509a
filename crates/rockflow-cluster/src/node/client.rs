//! The calls from a member's own dispatcher: a request has arrived, an attempt is to be sent, a request has ended.

use super::{
    ClusterNode, Output, PendingReport, Permission, Timer, MAX_OPEN_REQUESTS, MAX_PENDING_REPORTS,
    REPORT_ROUND_TRIPS,
};
use crate::identity::{Ballot, RequestId};
use crate::message::Message;
use crate::owned_request::{OwnedRequest, Phase};
use crate::record::{Answer, EffectKind, Outcome, RequestDescriptor};
use std::time::Duration;

impl ClusterNode {
    /// A client has sent a request to this dispatcher and waits until `deadline`. An idempotent request is reported
    /// to its replicas a little later; for others nothing is sent to the replicas before the first attempt.
    pub fn on_request(
        &mut self,
        now: Duration,
        request: RequestId,
        descriptor: RequestDescriptor,
        deadline: Duration,
    ) -> Vec<Output> {
        if let Some(answer) = self.answers.get(request) {
            return vec![Output::FinalAnswer { request, answer: answer.clone() }];
        }
        if let Some(open) = self.open_requests.get_mut(&request) {
            if open.owned.descriptor != descriptor {
                return vec![Output::IdInUse { request }];
            }
            open.has_client = true;
            open.deadline = open.deadline.max(deadline);
            return vec![Output::OwnedElsewhere { request }];
        }
        if !descriptor.kind.requires_quorum() {
            self.report_later(now, request, PendingReport { descriptor, deadline });
        } else if self.open_requests.len() < MAX_OPEN_REQUESTS {
            let number = self.next_ballot();
            let owned = OwnedRequest::first_owner(&self.config, request, descriptor, self.identity, number);
            self.open_request(now, owned, deadline, true);
        }
        self.take_outputs()
    }

    /// The dispatcher wants to send an attempt to a host. If the permission is deferred, [`Output::MaySend`] or another
    /// output about the request follows.
    pub fn propose_attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: u16,
        host: u64,
    ) -> (Permission, Vec<Output>) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return (Permission::Immediate, Vec::new());
        };
        if *open.owned.phase() != Phase::Owning {
            return (Permission::Deferred, vec![Output::OwnedElsewhere { request }]);
        }
        open.owned.propose_attempt(attempt, host);
        open.proposed_attempt = Some(attempt);
        self.counts.covered += 1;
        self.send_pending(now, request);
        (Permission::Deferred, self.take_outputs())
    }

    /// The decision logic has ended a request. If the permission to answer is deferred, [`Output::FinalAnswer`] follows
    /// once a majority has recorded the answer, unless the deadline of the request passes first.
    pub fn on_request_ended(
        &mut self,
        now: Duration,
        request: RequestId,
        kind: EffectKind,
        answer: Answer,
    ) -> (Permission, Vec<Output>) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return self.on_unrecorded_request_ended(now, request, kind, &answer);
        };
        let is_unstarted_and_unawaited =
            open.owned.progress().started_attempts.is_empty() && open.awaited_by.is_empty();
        // A rejection is not retained: nothing was executed, and a client that sends the request again must be served.
        let is_answered = open.owned.progress().answer.is_some();
        if answer.outcome == Outcome::Rejected && is_unstarted_and_unawaited && !is_answered {
            self.open_requests.remove(&request);
            return (Permission::Immediate, Vec::new());
        }
        if *open.owned.phase() != Phase::Owning {
            return (Permission::Deferred, Vec::new());
        }
        let max_body_bytes = self.config.max_body_bytes;
        let body = answer.body.filter(|body| body.len() <= max_body_bytes);
        open.owned.propose_answer(Answer { body, ..answer });
        self.send_pending(now, request);
        (Permission::Deferred, self.take_outputs())
    }

    /// The client has disconnected, so this dispatcher no longer needs the answer.
    pub fn on_client_disconnected(&mut self, request: RequestId) {
        self.pending_reports.remove(&request);
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.has_client = false;
            if open.owned.progress().started_attempts.is_empty() && open.awaited_by.is_empty() {
                self.open_requests.remove(&request);
            }
        }
    }

    fn report_later(&mut self, now: Duration, request: RequestId, report: PendingReport) {
        if self.pending_reports.len() >= MAX_PENDING_REPORTS {
            return;
        }
        if self.pending_reports.is_empty() {
            self.schedule(now + self.round_trips(REPORT_ROUND_TRIPS), Timer::Report);
        }
        self.pending_reports.insert(request, report);
    }

    fn on_unrecorded_request_ended(
        &mut self,
        now: Duration,
        request: RequestId,
        kind: EffectKind,
        answer: &Answer,
    ) -> (Permission, Vec<Output>) {
        // The request is no longer open here, so no majority records its answer, and the answer must not be given.
        if kind.requires_quorum() && answer.outcome != Outcome::Rejected {
            return (Permission::Deferred, Vec::new());
        }
        self.pending_reports.remove(&request);
        if self.reported.remove(&request).is_some() {
            let ballot = Ballot::first(self.identity, 0);
            self.send_to_replicas(now, request, &Message::DropRecord { request, ballot });
        }
        (Permission::Immediate, self.take_outputs())
    }
}
