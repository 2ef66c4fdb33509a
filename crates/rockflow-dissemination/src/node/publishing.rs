//! Publishing at a control node: entries are numbered and sent with the heartbeats. If another node knows a later
//! incarnation of this control node, its streams continue under a greater one.

use super::Node;
use crate::encoded_size;
use crate::entry::{Entry, EntryId, Purge, SequenceNumber, StreamId, StreamKind};
use crate::identity::{ControlId, Incarnation};
use crate::message::Message;
use crate::output::{Output, Publication};
use crate::setting::{HostSetting, SettingVersion, MAX_CLOCK_UNIX_MS, MAX_NAME_BYTES};
use crate::stream::LogEntry;
use crate::timestamp::Timestamp;
use std::time::Duration;

/// Most purges that wait to be sent. Beyond that, a purge of everything replaces further ones until there is room.
/// Settings wait as long as their log holds them; after that, other nodes receive them with the settings table.
pub const MAX_UNSENT_PUBLICATIONS: u64 = 16_383;
/// Most batches of one stream that are sent under one allowance with each heartbeat.
const MAX_PUBLISH_BATCHES: usize = 16;

/// Which budget limits what is sent. All bytes sent are charged to the common budget, whichever the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendAllowance {
    /// While the common budget has credit.
    Common,
    /// While more than half of the common budget is left.
    Surplus,
    /// While the settings' own share has credit, even if purges have used up the common budget.
    SettingsShare,
}

impl Node {
    /// Appends publications to the streams of this control node in the order given. They are sent with the next
    /// heartbeat, as far as the budgets allow.
    ///
    /// Returns the id of the entry for each publication that is accepted. Purges beyond [`MAX_UNSENT_PUBLICATIONS`]
    /// have the id of the purge of everything that replaces them. A member publishes nothing.
    pub fn publish(&mut self, now: Duration, publications: Vec<Publication>) -> (Vec<EntryId>, Vec<Output>) {
        let now = self.advance_clock(now);
        let mut ids = Vec::new();
        if self.control.is_some() && !self.stopped {
            for publication in publications {
                ids.extend(self.publish_one(now, publication));
            }
        }
        (ids, self.flush(now, None))
    }

    /// Records that the stream tips in the next message advertise all published purges, including those that still wait
    /// to be sent.
    pub(super) fn record_tips_advertised(&mut self) {
        let Some(control) = &mut self.control else { return };
        if let Some(stream) = self.streams.get(control.stream(StreamKind::Purges)) {
            control.publications.last_advertised_purge = stream.received();
        }
    }

    /// Sends published entries as far as the budgets allow: first settings within their own share, so that they don't
    /// wait behind a burst of purges; then purges; then more settings, while more than half of the common budget is
    /// left for purges.
    pub(super) fn send_publications(&mut self, now: Duration) {
        self.send_publications_of(now, StreamKind::Configuration, SendAllowance::SettingsShare);
        self.send_publications_of(now, StreamKind::Purges, SendAllowance::Common);
        self.send_publications_of(now, StreamKind::Configuration, SendAllowance::Surplus);
    }

    /// Handles another node's message that it knows a later incarnation of a control node. If that is this node, its
    /// streams continue under a greater incarnation.
    pub(super) fn on_superseded(&mut self, now: Duration, id: ControlId, incarnation: Incarnation) {
        let Some(control) = self.control.as_ref().filter(|control| control.id == id) else { return };
        if incarnation > control.publications.incarnation && incarnation.0 < MAX_CLOCK_UNIX_MS {
            self.reincarnate(now, Incarnation(incarnation.0 + 1));
        }
    }

    /// Checks whether a stream that another node advertises is this control node's, but has a later incarnation or more
    /// entries than it has published. An earlier process of this node has then published them and its state is lost, so
    /// that the streams have to continue under a greater incarnation.
    pub(super) fn check_own_stream_advertised(&mut self, now: Duration, id: StreamId, last: SequenceNumber) {
        let Some(control) = self.control.as_ref().filter(|control| control.id == id.control) else { return };
        let own_incarnation = control.publications.incarnation;
        let published = self.streams.get(id).map(|stream| stream.received()).unwrap_or_default();
        let is_longer = id.incarnation == own_incarnation && last > published && last.0 != u64::MAX;
        if (id.incarnation > own_incarnation || is_longer) && id.incarnation.0 < MAX_CLOCK_UNIX_MS {
            self.reincarnate(now, Incarnation(id.incarnation.0 + 1));
        }
    }

    fn publish_one(&mut self, now: Duration, publication: Publication) -> Option<EntryId> {
        match publication {
            Publication::Purge { purge, age } => self.publish_purge(now, purge, age),
            Publication::Setting { host, desired } => {
                let replaced = self.settings.latest_timestamp(&host);
                let control = self.control.as_mut()?;
                control.observe_clock(replaced.unix_ms);
                let timestamp = control.next_timestamp(now, replaced);
                self.publish_setting(now, HostSetting { host, desired, timestamp, replaced })
            }
        }
    }

