//! Messages to the actor of all hosts.

use crate::attempt::{AttemptKey, CancelReason, EndedAttempts, OutgoingAttempt};
use crate::host::HostHandle;
use rockflow_protocol::upstream::HealthCheckKind;

/// A message to the [`HostsActor`](crate::host::HostsActor).
pub enum HostsMessage {
    /// A message that concerns one host.
    ToHost {
        /// The host that the message concerns.
        host: HostHandle,
        /// The message to that host.
        message: HostMessage,
    },
    /// Close connections that accept no further attempts, and forget hosts that are no longer in use.
    Inspect,
}

/// A message to one host.
pub enum HostMessage {
    /// Send an attempt, or queue it until a connection is free.
    Send(OutgoingAttempt),
    /// Cancel an attempt, whether it is delayed, queued or in flight.
    Cancel {
        /// The attempt to cancel.
        key: AttemptKey,
        /// Why it is cancelled; a timeout may also retire its connection.
        reason: CancelReason,
    },
    /// Send a health check.
    CheckHealth {
        /// Identifies the health check in the host's response and in the result sent to the decision actor.
        tag: u64,
        /// Whether the host has to report its load as well.
        kind: HealthCheckKind,
    },
    /// Send an attempt whose delay after a cancellation has passed.
    Release(AttemptKey),
    /// Close idle connections, and the others once nothing is in flight on them.
    CloseIdle,
    /// The host was removed from the endpoint list or its address changed: attempts in flight may complete, but no new
    /// ones are sent.
    Retire,
    /// There may be room for a connection: one that was evicted for the host, or another one, has ended.
    RoomFreed,
    /// A connection to the host has ended.
    ConnectionEnded {
        /// Attempts that ended with the connection. The last group holds those that were never sent.
        ended: Vec<EndedAttempts>,
        /// Attempts that were assigned to the connection but not sent, and may be sent on another one.
        resend: Vec<OutgoingAttempt>,
        /// Whether the connection ended before it was established.
        never_established: bool,
    },
}
