//! What a stream's holder says of its log, and what its publisher writes into it.

use crate::encoded_size;
use crate::entry::{AgedEntry, SequenceNumber, StreamKind};
use crate::message::{Message, MAX_BATCH_ENTRIES};
use crate::stream::{LogEntry, Stream, StreamTip, MAX_REPAIRABLE_GAP};
use crate::timestamp::Timestamp;
use std::time::Duration;

impl Stream {
    pub fn tip(&self) -> StreamTip {
        StreamTip { stream: self.id, first: SequenceNumber(self.first), last: self.last() }
    }

    /// Where the log begins for one who asks now, and how old all before it is that binds still.
    pub fn snapshot(&self, now: Duration, window: Duration) -> Message {
        let next = self.first.max(self.received.saturating_sub(MAX_REPAIRABLE_GAP - 1));
        let cut = self.log.range(self.first..next.max(self.first)).map(|(_, held)| held.timestamp).max();
        let newest = self.newest_dropped.max(cut).filter(|timestamp| timestamp.age(now) <= window);
        let min_accepted_age_ms =
            newest.filter(|_| self.id.kind == StreamKind::Purges).map(|timestamp| timestamp.age_ms(now));
        Message::Snapshot { stream: self.id, next: SequenceNumber(next), min_accepted_age_ms }
    }

    /// What is held of a range, in frames; so many at the most.
    pub fn batches(
        &self,
        now: Duration,
        from: SequenceNumber,
        to: SequenceNumber,
        max_frames: usize,
    ) -> Vec<Message> {
        let mut frames: Vec<(u64, Vec<AgedEntry>)> = Vec::new();
        let (mut next, mut bytes) = (0, 0);
        if from > to {
            return Vec::new();
        }
        for (number, held) in self.log.range(from.0..=to.0) {
            let more = encoded_size::entry(&held.entry);
            let goes_on = frames.last().is_some_and(|(_, entries)| {
                *number == next
                    && entries.len() < MAX_BATCH_ENTRIES
                    && bytes + more <= encoded_size::MAX_CONTENT_BYTES
            });
            if !goes_on {
                if frames.len() >= max_frames {
                    break;
                }
                frames.push((*number, Vec::new()));
                bytes = 0;
            }
            bytes += more;
            next = number.saturating_add(1);
            let aged = AgedEntry { age_ms: held.timestamp.age_ms(now), entry: held.entry.clone() };
            if let Some((_, entries)) = frames.last_mut() {
                entries.push(aged);
            }
        }
        let batch =
            |(first, entries)| Message::Batch { stream: self.id, first: SequenceNumber(first), entries };
        frames.into_iter().map(batch).collect()
    }

    /// At its own publisher: the next number is this entry's.
    pub fn append(&mut self, now: Duration, held: LogEntry) -> SequenceNumber {
        self.start_known = true;
        let number = self.received.saturating_add(1);
        self.log.insert(number, held);
        self.received = number;
        self.last = self.last.max(number);
        self.last_advanced = now;
        SequenceNumber(number)
    }

    /// At its own publisher, of an entry that has not left yet: it counts as made now.
    pub fn refresh_timestamp(&mut self, now: Duration, number: SequenceNumber) {
        if let Some(held) = self.log.get_mut(&number.0) {
            held.timestamp = Timestamp::ago(now, Duration::ZERO);
        }
    }

    /// What is held of it that was made after a moment.
    pub fn entries_within(&self, now: Duration, span: Duration) -> Vec<LogEntry> {
        self.log.values().filter(|held| held.timestamp.age(now) <= span).cloned().collect()
    }
}
