//! Handling of messages from other members, and of the votes and rejections among them.

use super::takeover::Takeover;
use super::{ClusterNode, Output, MAX_AWAITING_MEMBERS};
use crate::identity::{Ballot, Identity, RequestId};
use crate::message::{Message, Step};
use crate::owned_request::{Phase, QuorumEvent};
use crate::record::{RequestDescriptor, RequestProgress};
use crate::replica::WriteRequest;
use std::time::Duration;

/// A request that another member hands over at its graceful shutdown.
struct HandedOver {
    request: RequestId,
    descriptor: RequestDescriptor,
    progress: RequestProgress,
    deadline: Duration,
}

impl ClusterNode {
    /// Handles a message from an incarnation of another member.
    pub fn on_message(&mut self, now: Duration, from: Identity, message: Message) -> Vec<Output> {
        self.handle_message(now, from, message);
        self.take_outputs()
    }

    pub(super) fn handle_message(&mut self, now: Duration, from: Identity, message: Message) {
        // The sender began with its clock set back, so that its incarnation is lower than the one before it, or this
        // is a late message of a superseded incarnation.
        let latest = self.replica.incarnation_of(from.member);
        if let Some(incarnation) = latest.filter(|latest| *latest > from.incarnation) {
            let message = Message::IncarnationSuperseded { incarnation };
            self.outputs.push(Output::Send { to: from.member, message });
            return;
        }
        self.membership.record_contact(from.member, now);
        self.replica.tick(now);
        match message {
            Message::Swim(bytes) => {
                let output = self.membership.on_datagram(now, &bytes);
                self.apply_membership(now, output);
            }
            Message::Write { at, descriptor, progress, left } => {
                self.on_write(now, from, &WriteRequest { at, descriptor, progress: &progress, left });
            }
            Message::Prepare { at, descriptor } => self.on_prepare(now, from, at, descriptor),
            Message::Vote { at, incarnations, held } => {
                let open = self.open_requests.get_mut(&at.request);
                let event = open.and_then(|open| open.owned.on_vote(from, at, &incarnations, held.as_ref()));
                self.apply_quorum_event(now, at.request, event);
            }
            Message::Reject { at, reason } => {
                let open = self.open_requests.get_mut(&at.request);
                let event = open.and_then(|open| open.owned.on_rejection(from, at, &reason));
                self.apply_quorum_event(now, at.request, event);
            }
            Message::RequestStateTransfer { identity, number } if identity.member == from.member => {
                self.send_state(now, identity, number);
            }
            Message::RequestStateTransfer { .. } => {}
            Message::StateTransfer(transfer) => {
                self.replica.apply_state_transfer(now, from.member, transfer);
            }
            Message::AwaitAnswer { request, descriptor } => {
                self.on_await_answer(now, from, request, descriptor);
            }
            Message::FinalAnswer { request, answer } => {
                if self.open_requests.get(&request).is_some_and(|open| open.has_client) {
                    self.complete(now, request, answer);
                }
            }
            Message::DropRecord { request, ballot } if ballot.identity == from => {
                self.replica.drop_record(request, ballot);
            }
            Message::DropRecord { .. } => {}
            Message::IncarnationSuperseded { incarnation } if incarnation > self.identity.incarnation => {
                self.outputs.push(Output::IncarnationSuperseded { incarnation });
            }
            Message::IncarnationSuperseded { .. } => {}
            Message::HandOver { request, descriptor, progress, left } => {
                let handed_over = HandedOver { request, descriptor, progress, deadline: now + left };
                self.on_hand_over(now, from, handed_over);
            }
        }
    }

    fn on_write(&mut self, now: Duration, from: Identity, write: &WriteRequest) {
        let replicas = self.config.replicas_of(write.at.request);
        if !replicas.contains(&self.identity.member) {
            return;
        }
        let reply = self.replica.on_write(now, &replicas, write);
        // Step 0 is the report of an idempotent request, which needs no vote.
        if write.at.step > 0 {
            self.send(now, from.member, reply);
        }
    }

