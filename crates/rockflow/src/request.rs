//! Open requests and the state of their attempts.

use crate::action::{Action, Attempt};
use crate::class_stats::TransferEstimate;
use crate::config::Class;
use crate::event::Request;
use crate::ids::{HostId, LocationId};
use crate::source_path::SourceUse;
use std::time::Duration;

/// Usual transfer times that an ordinary attempt takes.
pub(crate) const USUAL_TRANSFERS: f64 = 1.25;
/// The part of the latency objective that an ordinary attempt takes besides the transfer.
pub(crate) const USUAL_FIXED_PART: f64 = 0.5;

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// The ordinary way: a fresh copy, filled from the source where there is none.
    Fetch,
    /// Only what is cached and fresh.
    FreshOnly,
    /// Only what is cached, stale copies within the grace included.
    StaleAllowed,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPhase {
    /// Wanted and not yet sent.
    Unsent,
    /// Sent and not ended.
    InFlight,
    /// Cancelled and not ended.
    Cancelled,
    /// Ended.
    Ended {
        /// Whether the host may have executed it.
        may_have_executed: bool,
    },
}

/// An attempt of an open request.
#[derive(Debug)]
pub(crate) struct AttemptState {
    /// What is sent.
    pub(crate) attempt: Attempt,
    /// What it is for.
    pub(crate) kind: AttemptKind,
    /// How far it has come.
    pub(crate) phase: AttemptPhase,
    /// When it was decided.
    pub(crate) sent: Duration,
    /// Where its source is.
    pub(crate) source_location: Option<LocationId>,
}

impl AttemptState {
    /// What the attempt asks of its source.
    pub(crate) fn source_use(&self) -> SourceUse {
        match self.attempt.source {
            None => SourceUse::None,
            Some(_) if self.attempt.cached_at_source_only => SourceUse::CachedOnly,
            Some(_) => SourceUse::Fill,
        }
    }

    /// Whether the attempt has ended.
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended { .. })
    }
}

/// A request that has no final answer yet, or attempts that have not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The request as it arrived.
    pub(crate) request: Request,
    /// When its latency objective passes.
    pub(crate) objective: Duration,
    /// When the client gives up.
    pub(crate) deadline: Duration,
    /// Its random draw from 0 to 1, for what is admitted by chance.
    pub(crate) draw: f64,
    /// The expected transfer time, in seconds.
    pub(crate) transfer_s: f64,
    /// How long an ordinary attempt takes, a fill included.
    pub(crate) usual_duration: Duration,
    /// Its attempts, by number.
    pub(crate) attempts: Vec<AttemptState>,
    /// Attempts that ended before a byte of them was sent.
    pub(crate) unsent_attempts: usize,
    /// Whether a response streams to the client.
    pub(crate) response_started: bool,
    /// Hosts and sources that it avoids, as they failed it.
    pub(crate) failed_hosts: Vec<HostId>,
    /// Whether the origin failed it, which no other source mends.
    pub(crate) origin_failed: bool,
    /// The final answer that is wanted and not yet given.
    pub(crate) answer: Option<Action>,
    /// Whether no final answer is owed any more.
    pub(crate) finished: bool,
}

impl OpenRequest {
    /// A request that arrives now.
    pub(crate) fn new(
        now: Duration,
        request: Request,
        class: &Class,
        transfer: TransferEstimate,
        draw: f64,
    ) -> Self {
        let deadline = now + request.time_left;
        let stretch = Duration::from_secs_f64(class.transfer_stretch * transfer.expected_s);
        let usual_transfer = Duration::from_secs_f64(USUAL_TRANSFERS * transfer.usual_max_s);
        OpenRequest {
            request,
            objective: (now + class.latency_objective + stretch).min(deadline),
            deadline,
            draw,
            transfer_s: transfer.expected_s,
            usual_duration: usual_transfer + class.latency_objective.mul_f64(USUAL_FIXED_PART),
            attempts: Vec::new(),
            unsent_attempts: 0,
            response_started: false,
            failed_hosts: Vec::new(),
            origin_failed: false,
            answer: None,
            finished: false,
        }
    }

    /// Whether its size is known.
    pub(crate) fn has_size(&self) -> bool {
        self.request.size_kb > 0.0
    }

    /// Whether it has had an attempt of this kind.
    pub(crate) fn has_attempted(&self, kind: AttemptKind) -> bool {
        self.attempts.iter().any(|attempt| attempt.kind == kind)
    }

    /// Whether it waits for a decision: no answer yet, and nothing in flight.
    pub(crate) fn awaits_decision(&self) -> bool {
        !self.finished && !self.response_started && self.attempts.iter().all(AttemptState::is_ended)
    }

    /// Whether nothing more can come of it.
    pub(crate) fn is_closed(&self) -> bool {
        let over = |attempt: &AttemptState| attempt.is_ended() || attempt.phase == AttemptPhase::Unsent;
        self.finished && self.attempts.iter().all(over)
    }

    /// The program shuts down: the request ends by then.
    pub(crate) fn shorten_to(&mut self, deadline: Duration) {
        self.deadline = self.deadline.min(deadline);
        self.objective = self.objective.min(deadline);
    }
}
