//! What the dispatcher of a member tells it: requests that arrive, attempts that are wanted, requests that end.

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
    /// A request arrived here under this id, and its client waits until `ends`. An idempotent one is reported to its
    /// replicas later; for the others nothing is sent before their first attempt.
    pub fn on_request(
        &mut self,
        now: Duration,
        request: RequestId,
        descriptor: RequestDescriptor,
        ends: Duration,
    ) -> Vec<Output> {
        if let Some(answer) = self.answers.get(request) {
            return vec![Output::FinalAnswer { request, answer: answer.clone() }];
        }
        if let Some(open) = self.open.get_mut(&request) {
            if open.owned.descriptor != descriptor {
                return vec![Output::IdInUse { request }];
            }
            open.has_client = true;
            open.ends = open.ends.max(ends);
            return vec![Output::OwnedElsewhere { request }];
        }
        if !descriptor.kind.requires_quorum() {
            self.report_later(now, request, PendingReport { descriptor, ends });
        } else if self.open.len() < MAX_OPEN_REQUESTS {
            let number = self.next_ballot();
            let owned = OwnedRequest::first_owner(&self.config, request, descriptor, self.identity, number);
            self.open_request(now, owned, ends, true);
        }
        self.take_outputs()
    }

    /// An attempt is wanted. Where it may not be sent at once, [`Output::MaySend`] or another output on the request
    /// follows.
    pub fn propose_attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: u16,
        host: u64,
    ) -> (Permission, Vec<Output>) {
        let Some(open) = self.open.get_mut(&request) else {
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

    /// The decisions have ended a request. Where its answer may not be given at once, [`Output::FinalAnswer`] follows, if
    /// its time is not up before.
    pub fn on_request_ended(
        &mut self,
        now: Duration,
        request: RequestId,
        kind: EffectKind,
        answer: Answer,
    ) -> (Permission, Vec<Output>) {
        let Some(open) = self.open.get_mut(&request) else {
            return self.on_unrecorded_request_ended(now, request, kind, &answer);
        };
        let is_untouched = open.owned.progress().started_attempts.is_empty() && open.awaited_by.is_empty();
        // Guards against retaining a rejection: nothing was executed, and a client that asks again is to be served.
        if answer.outcome == Outcome::Rejected && is_untouched && open.owned.progress().answer.is_none() {
            self.open.remove(&request);
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

    /// The client is gone, and no answer is owed here.
    pub fn on_client_disconnected(&mut self, request: RequestId) {
        self.pending_reports.remove(&request);
        if let Some(open) = self.open.get_mut(&request) {
            open.has_client = false;
            if open.owned.progress().started_attempts.is_empty() && open.awaited_by.is_empty() {
                self.open.remove(&request);
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
        // Guards against an answer that no majority has recorded, to a request that was given up meanwhile.
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
