//! A member of a cluster put together: its membership, its replica, and the requests that it owns. One state machine,
//! driven by its own dispatcher, the messages of others, and time.

mod answers;
mod client;
mod peer;
mod takeover;

use crate::config::ClusterConfig;
use crate::identity::{Ballot, Identity, MemberId, RequestId};
use crate::membership::{Change, Membership, MembershipStatus};
use crate::message::{Message, Step};
use crate::owned_request::{OwnedRequest, Phase};
use crate::record::{Answer, RequestDescriptor, RequestProgress, StartedAttempt};
use crate::replica::Replica;
use crate::Incarnation;
use answers::AnswerCache;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// What is not voted on is sent again after this many round trips, and twice as late each time.
const RESEND_ROUND_TRIPS: f64 = 2.0;
/// The longest wait before what is not voted on is sent again, in round trips.
const MAX_RESEND_ROUND_TRIPS: f64 = 16.0;
/// How often the wait for a state transfer is doubled at most.
const MAX_STATE_REQUEST_DOUBLINGS: u32 = 8;
/// Between the takeovers by the replicas of a lost owner, each after the one before it in rank, in round trips.
const TAKEOVER_ROUND_TRIPS: f64 = 8.0;
/// Records of idempotent requests are sent together after this many round trips: what ends before costs no frame.
const REPORT_ROUND_TRIPS: f64 = 4.0;
/// The maximum number of idempotent requests that wait to be reported; more are not reported.
const MAX_PENDING_REPORTS: usize = 4096;
/// The maximum number of open requests; more are not covered.
const MAX_OPEN_REQUESTS: usize = 16_384;
/// The maximum number of members that wait for one request's answer.
const MAX_AWAITING_MEMBERS: usize = 16;

/// What a member wants done, or tells its dispatcher.
#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// A majority knows of this attempt: it may be sent now, and not before.
    MaySend {
        /// The request.
        request: RequestId,
        /// The number of its attempt.
        attempt: u16,
    },
    /// The final answer of a request, to be given to its client.
    FinalAnswer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: Answer,
    },
    /// Another owns the request: no attempt of it is to be sent here. Its final answer comes, or its time runs out.
    OwnedElsewhere {
        /// The request.
        request: RequestId,
    },
    /// The id is in use for another object.
    IdInUse {
        /// The id.
        request: RequestId,
    },
    /// No majority of its replicas can be had. Nothing of it was sent that was not permitted.
    QuorumUnavailable {
        /// The request.
        request: RequestId,
    },
    /// The request of a lost owner is this member's: to be decided as one of its own, with what may have executed before.
    TakeOver {
        /// The request.
        request: RequestId,
        /// What was asked for.
        descriptor: RequestDescriptor,
        /// What may have executed.
        started_attempts: Vec<StartedAttempt>,
        /// It may be executed only where its idempotency key is known.
        requires_idempotency_key: bool,
    },
    /// The members that are present changed.
    MembershipChanged(Change),
    /// A later incarnation of this member is known: this one is to end, and another to begin above it with empty memory.
    IncarnationSuperseded {
        /// The later incarnation.
        incarnation: Incarnation,
    },
}

/// Counters, for status reports. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that were proposed to a quorum.
    pub covered: u64,
    /// Requests for which no quorum could be had.
    pub quorum_unavailable: u64,
    /// Idempotent requests that were reported to their replicas.
    pub reported: u64,
    /// Requests that another was found to own.
    pub owned_elsewhere: u64,
    /// Takeovers that were begun.
    pub takeovers: u64,
    /// Takeovers that a majority granted.
    pub takeovers_won: u64,
    /// Takeovers that another won.
    pub takeovers_lost: u64,
    /// Requests that were executed after a takeover.
    pub run_again: u64,
    /// Requests that failed after a takeover, as it was unknown what they did.
    pub failed_unknown: u64,
    /// Requests that were abandoned after a takeover.
    pub abandoned: u64,
    /// Requests that were answered from their record after a takeover.
    pub answered_from_record: u64,
}

/// What a member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldCounts {
    /// Records held for others.
    pub records: usize,
    /// Requests that are owned, being taken over, or awaited here.
    pub open_requests: usize,
}

/// Whether the dispatcher may go on with a request at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Immediate,
    /// It has to wait for an [`Output`] on the request.
    Deferred,
}

/// A request that is owned, being taken over, or awaited here.
#[derive(Clone, Debug)]
struct OpenRequest {
    owned: OwnedRequest,
    ends: Duration,
    /// A client of this dispatcher waits for the answer.
    has_client: bool,
    /// Other members that wait for the answer.
    awaited_by: BTreeSet<MemberId>,
    /// The wait before what is not voted on is sent again.
    resend_after: Duration,
    /// The attempt that this dispatcher wants to send.
    proposed_attempt: Option<u16>,
    takeovers: u32,
}

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Resend(RequestId),
    TakeOver(RequestId),
    Report,
    RequestState,
}

