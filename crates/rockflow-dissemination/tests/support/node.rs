//! A single node, to which a test sends the messages of its neighbours.

use super::{ms, HEARTBEAT_INTERVAL, INCARNATION, PURGE_WINDOW};
use rockflow_dissemination::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Address of a neighbour: 0 is the first control node and 1 the parent; further ones are up to the test.
pub fn node_address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7000))
}

/// Name of a control node by its index.
pub fn control_name(index: usize) -> String {
    format!("control-{index}")
}

/// Identity of the process with this name, in its first incarnation.
pub fn identity(name: &str) -> Identity {
    Identity { node: NodeId::of(name), incarnation: Incarnation(INCARNATION) }
}

/// Configuration of a member called `me`, with one control node.
pub fn member_config() -> NodeConfig {
    NodeConfig {
        identity: identity("me"),
        control_id: None,
        control: vec![Peer { node: NodeId::of(&control_name(0)), address: node_address(0) }],
        seeds: Vec::new(),
        purge_window: PURGE_WINDOW,
        bytes_per_second: 6000,
        heartbeat_interval: HEARTBEAT_INTERVAL,
    }
}

/// Sends a member its place in the tree, with `parent` as its only candidate for the parent.
pub fn place_below_parent(node: &mut Node) -> Vec<Output> {
    let parents = vec![Peer { node: NodeId::of("parent"), address: node_address(1) }];
    let placement =
        Message::Placement { directory_version: 1, listing_hash: 7, region: 0, slot: 1, slots: 2, parents };
    node.on_message(ms(10), identity(&control_name(0)), node_address(0), placement)
}

/// A member that has started and has its place below `parent`.
pub fn placed_member() -> Node {
    let mut node = Node::new(member_config(), None, 1, Duration::ZERO);
    node.start(Duration::ZERO);
    place_below_parent(&mut node);
    node
}

/// Sends a member a fresh heartbeat from `parent`.
pub fn parent_heartbeat(node: &mut Node, now: Duration, tips: Vec<StreamTip>) -> Vec<Output> {
    let heartbeat = Message::Heartbeat {
        staleness_ms: 0,
        directory_version: 1,
        listing_hash: 7,
        tips,
        settings_digest: None,
    };
    node.on_message(now, identity("parent"), node_address(1), heartbeat)
}
