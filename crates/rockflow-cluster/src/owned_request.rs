//! A request that this dispatcher owns or tries to take over: what its replicas are asked to record, which of them have
//! voted, and what these votes permit. A state machine without I/O or time.

use crate::config::ClusterConfig;
use crate::identity::{Ballot, Identity, MemberId, RequestId};
use crate::message::{Message, RejectionReason, Step};
use crate::record::{Answer, Record, RequestDescriptor, RequestProgress, StartedAttempt};
use crate::votes::Votes;
use std::collections::BTreeMap;
use std::time::Duration;

/// Who owns a request, as far as this dispatcher knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// This dispatcher asks a majority to promise its ballot. Holds the merged progress that the voters have recorded.
    TakingOver(RequestProgress),
    /// This dispatcher owns the request, or claims it as its first owner.
    Owning,
    /// Another member may own the request, under this ballot.
    Lost(Ballot),
    /// The request id is in use with another descriptor.
    RequestMismatch,
}

/// The consequence of a vote or a rejection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum QuorumEvent {
    /// A majority has recorded that this dispatcher owns the request, with the progress made before.
    Owned(RequestProgress),
    /// A majority has recorded this attempt, so it may be sent.
    MaySend(StartedAttempt),
    /// A majority has recorded the final answer, so it may be given.
    MayAnswer(Answer),
    /// Another member may own the request, under this ballot.
    Lost(Ballot),
    /// The request id is in use with another descriptor.
    RequestMismatch,
    /// Too many replicas are unsynchronized or full for the others to form a majority.
    QuorumUnavailable,
}

/// What the current step asks a majority of the replicas to record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Goal {
    /// That this dispatcher owns the request.
    Own,
    /// An attempt, before it is sent.
    Send(StartedAttempt),
    /// The final answer, before it is given.
    Answer(Answer),
}

/// A request that is owned or being taken over. Replicas vote on one step at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnedRequest {
    /// The id of the request.
    pub request: RequestId,
    /// What the client asks for.
    pub descriptor: RequestDescriptor,
    /// The ballot under which this dispatcher owns the request or tries to.
    pub ballot: Ballot,
    replicas: Vec<MemberId>,
    majority: usize,
    phase: Phase,
    progress: RequestProgress,
    /// The number of the current step, from 1.
    step: u32,
    votes: Votes,
    has_quorum: bool,
    /// Replicas that reject the current step, with the ballot that they have promised instead; `None` if they are
    /// unsynchronized or full.
    rejections: BTreeMap<MemberId, Option<Ballot>>,
    goal: Goal,
}

impl OwnedRequest {
    fn new(
        config: &ClusterConfig,
        request: RequestId,
        descriptor: RequestDescriptor,
        ballot: Ballot,
        phase: Phase,
    ) -> OwnedRequest {
        OwnedRequest {
            request,
            descriptor,
            ballot,
            replicas: config.replicas_of(request),
            majority: config.majority(),
            phase,
            progress: RequestProgress::default(),
            step: 1,
            votes: Votes::default(),
            has_quorum: false,
            rejections: BTreeMap::new(),
            goal: Goal::Own,
        }
    }

    /// Creates the request of a client of this dispatcher, under a first owner's ballot with this number.
    pub fn first_owner(
        config: &ClusterConfig,
        request: RequestId,
        descriptor: RequestDescriptor,
        owner: Identity,
        number: u64,
    ) -> OwnedRequest {
        OwnedRequest::new(config, request, descriptor, Ballot::first(owner, number), Phase::Owning)
    }

    /// Begins to take over the request of another owner, under a ballot that is higher than `above`.
    pub fn take_over(
        config: &ClusterConfig,
        request: RequestId,
        descriptor: RequestDescriptor,
        successor: Identity,
        number: u64,
        above: Ballot,
    ) -> OwnedRequest {
        let ballot = Ballot { round: above.round + 1, identity: successor, number };
        let phase = Phase::TakingOver(RequestProgress::default());
        OwnedRequest::new(config, request, descriptor, ballot, phase)
    }

    /// Who owns the request, as far as this dispatcher knows.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The attempts that may have executed and the final answer, as this dispatcher knows them.
    pub fn progress(&self) -> &RequestProgress {
        &self.progress
    }

    /// The replicas of the request's record, highest rank first.
    pub fn replicas(&self) -> &[MemberId] {
        &self.replicas
    }

    /// Whether a majority has voted for the current step.
    pub fn has_quorum(&self) -> bool {
        self.has_quorum
    }

