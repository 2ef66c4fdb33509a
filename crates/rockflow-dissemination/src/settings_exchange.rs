//! Settings as a node takes them and gives them, whole tables among them.

use crate::encoded_size;
use crate::entry::StreamKind;
use crate::identity::Identity;
use crate::message::{Message, MAX_SETTINGS_PER_PART};
use crate::node::Node;
use crate::output::Output;
use crate::setting::SettingVersion;
use crate::settings::MAX_PARTS_AT_ONCE;
use crate::table_sync::{FetchedTable, MismatchAction};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A configuration gap that is older than so many pulses doesn't keep a digest from being compared.
const OLD_GAP_HEARTBEATS: u32 = 8;

impl Node {
    /// A digest of all settings, by one whose table may be asked for.
    pub(crate) fn compare_digest(&mut self, now: Duration, from: Identity, at: SocketAddr, digest: u32) {
        if digest == self.settings.digest() {
            self.tables.clear_mismatch(from.node);
            return;
        }
        let old = self.config.heartbeat_interval * OLD_GAP_HEARTBEATS;
        let open = self
            .streams
            .iter()
            .filter(|stream| stream.id.kind == StreamKind::Configuration && stream.has_gap());
        let young = |since: Duration| now.saturating_sub(since) < old;
        if open.into_iter().any(|stream| stream.gap_since().is_some_and(young)) {
            return;
        }
        match self.tables.on_mismatch(now, from, at) {
            MismatchAction::Wait => {}
            MismatchAction::Fetch(to, message) => self.send(to, message),
            MismatchAction::Send(part) => {
                let next = self.send_settings_parts(now, at, part);
                self.tables.record_futile_fetch(now, from.node, next);
            }
        }
    }

    pub(crate) fn on_settings_request(&mut self, now: Duration, at: SocketAddr, part: u16) {
        self.send_settings_parts(now, at, part);
    }

    /// The part behind those that were sent; none: they were the last.
    fn send_settings_parts(&mut self, now: Duration, at: SocketAddr, part: u16) -> Option<u16> {
        if !self.table_budget.has_credit(now) {
            self.counters.repair_requests_throttled += 1;
            return Some(part);
        }
        self.counters.repair_requests_answered += 1;
        let mut next = None;
        for message in self.settings.messages(part) {
            if let Message::SettingsPart { part, parts, .. } = message {
                next = part.checked_add(1).filter(|next| *next < parts);
            }
            self.table_budget.consume(encoded_size::message(&message));
            self.send(at, message);
        }
        next
    }

    pub(crate) fn on_settings_part(
        &mut self,
        now: Duration,
        from: Identity,
        of: (u32, u16, u16),
        settings: Vec<SettingVersion>,
    ) {
        for version in settings.into_iter().take(MAX_SETTINGS_PER_PART) {
            if usize::from(version.stream.control.0) >= self.config.control.len() {
                self.counters.entries_rejected += 1;
                continue;
            }
            self.apply_setting_version(version);
        }
        let (asking, on_table_fetched) = self.tables.on_part(now, from, of, MAX_PARTS_AT_ONCE as u16);
        if let Some((to, message)) = asking {
            self.send(to, message);
        }
        if let Some(on_table_fetched) = on_table_fetched {
            self.on_table_fetched(now, on_table_fetched);
        }
    }

    /// A whole table is here: streams go on by it.
    fn on_table_fetched(&mut self, now: Duration, on_table_fetched: FetchedTable) {
        for (id, next) in on_table_fetched.skips {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.skip_to(next, None);
                stream.update_gap(now, self.config.heartbeat_interval / 2);
                self.touched_streams.insert(id);
            }
        }
    }

    /// The whole table for the caller, where it changed.
    pub(crate) fn emit_settings(&mut self) {
        if self.changed_settings.is_empty() {
            return;
        }
        let token = self.next_token();
        let mut changed = std::mem::take(&mut self.changed_settings);
        let again = self.quarantined.retry_under(&self.settings, token);
        let new: BTreeSet<_> = changed.iter().map(|(id, _)| *id).collect();
        changed.extend(again.into_iter().filter(|(id, _)| !new.contains(id)));
        if self.control.is_none() {
            if self.pending_settings.is_full() {
                self.counters.token_overflows += 1;
                self.pending_settings.clear();
                let all = self.streams.iter().filter(|stream| stream.id.kind == StreamKind::Configuration);
                self.touched_streams.extend(all.map(|stream| stream.id));
            }
            let judged = changed.iter().map(|(id, _)| *id).collect();
            self.pending_settings.issue(token, judged);
        }
        self.outputs.push(Output::Configure { settings: self.settings.desired_states(), changed, token });
    }
}