    fn on_prepare(&mut self, now: Duration, from: Identity, at: Step, descriptor: Option<RequestDescriptor>) {
        let replicas = self.config.replicas_of(at.request);
        if replicas.contains(&self.identity.member) {
            let reply = self.replica.on_prepare(now, &replicas, at, descriptor);
            self.send(now, from.member, reply);
        }
    }

    fn send_state(&mut self, now: Duration, requester: Identity, number: u32) {
        for part in self.replica.prepare_state_transfer(now, &self.config, requester, number) {
            let message = Message::StateTransfer(part);
            self.outputs.push(Output::Send { to: requester.member, message });
        }
    }

    fn on_await_answer(
        &mut self,
        now: Duration,
        from: Identity,
        request: RequestId,
        descriptor: RequestDescriptor,
    ) {
        if let Some(answer) = self.answers.get(request).cloned() {
            return self.send_final_answer(now, from.member, request, &answer);
        }
        let Some(open) =
            self.open_requests.get_mut(&request).filter(|open| open.owned.descriptor == descriptor)
        else {
            return;
        };
        if open.awaited_by.len() < MAX_AWAITING_MEMBERS {
            open.awaited_by.insert(from.member);
        }
        // Two members that each kept the other from a majority would wait for each other's answer forever. The one with
        // the lower identity takes over.
        match *open.owned.phase() {
            Phase::Lost(ballot) if self.identity < from => {
                let above = ballot.max(open.owned.ballot);
                let deadline = open.deadline;
                self.take_over(now, Takeover { request, descriptor, above, deadline });
            }
            _ => {}
        }
    }

    fn on_hand_over(&mut self, now: Duration, from: Identity, handed_over: HandedOver) {
        let HandedOver { request, descriptor, progress, deadline } = handed_over;
        let is_replica = self.config.replicas_of(request).contains(&self.identity.member);
        if !is_replica || self.open_requests.contains_key(&request) || self.is_stopping {
            return;
        }
        let highest_ballot = progress.started_attempts.iter().map(|started| started.ballot).max();
        let above = highest_ballot.unwrap_or(Ballot::first(from, 0));
        self.take_over(now, Takeover { request, descriptor, above, deadline });
    }

    fn apply_quorum_event(&mut self, now: Duration, request: RequestId, event: Option<QuorumEvent>) {
        let Some(event) = event else { return };
        match event {
            QuorumEvent::MaySend(started) => {
                self.outputs.push(Output::MaySend { request, attempt: started.attempt });
            }
            QuorumEvent::MayAnswer(answer) => self.complete(now, request, answer),
            QuorumEvent::RequestMismatch => {
                self.open_requests.remove(&request);
                self.outputs.push(Output::IdInUse { request });
            }
            QuorumEvent::QuorumUnavailable => self.on_quorum_unavailable(request),
            QuorumEvent::Lost(ballot) => self.on_lost(now, request, ballot),
            QuorumEvent::Owned(progress) => self.on_owned(now, request, &progress),
        }
    }

    fn on_quorum_unavailable(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.get(&request) else { return };
        self.counts.quorum_unavailable += 1;
        let is_first_attempt = open.owned.progress().started_attempts.len() <= 1;
        if open.has_client && is_first_attempt && open.takeovers == 0 {
            self.open_requests.remove(&request);
            self.outputs.push(Output::QuorumUnavailable { request });
        }
    }

    /// Another member may own the request under this ballot: waits for its answer, or takes the request over if that
    /// member is not present.
    fn on_lost(&mut self, now: Duration, request: RequestId, ballot: Ballot) {
        let Some(open) = self.open_requests.get(&request) else { return };
        self.counts.takeovers_lost += u64::from(open.takeovers > 0);
        if !open.has_client && open.awaited_by.is_empty() {
            self.open_requests.remove(&request);
            return;
        }
        let descriptor = open.owned.descriptor;
        self.counts.owned_elsewhere += 1;
        self.outputs.push(Output::OwnedElsewhere { request });
        if self.is_owner_present(ballot) {
            self.send(now, ballot.identity.member, Message::AwaitAnswer { request, descriptor });
        } else {
            self.take_over_if_lost(now, request);
        }
    }
}
