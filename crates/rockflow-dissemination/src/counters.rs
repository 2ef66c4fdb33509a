//! Counters of a node.

use crate::message::Message;

/// Number of messages of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Number of [`Message::Join`] messages.
    pub join: u64,
    /// Number of [`Message::Placement`] messages.
    pub placement: u64,
    /// Number of [`Message::NotListed`] messages.
    pub not_listed: u64,
    /// Number of [`Message::Acknowledgement`] messages.
    pub acknowledgement: u64,
    /// Number of [`Message::Leave`] messages.
    pub leave: u64,
    /// Number of [`Message::Full`] messages.
    pub full: u64,
    /// Number of [`Message::Heartbeat`] messages.
    pub heartbeat: u64,
    /// Number of [`Message::Batch`] messages.
    pub batch: u64,
    /// Number of [`Message::RepairRequest`] messages.
    pub repair_request: u64,
    /// Number of [`Message::Snapshot`] messages.
    pub snapshot: u64,
    /// Number of [`Message::SettingsRequest`] messages.
    pub settings_request: u64,
    /// Number of [`Message::SettingsPart`] messages.
    pub settings_part: u64,
    /// Number of [`Message::RegionReports`] messages.
    pub region_reports: u64,
    /// Number of [`Message::SupersededIncarnation`] messages.
    pub superseded_incarnation: u64,
    /// Number of [`Message::Probe`] messages.
    pub probe: u64,
    /// Number of [`Message::ProbeReply`] messages.
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

/// Counts of events since the node was created; they never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages received.
    pub messages_in: MessageCounts,
    /// Messages sent.
    pub messages_out: MessageCounts,
    /// Entries accepted, that is, received for the first time in this incarnation.
    pub accepted: u64,
    /// Entries received again, including `stale_numbers`.
    pub duplicates: u64,
    /// Entries received with a number that the log no longer holds.
    pub stale_numbers: u64,
    /// Entries received with a number under which the log holds a different entry.
    pub conflicts: u64,
    /// Entries rejected: of the wrong kind, from an unknown control node or a retired stream, or too far ahead of the
    /// received ones.
    pub entries_rejected: u64,
    /// Purges of everything made in place of purges that were lost.
    pub substitute_purges: u64,
    /// Repair requests sent.
    pub repair_requests_sent: u64,
    /// Requests for entries or settings that this node answered.
    pub repair_requests_answered: u64,
    /// Requests that the rate limits dropped; their senders repeat them.
    pub repair_requests_throttled: u64,
    /// Purges not published themselves, as too many were unsent: one purge of everything is published for them.
    pub publications_folded: u64,
    /// Acknowledgements rejected as there was no room for another child.
    pub children_rejected: u64,
    /// Changes of the parent.
    pub parent_changes: u64,
    /// Settings that this node rejected.
    pub settings_rejected: u64,
    /// Settings received that are concurrent with another version.
    pub concurrent_settings: u64,
    /// Streams dropped because a later incarnation of their control node is known.
    pub streams_retired: u64,
    /// Times that one token replaced all pending ones, as too many were unconfirmed.
    pub token_overflows: u64,
    /// Reports dropped for lack of room, or because their slots are numbered by an unknown listing.
    pub reports_dropped: u64,
    /// Times that the process was paused, for example stopped or starved of processor time.
    pub process_pauses: u64,
    /// Messages from nodes that may not send them, as they are not a control node or not the parent.
    pub unexpected_messages: u64,
}