/// An idempotent request whose record is still to be sent to its replicas.
#[derive(Clone, Copy, Debug)]
struct PendingReport {
    descriptor: RequestDescriptor,
    ends: Duration,
}

/// One incarnation of a member. Every method that takes a time returns what is to be done, in order.
pub struct ClusterNode {
    config: ClusterConfig,
    identity: Identity,
    membership: Membership,
    replica: Replica,
    open: BTreeMap<RequestId, OpenRequest>,
    pending_reports: BTreeMap<RequestId, PendingReport>,
    /// Idempotent requests whose record was sent, until it has expired.
    reported: BTreeMap<RequestId, Duration>,
    answers: AnswerCache,
    timers: BinaryHeap<Reverse<(Duration, Timer)>>,
    state_requests: u32,
    ballots_used: u64,
    is_stopping: bool,
    counts: Counts,
    /// What the call in progress wants done so far.
    outputs: Vec<Output>,
}

impl ClusterNode {
    /// An incarnation that begins with empty memory. `is_new_cluster`: the cluster never ran before, so that nothing was
    /// forgotten. `seed`: of its random numbers.
    pub fn new(
        config: ClusterConfig,
        identity: Identity,
        seed: u64,
        is_new_cluster: bool,
        now: Duration,
    ) -> ClusterNode {
        let replica = if is_new_cluster {
            Replica::of_new_cluster(&config, identity, now)
        } else {
            Replica::new(&config, identity, now)
        };
        let membership = Membership::new(config.clone(), identity, seed, now);
        ClusterNode {
            config,
            identity,
            membership,
            replica,
            open: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            reported: BTreeMap::new(),
            answers: AnswerCache::default(),
            timers: BinaryHeap::new(),
            state_requests: 0,
            ballots_used: 0,
            is_stopping: false,
            counts: Counts::default(),
            outputs: Vec::new(),
        }
    }

    /// This incarnation.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// What this member knows of its own place in the cluster.
    pub fn status(&self, now: Duration) -> MembershipStatus {
        self.membership.status(now)
    }

