//! Streams and their numbered entries, which are what the nodes disseminate.

use crate::identity::{ControlId, Incarnation};
use crate::setting::HostSetting;
use serde::{Deserialize, Serialize};

/// The kind of entries that a stream carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum StreamKind {
    /// Purges of cached objects.
    Purges,
    /// Settings of hosts, see [`HostSetting`].
    Configuration,
}

/// Identifies a stream: the entries of one kind that one incarnation of a control node publishes, numbered from 1
/// without gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// Index of the publishing control node.
    pub control: ControlId,
    /// Kind of the entries.
    pub kind: StreamKind,
    /// Incarnation of the publishing control node.
    pub incarnation: Incarnation,
}

/// Position of an entry in its stream, counted from 1; 0 is the position before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// Returns the following number; the greatest number is its own successor.
    pub fn next(self) -> SequenceNumber {
        SequenceNumber(self.0.saturating_add(1))
    }
}

/// Identifies an entry, alike on every node: its stream and its number there.
pub type EntryId = (StreamId, SequenceNumber);

/// The objects that a purge covers. Objects and groups are identified by the hashes of their names, as in the decision
/// logic (the crate `rockflow`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purge {
    /// One object, by its id in little-endian byte order.
    Object([u8; 8]),
    /// All objects of the group with this id.
    Group(u64),
    /// All objects.
    Everything,
}

impl Purge {
    /// Returns the purge of the object with this id.
    pub fn object(id: u64) -> Purge {
        Purge::Object(id.to_le_bytes())
    }
}

/// One entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A purge; valid only in a stream of [`StreamKind::Purges`].
    Purge(Purge),
    /// A setting; valid only in a stream of [`StreamKind::Configuration`].
    Setting(HostSetting),
}

/// An entry as it is sent, with its age at that time, so that clocks of different machines are never compared. The age
/// does not include the transit time, so the receiver takes the entry for younger than it is. That is the safe side: a
/// purge expires late rather than early.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgedEntry {
    /// Milliseconds from the time when the entry was made to the time when this message was written.
    pub age_ms: u32,
    /// The entry; its stream and number follow from the message.
    pub entry: Entry,
}
