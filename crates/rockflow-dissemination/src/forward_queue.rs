//! New entries that go on to the children.

use crate::entry::{AgedEntry, Entry, SequenceNumber, StreamId};
use crate::message::Message;
use crate::streams::Streams;
use crate::timestamp::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An entry whose number is held with another content; it is forwarded as it came.
#[derive(Clone, Debug)]
struct ConflictingEntry {
    stream: StreamId,
    number: SequenceNumber,
    timestamp: Timestamp,
    entry: Entry,
}

/// Entries received since the last flush.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForwardQueue {
    new: BTreeMap<StreamId, BTreeSet<SequenceNumber>>,
    conflicting: Vec<ConflictingEntry>,
}

impl ForwardQueue {
    /// Queues a new entry for the children.
    pub fn push_new(&mut self, stream: StreamId, number: SequenceNumber) {
        self.new.entry(stream).or_default().insert(number);
    }

    /// Queues an entry that contradicts one they hold.
    pub fn push_conflicting(
        &mut self,
        stream: StreamId,
        number: SequenceNumber,
        timestamp: Timestamp,
        entry: Entry,
    ) {
        self.conflicting.push(ConflictingEntry { stream, number, timestamp, entry });
    }

    /// The batches that carry what waits, which is empty afterwards.
    pub fn take_batches(&mut self, now: Duration, streams: &Streams) -> Vec<Message> {
        let mut batches = Vec::new();
        for (id, numbers) in std::mem::take(&mut self.new) {
            let Some(stream) = streams.get(id) else { continue };
            for (first, last) in consecutive_runs(numbers) {
                batches.extend(stream.batches(now, first, last, usize::MAX));
            }
        }
        for ConflictingEntry { stream, number, timestamp, entry } in std::mem::take(&mut self.conflicting) {
            let entries = vec![AgedEntry { age_ms: timestamp.age_ms(now), entry }];
            batches.push(Message::Batch { stream, first: number, entries });
        }
        batches
    }
}

/// First and last of each run of consecutive numbers.
fn consecutive_runs(numbers: BTreeSet<SequenceNumber>) -> Vec<(SequenceNumber, SequenceNumber)> {
    let mut runs: Vec<(SequenceNumber, SequenceNumber)> = Vec::new();
    for number in numbers {
        match runs.last_mut() {
            Some((_, last)) if last.next() == number => *last = number,
            _ => runs.push((number, number)),
        }
    }
    runs
}
