//! What a node has done or wants done, and what it counts.

use crate::apply_tokens::ApplyToken;
use crate::entry::{EntryId, Purge, SequenceNumber, StreamId};
use crate::identity::Incarnation;
use crate::message::Message;
use crate::setting::DesiredState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a control node is asked to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Publication {
    /// `age`: since the board made it.
    Purge {
        purge: Purge,
        age: Duration,
    },
    Setting {
        host: String,
        desired: DesiredState,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Each to be put in effect, with its age; a floor is a purge of everything. To be confirmed by `in_effect`. At a
    /// control node these are the purges that others published, and nothing has to be confirmed.
    Purge {
        purges: Vec<(Purge, Duration)>,
        token: ApplyToken,
    },
    /// All hosts that are wanted otherwise than listed, what changed, and what was refused before and is to be judged
    /// again. To be answered by `in_effect`, after a `refuse` for each that can't be put in force.
    Configure {
        settings: BTreeMap<String, DesiredState>,
        changed: Vec<(EntryId, String)>,
        token: ApplyToken,
    },
    /// At a control node: seen for the first time in force everywhere, so long after its publication.
    ReplicatedToAll {
        stream: StreamId,
        number: SequenceNumber,
        after: Duration,
    },
    /// A later life of this control node was known; it has begun this one above it by itself.
    IncarnationSuperseded {
        incarnation: Incarnation,
    },
}

/// Frames by their kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    pub join: u64,
    pub placement: u64,
    pub not_listed: u64,
    pub acknowledgement: u64,
    pub leave: u64,
    pub full: u64,
    pub heartbeat: u64,
    pub batch: u64,
    pub repair_request: u64,
    pub snapshot: u64,
    pub settings_request: u64,
    pub settings_part: u64,
    pub region_reports: u64,
    pub superseded_incarnation: u64,
    pub probe: u64,
    pub probe_reply: u64,
}

impl MessageCounts {
    pub(crate) fn count(&mut self, message: &Message) {
        let counter = match message {
            Message::Join { .. } => &mut self.join,
            Message::Placement { .. } => &mut self.placement,
            Message::NotListed { .. } => &mut self.not_listed,
            Message::Acknowledgement { .. } => &mut self.acknowledgement,
            Message::Leave => &mut self.leave,
            Message::Full => &mut self.full,
            Message::Heartbeat { .. } => &mut self.heartbeat,
            Message::Batch { .. } => &mut self.batch,
            Message::RepairRequest { .. } => &mut self.repair_request,
            Message::Snapshot { .. } => &mut self.snapshot,
            Message::SettingsRequest { .. } => &mut self.settings_request,
            Message::SettingsPart { .. } => &mut self.settings_part,
            Message::RegionReports { .. } => &mut self.region_reports,
            Message::SupersededIncarnation { .. } => &mut self.superseded_incarnation,
            Message::Probe => &mut self.probe,
            Message::ProbeReply { .. } => &mut self.probe_reply,
        };
        *counter += 1;
    }
}

/// Counts, for whoever looks on. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub messages_in: MessageCounts,
    pub messages_out: MessageCounts,
    /// Entries taken: new to this life.
    pub accepted: u64,
    /// Entries heard again, numbers that run backwards among them.
    pub duplicates: u64,
    /// Entries of numbers that were dropped from their stream's log since.
    pub stale_numbers: u64,
    /// Another content under a number that is held.
    pub conflicts: u64,
    /// Entries not taken: of the wrong kind, an unknown control node, a life that is over, or too far ahead.
    pub entries_rejected: u64,
    /// Floors put in effect in place of purges that were not to be had.
    pub substitute_purges: u64,
    pub repair_requests_sent: u64,
    pub repair_requests_answered: u64,
    /// Asks dropped for lack of bytes; they come again.
    pub repair_requests_throttled: u64,
    /// Publications for which a purge of everything stands.
    pub publications_folded: u64,
    /// Children turned away.
    pub children_rejected: u64,
    pub parent_changes: u64,
    /// Settings refused here.
    pub settings_rejected: u64,
    /// Settings that met one that did not know of them.
    pub concurrent_settings: u64,
    /// Streams dropped while another life of their control node goes on.
    pub streams_retired: u64,
    /// Tickets given up for a floor, since too many were never confirmed.
    pub token_overflows: u64,
    /// Reports for which there was no room, or that were of no listing known here.
    pub reports_dropped: u64,
    /// Times that this process stood still and took nobody's silence for a loss.
    pub process_pauses: u64,
    /// Frames that only a control node, or a parent, may send.
    pub unexpected_messages: u64,
}
