//! Messages to a host's actor.

use crate::attempt::{AttemptKey, CancelReason, EndedAttempts, OutgoingAttempt};
use rockflow_protocol::upstream::HealthCheckKind;

/// A message to a host's actor.
pub enum HostMessage {
    /// Send an attempt.
    Send(OutgoingAttempt),
    /// Cancel an attempt.
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
    /// An attempt that was delayed may be sent now.
    Release(AttemptKey),
    /// Close connections that are idle.
    CloseIdle,
    /// The host is gone: what is in flight may end, nothing new is sent.
    Retire,
    /// A connection ended.
    ConnectionEnded {
        /// Attempts that ended with it; the last group are those that were not sent.
        ended: Vec<EndedAttempts>,
        /// Attempts that were handed to it and may go on another.
        resend: Vec<OutgoingAttempt>,
        /// It was never established.
        never_established: bool,
    },
}
