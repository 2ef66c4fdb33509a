//! What is disseminated: streams and their numbered entries.

use crate::identity::{ControlId, Incarnation};
use crate::setting::HostSetting;
use serde::{Deserialize, Serialize};

/// What the entries of a stream are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum StreamKind {
    /// Purges of cached objects.
    Purges,
    /// Settings of hosts.
    Configuration,
}

/// The entries of one kind that one incarnation of a control node publishes, numbered from 1 without gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// The publishing control node.
    pub control: ControlId,
    /// What the entries are.
    pub kind: StreamKind,
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
}

/// Position of an entry in its stream, from 1; 0 stands before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// The following number; the greatest number is its own successor.
    pub fn next(self) -> SequenceNumber {
        SequenceNumber(self.0.saturating_add(1))
    }
}

/// An entry by its stream and number, whichever node holds it.
pub type EntryId = (StreamId, SequenceNumber);

/// What a purge covers. Objects are named by their hashed name, as in the routing decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purge {
    /// One object: its id in little-endian order.
    Object([u8; 8]),
    /// All objects of a group.
    Group(u64),
    /// All objects.
    Everything,
}

impl Purge {
    /// The purge of the object with this id.
    pub fn object(id: u64) -> Purge {
        Purge::Object(id.to_le_bytes())
    }
}

/// One entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// In a stream of [`StreamKind::Purges`].
    Purge(Purge),
    /// In a stream of [`StreamKind::Configuration`].
    Setting(HostSetting),
}

/// An entry as it is sent, with its age at that time, so that clocks of different machines are never compared. The age
/// does not include the transit time: an entry counts as younger than it is, which is the stricter reading.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgedEntry {
    /// Milliseconds since the entry was made, when its message was written.
    pub age_ms: u32,
    /// The entry.
    pub entry: Entry,
}
