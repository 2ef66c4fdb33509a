//! The state machine of one member of a cluster: its membership protocol, its replica, and the requests that it owns.
//! Its inputs are calls from the member's own dispatcher, messages of other members, and time.

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

/// The first wait for votes before a message is sent again, in round trips. The wait doubles each time.
const RESEND_ROUND_TRIPS: f64 = 2.0;
/// The maximum wait for votes before a message is sent again, in round trips.
const MAX_RESEND_ROUND_TRIPS: f64 = 16.0;
/// The maximum number of times that the wait for a state transfer is doubled.
const MAX_STATE_REQUEST_DOUBLINGS: u32 = 8;
/// The replicas of a lost owner's request try to take it over one after the other, in order of rank and this many round
/// trips apart.
const TAKEOVER_ROUND_TRIPS: f64 = 8.0;
/// The delay before the records of idempotent requests are sent to their replicas, in round trips. No frame is sent
/// for a request that ends earlier.
const REPORT_ROUND_TRIPS: f64 = 4.0;
/// The maximum number of idempotent requests that wait to be reported; further ones are not reported.
const MAX_PENDING_REPORTS: usize = 4096;
/// The maximum number of open requests. Further ones are not opened, so that replicas do not record their attempts.
const MAX_OPEN_REQUESTS: usize = 16_384;
/// The maximum number of members that wait for one request's answer.
const MAX_AWAITING_MEMBERS: usize = 16;

/// An action or a notification for the dispatcher that runs the member.
#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another member.
    Send {
        /// The member to send to.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// A majority has recorded this attempt, so it may be sent now. It must not be sent earlier.
    MaySend {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt, as it was proposed.
        attempt: u16,
    },
    /// The final answer of a request, to be given to its client.
    FinalAnswer {
        /// The request that is answered.
        request: RequestId,
        /// The final answer.
        answer: Answer,
    },
    /// Another member owns the request, so no attempt of it may be sent here. [`Output::FinalAnswer`] follows unless
    /// the deadline of the request passes first.
    OwnedElsewhere {
        /// The request that another member owns.
        request: RequestId,
    },
    /// The request id is in use with another descriptor, so the request is rejected.
    IdInUse {
        /// The id that is in use.
        request: RequestId,
    },
    /// No majority of the replicas can vote, so the request is rejected. No attempt was sent without permission.
    QuorumUnavailable {
        /// The request that is rejected.
        request: RequestId,
    },
    /// This member has taken over the request of a lost owner and is to execute it like one of its own clients'
    /// requests, taking into account the attempts that may have executed before.
    TakeOver {
        /// The request that was taken over.
        request: RequestId,
        /// What the client asks for.
        descriptor: RequestDescriptor,
        /// The attempts that may have executed.
        started_attempts: Vec<StartedAttempt>,
        /// Whether it may be executed only if its idempotency key is known and covers the earlier attempts.
        requires_idempotency_key: bool,
    },
    /// The set of present members has changed.
    MembershipChanged(Change),
    /// A later incarnation of this member is known. This one must end, and be replaced by one that is later than both
    /// and begins with empty memory.
    IncarnationSuperseded {
        /// The later incarnation.
        incarnation: Incarnation,
    },
}

/// Counters for status reports, since the incarnation began. Each only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that were proposed to a quorum before being sent.
    pub covered: u64,
    /// Requests for which no majority of replicas could vote.
    pub quorum_unavailable: u64,
    /// Idempotent requests that were reported to their replicas.
    pub reported: u64,
    /// Requests that turned out to be owned by another member.
    pub owned_elsewhere: u64,
    /// Takeovers that this member began.
    pub takeovers: u64,
    /// Takeovers for which a majority promised this member's ballot.
    pub takeovers_won: u64,
    /// Takeovers that failed because replicas had promised another member's ballot.
    pub takeovers_lost: u64,
    /// Requests that were executed after a takeover.
    pub run_again: u64,
    /// Requests that failed after a takeover because it was unknown whether they had already executed.
    pub failed_unknown: u64,
    /// Requests that were abandoned after a takeover: nobody waited for them, or their deadline had passed.
    pub abandoned: u64,
    /// Requests that were answered from their record after a takeover.
    pub answered_from_record: u64,
}

