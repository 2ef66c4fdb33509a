//! Open requests and the state of their attempts.
//!
//! A request is open until its final answer is given and all its attempts have ended.

use crate::action::{Action, Attempt};
use crate::class_stats::TransferEstimate;
use crate::config::Class;
use crate::event::Request;
use crate::ids::{HostId, LocationId};
use crate::source_path::SourceUse;
use std::time::Duration;

/// The time that an ordinary attempt takes for its transfer, as a multiple of the estimated transfer time.
pub(crate) const USUAL_TRANSFER_FACTOR: f64 = 1.25;
/// The fraction of the latency objective that an ordinary attempt takes in addition to its transfer.
pub(crate) const USUAL_FIXED_FRACTION: f64 = 0.5;

/// The kinds of copies that may answer an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// A fresh copy, filled from the source on a miss. This is the ordinary kind.
    Fetch,
    /// Only a fresh copy that the cache or its parent has cached. Nothing is fetched from the origin.
    FreshOnly,
    /// Only a copy in the cache, fresh or stale within the grace. No source is asked.
    StaleAllowed,
}

/// The lifecycle of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPhase {
    /// Decided; its action has not been emitted.
    Unsent,
    /// Its action has been emitted; its end has not been reported.
    InFlight,
    /// Cancellation has been requested; its end has not been reported.
    Cancelled,
    /// Its end has been reported.
    Ended {
        /// Whether the host may have executed it.
        may_have_executed: bool,
    },
}

/// An attempt of an open request.
#[derive(Debug)]
pub(crate) struct AttemptState {
    /// The attempt as the caller sends it.
    pub(crate) attempt: Attempt,
    /// Which copies may answer the attempt.
    pub(crate) kind: AttemptKind,
    /// The current phase of the attempt.
    pub(crate) phase: AttemptPhase,
    /// When the attempt was decided; it cannot have been sent earlier.
    pub(crate) decided_at: Duration,
    /// The location of the source. None: the attempt has no source.
    pub(crate) source_location: Option<LocationId>,
}

impl AttemptState {
    /// Whether the source may fetch a copy, answers only from its cache, or is not used.
    pub(crate) fn source_use(&self) -> SourceUse {
        match self.attempt.source {
            None => SourceUse::None,
            Some(_) if self.attempt.cached_at_source_only => SourceUse::CachedOnly,
            Some(_) => SourceUse::Fill,
        }
    }

    /// Whether the end of the attempt has been reported.
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended { .. })
    }
}

/// A request without a final answer, or with attempts that have not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The request as it arrived.
    pub(crate) request: Request,
    /// The time by which an answer meets the latency objective, transfer included. Never after the deadline.
    pub(crate) objective: Duration,
    /// The time by which the final answer is due: the client gives up, or a shutdown ends.
    pub(crate) deadline: Duration,
    /// A random number from 0 to 1, drawn once per request. It decides whether a limited fill is admitted and whether
    /// an ejected host is tried.
    pub(crate) draw: f64,
    /// The expected transfer time of the response, in seconds.
    pub(crate) transfer_s: f64,
    /// The duration of an ordinary attempt, including a fill. A longer attempt counts as slow.
    pub(crate) usual_duration: Duration,
    /// All attempts of the request, indexed by attempt number.
    pub(crate) attempts: Vec<AttemptState>,
    /// The number of attempts that ended before a byte was sent.
    pub(crate) unsent_attempts: usize,
    /// Whether a response has begun to stream to the client, after which no other attempt is made.
    pub(crate) response_started: bool,
    /// Hosts and sources that failed this request and are not used for it again.
    pub(crate) failed_hosts: Vec<HostId>,
    /// Whether the origin failed during a fill. Another source would ask the same origin, so none is used.
    pub(crate) origin_failed: bool,
    /// The rejection or failure that has been decided but not emitted.
    pub(crate) final_answer: Option<Action>,
    /// Whether the client has its final answer or has disconnected.
    pub(crate) finished: bool,
}

impl OpenRequest {
    /// Opens a request that arrives now. `draw` is a random number from 0 to 1.
    pub(crate) fn new(
        now: Duration,
        request: Request,
        class: &Class,
        transfer: TransferEstimate,
        draw: f64,
    ) -> Self {
        let deadline = now + request.time_left;
        let stretch = Duration::from_secs_f64(class.transfer_stretch * transfer.expected_s);
        let usual_transfer = Duration::from_secs_f64(USUAL_TRANSFER_FACTOR * transfer.usual_max_s);
        OpenRequest {
            request,
            objective: (now + class.latency_objective + stretch).min(deadline),
            deadline,
            draw,
            transfer_s: transfer.expected_s,
            usual_duration: usual_transfer + class.latency_objective.mul_f64(USUAL_FIXED_FRACTION),
            attempts: Vec::new(),
            unsent_attempts: 0,
            response_started: false,
            failed_hosts: Vec::new(),
            origin_failed: false,
            final_answer: None,
            finished: false,
        }
    }

    /// Whether the size of the requested part is known.
    pub(crate) fn has_size(&self) -> bool {
        self.request.size_kb > 0.0
    }

    /// Whether an attempt of this kind was made.
    pub(crate) fn has_attempted(&self, kind: AttemptKind) -> bool {
        self.attempts.iter().any(|attempt| attempt.kind == kind)
    }

    /// Whether the next attempt must be decided: the request has no answer and no attempt in flight.
    pub(crate) fn awaits_decision(&self) -> bool {
        !self.finished && !self.response_started && self.attempts.iter().all(AttemptState::is_ended)
    }

    /// Whether the request can be dropped: it is finished, and no attempt is in flight.
    pub(crate) fn is_closed(&self) -> bool {
        let is_inactive =
            |attempt: &AttemptState| attempt.is_ended() || attempt.phase == AttemptPhase::Unsent;
        self.finished && self.attempts.iter().all(is_inactive)
    }

    /// Moves the deadline and the objective forward to the end of a shutdown, unless they are earlier.
    pub(crate) fn limit_deadline(&mut self, deadline: Duration) {
        self.deadline = self.deadline.min(deadline);
        self.objective = self.objective.min(deadline);
    }
}
