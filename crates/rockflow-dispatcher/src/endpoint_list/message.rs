//! Messages to the endpoint list's actor.

use crate::backpressure::{CoalescingSlot, CompletionCallback};
use crate::status::StatusReport;
use rockflow_endpoints::{AdminOverrides, RejectedOverride};
use rockflow_protocol::discovery::WatchEvent;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The overrides of control that were not applied, by endpoint name.
pub type RejectedOverrides = BTreeMap<String, RejectedOverride>;

/// A message to the endpoint list's actor.
pub enum EndpointListMessage {
    /// An event of discovery.
    Event(WatchEvent),
    /// Replace all overrides of operators.
    SetOperatorOverrides {
        /// The new overrides.
        overrides: AdminOverrides,
        /// Called once the decisions go by them.
        done: CompletionCallback<()>,
    },
    /// Replace all overrides of control by those in the slot; its callers are notified once the decisions go by them, with
    /// those that are not applied.
    SetControlOverrides(Arc<CoalescingSlot<AdminOverrides, RejectedOverrides>>),
    /// Begin a status report, which the decisions complete.
    ReportStatus(CompletionCallback<Box<StatusReport>>),
}