/// The numbers of records and requests that a member currently holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldCounts {
    /// Records that the member holds as a replica.
    pub records: usize,
    /// Requests that the member owns, is taking over, or awaits the answer of.
    pub open_requests: usize,
}

/// Whether the dispatcher may send an attempt or an answer at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may be sent now.
    Immediate,
    /// The dispatcher must wait for an [`Output`] about the request.
    Deferred,
}

/// A request that this member owns, is taking over, or awaits the answer of.
#[derive(Clone, Debug)]
struct OpenRequest {
    owned: OwnedRequest,
    deadline: Duration,
    /// Whether a client of this dispatcher waits for the answer.
    has_client: bool,
    /// Other members that wait for the answer.
    awaited_by: BTreeSet<MemberId>,
    /// The current wait for votes before messages are sent again.
    resend_after: Duration,
    /// The last attempt that this dispatcher has proposed; `None` if there was none yet.
    proposed_attempt: Option<u16>,
    takeovers: u32,
}

/// The work that a scheduled timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Resend(RequestId),
    TakeOver(RequestId),
    Report,
    RequestState,
}

/// An idempotent request whose record has not been sent to its replicas yet.
#[derive(Clone, Copy, Debug)]
struct PendingReport {
    descriptor: RequestDescriptor,
    deadline: Duration,
}

/// The state machine of one incarnation of a member. Methods that return [`Output`]s return them in the order in which
/// the caller must carry them out.
pub struct ClusterNode {
    config: ClusterConfig,
    identity: Identity,
    membership: Membership,
    replica: Replica,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    pending_reports: BTreeMap<RequestId, PendingReport>,
    /// Idempotent requests whose records were sent to replicas, each with the time at which its record has expired.
    reported: BTreeMap<RequestId, Duration>,
    answers: AnswerCache,
    timers: BinaryHeap<Reverse<(Duration, Timer)>>,
    state_requests: u32,
    ballots_used: u64,
    is_stopping: bool,
    counts: Counts,
    /// The outputs of the call in progress so far.
    outputs: Vec<Output>,
}

impl ClusterNode {
    /// Creates an incarnation with empty memory. `is_new_cluster` states that the cluster never ran before, so that no
    /// earlier incarnation can have recorded anything. `seed` is that of the incarnation's random numbers.
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
            open_requests: BTreeMap::new(),
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

    /// The member and incarnation that this state machine runs as.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// How this member sees the cluster and its own connection to it.
    pub fn status(&self, now: Duration) -> MembershipStatus {
        self.membership.status(now)
    }

