//! What a dispatcher reports of itself.

use crate::endpoint::Endpoint;
use rockflow::HostStatus;
use rockflow_endpoints::AdminOverrides;

/// How requests of one class have ended since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Responded with the object, or that the client's copy is current.
    pub succeeded: u64,
    /// Rejected to shed load.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// The client disconnected before its response.
    pub disconnected: u64,
}

/// The state of the dispatcher at one time.
#[derive(Clone, Debug, Default)]
pub struct StatusReport {
    /// The endpoints as discovery lists them, without overrides.
    pub discovered: Vec<Endpoint>,
    /// The applied overrides of operators.
    pub operator_overrides: AdminOverrides,
    /// The applied overrides of control.
    pub control_overrides: AdminOverrides,
    /// What the decisions know of each host.
    pub host_statuses: Vec<HostStatus>,
    /// How requests ended, by index of the class.
    pub outcomes: Vec<OutcomeCounts>,
    /// Requests that are open.
    pub open_requests: usize,
    /// Messages that wait for the decisions.
    pub queued_messages: usize,
    /// Requests that the decisions did not respond to in time; 0 unless something is wrong.
    pub overdue: u64,
}

/// How much of a capped resource is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillLevel {
    /// Name of the resource.
    pub name: &'static str,
    /// Its cap.
    pub cap: usize,
    /// How much is in use.
    pub fill: usize,
}
