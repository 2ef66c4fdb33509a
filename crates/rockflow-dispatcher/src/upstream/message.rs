//! Messages to a connection to a host.

use crate::attempt::{AttemptKey, CancelReason, OutgoingAttempt};
use rockflow_protocol::upstream::HealthCheckKind;

/// A message to a connection to a host.
pub enum UpstreamMessage {
    /// Send an attempt.
    Send(OutgoingAttempt),
    /// Cancel an attempt, if it is on this connection.
    Cancel {
        /// The attempt.
        key: AttemptKey,
        /// Why.
        reason: CancelReason,
    },
    /// Send a health check.
    CheckHealth {
        /// Identifies it.
        tag: u64,
        /// What it asks for.
        kind: HealthCheckKind,
    },
    /// Close once nothing is in flight; a response that is incomplete may end.
    Retire,
    /// Check whether a response that has begun makes progress.
    Inspect,
}
