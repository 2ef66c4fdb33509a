//! Identities of the processes that take part: their ids, incarnations and addresses.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a process by the hash of its name. Every node computes the same hash, so ids need no shared registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the id of the process with this name.
    pub fn of(name: &str) -> NodeId {
        NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Identifies one run of a process: Unix milliseconds at its start, or a greater number if another node already knew a
/// later incarnation. A process that restarts has lost the state that it held in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A process and its current incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the process.
    pub node: NodeId,
    /// The current run of the process.
    pub incarnation: Incarnation,
}

/// A node and the address at which it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Id of the node.
    pub node: NodeId,
    /// Address at which the node receives datagrams.
    pub address: SocketAddr,
}

/// Index of a control node in the configured list of control nodes, which is the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlId(pub u8);
