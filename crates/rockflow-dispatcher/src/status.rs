//! The status report of a dispatcher.

use crate::endpoint::Endpoint;
use rockflow::HostStatus;
use rockflow_endpoints::AdminOverrides;

/// Counts of the ended requests of one class since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered with the object, or with the status that the client's copy is unchanged.
    pub succeeded: u64,
    /// Rejected to shed load.
    pub rejected: u64,
    /// Answered with a failure, or not answered in time by the decision logic.
    pub failed: u64,
    /// Ended by a disconnect of the client before its response.
    pub disconnected: u64,
}

/// A snapshot of the state of a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct StatusReport {
    /// The endpoints as discovery lists them, before administrative overrides.
    pub discovered: Vec<Endpoint>,
    /// The overrides set by operators that are in effect.
    pub operator_overrides: AdminOverrides,
    /// The overrides set by the control nodes that are in effect.
    pub control_overrides: AdminOverrides,
    /// What the decision logic knows about each listed host.
    pub host_statuses: Vec<HostStatus>,
    /// Counts of the ended requests, indexed by request class.
    pub outcomes: Vec<OutcomeCounts>,
    /// Number of open requests, including answered ones with an attempt in flight.
    pub open_requests: usize,
    /// Number of messages in the decision actor's mailbox.
    pub queued_messages: usize,
    /// Number of requests that failed because the decision logic missed their deadlines. Anything but 0 indicates a
    /// fault.
    pub overdue: u64,
}

/// The usage of one capped resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillLevel {
    /// Name of the resource in the management model.
    pub name: &'static str,
    /// The limit, in the unit of the resource: connections, bytes or messages.
    pub cap: usize,
    /// The amount in use, in the same unit as the cap.
    pub fill: usize,
}
