//! What nodes say to each other. Values only; how they travel is the link's matter.

use crate::words::{Aged, ControlId, Incarnation, Number, Peer, Refusal, Stamp, StreamId, Version};
use serde::{Deserialize, Serialize};

/// Entries of one batch, settings of one part, ranges of one ask, tips of one pulse, rows of one table: what is decoded
/// has no more.
pub const MAX_ENTRIES: usize = 128;
pub const MAX_SETTINGS: usize = 32;
pub const MAX_RANGES: usize = 8;
pub const MAX_TIPS: usize = 16;
pub const MAX_ROWS: usize = 8;
pub const MAX_REPORTS: usize = 4;
pub const MAX_BEHIND: usize = 4;
pub const MAX_REFUSED: usize = 4;
/// Streams of one report, and of one `has`.
pub const MAX_STREAMS: usize = 32;
pub const MAX_PARENTS: usize = 8;
/// Members of one region.
pub const MAX_SLOTS: usize = 1024;

/// Members of a region by their slots, eight a byte; as long as the region's slots need.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slots(pub Vec<u8>);

/// How far a stream goes at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tip {
    pub stream: StreamId,
    /// The first that the sender still holds, and the last it knows of.
    pub first: Number,
    pub last: Number,
}

/// Who of a subtree is there, and how far all of them have it in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    pub region: u16,
    /// By which listing of the region the slots are counted.
    pub near: u32,
    pub slots: Slots,
    /// In force at all of them, of every stream that all of them know; a stream that is not named is not known to some.
    /// Always whole: the slots may be others than last time.
    pub in_force: Vec<(StreamId, Number)>,
    /// The worst of them, and what they have.
    pub behind: Vec<(u16, StreamId, Number)>,
    /// Settings that members refuse: how many, and why.
    pub refused: Vec<(StreamId, Number, Refusal, u16)>,
}

/// A region as a control node hears of it, for the other control nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Row {
    pub report: Report,
    /// Milliseconds since the oldest report in it.
    pub age_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To control: where do I stand, and by which directory was I placed last (0: none)?
    Join { directory: u64 },
    /// The sender's place in the tree. `parents` by preference; each stands above it in one order over the region, so
    /// that no circle can arise.
    Near { directory: u64, near: u32, region: u16, slot: u16, slots: u16, parents: Vec<Peer> },
    /// The directory does not name you.
    Unknown { directory: u64 },
    /// From a child: I follow you, this I have, and this is in force below me.
    Ack { has: Vec<(StreamId, Number)>, reports: Vec<Report> },
    /// From a child: I follow another now, or end.
    Leave,
    /// From a parent that has as many children as it may.
    Full,
    /// From a parent.
    Pulse {
        /// Milliseconds since a control node made the newest pulse that this one rests on.
        stale_ms: u32,
        directory: u64,
        near: u32,
        /// Streams that moved lately, and the others in turn.
        tips: Vec<Tip>,
        /// Over all settings held, at some pulses.
        settings: Option<u32>,
    },
    /// Entries in a row, the first of this number.
    Batch { stream: StreamId, first: Number, entries: Vec<Aged> },
    /// From a child, or a control node to another: these are missing here. No ranges: a snapshot is wanted.
    Ask { stream: StreamId, ranges: Vec<(Number, Number)> },
    /// All before `next` is not held any more; of what binds still, all is at least `floor_age_ms` old (none: nothing
    /// of it binds).
    Snapshot { stream: StreamId, next: Number, floor_age_ms: Option<u32> },
    /// The settings differ from those of the pulse: send all, from this part on.
    WantSettings { part: u16 },
    /// One part of all settings. The digest is over all of them, those that are just listed too; parts of one digest
    /// belong together.
    Settings { digest: u32, part: u16, parts: u16, settings: Vec<Version> },
    /// Among control nodes: regions as heard of directly.
    Rows { directory: u64, clock: Stamp, rows: Vec<Row> },
    /// To a control node that began with a clock set back: a later life of it is known.
    Outlived { control: ControlId, incarnation: Incarnation },
    /// To all other candidates, of one whose parent is in doubt: how fresh are you, and would you have room?
    Probe,
    /// The answer of one that has room. `stale_ms` as in a pulse.
    Fresh { stale_ms: u32 },
}
