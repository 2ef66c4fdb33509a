//! Attempts, as the actors between the decisions and a host's connections hand them on.

use crate::send_permit::SendPermit;
use rockflow::{AttemptNumber, Outcome, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Its request.
    pub request: RequestId,
    /// Its place among the attempts of the request.
    pub attempt: AttemptNumber,
}

/// An attempt on its way to a host.
#[derive(Clone)]
pub struct OutgoingAttempt {
    /// Identifies it.
    pub key: AttemptKey,
    /// The id under which the host responds.
    pub id: String,
    /// Its line, encoded.
    pub line: Vec<u8>,
    /// It names the client's copy, so that the response may be that this one is current.
    pub names_cached_copy: bool,
    /// Whether its first byte may still be sent.
    pub permit: Arc<SendPermit>,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its time limit passed: a connection that has received nothing since may be dead.
    TimedOut,
    /// It is not needed any more.
    Withdrawn,
}

/// Attempts that ended with their connection, and their outcome depending on whether the host is still there.
#[derive(Clone, Debug)]
pub struct EndedAttempts {
    /// The attempts.
    pub attempts: Vec<AttemptKey>,
    /// The host is alive only if another connection has received anything since then; none: an open connection shows it.
    pub alive_if_received_since: Option<Duration>,
    /// Their outcome if the host is gone.
    pub outcome_if_gone: Outcome,
    /// Their outcome if the host is alive.
    pub outcome_if_alive: Outcome,
}
