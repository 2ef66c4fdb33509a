//! Who takes part, and what is disseminated.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A process by its name, hashed: the same everywhere, so that no list of members has to be told to use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    pub fn of(name: &str) -> NodeId {
        NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// A life of a process: Unix milliseconds at its start, or above any that others know of it. What is held in memory ends
/// with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// Where a node is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    pub node: NodeId,
    pub address: SocketAddr,
}

/// Place of a control node in the told list of them; the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlId(pub u8);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    Purges,
    Configuration,
}

/// What one life of a control node publishes of one kind, numbered from 1 without gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    pub control: ControlId,
    pub kind: Kind,
    pub incarnation: Incarnation,
}

/// Place of an entry in its stream, from 1; 0: before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Number(pub u64);

impl Number {
    /// The one after; the last of all has none after it, and is its own.
    pub fn next(self) -> Number {
        Number(self.0.saturating_add(1))
    }
}

/// What a purge names. Objects by their hashed name, as the decisions know them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purge {
    Object([u8; 8]),
    Group(u64),
    Everything,
}

impl Purge {
    pub fn object(id: u64) -> Purge {
        Purge::Object(id.to_le_bytes())
    }
}

/// What the operators want of a host. The greater is the more careful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Wanted {
    /// As the notice board says.
    Listed,
    Draining,
    Gone,
}

/// Orders versions of one setting: a hybrid clock (Unix milliseconds, above any that was heard), then the publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub at: u64,
    pub control: u8,
}

/// A version of the configuration: what is wanted of one host from now on. The later stamp holds. Of two that neither
/// publisher had heard of the other's (`seen` below the other's stamp) the more careful holds, and both are shown.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Setting {
    /// The host's name; at most `MAX_NAME` bytes.
    pub host: String,
    pub wanted: Wanted,
    pub stamp: Stamp,
    /// The stamp of the version that this one replaced.
    pub seen: Stamp,
}

/// Bytes of a host's name.
pub const MAX_NAME: usize = 128;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    Purge(Purge),
    Setting(Setting),
}

/// A setting and where it was published, so that it has one name wherever it comes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub stream: StreamId,
    pub number: Number,
    pub setting: Setting,
}

/// An entry as it travels: with its age when the frame was made, in milliseconds, so that no clock is compared with
/// another's. The time on the way is not in it: an entry counts as younger than it is, which is the stricter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Aged {
    pub age_ms: u32,
    pub entry: Entry,
}

/// Why a member does not put a setting in force. It is kept apart, and what follows goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No host would be left in place of it.
    LastOne,
    /// More settings than a member holds.
    Full,
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub me: Identity,
    /// None: a member, that is a dispatcher.
    pub control_id: Option<ControlId>,
    /// All control nodes, by their place.
    pub control: Vec<Peer>,
    /// Asked for a snapshot where no control node answers; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Within so long a purge is done everywhere; an older one binds nobody.
    pub purge_window: Duration,
    /// Bytes that a member may send in a second, on the mean of a minute; repairs take what the rest leaves.
    pub bytes_per_second: u32,
    /// Between two pulses, and between two batches at control. All waits are ratios to it.
    pub pulse: Duration,
}
