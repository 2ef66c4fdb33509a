//! Messages to the actor of an upstream connection.

use crate::attempt::{AttemptKey, CancelReason, OutgoingAttempt};
use rockflow_protocol::upstream::HealthCheckKind;

/// A message to the actor of an upstream connection.
pub enum UpstreamMessage {
    /// Send an attempt on this connection.
    Send(OutgoingAttempt),
    /// Cancel an attempt, if it is on this connection.
    Cancel {
        /// The attempt to cancel.
        key: AttemptKey,
        /// Why it is cancelled; a timeout may also retire the connection.
        reason: CancelReason,
    },
    /// Send a health check.
    CheckHealth {
        /// Identifies the health check in the host's response and in the result sent to the decision actor.
        tag: u64,
        /// Whether the host has to report its load as well.
        kind: HealthCheckKind,
    },
    /// Accept no further attempts, and close once all those on the connection have ended.
    Retire,
    /// Check whether a partly received response makes progress.
    Inspect,
}