    fn publish_setting(&mut self, now: Duration, setting: HostSetting) -> Option<EntryId> {
        let is_valid_name = !setting.host.is_empty() && setting.host.len() <= MAX_NAME_BYTES;
        if !is_valid_name || setting.timestamp.unix_ms > MAX_CLOCK_UNIX_MS {
            // Other nodes would reject the entry, and its number would be a gap in the stream.
            self.counters.entries_rejected += 1;
            return None;
        }
        let made_at = Timestamp::ago(now, Duration::ZERO);
        let id = self.append(now, StreamKind::Configuration, made_at, Entry::Setting(setting.clone()))?;
        self.insert_setting(SettingVersion { stream: id.0, number: id.1, setting });
        Some(id)
    }

    /// Appends a purge, or folds it into a purge of everything if too many purges wait to be sent.
    fn publish_purge(&mut self, now: Duration, purge: Purge, age: Duration) -> Option<EntryId> {
        let control = self.control.as_ref()?;
        let id = control.stream(StreamKind::Purges);
        let last_sent = control.publications.last_sent(StreamKind::Purges);
        let last_advertised = control.publications.last_advertised_purge;
        let last = self.streams.get(id).map(|stream| stream.received()).unwrap_or_default();
        if last.0.saturating_sub(last_sent.0) < MAX_UNSENT_PUBLICATIONS {
            return self.append(now, StreamKind::Purges, Timestamp::ago(now, age), Entry::Purge(purge));
        }
        self.counters.publications_folded += 1;
        let everything = Entry::Purge(Purge::Everything);
        let stream = self.streams.get_mut(id)?;
        let is_full_purge = stream.get(last).is_some_and(|held| held.entry == everything);
        // The last entry may stand for this purge too if its number was not advertised yet. Otherwise another node may
        // have requested and applied the entry already, and would not apply it again.
        if is_full_purge && last > last_advertised {
            stream.refresh_timestamp(now, last);
            return Some((id, last));
        }
        self.append(now, StreamKind::Purges, Timestamp::ago(now, Duration::ZERO), everything)
    }

    /// Appends an entry to this control node's stream of that kind. `None` if the stream is not accepted.
    fn append(
        &mut self,
        now: Duration,
        kind: StreamKind,
        timestamp: Timestamp,
        entry: Entry,
    ) -> Option<EntryId> {
        let id = self.control.as_ref()?.stream(kind);
        if !self.admit_stream(now, id) {
            self.counters.entries_rejected += 1;
            return None;
        }
        let number = self.streams.get_mut(id)?.append(now, LogEntry { timestamp, entry });
        self.apply_queue.touch(id);
        Some((id, number))
    }

    /// Sends the entries of one stream that have not been sent, as far as the allowance permits.
    fn send_publications_of(&mut self, now: Duration, kind: StreamKind, allowance: SendAllowance) {
        let Some(control) = &mut self.control else { return };
        let Some(stream) = self.streams.get(control.stream(kind)) else { return };
        let publications = &mut control.publications;
        let first = publications.last_sent(kind).next().max(stream.first());
        if first > stream.received() {
            return;
        }
        let mut next = first;
        let mut batches = Vec::new();
        for batch in stream.batches(now, first, stream.received(), MAX_PUBLISH_BATCHES) {
            let bytes = encoded_size::message(&batch);
            let is_allowed = match allowance {
                SendAllowance::Common => publications.budget.has_credit(now),
                SendAllowance::Surplus => publications.budget.is_half_full(now),
                SendAllowance::SettingsShare => publications.settings_budget.has_credit(now),
            };
            if !is_allowed {
                break;
            }
            publications.budget.consume(bytes);
            if allowance == SendAllowance::SettingsShare {
                publications.settings_budget.consume(bytes);
            }
            if let Message::Batch { first, entries, .. } = &batch {
                next = SequenceNumber(first.0.saturating_add(entries.len() as u64));
            }
            batches.push(batch);
        }
        publications.set_last_sent(kind, SequenceNumber(next.0 - 1));
        for to in self.children.addresses().into_iter().chain(self.other_control_addresses()) {
            for batch in &batches {
                self.send(to, batch.clone());
            }
        }
    }

    /// Continues this node's streams under a greater incarnation. The entries that were published under the previous
    /// one within the purge window are published again.
    fn reincarnate(&mut self, now: Duration, incarnation: Incarnation) {
        let Some(control) = &mut self.control else { return };
        let previous_streams =
            [StreamKind::Purges, StreamKind::Configuration].map(|kind| control.stream(kind));
        if !control.publications.reincarnate(now, incarnation) {
            return;
        }
        self.config.identity.incarnation = incarnation;
        self.outputs.push(Output::IncarnationSuperseded { incarnation });
        for id in previous_streams {
            let window = self.config.purge_window;
            let entries =
                self.streams.get(id).map(|stream| stream.entries_within(now, window)).unwrap_or_default();
            for LogEntry { timestamp, entry } in entries {
                self.append(now, id.kind, timestamp, entry);
            }
        }
    }
}
