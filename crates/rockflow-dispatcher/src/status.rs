//! A status report of the dispatcher.

use crate::endpoint::Endpoint;
use rockflow::HostStatus;
use rockflow_endpoints::AdminOverrides;

/// How requests of one class have ended since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub disconnected: u64,
}

/// A picture of the dispatcher, for whoever looks on.
#[derive(Clone, Debug, Default)]
pub struct StatusReport {
    /// The board's list, as told, before any mark.
    pub discovered: Vec<Endpoint>,
    /// The marks that the list goes by.
    pub operator_overrides: AdminOverrides,
    /// And the fleet's.
    pub control_overrides: AdminOverrides,
    pub host_statuses: Vec<HostStatus>,
    /// By place of the class.
    pub outcomes: Vec<OutcomeCounts>,
    /// Requests open, words waiting at the module.
    pub open_requests: usize,
    pub queued_messages: usize,
    /// Requests that the decisions left unanswered till their time was up; none, unless something is wrong.
    pub overdue: u64,
}

/// How much of a capped resource is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillLevel {
    pub name: &'static str,
    pub cap: usize,
    pub fill: usize,
}
