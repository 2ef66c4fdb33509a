//! The log of a stream as it is sent to other nodes, and as the publishing node extends it.

use super::{LogEntry, Stream, StreamTip, MAX_REPAIRABLE_GAP};
use crate::encoded_size;
use crate::entry::{AgedEntry, SequenceNumber, StreamKind};
use crate::message::{Message, MAX_BATCH_ENTRIES};
use crate::timestamp::Timestamp;
use std::time::Duration;

impl Stream {
    /// How far the stream reaches at this node.
    pub fn tip(&self) -> StreamTip {
        StreamTip { stream: self.id, first: self.first(), last: self.last() }
    }

    /// Tells a node that requests the log where the log begins for it, and the age of the newest entry left out before
    /// that has not expired. At most [`MAX_REPAIRABLE_GAP`] received entries are not left out.
    pub fn snapshot(&self, now: Duration, purge_window: Duration) -> Message {
        let next = self.first.max(self.received.saturating_sub(MAX_REPAIRABLE_GAP - 1));
        let omitted = self.log.range(self.first..next.max(self.first));
        let newest_omitted = omitted.map(|(_, held)| held.timestamp).max();
        let newest = self.newest_dropped.max(newest_omitted);
        let unexpired =
            newest.filter(|newest| self.id.kind == StreamKind::Purges && newest.age(now) <= purge_window);
        let min_accepted_age_ms = unexpired.map(|newest| newest.age_ms(now));
        Message::Snapshot { stream: self.id, next: SequenceNumber(next), min_accepted_age_ms }
    }

    /// The entries that the log holds from `first` to `last`, in at most `max_batches` messages.
    pub fn batches(
        &self,
        now: Duration,
        first: SequenceNumber,
        last: SequenceNumber,
        max_batches: usize,
    ) -> Vec<Message> {
        if first > last {
            return Vec::new();
        }
        let mut batches: Vec<(u64, Vec<AgedEntry>)> = Vec::new();
        let mut next = 0;
        let mut bytes = 0;
        for (number, held) in self.log.range(first.0..=last.0) {
            let entry_bytes = encoded_size::entry(&held.entry);
            let aged = AgedEntry { age_ms: held.timestamp.age_ms(now), entry: held.entry.clone() };
            let fits = *number == next && bytes + entry_bytes <= encoded_size::MAX_CONTENT_BYTES;
            let is_full = batches.len() >= max_batches;
            match batches.last_mut() {
                Some((_, entries)) if fits && entries.len() < MAX_BATCH_ENTRIES => {
                    entries.push(aged);
                    bytes += entry_bytes;
                }
                _ if is_full => break,
                _ => {
                    batches.push((*number, vec![aged]));
                    bytes = entry_bytes;
                }
            }
            next = number.saturating_add(1);
        }
        let batch =
            |(first, entries)| Message::Batch { stream: self.id, first: SequenceNumber(first), entries };
        batches.into_iter().map(batch).collect()
    }

    /// Adds an entry under the next number; only at the node that publishes the stream.
    pub fn append(&mut self, now: Duration, log_entry: LogEntry) -> SequenceNumber {
        self.start_known = true;
        let number = self.received.saturating_add(1);
        self.log.insert(number, log_entry);
        self.received = number;
        self.last = self.last.max(number);
        self.last_advanced = now;
        SequenceNumber(number)
    }

    /// Sets the timestamp of an entry that was not sent yet to `now`; only at the node that publishes the stream.
    pub fn refresh_timestamp(&mut self, now: Duration, number: SequenceNumber) {
        if let Some(held) = self.log.get_mut(&number.0) {
            held.timestamp = Timestamp::ago(now, Duration::ZERO);
        }
    }

    /// The entries that are at most `max_age` old.
    pub fn entries_within(&self, now: Duration, max_age: Duration) -> Vec<LogEntry> {
        self.log.values().filter(|held| held.timestamp.age(now) <= max_age).cloned().collect()
    }
}
