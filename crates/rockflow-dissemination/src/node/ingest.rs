//! Handles received entries, settings and stream tips.

use super::heartbeats::TipSource;
use super::Node;
use crate::entry::{AgedEntry, Entry, SequenceNumber, StreamId, StreamKind};
use crate::message::MAX_BATCH_ENTRIES;
use crate::setting::{RejectionReason, SettingVersion};
use crate::settings_table::SettingOutcome;
use crate::stream::{InsertOutcome, LogEntry, Stream, StreamTip};
use crate::streams::StreamAdmission;
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Whether this node publishes the stream, in its current incarnation; false at a member.
    pub(super) fn is_own(&self, id: StreamId) -> bool {
        self.control.as_ref().is_some_and(|control| control.is_own(id))
    }

    /// Adds a stream that isn't held yet. Returns false if the stream can't be held, so that its entries are rejected.
    pub(super) fn admit_stream(&mut self, now: Duration, id: StreamId) -> bool {
        let (admission, evicted) = self.streams.admit(now, id);
        if let Some(evicted) = evicted {
            // A stream that is evicted for lack of room may have entries that were never advertised to this node.
            self.counters.streams_retired += 1;
            if evicted.id.kind == StreamKind::Purges {
                self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
            }
        }
        if admission == StreamAdmission::NoCapacity && id.kind == StreamKind::Purges {
            self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
        }
        matches!(admission, StreamAdmission::Held | StreamAdmission::New)
    }

    /// Covers the entries of a dropped purge stream that are missing here, or may be, by a purge of everything. Entries
    /// may be missing if no parent or control node has advertised the stream's end since the current, unbroken contact
    /// with control began.
    pub(super) fn cover_dropped_stream(&mut self, now: Duration, dropped: &Stream) {
        let end_is_known = dropped.last_advertised >= self.contact.since();
        if dropped.id.kind == StreamKind::Purges && (dropped.has_gap() || !end_is_known) {
            self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
        }
    }

    /// Queues a purge of everything in place of lost purges: nothing stored before `timestamp` may be served
    /// afterwards.
    pub(super) fn substitute_full_purge(&mut self, timestamp: Timestamp) {
        self.apply_queue.push_substitute_purge(timestamp, &mut self.counters);
    }

    /// Handles consecutive entries of a stream, the first of which has the number `first`.
    pub(super) fn on_batch(
        &mut self,
        now: Duration,
        from: SocketAddr,
        id: StreamId,
        first: SequenceNumber,
        entries: Vec<AgedEntry>,
    ) {
        if first.0 > 0 && !entries.is_empty() {
            let last = first.0.saturating_add(entries.len() as u64 - 1);
            self.check_own_stream_advertised(now, id, SequenceNumber(last));
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
        if let Some(stream) = self.streams.get_mut(id) {
            stream.observe_last(now, last, Some(from));
            if first.0 == 1 && last.0 > 0 {
                stream.mark_start_known();
            }
            stream.advance();
            stream.update_gap(now, self.config.heartbeat_interval / 2);
        }
        self.apply_queue.touch(id);
    }

    /// Adds an entry to the log of its stream, and queues a new one to be forwarded and applied. Returns false if the
    /// stream is not held, or if the number or the kind of the entry is invalid.
    fn insert_entry(
        &mut self,
        now: Duration,
        id: StreamId,
        number: SequenceNumber,
        log_entry: LogEntry,
    ) -> bool {
        let Some(stream) = self.streams.get_mut(id) else { return false };
        let LogEntry { timestamp, entry } = log_entry.clone();
        let outcome = stream.insert(number, log_entry);
        match outcome {
            InsertOutcome::New => {
                self.counters.accepted += 1;
                self.forward_queue.push_new(id, number);
                self.queue_entry(id, number, timestamp, entry);
            }
            InsertOutcome::Known => self.counters.duplicates += 1,
            InsertOutcome::Conflict => {
                self.counters.conflicts += 1;
                self.forward_queue.push_conflicting(id, number, timestamp, entry.clone());
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

    /// Queues an entry to be applied by the caller.
    fn queue_entry(&mut self, stream: StreamId, number: SequenceNumber, timestamp: Timestamp, entry: Entry) {
        match entry {
            Entry::Purge(purge) => self.apply_queue.push_purge(purge, timestamp),
            Entry::Setting(setting) => self.insert_setting(SettingVersion { stream, number, setting }),
        }
    }

    /// Adds one version of a host's setting to the settings table, whether it was received in a batch, received as part
    /// of a table, or published here.
    pub(super) fn insert_setting(&mut self, version: SettingVersion) {
        let id = (version.stream, version.number);
        let host = version.setting.host.clone();
        if let Some(control) = &mut self.control {
            control.observe_clock(version.setting.timestamp.unix_ms);
        }
        match self.settings.insert(version) {
            SettingOutcome::Changed { concurrent } => {
                self.counters.concurrent_settings += u64::from(concurrent);
                self.apply_queue.push_setting(id, host);
            }
            SettingOutcome::Conflict => {
                self.counters.conflicts += 1;
                self.apply_queue.push_setting(id, host);
            }
            SettingOutcome::NoCapacity => {
                self.counters.settings_rejected += 1;
                self.quarantined.insert(id, host, RejectionReason::Full);
                self.acks.request();
            }
            SettingOutcome::Known => {}
            SettingOutcome::Invalid => self.counters.entries_rejected += 1,
        }
    }

    /// Handles another node's tip, which tells how far a stream reaches.
    pub(super) fn on_tip(&mut self, now: Duration, from: SocketAddr, tip: StreamTip, source: TipSource) {
        let id = tip.stream;
        self.check_own_stream_advertised(now, id, tip.last);
        let is_valid = tip.last.0 > 0 && tip.last.0 < u64::MAX && tip.first <= tip.last.next();
        if self.is_own(id) || !is_valid || !self.admit_stream(now, id) {
            return;
        }
        let Some(stream) = self.streams.get_mut(id) else { return };
        if !stream.start_known && tip.first.0 <= 1 {
            stream.mark_start_known();
        }
        if source == TipSource::Upstream {
            stream.last_advertised = now;
        }
        stream.observe_last(now, tip.last, Some(from));
        let repair_delay =
            if stream.start_known { self.config.heartbeat_interval / 2 } else { Duration::ZERO };
        stream.update_gap(now, repair_delay);
        self.apply_queue.touch(id);
    }
}
