//! What a stream's holder says of its log, and what its publisher writes into it.

use crate::made::Made;
use crate::messages::{Message, Tip, MAX_ENTRIES};
use crate::sizes;
use crate::stream::{Held, Stream, MAX_GAP};
use crate::words::{Aged, Kind, Number};
use std::time::Duration;

impl Stream {
    pub fn tip(&self) -> Tip {
        Tip { stream: self.id, first: Number(self.first), last: self.last() }
    }

    /// Where the log begins for one who asks now, and how old all before it is that binds still.
    pub fn snapshot(&self, now: Duration, window: Duration) -> Message {
        let next = self.first.max(self.to.saturating_sub(MAX_GAP - 1));
        let cut = self.log.range(self.first..next.max(self.first)).map(|(_, held)| held.made).max();
        let newest = self.before.max(cut).filter(|made| made.age(now) <= window);
        let floor_age_ms = newest.filter(|_| self.id.kind == Kind::Purges).map(|made| made.age_ms(now));
        Message::Snapshot { stream: self.id, next: Number(next), floor_age_ms }
    }

    /// What is held of a range, in frames; so many at the most.
    pub fn batches(&self, now: Duration, from: Number, to: Number, most: usize) -> Vec<Message> {
        let mut frames: Vec<(u64, Vec<Aged>)> = Vec::new();
        let (mut next, mut bytes) = (0, 0);
        if from > to {
            return Vec::new();
        }
        for (number, held) in self.log.range(from.0..=to.0) {
            let more = sizes::entry(&held.entry);
            let goes_on = frames.last().is_some_and(|(_, entries)| {
                *number == next && entries.len() < MAX_ENTRIES && bytes + more <= sizes::MAX_BYTES
            });
            if !goes_on {
                if frames.len() >= most {
                    break;
                }
                frames.push((*number, Vec::new()));
                bytes = 0;
            }
            bytes += more;
            next = number.saturating_add(1);
            let aged = Aged { age_ms: held.made.age_ms(now), entry: held.entry.clone() };
            if let Some((_, entries)) = frames.last_mut() {
                entries.push(aged);
            }
        }
        let batch = |(first, entries)| Message::Batch { stream: self.id, first: Number(first), entries };
        frames.into_iter().map(batch).collect()
    }

    /// At its own publisher: the next number is this entry's.
    pub fn append(&mut self, now: Duration, held: Held) -> Number {
        self.begun = true;
        let number = self.to.saturating_add(1);
        self.log.insert(number, held);
        self.to = number;
        self.last = self.last.max(number);
        self.moved = now;
        Number(number)
    }

    /// At its own publisher, of an entry that has not left yet: it counts as made now.
    pub fn renew(&mut self, now: Duration, number: Number) {
        if let Some(held) = self.log.get_mut(&number.0) {
            held.made = Made::ago(now, Duration::ZERO);
        }
    }

    /// What is held of it that was made after a moment.
    pub fn made_within(&self, now: Duration, span: Duration) -> Vec<Held> {
        self.log.values().filter(|held| held.made.age(now) <= span).cloned().collect()
    }
}
