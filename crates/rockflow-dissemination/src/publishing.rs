//! A control node's own streams: numbered, sent at the pulses, and begun again above a life that is known elsewhere.

use crate::encoded_size;
use crate::entry::{Entry, EntryId, Purge, SequenceNumber, StreamId, StreamKind};
use crate::identity::{ControlId, Incarnation};
use crate::message::Message;
use crate::node::Node;
use crate::output::{Output, Publication};
use crate::setting::HostSetting;
use crate::setting::{SettingVersion, MAX_NAME_BYTES};
use crate::settings::MAX_CLOCK_UNIX_MS;
use crate::stream::LogEntry;
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Publications that wait to leave. When full, a purge of everything stands for those that come, until there is room.
/// Settings that wait are held as long as their log holds them; after that the whole table stands for them.
pub const MAX_UNSENT_PUBLICATIONS: u64 = 16_383;
/// Frames of entries that leave at one pulse, of one kind.
const MAX_PUBLISH_FRAMES: usize = 16;

/// By what publications may leave. All of them count against the pace.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendAllowance {
    Rate,
    /// Where much of the pace is unused.
    Surplus,
    /// Also where purges have used it up.
    SettingsShare,
}

impl Node {
    /// Numbers what is to be published, each in its stream, in the order given. It leaves with the next pulse. A
    /// member publishes nothing.
    pub fn publish(&mut self, now: Duration, what: Vec<Publication>) -> (Vec<EntryId>, Vec<Output>) {
        let now = self.advance_clock(now);
        let mut ids = Vec::new();
        if self.control.is_some() && !self.stopped {
            for publication in what {
                ids.extend(self.publish_one(now, publication));
            }
        }
        (ids, self.flush(now, None))
    }

    fn publish_one(&mut self, now: Duration, publication: Publication) -> Option<EntryId> {
        match publication {
            Publication::Purge { purge, age } => self.publish_purge(now, purge, age),
            Publication::Setting { host, desired } => {
                let replaced = self.settings.latest_timestamp(&host);
                if let Some(control) = &mut self.control {
                    control.observe_clock(replaced.unix_ms);
                }
                let timestamp = self.control.as_mut()?.next_timestamp(now, replaced);
                let setting = HostSetting { host, desired, timestamp, replaced };
                self.publish_setting(now, setting)
            }
        }
    }

    fn publish_setting(&mut self, now: Duration, setting: HostSetting) -> Option<EntryId> {
        // An entry that nobody takes would be a gap in the stream.
        if setting.host.is_empty()
            || setting.host.len() > MAX_NAME_BYTES
            || setting.timestamp.unix_ms > MAX_CLOCK_UNIX_MS
        {
            self.counters.entries_rejected += 1;
            return None;
        }
        let timestamp = Timestamp::ago(now, Duration::ZERO);
        let id = self.append(now, StreamKind::Configuration, timestamp, Entry::Setting(setting.clone()))?;
        self.apply_setting_version(SettingVersion { stream: id.0, number: id.1, setting });
        Some(id)
    }

    fn publish_purge(&mut self, now: Duration, purge: Purge, age: Duration) -> Option<EntryId> {
        let id = self.control.as_ref()?.stream(StreamKind::Purges);
        let sent = self.last_sent(StreamKind::Purges);
        let last = self.streams.get(id).map(|stream| stream.received()).unwrap_or_default();
        if last.0.saturating_sub(sent.0) < MAX_UNSENT_PUBLICATIONS {
            return self.append(now, StreamKind::Purges, Timestamp::ago(now, age), Entry::Purge(purge));
        }
        self.counters.publications_folded += 1;
        let stream = self.streams.get_mut(id)?;
        let everything = stream.get(last).is_some_and(|held| held.entry == Entry::Purge(Purge::Everything));
        // Who was told of its number may have asked for it and have it; that one would not take it again.
        let folds = everything && last > self.control.as_ref()?.last_advertised_purge;
        if folds {
            stream.refresh_timestamp(now, last);
            return Some((id, last));
        }
        self.append(
            now,
            StreamKind::Purges,
            Timestamp::ago(now, Duration::ZERO),
            Entry::Purge(Purge::Everything),
        )
    }

    /// The tips of a pulse tell of all that was published, also of what waits.
    pub(crate) fn note_tips_advertised(&mut self) {
        let Some(control) = &mut self.control else { return };
        if let Some(stream) = self.streams.get(control.stream(StreamKind::Purges)) {
            control.last_advertised_purge = stream.received();
        }
    }

