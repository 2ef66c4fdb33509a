//! A request that this dispatcher owns, or tries to take over: what the replicas are to record of it, which of them have
//! voted, and what may be done on the strength of these votes. A state machine without I/O or time.

use crate::config::ClusterConfig;
use crate::identity::{Ballot, Identity, MemberId, RequestId};
use crate::message::{Message, RejectionReason, Step};
use crate::record::{Answer, Record, RequestDescriptor, RequestProgress, StartedAttempt};
use crate::votes::Votes;
use std::collections::BTreeMap;
use std::time::Duration;

/// Whose a request is, as far as this dispatcher knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It asks a majority to promise its ballot; what those that promised have recorded.
    TakingOver(RequestProgress),
    /// It owns the request.
    Owning,
    /// Another owns it, under this ballot.
    Lost(Ballot),
    /// The id is in use for another object.
    RequestMismatch,
}

/// What has come of a vote or a rejection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum QuorumEvent {
    /// A majority has promised, or recorded the request as this dispatcher's: how far it came before.
    Owned(RequestProgress),
    /// A majority of the replicas knows of this attempt: it may be sent.
    MaySend(StartedAttempt),
    /// A majority has recorded the final answer: it may be given.
    MayAnswer(Answer),
    /// Another may own it, under this ballot.
    Lost(Ballot),
    /// The id is in use for another object.
    RequestMismatch,
    /// So many replicas reject for reasons of their own that no majority can be had from the rest.
    QuorumUnavailable,
}

/// What a majority is wanted for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Goal {
    /// That it knows whose the request is.
    Own,
    /// That it knows of an attempt.
    Send(StartedAttempt),
    /// That it has recorded the final answer.
    Answer(Answer),
}

/// A request that is owned or being taken over. One step at a time is out to the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnedRequest {
    /// Its id.
    pub request: RequestId,
    /// What was asked for.
    pub descriptor: RequestDescriptor,
    /// The ballot under which this dispatcher decides.
    pub ballot: Ballot,
    replicas: Vec<MemberId>,
    majority: usize,
    phase: Phase,
    progress: RequestProgress,
    /// The number of the step that is out, from 1.
    step: u32,
    votes: Votes,
    has_quorum: bool,
    /// Replicas that reject the present step, with the ballot that they have promised instead. None: they may have
    /// forgotten, or are full.
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

    /// The request of a client of this dispatcher, under the first owner's ballot of that number.
    pub fn first_owner(
        config: &ClusterConfig,
        request: RequestId,
        descriptor: RequestDescriptor,
        owner: Identity,
        number: u64,
    ) -> OwnedRequest {
        OwnedRequest::new(config, request, descriptor, Ballot::first(owner, number), Phase::Owning)
    }

    /// The request of another owner, under a ballot above all that are known.
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

    /// Whose the request is, as far as this dispatcher knows.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// How far the request has come.
    pub fn progress(&self) -> &RequestProgress {
        &self.progress
    }

    /// The replicas of its record.
    pub fn replicas(&self) -> &[MemberId] {
        &self.replicas
    }

    /// Whether a majority has voted for the present step.
    pub fn has_quorum(&self) -> bool {
        self.has_quorum
    }

    /// An attempt to this host is to be sent, as soon as a majority knows of it.
    pub fn propose_attempt(&mut self, attempt: u16, host: u64) {
        let started = StartedAttempt { ballot: self.ballot, attempt, host };
        self.progress.started_attempts.push(started);
        self.begin_step(Goal::Send(started));
    }

    /// The final answer is to be given, as soon as a majority has recorded it. One that was recorded before stands.
    pub fn propose_answer(&mut self, answer: Answer) {
        let recorded = self.progress.answer.as_ref().map(|(_, recorded)| recorded.clone());
        let answer = recorded.unwrap_or(answer);
        self.progress.answer = Some((self.ballot, answer.clone()));
        self.begin_step(Goal::Answer(answer));
    }

    /// What each replica that has not voted yet is to be sent, again and again until all have voted or the request is
    /// lost. `left`: the time that the request has left.
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
        let missing = self.replicas.iter().filter(|id| !self.votes.has(**id));
        missing.map(|id| (*id, message.clone())).collect()
    }

    /// Counts a replica's vote. Some: what the votes allow now.
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
        if let (Phase::TakingOver(found), Some(held)) = (&mut self.phase, held) {
            found.merge(&held.progress);
        }
        if self.has_quorum || self.votes.count() < self.majority {
            return None;
        }
        self.has_quorum = true;
        if let Phase::TakingOver(found) = &mut self.phase {
            self.progress = std::mem::take(found);
            self.phase = Phase::Owning;
            return Some(QuorumEvent::Owned(self.progress.clone()));
        }
        Some(match &self.goal {
            Goal::Own => QuorumEvent::Owned(self.progress.clone()),
            Goal::Send(started) => QuorumEvent::MaySend(*started),
            Goal::Answer(answer) => QuorumEvent::MayAnswer(answer.clone()),
        })
    }

    /// Counts a replica's rejection. Some: what follows from it.
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
        // One that rejects takes nothing away while the others are a majority.
        if self.has_quorum || self.replicas.len() - self.rejections.len() >= self.majority {
            return None;
        }
        Some(match self.rejections.values().flatten().max().copied() {
            Some(by) => {
                self.phase = Phase::Lost(by);
                QuorumEvent::Lost(by)
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
