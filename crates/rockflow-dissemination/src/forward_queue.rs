//! Entries that are to be forwarded to the children.

use crate::entry::{AgedEntry, Entry, SequenceNumber, StreamId};
use crate::message::Message;
use crate::streams::Streams;
use crate::timestamp::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An entry that differs from the one in the log under the same number. As the log doesn't hold it, its content is
/// queued.
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
    /// Numbers of new entries, whose content is in the log.
    new: BTreeMap<StreamId, BTreeSet<SequenceNumber>>,
    conflicting: Vec<ConflictingEntry>,
}

impl ForwardQueue {
    /// Queues a new entry, which the log of its stream holds.
    pub fn push_new(&mut self, stream: StreamId, number: SequenceNumber) {
        self.new.entry(stream).or_default().insert(number);
    }

    /// Queues an entry that differs from the one in the log under the same number.
    pub fn push_conflicting(
        &mut self,
        stream: StreamId,
        number: SequenceNumber,
        timestamp: Timestamp,
        entry: Entry,
    ) {
        self.conflicting.push(ConflictingEntry { stream, number, timestamp, entry });
    }

    /// Empties the queue. Returns the batches that carry its entries, with their ages at `now`.
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

/// The first and the last number of each run of consecutive numbers.
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