    fn last_sent(&self, kind: StreamKind) -> SequenceNumber {
        let control = self.control.as_ref();
        control.and_then(|control| control.last_sent.get(&kind).copied()).unwrap_or_default()
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
        self.touched_streams.insert(id);
        Some((id, number))
    }

    /// Sends what was published, as far as the pace lets it: changes by their own share first, so that they don't wait
    /// behind a burst of purges; then purges; then more changes, as far as purges still find half of what may leave at
    /// once.
    pub(crate) fn send_publications(&mut self, now: Duration) {
        self.send_publications_of(now, StreamKind::Configuration, SendAllowance::SettingsShare);
        self.send_publications_of(now, StreamKind::Purges, SendAllowance::Rate);
        self.send_publications_of(now, StreamKind::Configuration, SendAllowance::Surplus);
    }

    fn send_publications_of(&mut self, now: Duration, kind: StreamKind, allowed: SendAllowance) {
        let from = self.last_sent(kind).next();
        let Some(control) = &mut self.control else { return };
        let Some(stream) = self.streams.get(control.stream(kind)) else { return };
        let from = from.max(stream.first());
        if from > stream.received() {
            return;
        }
        let mut sent = from;
        let mut frames = Vec::new();
        for frame in stream.batches(now, from, stream.received(), MAX_PUBLISH_FRAMES) {
            let bytes = encoded_size::message(&frame);
            let open = match allowed {
                SendAllowance::Rate => control.publish_budget.has_credit(now),
                SendAllowance::Surplus => control.publish_budget.is_half_full(now),
                SendAllowance::SettingsShare => control.settings_budget.has_credit(now),
            };
            if !open {
                break;
            }
            control.publish_budget.consume(bytes);
            if allowed == SendAllowance::SettingsShare {
                control.settings_budget.consume(bytes);
            }
            if let Message::Batch { first, entries, .. } = &frame {
                sent = SequenceNumber(first.0.saturating_add(entries.len() as u64));
            }
            frames.push(frame);
        }
        control.last_sent.insert(kind, SequenceNumber(sent.0 - 1));
        let children: Vec<SocketAddr> = self.children.iter().map(|child| child.address).collect();
        for to in children.into_iter().chain(self.other_control_addresses()) {
            for frame in &frames {
                self.send(to, frame.clone());
            }
        }
    }

    /// A later life of this control node was heard of.
    pub(crate) fn on_superseded(&mut self, now: Duration, id: ControlId, incarnation: Incarnation) {
        let own = self.control.as_ref().filter(|control| control.id == id);
        if own.is_some_and(|control| incarnation > control.incarnation) && incarnation.0 < MAX_CLOCK_UNIX_MS {
            self.reincarnate(now, Incarnation(incarnation.0 + 1));
        }
    }

    /// This node's own streams go on under a later life, with what the one before published within the window.
    fn reincarnate(&mut self, now: Duration, incarnation: Incarnation) {
        let heartbeat_interval = self.config.heartbeat_interval;
        let Some(control) = &mut self.control else { return };
        // Once a pulse, whatever is heard; what is not answered comes again.
        if control.reincarnated_at.is_some_and(|at| now < at + heartbeat_interval) {
            return;
        }
        control.reincarnated_at = Some(now);
        let before = [StreamKind::Purges, StreamKind::Configuration].map(|kind| control.stream(kind));
        control.incarnation = incarnation;
        control.last_sent.clear();
        control.last_advertised_purge = SequenceNumber::default();
        self.config.identity.incarnation = incarnation;
        self.outputs.push(Output::IncarnationSuperseded { incarnation });
        for id in before {
            let within = self.config.purge_window;
            let held =
                self.streams.get(id).map(|stream| stream.entries_within(now, within)).unwrap_or_default();
            for LogEntry { timestamp, entry } in held {
                self.append(now, id.kind, timestamp, entry);
            }
        }
    }

    /// Own streams heard of by others: of a later life, or further than this one has gone.
    pub(crate) fn on_own_stream_advertised(&mut self, now: Duration, id: StreamId, last: SequenceNumber) {
        let Some(control) = self.control.as_ref().filter(|control| control.id == id.control) else { return };
        let incarnation = control.incarnation;
        let known = self.streams.get(id).map(|stream| stream.received()).unwrap_or_default();
        let further = id.incarnation == incarnation && last > known && last.0 != u64::MAX;
        if (id.incarnation > incarnation || further) && id.incarnation.0 < MAX_CLOCK_UNIX_MS {
            self.reincarnate(now, Incarnation(id.incarnation.0 + 1));
        }
    }
}
