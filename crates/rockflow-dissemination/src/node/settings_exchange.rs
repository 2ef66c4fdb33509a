//! Exchange of whole settings tables with nodes whose digest of the settings differs.

use super::{Node, Sender};
use crate::encoded_size;
use crate::entry::StreamKind;
use crate::identity::Identity;
use crate::message::{Message, MAX_SETTINGS_PER_PART};
use crate::setting::SettingVersion;
use crate::settings_table::MAX_PARTS_AT_ONCE;
use crate::table_sync::{FetchedTable, MismatchAction, TablePart};
use std::net::SocketAddr;
use std::time::Duration;

/// Digests are not compared while a configuration stream has a gap, unless the gap has been open for this many
/// heartbeat intervals.
const OLD_GAP_HEARTBEATS: u32 = 8;

impl Node {
    /// Compares the settings digest of a parent or control node with this node's. If they differ, waits, requests the
    /// other node's table, or sends it this node's table.
    pub(super) fn compare_digest(&mut self, now: Duration, sender: Sender, digest: u32) {
        let Sender { identity: from, address } = sender;
        if digest == self.settings.digest() {
            self.table_sync.clear_mismatch(from.node);
            return;
        }
        if self.has_recent_configuration_gap(now) {
            return;
        }
        match self.table_sync.on_mismatch(now, from, address) {
            MismatchAction::Wait => {}
            MismatchAction::Fetch(to, message) => self.send(to, message),
            MismatchAction::Send(part) => {
                let next = self.send_settings_parts(now, address, part);
                self.table_sync.record_futile_fetch(now, from.node, next);
            }
        }
    }

    /// Whether settings are missing that a repair may still bring soon.
    fn has_recent_configuration_gap(&self, now: Duration) -> bool {
        let limit = self.config.heartbeat_interval * OLD_GAP_HEARTBEATS;
        self.streams
            .iter()
            .filter(|stream| stream.id.kind == StreamKind::Configuration && stream.has_gap())
            .any(|stream| stream.gap_since().is_some_and(|since| now.saturating_sub(since) < limit))
    }

    /// Answers a request for the settings table with a few parts, starting with `part`.
    pub(super) fn on_settings_request(&mut self, now: Duration, from: SocketAddr, part: u16) {
        self.send_settings_parts(now, from, part);
    }

    /// Sends a few parts of the settings table, starting with `part`. Returns the part with which to continue, or
    /// `None` if the last part was sent.
    fn send_settings_parts(&mut self, now: Duration, to: SocketAddr, part: u16) -> Option<u16> {
        if !self.rate_limits.tables.has_credit(now) {
            self.counters.repair_requests_throttled += 1;
            return Some(part);
        }
        self.counters.repair_requests_answered += 1;
        let mut next = None;
        for message in self.settings.messages(part) {
            if let Message::SettingsPart { part, parts, .. } = message {
                next = part.checked_add(1).filter(|next| *next < parts);
            }
            self.rate_limits.tables.consume(encoded_size::message(&message));
            self.send(to, message);
        }
        next
    }

    /// Handles one part of another node's settings table. Requests further parts if this node is fetching the table.
    pub(super) fn on_settings_part(
        &mut self,
        now: Duration,
        from: Identity,
        part: TablePart,
        settings: Vec<SettingVersion>,
    ) {
        for version in settings.into_iter().take(MAX_SETTINGS_PER_PART) {
            if usize::from(version.stream.control.0) >= self.config.control.len() {
                self.counters.entries_rejected += 1;
                continue;
            }
            self.insert_setting(version);
        }
        let (request, fetched) = self.table_sync.on_part(now, from, part, MAX_PARTS_AT_ONCE as u16);
        if let Some((to, message)) = request {
            self.send(to, message);
        }
        if let Some(fetched) = fetched {
            self.on_table_fetched(now, fetched);
        }
    }

    /// Continues streams after the entries that a completely fetched table replaces.
    fn on_table_fetched(&mut self, now: Duration, fetched: FetchedTable) {
        for (id, next) in fetched.skips {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.skip_to(next, None);
                stream.update_gap(now, self.config.heartbeat_interval / 2);
                self.apply_queue.touch(id);
            }
        }
    }
}
