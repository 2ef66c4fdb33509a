//! Who takes part: processes, their incarnations and where they are reached.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A process, named by the hash of its name. The hash is the same everywhere, so that an id needs no shared registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The id of the process with this name.
    pub fn of(name: &str) -> NodeId {
        NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// One run of a process: Unix milliseconds at its start, or a greater number where a later incarnation was known
/// elsewhere. State held in memory is lost with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A process and its current incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The process.
    pub node: NodeId,
    /// Its current run.
    pub incarnation: Incarnation,
}

/// A node and the address at which it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its datagram address.
    pub address: SocketAddr,
}

/// Index of a control node in the configured list of control nodes, which is the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlId(pub u8);
