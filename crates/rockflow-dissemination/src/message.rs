//! Messages between nodes, and the limits of their contents. Names are not encoded: the order of variants and fields
//! makes the wire format.

use crate::entry::{AgedEntry, SequenceNumber, StreamId};
use crate::identity::{ControlId, Incarnation, Peer};
use crate::setting::{HybridTimestamp, SettingVersion};
use crate::stream::StreamTip;
use crate::subtree_report::{RegionReport, SubtreeReport};
use serde::{Deserialize, Serialize};

/// Maximum number of entries in one [`Message::Batch`].
pub const MAX_BATCH_ENTRIES: usize = 128;
/// Maximum number of settings in one [`Message::SettingsPart`].
pub const MAX_SETTINGS_PER_PART: usize = 32;
/// Maximum number of ranges in one [`Message::RepairRequest`].
pub const MAX_RANGES: usize = 8;
/// Maximum number of stream tips in one [`Message::Heartbeat`].
pub const MAX_TIPS: usize = 16;
/// Maximum number of reports in one [`Message::RegionReports`].
pub const MAX_REGION_REPORTS: usize = 8;
/// Maximum number of reports in one [`Message::Acknowledgement`].
pub const MAX_REPORTS: usize = 4;
/// Maximum number of streams in one report, in one [`Message::Acknowledgement`], and held by one node.
pub const MAX_STREAMS: usize = 32;
/// Maximum number of parent candidates in one [`Message::Placement`].
pub const MAX_PARENTS: usize = 8;

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a control node: asks for the sender's position in the tree.
    Join {
        /// Version of the directory by which the sender was last placed, or 0. Part of the format, but no receiver
        /// reads it.
        directory_version: u64,
    },
    /// From a control node: the receiver's position in the tree.
    Placement {
        /// Version of the control node's directory.
        directory_version: u64,
        /// Hash of the region's listing, which defines the numbering of the slots.
        listing_hash: u32,
        /// Index of the receiver's region.
        region: u16,
        /// The receiver's slot in the region.
        slot: u16,
        /// Number of slots in the region.
        slots: u16,
        /// Candidates for the receiver's parent, the preferred one first. The members among them precede the receiver
        /// in a total order of the region, so that parents and children can't form a cycle.
        parents: Vec<Peer>,
    },
    /// From a control node: the directory does not list the receiver.
    NotListed {
        /// Version of the directory that does not list the receiver.
        directory_version: u64,
    },
    /// From a child to its parent: registers the child, and reports what it has received and what its subtree has
    /// applied.
    Acknowledgement {
        /// For each stream, the number up to which the child has received its entries.
        received: Vec<(StreamId, SequenceNumber)>,
        /// What the child's subtree has applied: one report for each region and listing hash.
        reports: Vec<SubtreeReport>,
    },
    /// From a child to its parent: the child has changed to another parent, or stops.
    Leave,
    /// Rejects an acknowledgement: the sender has no room for another child.
    Full,
    /// From a parent to a child, or between control nodes: shows how recent the sender's contact with the control nodes
    /// is, and how far the streams reach.
    Heartbeat {
        /// Milliseconds since a control node sent the newest heartbeat that has reached the sender; 0 from a control
        /// node itself, `u32::MAX` if none has reached the sender.
        staleness_ms: u32,
        /// Version of the directory that the sender knows; 0 if it knows none.
        directory_version: u64,
        /// Hash of the listing of the receiver's region.
        listing_hash: u32,
        /// Tips of the streams that advanced recently, and of some of the others in rotation.
        tips: Vec<StreamTip>,
        /// Digest of all settings that the sender holds; `None` in the heartbeats that carry no digest.
        settings_digest: Option<u32>,
    },
    /// Consecutive entries of a stream.
    Batch {
        /// The stream of the entries.
        stream: StreamId,
        /// Number of the first entry.
        first: SequenceNumber,
        /// The entries, numbered consecutively from `first`.
        entries: Vec<AgedEntry>,
    },
    /// From a child, or between control nodes: asks for missing entries (a negative acknowledgement).
    RepairRequest {
        /// The stream with the missing entries.
        stream: StreamId,
        /// First and last number of each missing range; empty to ask for a snapshot.
        ranges: Vec<(SequenceNumber, SequenceNumber)>,
    },
    /// Answers a repair request for entries that the sender no longer holds or does not send: its log begins at `next`
    /// for the receiver.
    Snapshot {
        /// The stream of the log.
        stream: StreamId,
        /// Number at which the receiver continues.
        next: SequenceNumber,
        /// Age of the youngest purge before `next` that has not expired: cached responses of at least this age may be
        /// affected by the purges left out. `None`: there is none, or the stream is of settings.
        min_accepted_age_ms: Option<u32>,
    },
    /// Asks for the parts of the settings table from one part on.
    SettingsRequest {
        /// Index of the first part that is requested.
        part: u16,
    },
    /// One part of the settings table. Parts with the same digest belong to the same state of the table.
    SettingsPart {
        /// Digest of the whole table, hosts in state [`DesiredState::Listed`](crate::DesiredState::Listed) included.
        digest: u32,
        /// Index of this part, from 0.
        part: u16,
        /// Number of parts of the table.
        parts: u16,
        /// The settings of this part.
        settings: Vec<SettingVersion>,
    },
    /// Between control nodes: what the sender's own children report, by region.
    RegionReports {
        /// Version of the sender's directory. Part of the format, but no receiver reads it.
        directory_version: u64,
        /// Time of the sender's hybrid logical clock.
        clock: HybridTimestamp,
        /// One report for each region.
        reports: Vec<RegionReport>,
    },
    /// To a control node: the sender knows a later incarnation of the receiver, as when the receiver started with its
    /// clock set back.
    SupersededIncarnation {
        /// Index of the receiver.
        control: ControlId,
        /// The latest incarnation of the receiver that the sender knows.
        incarnation: Incarnation,
    },
    /// From a node that suspects its parent to have failed, to its other candidates: asks how recent their contact with
    /// the control nodes is and whether they have room for a child.
    Probe,
    /// Answers [`Message::Probe`]; sent only by a node that has room for a child.
    ProbeReply {
        /// As in [`Message::Heartbeat`].
        staleness_ms: u32,
    },
}
