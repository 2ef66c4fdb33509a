//! Configuration of a node.

use crate::identity::{ControlId, Identity, Peer};
use std::net::SocketAddr;
use std::time::Duration;

/// What a node is configured with at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// The node's own identity.
    pub identity: Identity,
    /// The node's index among the control nodes. `None`: a member, that is a dispatcher.
    pub control_id: Option<ControlId>,
    /// All control nodes, in the order of their [`ControlId`].
    pub control: Vec<Peer>,
    /// Addresses followed where no control node answers; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// A purge is applied everywhere within this time; an older one no longer has to be applied.
    pub purge_window: Duration,
    /// Bytes that a member may send per second, averaged over a minute. Repairs use a share of it.
    pub bytes_per_second: u32,
    /// Interval between two heartbeats, and between two batches of a control node. All timeouts are multiples of it.
    pub heartbeat_interval: Duration,
}