    /// Proposes an attempt at this host. It may be sent once a majority has recorded it.
    pub fn propose_attempt(&mut self, attempt: u16, host: u64) {
        let started = StartedAttempt { ballot: self.ballot, attempt, host };
        self.progress.started_attempts.push(started);
        self.begin_step(Goal::Send(started));
    }

    /// Proposes the final answer. It may be given once a majority has recorded it. An answer that was recorded before
    /// is kept, and proposed instead.
    pub fn propose_answer(&mut self, answer: Answer) {
        let recorded = self.progress.answer.as_ref().map(|(_, recorded)| recorded.clone());
        let answer = recorded.unwrap_or(answer);
        self.progress.answer = Some((self.ballot, answer.clone()));
        self.begin_step(Goal::Answer(answer));
    }

    /// The message of the current step, for each replica that has not voted for it. To be sent repeatedly until all
    /// have voted or the request is lost. `left` is the time until the deadline of the request.
    pub fn pending_messages(&self, left: Duration) -> Vec<(MemberId, Message)> {
        let at = self.current_step();
        let message = match &self.phase {
            Phase::TakingOver(_) => Message::Prepare { at, descriptor: Some(self.descriptor) },
            Phase::Owning => {
                let progress = self.progress.clone();
                Message::Write { at, descriptor: self.descriptor, progress, left }
            }
            Phase::Lost(_) | Phase::RequestMismatch => return Vec::new(),
        };
        let without_vote = self.replicas.iter().filter(|id| !self.votes.has(**id));
        without_vote.map(|id| (*id, message.clone())).collect()
    }

    /// Counts a replica's vote. Returns what the votes permit now, or `None` if this vote changes nothing.
    pub fn on_vote(
        &mut self,
        voter: Identity,
        at: Step,
        incarnations: &[Identity],
        held: Option<&Record>,
    ) -> Option<QuorumEvent> {
        if !self.is_current(at) || !self.replicas.contains(&voter.member) {
            return None;
        }
        self.rejections.remove(&voter.member);
        self.votes.add(voter, incarnations);
        if let (Phase::TakingOver(recorded), Some(held)) = (&mut self.phase, held) {
            recorded.merge(&held.progress);
        }
        if self.has_quorum || self.votes.count() < self.majority {
            return None;
        }
        self.has_quorum = true;
        if let Phase::TakingOver(recorded) = &mut self.phase {
            self.progress = std::mem::take(recorded);
            self.phase = Phase::Owning;
            return Some(QuorumEvent::Owned(self.progress.clone()));
        }
        Some(match &self.goal {
            Goal::Own => QuorumEvent::Owned(self.progress.clone()),
            Goal::Send(started) => QuorumEvent::MaySend(*started),
            Goal::Answer(answer) => QuorumEvent::MayAnswer(answer.clone()),
        })
    }

    /// Counts a replica's rejection. Returns its consequence, or `None` if the step is not current or a majority has
    /// voted for it or still can.
    pub fn on_rejection(
        &mut self,
        voter: Identity,
        at: Step,
        reason: &RejectionReason,
    ) -> Option<QuorumEvent> {
        if !self.is_current(at) || !self.replicas.contains(&voter.member) {
            return None;
        }
        let promised = match reason {
            RejectionReason::Promised(ballot) => Some(*ballot),
            RejectionReason::Unsynchronized | RejectionReason::Full => None,
            RejectionReason::RequestMismatch => {
                self.phase = Phase::RequestMismatch;
                return Some(QuorumEvent::RequestMismatch);
            }
        };
        self.rejections.insert(voter.member, promised);
        // A majority has voted already, or the replicas that have not rejected can still form one.
        if self.has_quorum || self.replicas.len() - self.rejections.len() >= self.majority {
            return None;
        }
        Some(match self.rejections.values().flatten().max().copied() {
            Some(ballot) => {
                self.phase = Phase::Lost(ballot);
                QuorumEvent::Lost(ballot)
            }
            None => QuorumEvent::QuorumUnavailable,
        })
    }

    fn begin_step(&mut self, goal: Goal) {
        self.step += 1;
        self.goal = goal;
        self.has_quorum = false;
        self.votes = Votes::default();
        self.rejections = BTreeMap::new();
    }

    fn current_step(&self) -> Step {
        Step { request: self.request, ballot: self.ballot, step: self.step }
    }

    fn is_current(&self, at: Step) -> bool {
        matches!(self.phase, Phase::TakingOver(_) | Phase::Owning) && at == self.current_step()
    }
}
