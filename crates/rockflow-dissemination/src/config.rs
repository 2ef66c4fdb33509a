//! The configuration of a node.

use crate::identity::{ControlId, Identity, Peer};
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration with which a node is created.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// The node's own identity.
    pub identity: Identity,
    /// The node's index among the control nodes; `None` at a member, that is, at a dispatcher.
    pub control_id: Option<ControlId>,
    /// All control nodes, in the order of their [`ControlId`].
    pub control: Vec<Peer>,
    /// Addresses of nodes that a member tries as its parent while no control node answers; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Time within which a purge has to be applied everywhere; an older purge need not be applied any more.
    pub purge_window: Duration,
    /// Bytes that a member may send per second, averaged over a minute. The limits of repairs, settings tables and
    /// publications are derived from it.
    pub bytes_per_second: u32,
    /// Interval between two heartbeats, and between two batches of a control node. All timeouts except those for purges
    /// are multiples of it.
    pub heartbeat_interval: Duration,
}
