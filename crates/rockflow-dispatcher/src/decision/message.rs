//! Messages to the decisions' actor.

use crate::attempt::AttemptKey;
use crate::backpressure::{CoalescingSlot, CompletionCallback};
use crate::client::message::ClientMessage;
use crate::endpoint::Endpoint;
use crate::mailbox::Mailbox;
use crate::purge::Purge;
use crate::status::StatusReport;
use rockflow::{ListScope, Outcome, RequestId};
use rockflow_protocol::client::ClientRequest;
use rockflow_protocol::upstream::HostResponse;
use std::sync::Arc;
use std::time::Duration;

/// A message to the decisions' actor.
pub enum DecisionMessage {
    /// A client sent a request.
    RequestReceived {
        /// Its id.
        id: RequestId,
        /// The request.
        request: Box<ClientRequest>,
        /// Where the response goes.
        client: Arc<Mailbox<ClientMessage>>,
        /// When it arrived.
        arrived: Duration,
    },
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// The program ends; what has no response by then would be lost.
    ShutdownStarted {
        /// When.
        deadline: Duration,
    },
    /// A host responded to an attempt.
    ResponseReceived {
        /// The attempt.
        key: AttemptKey,
        /// The response.
        response: HostResponse,
    },
    /// An attempt ended without a response.
    AttemptFailed {
        /// The attempt.
        key: AttemptKey,
        /// How.
        outcome: Outcome,
    },
    /// A host responded to a health check.
    HealthCheckAnswered {
        /// The health check.
        tag: u64,
        /// The response.
        response: HostResponse,
    },
    /// A health check ended without a response.
    HealthCheckFailed {
        /// The health check.
        tag: u64,
        /// How.
        outcome: Outcome,
    },
    /// The endpoint list changed.
    EndpointsChanged {
        /// Whether the entries are changes or replace the list.
        scope: ListScope,
        /// The entries.
        entries: Vec<Endpoint>,
        /// Called once the decisions go by them.
        done: Option<CompletionCallback<()>>,
    },
    /// Purges were made.
    PurgesReceived {
        /// The purges.
        purges: Vec<Purge>,
        /// Called once the decisions go by them.
        done: Option<CompletionCallback<()>>,
    },
    /// More purges were made than may wait: one of everything, made at the time in the slot, replaces them.
    PurgeEverything(Arc<CoalescingSlot<Duration, ()>>),
    /// Complete a status report that the endpoint list has begun.
    ReportStatus {
        /// The report.
        report: Box<StatusReport>,
        /// Called with the report.
        reply: CompletionCallback<Box<StatusReport>>,
    },
}
