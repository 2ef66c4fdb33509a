//! Attempts, as passed between the decision actor, the host actors and the connections to hosts.

use crate::send_permit::SendPermit;
use rockflow::{AttemptNumber, Outcome, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// Identifies an attempt within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The index of the attempt among those of its request.
    pub attempt: AttemptNumber,
}

/// An attempt on its way to a host.
#[derive(Clone)]
pub struct OutgoingAttempt {
    /// Identifies the attempt to the decision actor.
    pub key: AttemptKey,
    /// The client-assigned request id, which the host repeats in its response.
    pub id: String,
    /// The encoded request line.
    pub line: Vec<u8>,
    /// Whether the request line names the client's copy, so that the host may answer that it is unchanged.
    pub names_cached_copy: bool,
    /// The permit that the connection must use before it sends the first byte.
    pub permit: Arc<SendPermit>,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The attempt timed out. A connection that has received nothing since it was sent may be dead.
    TimedOut,
    /// The response is not needed any more.
    Withdrawn,
}

/// Attempts that ended with their connection. Their outcome depends on whether the host is still alive, as shown by its
/// other connections.
#[derive(Clone, Debug)]
pub struct EndedAttempts {
    /// The attempts that ended.
    pub attempts: Vec<AttemptKey>,
    /// The time since which another connection must have received something to prove the host alive. `None` if any
    /// established connection is proof enough.
    pub alive_if_received_since: Option<Duration>,
    /// The outcome of these attempts if the host is not known to be alive.
    pub outcome_if_gone: Outcome,
    /// The outcome of these attempts if the host is alive.
    pub outcome_if_alive: Outcome,
}