    /// The incarnations that are present, including this one.
    pub fn present(&self) -> impl Iterator<Item = Identity> + '_ {
        self.membership.present()
    }

    /// Counters since this incarnation began.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The numbers of records and open requests that this member currently holds.
    pub fn held(&self) -> HeldCounts {
        HeldCounts { records: self.replica.len(), open_requests: self.open_requests.len() }
    }

    /// Whether this incarnation may vote on every request, as it has recovered enough records of earlier incarnations.
    pub fn is_synchronized(&self) -> bool {
        self.replica.is_synchronized(&self.config)
    }

    /// Announces this member to the others and asks them for the records that its earlier incarnations may have held.
    pub fn join(&mut self, now: Duration) -> Vec<Output> {
        let output = self.membership.join(now);
        self.apply_membership(now, output);
        self.request_state(now);
        self.take_outputs()
    }

    /// Starts a graceful shutdown: hands each unanswered request that this member owns to the first of the request's
    /// other replicas that is present, and leaves the cluster.
    pub fn shut_down(&mut self, now: Duration) -> Vec<Output> {
        self.is_stopping = true;
        let mut hand_overs = Vec::new();
        for (request, open) in &self.open_requests {
            if *open.owned.phase() != Phase::Owning || open.owned.progress().answer.is_some() {
                continue;
            }
            let message = Message::HandOver {
                request: *request,
                descriptor: open.owned.descriptor,
                progress: open.owned.progress().clone(),
                left: open.deadline.saturating_sub(now),
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

    /// Runs all timers that are due.
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
        let due_times =
            [timer, self.answers.next_expiry(), self.membership.next_due(), self.replica.next_due()];
        due_times.into_iter().flatten().min()
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

    /// Sends a message. A message to this member itself is handled immediately.
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

    /// Opens a request. It replaces an open request with the same id, but keeps the members that wait for the answer.
    fn open_request(&mut self, now: Duration, owned: OwnedRequest, deadline: Duration, has_client: bool) {
        let request = owned.request;
        let resend_after = self.round_trips(RESEND_ROUND_TRIPS);
        let awaited_by =
            self.open_requests.remove(&request).map(|replaced| replaced.awaited_by).unwrap_or_default();
        let open = OpenRequest {
            owned,
            deadline,
            has_client,
            awaited_by,
            resend_after,
            proposed_attempt: None,
            takeovers: 0,
        };
        self.open_requests.insert(request, open);
        self.schedule(now + resend_after, Timer::Resend(request));
    }

    /// Sends the current step to the replicas that have not voted for it.
    fn send_pending(&mut self, now: Duration, request: RequestId) {
        let Some(open) = self.open_requests.get(&request) else { return };
        let pending = open.owned.pending_messages(open.deadline.saturating_sub(now));
        for (to, message) in pending {
            self.send(now, to, message);
        }
    }

    /// Sends the current step again to the replicas that have not voted, with a growing wait. Drops the request if its
    /// deadline has passed.
    fn resend(&mut self, now: Duration, request: RequestId) {
        let max_wait = self.round_trips(MAX_RESEND_ROUND_TRIPS);
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        if open.deadline <= now {
            let is_client_without_attempt = open.has_client && open.proposed_attempt.is_none();
            self.open_requests.remove(&request);
            if is_client_without_attempt {
                self.outputs.push(Output::QuorumUnavailable { request });
            }
            return;
        }
        open.resend_after = (2 * open.resend_after).min(max_wait);
        let next_resend = now + open.resend_after;
        let descriptor = open.owned.descriptor;
        let lost_to = match open.owned.phase() {
            Phase::Lost(ballot) => Some(*ballot),
            _ => None,
        };
        match lost_to {
            Some(ballot) if self.is_owner_present(ballot) => {
                self.send(now, ballot.identity.member, Message::AwaitAnswer { request, descriptor });
            }
            Some(_) => self.take_over_if_lost(now, request),
            None => self.send_pending(now, request),
        }
        if self.open_requests.contains_key(&request) {
            self.schedule(next_resend, Timer::Resend(request));
        }
    }

    /// Sends the records of idempotent requests to their replicas. They need no votes.
    fn report_pending(&mut self, now: Duration) {
        for (request, report) in std::mem::take(&mut self.pending_reports) {
            let message = Message::Write {
                at: Step { request, ballot: Ballot::first(self.identity, 0), step: 0 },
                descriptor: report.descriptor,
                progress: RequestProgress::default(),
                left: report.deadline.saturating_sub(now),
            };
            self.reported.insert(request, now + self.config.retention);
            self.counts.reported += 1;
            self.send_to_replicas(now, request, &message);
        }
    }

    /// Asks the members that have not sent all their records yet for those that earlier incarnations may have held.
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

    /// Retains the final answer of a request and gives it to the client here and to the members that wait for it.
    fn complete(&mut self, now: Duration, request: RequestId, answer: Answer) {
        let Some(open) = self.open_requests.remove(&request) else { return };
        self.answers.insert(request, answer.clone(), now + self.config.retention);
        for to in open.awaited_by {
            self.send_final_answer(now, to, request, &answer);
        }
        if open.has_client {
            self.outputs.push(Output::FinalAnswer { request, answer });
        }
    }
}
