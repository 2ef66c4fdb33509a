//! Entries as a node takes them, asks for them, and gives them to who asks.

use crate::entry::{AgedEntry, Entry, Purge, SequenceNumber, StreamId, StreamKind};
use crate::message::MAX_BATCH_ENTRIES;
use crate::node::Node;
use crate::setting::{RejectionReason, SettingVersion};
use crate::settings::SettingOutcome;
use crate::stream::{InsertOutcome, LogEntry, Stream, StreamTip};
use crate::streams::StreamAdmission;
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Whether a stream is this control node's own, of this life.
    pub(crate) fn is_own(&self, id: StreamId) -> bool {
        self.control.as_ref().is_some_and(|control| control.is_own(id))
    }

    /// Makes sure of a stream that something was heard of. False: nothing of it is taken.
    pub(crate) fn admit_stream(&mut self, now: Duration, id: StreamId) -> bool {
        let (admission, gone) = self.streams.admit(now, id);
        let is_purges = |id: StreamId| id.kind == StreamKind::Purges;
        if let Some(gone) = gone {
            // It had to go before it was over: there may be more of it, however far it was told to go.
            self.counters.streams_retired += 1;
            if is_purges(gone.id) {
                self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
            }
        }
        if admission == StreamAdmission::NoCapacity && is_purges(id) {
            self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
        }
        matches!(admission, StreamAdmission::Held | StreamAdmission::New)
    }

    /// A stream is dropped. A floor of now stands for what is missing of it, or may be: where it was not heard how far
    /// it goes since this node is in touch.
    pub(crate) fn cover_dropped_stream(&mut self, now: Duration, gone: &Stream) {
        let known = gone.last_advertised >= self.in_touch.0;
        if gone.id.kind == StreamKind::Purges && (gone.has_gap() || !known) {
            self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
        }
    }

    /// Nothing older than this is to be served. At a control node, where nothing is served, it is only counted.
    pub(crate) fn substitute_full_purge(&mut self, timestamp: Timestamp) {
        self.counters.substitute_purges += 1;
        if self.control.is_none() {
            self.purges_to_apply.push((Purge::Everything, timestamp));
        }
    }

    pub(crate) fn on_batch(
        &mut self,
        now: Duration,
        at: SocketAddr,
        id: StreamId,
        first: SequenceNumber,
        entries: Vec<AgedEntry>,
    ) {
        if first.0 > 0 && !entries.is_empty() {
            let last = first.0.saturating_add(entries.len() as u64 - 1);
            self.on_own_stream_advertised(now, id, SequenceNumber(last));
        }
        if self.is_own(id) || first.0 == 0 || !self.admit_stream(now, id) {
            self.counters.entries_rejected += entries.len() as u64;
            return;
        }
        let mut number = first;
        let mut last = SequenceNumber(0);
        for aged in entries.into_iter().take(MAX_BATCH_ENTRIES) {
            let log_entry = LogEntry { timestamp: Timestamp::ms_ago(now, aged.age_ms), entry: aged.entry };
            if self.insert_entry(now, id, number, log_entry) {
                last = number;
            }
            number = number.next();
        }
        let wait = self.config.heartbeat_interval / 2;
        if let Some(stream) = self.streams.get_mut(id) {
            stream.observe_last(now, last, Some(at));
            if first.0 == 1 && last.0 > 0 {
                stream.mark_start_known();
            }
            stream.advance();
            stream.update_gap(now, wait);
        }
        self.touched_streams.insert(id);
    }

    /// True: there is such an entry, taken or not.
    fn insert_entry(
        &mut self,
        now: Duration,
        id: StreamId,
        number: SequenceNumber,
        log_entry: LogEntry,
    ) -> bool {
        let Some(stream) = self.streams.get_mut(id) else { return false };
        let (timestamp, entry) = (log_entry.timestamp, log_entry.entry.clone());
        let outcome = stream.insert(number, log_entry);
        match outcome {
            InsertOutcome::New => {
                self.counters.accepted += 1;
                self.new_entries.entry(id).or_default().insert(number);
                self.queue_entry(id, number, timestamp, entry);
            }
            InsertOutcome::Known => self.counters.duplicates += 1,
            InsertOutcome::Conflict => {
                self.counters.conflicts += 1;
                self.conflicting_entries.push((id, number, timestamp, entry.clone()));
                self.queue_entry(id, number, timestamp, entry);
            }
            InsertOutcome::ConflictUntracked => {
                self.counters.conflicts += 1;
                match entry {
                    Entry::Purge(_) => self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO)),
                    Entry::Setting(_) => self.queue_entry(id, number, timestamp, entry),
                }
            }
            InsertOutcome::Dropped => {
                self.counters.duplicates += 1;
                self.counters.stale_numbers += 1;
            }
            InsertOutcome::TooFarAhead | InsertOutcome::Invalid => self.counters.entries_rejected += 1,
        }
        outcome != InsertOutcome::Invalid
    }

    fn queue_entry(&mut self, stream: StreamId, number: SequenceNumber, timestamp: Timestamp, entry: Entry) {
        match entry {
            Entry::Purge(purge) => self.purges_to_apply.push((purge, timestamp)),
            Entry::Setting(setting) => self.apply_setting_version(SettingVersion { stream, number, setting }),
        }
    }

    /// One version of a setting, from wherever it came.
    pub(crate) fn apply_setting_version(&mut self, version: SettingVersion) {
        let id = (version.stream, version.number);
        let (host, timestamp) = (version.setting.host.clone(), version.setting.timestamp);
        if let Some(control) = &mut self.control {
            control.observe_clock(timestamp.unix_ms);
        }
        match self.settings.insert(version) {
            SettingOutcome::Changed { concurrent } => {
                self.counters.concurrent_settings += u64::from(concurrent);
                self.changed_settings.push((id, host));
            }
            SettingOutcome::Conflict => {
                self.counters.conflicts += 1;
                self.changed_settings.push((id, host));
            }
            SettingOutcome::NoCapacity => {
                self.counters.settings_rejected += 1;
                self.quarantined.insert(id, host, RejectionReason::Full);
                self.ack_requested = true;
            }
            SettingOutcome::Known => {}
            SettingOutcome::Invalid => self.counters.entries_rejected += 1,
        }
    }

    /// How far somebody's stream goes.
    /// `above`: of the parent or a control node, who would know.
    pub(crate) fn on_tip(&mut self, now: Duration, at: SocketAddr, tip: StreamTip, above: bool) {
        let id = tip.stream;
        self.on_own_stream_advertised(now, id, tip.last);
        if self.is_own(id) || tip.last.0 == 0 || tip.last.0 == u64::MAX || tip.first > tip.last.next() {
            return;
        }
        if !self.admit_stream(now, id) {
            return;
        }
        let heartbeat_interval = self.config.heartbeat_interval;
        let Some(stream) = self.streams.get_mut(id) else { return };
        if !stream.start_known && tip.first.0 <= 1 {
            stream.mark_start_known();
        }
        if above {
            stream.last_advertised = now;
        }
        stream.observe_last(now, tip.last, Some(at));
        let wait = if stream.start_known { heartbeat_interval / 2 } else { Duration::ZERO };
        stream.update_gap(now, wait);
        self.touched_streams.insert(id);
    }
}
