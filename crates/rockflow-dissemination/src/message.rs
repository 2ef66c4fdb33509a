//! Messages between nodes, and the limits of what one may carry. The encoding has no names: the order of variants and
//! fields is the format.

use crate::entry::{AgedEntry, SequenceNumber, StreamId};
use crate::identity::{ControlId, Incarnation, Peer};
use crate::setting::{HybridTimestamp, SettingVersion};
use crate::stream::StreamTip;
use crate::subtree_report::{RegionReport, SubtreeReport};
use serde::{Deserialize, Serialize};

/// Entries in one [`Message::Batch`].
pub const MAX_BATCH_ENTRIES: usize = 128;
/// Settings in one [`Message::SettingsPart`].
pub const MAX_SETTINGS_PER_PART: usize = 32;
/// Ranges in one [`Message::RepairRequest`].
pub const MAX_RANGES: usize = 8;
/// Stream tips in one [`Message::Heartbeat`].
pub const MAX_TIPS: usize = 16;
/// Reports in one [`Message::RegionReports`].
pub const MAX_REGION_REPORTS: usize = 8;
/// Reports in one [`Message::Acknowledgement`].
pub const MAX_REPORTS: usize = 4;
/// Streams in one report, in one [`Message::Acknowledgement`], and held by one node.
pub const MAX_STREAMS: usize = 32;
/// Parent candidates in one [`Message::Placement`].
pub const MAX_PARENTS: usize = 8;

/// What one node sends to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a control node: asks for the sender's place in the tree.
    Join {
        /// Version of the directory by which the sender was placed last; 0: none. Part of the format, read by nobody.
        directory_version: u64,
    },
    /// From a control node: the receiver's place in the tree.
    Placement {
        /// Version of the directory.
        directory_version: u64,
        /// Hash of the region's listing, by which slots are counted.
        listing_hash: u32,
        /// Index of the region.
        region: u16,
        /// The receiver's slot in the region.
        slot: u16,
        /// Slots of the region.
        slots: u16,
        /// Candidates by preference. Each stands above the receiver in one order over the region, so that following
        /// them can't form a cycle.
        parents: Vec<Peer>,
    },
    /// From a control node: the directory does not list the receiver.
    NotListed {
        /// Version of the directory.
        directory_version: u64,
    },
    /// From a child: it follows the receiver, has received this, and its subtree has applied this.
    Acknowledgement {
        /// Streams and the number up to which the child has received them.
        received: Vec<(StreamId, SequenceNumber)>,
        /// What the child's subtree has applied, by region and listing.
        reports: Vec<SubtreeReport>,
    },
    /// From a child: it follows another parent now, or stops.
    Leave,
    /// From a node that has no room for another child.
    Full,
    /// From a parent, or between control nodes.
    Heartbeat {
        /// Milliseconds since a control node sent the newest heartbeat on which this one rests.
        staleness_ms: u32,
        /// Version of the directory.
        directory_version: u64,
        /// Hash of the region's listing.
        listing_hash: u32,
        /// Streams that advanced recently, and some of the others in rotation.
        tips: Vec<StreamTip>,
        /// Digest of all settings held, in some heartbeats.
        settings_digest: Option<u32>,
    },
    /// Consecutive entries of a stream.
    Batch {
        /// The stream.
        stream: StreamId,
        /// Number of the first entry.
        first: SequenceNumber,
        /// The entries.
        entries: Vec<AgedEntry>,
    },
    /// From a child, or between control nodes: a negative acknowledgement of these ranges.
    RepairRequest {
        /// The stream.
        stream: StreamId,
        /// First and last number of each missing range. Empty: a snapshot is wanted.
        ranges: Vec<(SequenceNumber, SequenceNumber)>,
    },
    /// The sender's log no longer holds the entries before `next`.
    Snapshot {
        /// The stream.
        stream: StreamId,
        /// First number that the log holds.
        next: SequenceNumber,
        /// Age of the youngest entry before `next` that has not expired: what is at least this old may be affected.
        /// `None`: all of them have expired.
        min_accepted_age_ms: Option<u32>,
    },
    /// Asks for the table of settings.
    SettingsRequest {
        /// First part that is wanted.
        part: u16,
    },
    /// One part of the table of settings. Parts of the same digest belong together.
    SettingsPart {
        /// Digest of the whole table, hosts in state [`DesiredState::Listed`](crate::DesiredState::Listed) included.
        digest: u32,
        /// Index of this part.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// The settings of this part.
        settings: Vec<SettingVersion>,
    },
    /// Between control nodes: regions as reported to the sender directly.
    RegionReports {
        /// Version of the sender's directory. Part of the format, read by nobody.
        directory_version: u64,
        /// The sender's hybrid clock.
        clock: HybridTimestamp,
        /// The reports.
        reports: Vec<RegionReport>,
    },
    /// To a control node that started with a clock set back: a later incarnation of it is known.
    SupersededIncarnation {
        /// The receiver.
        control: ControlId,
        /// Its latest known incarnation.
        incarnation: Incarnation,
    },
    /// To the other candidates, from a node with a suspect parent: asks how fresh they are and whether they have room.
    Probe,
    /// Answers [`Message::Probe`], from a node that has room.
    ProbeReply {
        /// As in [`Message::Heartbeat`].
        staleness_ms: u32,
    },
}
