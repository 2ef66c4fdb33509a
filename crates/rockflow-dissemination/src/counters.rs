//! What a node counts.

use crate::message::Message;

/// Messages by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// [`Message::Join`].
    pub join: u64,
    /// [`Message::Placement`].
    pub placement: u64,
    /// [`Message::NotListed`].
    pub not_listed: u64,
    /// [`Message::Acknowledgement`].
    pub acknowledgement: u64,
    /// [`Message::Leave`].
    pub leave: u64,
    /// [`Message::Full`].
    pub full: u64,
    /// [`Message::Heartbeat`].
    pub heartbeat: u64,
    /// [`Message::Batch`].
    pub batch: u64,
    /// [`Message::RepairRequest`].
    pub repair_request: u64,
    /// [`Message::Snapshot`].
    pub snapshot: u64,
    /// [`Message::SettingsRequest`].
    pub settings_request: u64,
    /// [`Message::SettingsPart`].
    pub settings_part: u64,
    /// [`Message::RegionReports`].
    pub region_reports: u64,
    /// [`Message::SupersededIncarnation`].
    pub superseded_incarnation: u64,
    /// [`Message::Probe`].
    pub probe: u64,
    /// [`Message::ProbeReply`].
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

/// Events since the node was created. Each counter only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages received.
    pub messages_in: MessageCounts,
    /// Messages sent.
    pub messages_out: MessageCounts,
    /// Entries accepted: new to this incarnation.
    pub accepted: u64,
    /// Entries received again, `stale_numbers` among them.
    pub duplicates: u64,
    /// Entries whose numbers the log had dropped.
    pub stale_numbers: u64,
    /// Entries whose numbers were held with another content.
    pub conflicts: u64,
    /// Entries rejected: of the wrong kind, of an unknown control node or a retired stream, or too far ahead.
    pub entries_rejected: u64,
    /// Purges of everything in place of purges that were lost.
    pub substitute_purges: u64,
    /// Repair requests sent.
    pub repair_requests_sent: u64,
    /// Requests for entries and settings that were answered.
    pub repair_requests_answered: u64,
    /// Requests dropped by the rate limits; they are repeated.
    pub repair_requests_throttled: u64,
    /// Publications for which a purge of everything stands.
    pub publications_folded: u64,
    /// Acknowledgements for which there was no room for another child.
    pub children_rejected: u64,
    /// Changes of the parent.
    pub parent_changes: u64,
    /// Settings rejected here.
    pub settings_rejected: u64,
    /// Settings that met a concurrent version.
    pub concurrent_settings: u64,
    /// Streams dropped while another incarnation of their control node goes on.
    pub streams_retired: u64,
    /// Times that all pending tokens were replaced by one, as too many were unconfirmed.
    pub token_overflows: u64,
    /// Reports dropped for lack of room, or because they go by an unknown listing.
    pub reports_dropped: u64,
    /// Times that this process did not run for a while.
    pub process_pauses: u64,
    /// Messages from nodes that may not send them: not a control node, or not the parent.
    pub unexpected_messages: u64,
}
