//! Messages to the actor of the endpoint list.

use crate::backpressure::{CoalescingSlot, CompletionCallback};
use crate::status::StatusReport;
use rockflow_endpoints::{AdminOverrides, RejectedOverride};
use rockflow_protocol::discovery::WatchEvent;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The overrides of the control node that were not applied, by endpoint name.
pub type RejectedOverrides = BTreeMap<String, RejectedOverride>;

/// A message to an [`EndpointListActor`](crate::endpoint_list::EndpointListActor).
pub enum EndpointListMessage {
    /// Apply a watch event that discovery sent: an endpoint update, a purge or both.
    Event(WatchEvent),
    /// Replace all administrative overrides set by operators.
    SetOperatorOverrides {
        /// The new overrides.
        overrides: AdminOverrides,
        /// Called once the decision actor has applied the overrides.
        done: CompletionCallback<()>,
    },
    /// Replace all administrative overrides set by the control node with those in the slot. The slot's callers are
    /// notified with the rejected overrides once the decision actor has applied the others.
    SetControlOverrides(Arc<CoalescingSlot<AdminOverrides, RejectedOverrides>>),
    /// Fill in the endpoint list's part of a status report and pass it to the decision actor, which completes it.
    ReportStatus(CompletionCallback<Box<StatusReport>>),
}