    /// The members that are present, this one included.
    pub fn present(&self) -> impl Iterator<Item = Identity> + '_ {
        self.membership.present()
    }

    /// Counters since this incarnation began.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What this member holds.
    pub fn held(&self) -> HeldCounts {
        HeldCounts { records: self.replica.len(), open_requests: self.open.len() }
    }

    /// Whether this incarnation may vote on all that it can be asked.
    pub fn is_synchronized(&self) -> bool {
        self.replica.is_synchronized(&self.config)
    }

    /// Joins the cluster.
    pub fn join(&mut self, now: Duration) -> Vec<Output> {
        let output = self.membership.join(now);
        self.apply_membership(now, output);
        self.request_state(now);
        self.take_outputs()
    }

    /// A graceful shutdown: open requests are handed to the first of their replicas that is present, and this incarnation
    /// leaves.
    pub fn shut_down(&mut self, now: Duration) -> Vec<Output> {
        self.is_stopping = true;
        let mut hand_overs = Vec::new();
        for (request, open) in &self.open {
            if *open.owned.phase() != Phase::Owning || open.owned.progress().answer.is_some() {
                continue;
            }
            let message = Message::HandOver {
                request: *request,
                descriptor: open.owned.descriptor,
                progress: open.owned.progress().clone(),
                left: open.ends.saturating_sub(now),
            };
            let successor =
                self.present_replicas(*request).into_iter().find(|id| *id != self.identity.member);
            hand_overs.extend(successor.map(|to| Output::Send { to, message }));
        }
        self.outputs.extend(hand_overs);
        let output = self.membership.leave(now);
        self.apply_membership(now, output);
        self.take_outputs()
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.replica.tick(now);
        if self.membership.next_due().is_some_and(|at| at <= now) {
            let output = self.membership.tick(now);
            self.apply_membership(now, output);
        }
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Resend(request) => self.resend(now, request),
                Timer::TakeOver(request) => self.take_over_if_lost(now, request),
                Timer::Report => self.report_pending(now),
                Timer::RequestState => self.request_state(now),
            }
        }
        self.answers.expire(now);
        self.reported.retain(|_, until| *until > now);
        self.take_outputs()
    }

    /// When [`ClusterNode::tick`] is to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let parts = [timer, self.answers.next_expiry(), self.membership.next_due(), self.replica.next_due()];
        parts.into_iter().flatten().min()
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn round_trips(&self, count: f64) -> Duration {
        self.config.round_trip.mul_f64(count)
    }

    fn schedule(&mut self, at: Duration, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    /// The next ballot number of this incarnation.
    fn next_ballot(&mut self) -> u64 {
        self.ballots_used += 1;
        self.ballots_used
    }

    /// Sends a message; one to this member itself is handled at once.
    fn send(&mut self, now: Duration, to: MemberId, message: Message) {
        if to == self.identity.member {
            self.handle_message(now, self.identity, message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    fn send_to_replicas(&mut self, now: Duration, request: RequestId, message: &Message) {
        for to in self.config.replicas_of(request) {
            self.send(now, to, message.clone());
        }
    }

    fn send_final_answer(&mut self, now: Duration, to: MemberId, request: RequestId, answer: &Answer) {
        self.send(now, to, Message::FinalAnswer { request, answer: answer.clone() });
    }

    /// Opens a request, in place of the one of that id that may be open already.
    fn open_request(&mut self, now: Duration, owned: OwnedRequest, ends: Duration, has_client: bool) {
        let request = owned.request;
        let resend_after = self.round_trips(RESEND_ROUND_TRIPS);
        let awaited_by = self.open.remove(&request).map(|before| before.awaited_by).unwrap_or_default();
        let open = OpenRequest {
            owned,
            ends,
            has_client,
            awaited_by,
            resend_after,
            proposed_attempt: None,
            takeovers: 0,
        };
        self.open.insert(request, open);
        self.schedule(now + resend_after, Timer::Resend(request));
    }

    /// Sends the replicas what they have not voted on.
    fn send_pending(&mut self, now: Duration, request: RequestId) {
        let Some(open) = self.open.get(&request) else { return };
        let pending = open.owned.pending_messages(open.ends.saturating_sub(now));
        for (to, message) in pending {
            self.send(now, to, message);
        }
    }

    /// Sends again what is not voted on, later each time. A request past its end is dropped.
    fn resend(&mut self, now: Duration, request: RequestId) {
        let longest = self.round_trips(MAX_RESEND_ROUND_TRIPS);
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.ends <= now {
            let is_unsent = open.has_client && open.proposed_attempt.is_none();
            self.open.remove(&request);
            if is_unsent {
                self.outputs.push(Output::QuorumUnavailable { request });
            }
            return;
        }
        open.resend_after = (2 * open.resend_after).min(longest);
        let next = now + open.resend_after;
        let descriptor = open.owned.descriptor;
        let lost_to = match open.owned.phase() {
            Phase::Lost(by) => Some(*by),
            _ => None,
        };
        match lost_to {
            Some(by) if self.is_owner_present(by) => {
                self.send(now, by.identity.member, Message::AwaitAnswer { request, descriptor });
            }
            Some(_) => self.take_over_if_lost(now, request),
            None => self.send_pending(now, request),
        }
        if self.open.contains_key(&request) {
            self.schedule(next, Timer::Resend(request));
        }
    }

    /// Sends the records of idempotent requests to their replicas. They want no vote.
    fn report_pending(&mut self, now: Duration) {
        for (request, report) in std::mem::take(&mut self.pending_reports) {
            let message = Message::Write {
                at: Step { request, ballot: Ballot::first(self.identity, 0), step: 0 },
                descriptor: report.descriptor,
                progress: RequestProgress::default(),
                left: report.ends.saturating_sub(now),
            };
            self.reported.insert(request, now + self.config.retention);
            self.counts.reported += 1;
            self.send_to_replicas(now, request, &message);
        }
    }

    /// Asks those that have not sent their records yet for what this incarnation may have held.
    fn request_state(&mut self, now: Duration) {
        let sources: Vec<_> = self.replica.missing_sources(&self.config).collect();
        if sources.is_empty() || self.is_synchronized() {
            return;
        }
        self.state_requests += 1;
        let message = Message::RequestStateTransfer { identity: self.identity, number: self.state_requests };
        let sends = sources.into_iter().map(|to| Output::Send { to, message: message.clone() });
        self.outputs.extend(sends);
        let doublings = self.state_requests.min(MAX_STATE_REQUEST_DOUBLINGS);
        let wait = self.round_trips(RESEND_ROUND_TRIPS) * 2_u32.pow(doublings);
        self.schedule(now + wait, Timer::RequestState);
    }

    /// A request has its final answer: it goes to the client here and to those that wait elsewhere, and is retained.
    fn complete(&mut self, now: Duration, request: RequestId, answer: Answer) {
        let Some(open) = self.open.remove(&request) else { return };
        self.answers.insert(request, answer.clone(), now + self.config.retention);
        for to in open.awaited_by {
            self.send_final_answer(now, to, request, &answer);
        }
        if open.has_client {
            self.outputs.push(Output::FinalAnswer { request, answer });
        }
    }
}
