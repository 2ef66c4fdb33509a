//! A control node's own streams: entries are numbered, sent with the heartbeats, and continued under a greater
//! incarnation where a later one is known elsewhere.

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

/// Purges that wait to be sent. When full, a purge of everything replaces further ones, until there is room. Settings
/// wait as long as their log holds them; after that the table of settings replaces them.
pub const MAX_UNSENT_PUBLICATIONS: u64 = 16_383;
/// Batches of one kind that are sent with one heartbeat.
const MAX_PUBLISH_BATCHES: usize = 16;

/// By which budget publications are sent. All of them count against the common one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendAllowance {
    /// While the common budget has credit.
    Common,
    /// While more than half of the common budget is left.
    Surplus,
    /// While the settings' own share has credit, also where purges have used up the common budget.
    SettingsShare,
}

impl Node {
    /// Numbers what is to be published, each entry in its stream, in the order given. It is sent with the next
    /// heartbeat. Returns the ids of the entries, or of those that replace them; a member publishes nothing.
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

    /// The next stream tips advertise all that is published, also what waits to be sent.
    pub(super) fn note_tips_advertised(&mut self) {
        let Some(control) = &mut self.control else { return };
        if let Some(stream) = self.streams.get(control.stream(StreamKind::Purges)) {
            control.publications.last_advertised_purge = stream.received();
        }
    }

    /// Sends what is published, as far as the budgets allow: settings by their own share first, so that they don't wait
    /// behind a burst of purges; then purges; then more settings, as long as half of the budget is left to purges.
    pub(super) fn send_publications(&mut self, now: Duration) {
        self.send_publications_of(now, StreamKind::Configuration, SendAllowance::SettingsShare);
        self.send_publications_of(now, StreamKind::Purges, SendAllowance::Common);
        self.send_publications_of(now, StreamKind::Configuration, SendAllowance::Surplus);
    }

    /// A later incarnation of a control node is known elsewhere.
    pub(super) fn on_superseded(&mut self, now: Duration, id: ControlId, incarnation: Incarnation) {
        let Some(control) = self.control.as_ref().filter(|control| control.id == id) else { return };
        if incarnation > control.publications.incarnation && incarnation.0 < MAX_CLOCK_UNIX_MS {
            self.reincarnate(now, Incarnation(incarnation.0 + 1));
        }
    }

    /// A stream is advertised by another node. Where it is this control node's, of a later incarnation or longer than
    /// what was published, that was published by an incarnation whose state is lost.
    pub(super) fn on_own_stream_advertised(&mut self, now: Duration, id: StreamId, last: SequenceNumber) {
        let Some(control) = self.control.as_ref().filter(|control| control.id == id.control) else { return };
        let own = control.publications.incarnation;
        let published = self.streams.get(id).map(|stream| stream.received()).unwrap_or_default();
        let is_longer = id.incarnation == own && last > published && last.0 != u64::MAX;
        if (id.incarnation > own || is_longer) && id.incarnation.0 < MAX_CLOCK_UNIX_MS {
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
            // An entry that no node accepts would be a gap in the stream.
            self.counters.entries_rejected += 1;
            return None;
        }
        let made_at = Timestamp::ago(now, Duration::ZERO);
        let id = self.append(now, StreamKind::Configuration, made_at, Entry::Setting(setting.clone()))?;
        self.insert_setting(SettingVersion { stream: id.0, number: id.1, setting });
        Some(id)
    }

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
        // A node to which its number was advertised may have requested and applied it, and would not apply it again.
        if is_full_purge && last > last_advertised {
            stream.refresh_timestamp(now, last);
            return Some((id, last));
        }
        self.append(now, StreamKind::Purges, Timestamp::ago(now, Duration::ZERO), everything)
    }

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

    /// Continues this node's streams under a greater incarnation, with what the one before published within the purge
    /// window.
    fn reincarnate(&mut self, now: Duration, incarnation: Incarnation) {
        let Some(control) = &mut self.control else { return };
        let before = [StreamKind::Purges, StreamKind::Configuration].map(|kind| control.stream(kind));
        if !control.publications.reincarnate(now, incarnation) {
            return;
        }
        self.config.identity.incarnation = incarnation;
        self.outputs.push(Output::IncarnationSuperseded { incarnation });
        for id in before {
            let window = self.config.purge_window;
            let entries =
                self.streams.get(id).map(|stream| stream.entries_within(now, window)).unwrap_or_default();
            for LogEntry { timestamp, entry } in entries {
                self.append(now, id.kind, timestamp, entry);
            }
        }
    }
}
