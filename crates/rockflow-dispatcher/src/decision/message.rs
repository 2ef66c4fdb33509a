//! Messages to the decision actor.

use crate::attempt::AttemptKey;
use crate::backpressure::{CoalescingSlot, CompletionCallback};
use crate::client::message::ClientMessage;
use crate::endpoint::Endpoint;
use crate::mailbox::Mailbox;
use crate::memory::MemoryReservation;
use crate::purge::Purge;
use crate::status::StatusReport;
use rockflow::{ListScope, Outcome, RequestId};
use rockflow_protocol::client::ClientRequest;
use rockflow_protocol::upstream::HostResponse;
use std::sync::Arc;
use std::time::Duration;

/// A message to the decision actor.
pub enum DecisionMessage {
    /// A client sent a request.
    RequestReceived {
        /// The id of the request within this process.
        id: RequestId,
        /// The parsed request.
        request: Box<ClientRequest>,
        /// The mailbox of the client connection, which receives the response.
        client: Arc<Mailbox<ClientMessage>>,
        /// When the request was received completely, on the clock of the process.
        arrived: Duration,
    },
    /// The client of the request disconnected before its response.
    ClientDisconnected(RequestId),
    /// A graceful shutdown has started; open requests are answered before the process exits.
    ShutdownStarted {
        /// When the last open request must have its response.
        deadline: Duration,
    },
    /// A host responded to an attempt.
    ResponseReceived {
        /// The attempt that was answered.
        key: AttemptKey,
        /// The decoded response.
        response: HostResponse,
        /// The memory of the response.
        memory: MemoryReservation,
    },
    /// An attempt ended without a response.
    AttemptFailed {
        /// The attempt that ended.
        key: AttemptKey,
        /// The reason, such as a lost connection.
        outcome: Outcome,
    },
    /// A host responded to a health check.
    HealthCheckAnswered {
        /// The tag under which the health check was sent.
        tag: u64,
        /// The decoded response.
        response: HostResponse,
    },
    /// A health check ended without a response.
    HealthCheckFailed {
        /// The tag under which the health check was sent.
        tag: u64,
        /// The reason, such as a lost connection.
        outcome: Outcome,
    },
    /// The endpoint list changed.
    EndpointsChanged {
        /// Whether the entries change the list or replace it.
        scope: ListScope,
        /// The changed entries, or all of them.
        entries: Vec<Endpoint>,
        /// Called once the decision logic uses the new list.
        done: Option<CompletionCallback<()>>,
    },
    /// Purges arrived from discovery or from a caller of the service.
    PurgesReceived {
        /// The purges, each with its own timestamp.
        purges: Vec<Purge>,
        /// Called once the decision logic has applied the purges.
        done: Option<CompletionCallback<()>>,
    },
    /// More purges arrived than may wait. A purge of everything with the timestamp in the slot replaces the excess
    /// ones.
    PurgeEverything(Arc<CoalescingSlot<Duration, ()>>),
    /// Complete a status report that the endpoint list actor has started to fill in.
    ReportStatus {
        /// The report, without the fields that the decision actor knows.
        report: Box<StatusReport>,
        /// Called with the completed report.
        reply: CompletionCallback<Box<StatusReport>>,
    },
}
