//! One stream as a node holds it: its log, what is missing, what is known of its end, and how far it is in force.

use crate::entry::{Entry, SequenceNumber, StreamId, StreamKind};
use crate::message::MAX_RANGES;
use crate::timestamp::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Purges of one log, also how far ahead of a gap one is taken. When full, the first goes, and the snapshot covers it.
pub const MAX_PURGE_LOG_ENTRIES: usize = 16_384;
/// Configuration entries of one log, likewise.
pub const MAX_CONFIGURATION_LOG_ENTRIES: usize = 1024;
/// A wider gap is not asked for; a snapshot is.
pub const MAX_REPAIRABLE_GAP: u64 = 4096;
/// Contents beside those in a log, under the same numbers. When full, a floor of now stands for one more.
pub const MAX_CONFLICTING_ENTRIES: usize = 64;
/// Steps in which the end of a stream moved away over a gap. When full, the newest takes in what follows.
pub const MAX_GAP_STEPS: usize = 64;

/// How far a stream reaches at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamTip {
    /// The stream.
    pub stream: StreamId,
    /// First number that the sender's log holds.
    pub first: SequenceNumber,
    /// Last number that the sender knows of.
    pub last: SequenceNumber,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    pub timestamp: Timestamp,
    pub entry: Entry,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    New,
    Known,
    /// Another content under a number that is held: to be put in effect beside it.
    Conflict,
    /// Likewise, and there is no room to remember it by.
    ConflictUntracked,
    /// Of a number that was dropped from the log since.
    Dropped,
    /// Too far ahead: neither kept nor to be put in effect; it counts as missing.
    TooFarAhead,
    /// Of the wrong kind, or under no number; nothing comes of it.
    Invalid,
}

#[derive(Clone, Debug)]
pub struct Stream {
    pub id: StreamId,
    pub(crate) log: BTreeMap<u64, LogEntry>,
    /// All before it is under the snapshot.
    pub(crate) first: u64,
    /// The newest before the log.
    pub(crate) newest_dropped: Option<Timestamp>,
    /// Where it begins is known: by its first number, or a snapshot.
    pub start_known: bool,
    /// All up to here are here or covered.
    pub(crate) received: u64,
    /// All up to here are in force.
    pub applied: SequenceNumber,
    pub(crate) last: u64,
    /// Since when the end of the stream was known to be so far.
    gap_steps: VecDeque<(u64, Duration)>,
    /// When it was heard of first.
    pub first_seen: Duration,
    /// When its end moved last.
    pub last_advanced: Duration,
    /// When a parent's or control node's tip said last how far it goes.
    pub last_advertised: Duration,
    /// How often was asked since it went on last, and how far it was then.
    pub repair_attempts: u32,
    pub received_at_last_repair: SequenceNumber,
    pub repair_due: Option<Duration>,
    /// Who showed its end.
    pub advertised_by: Option<SocketAddr>,
    conflicting: BTreeSet<(u64, Entry)>,
}

impl Stream {
    pub fn new(id: StreamId, now: Duration) -> Stream {
        Stream {
            id,
            log: BTreeMap::new(),
            first: 1,
            newest_dropped: None,
            start_known: false,
            received: 0,
            applied: SequenceNumber(0),
            last: 0,
            gap_steps: VecDeque::new(),
            first_seen: now,
            last_advanced: now,
            last_advertised: now,
            repair_attempts: 0,
            received_at_last_repair: SequenceNumber(0),
            repair_due: None,
            advertised_by: None,
            conflicting: BTreeSet::new(),
        }
    }

    pub fn received(&self) -> SequenceNumber {
        SequenceNumber(self.received)
    }

    pub fn first(&self) -> SequenceNumber {
        SequenceNumber(self.first)
    }

    /// The last that is known of, here or not.
    pub fn last(&self) -> SequenceNumber {
        SequenceNumber(self.last.max(self.received))
    }

    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    pub fn get(&self, number: SequenceNumber) -> Option<&LogEntry> {
        self.log.get(&number.0)
    }

    fn max_entries(&self) -> usize {
        match self.id.kind {
            StreamKind::Purges => MAX_PURGE_LOG_ENTRIES,
            StreamKind::Configuration => MAX_CONFIGURATION_LOG_ENTRIES,
        }
    }

    /// Something is known to be missing.
    pub fn has_gap(&self) -> bool {
        !self.start_known || self.received < self.last
    }

    pub fn insert(&mut self, number: SequenceNumber, held: LogEntry) -> InsertOutcome {
        let fits = matches!(
            (&held.entry, self.id.kind),
            (Entry::Purge(_), StreamKind::Purges) | (Entry::Setting(_), StreamKind::Configuration)
        );
        if number.0 == 0 || number.0 == u64::MAX || !fits {
            return InsertOutcome::Invalid;
        }
        if let Some(other) = self.log.get(&number.0) {
            return if other.entry == held.entry {
                InsertOutcome::Known
            } else {
                self.insert_conflicting(number, held.entry)
            };
        }
        if self.start_known && number.0 <= self.received {
            return InsertOutcome::Dropped;
        }
        let max = self.max_entries();
        let ahead = self.start_known && number.0 - self.received > max as u64;
        if ahead || (self.log.len() >= max && !self.drop_first()) {
            return InsertOutcome::TooFarAhead;
        }
        self.log.insert(number.0, held);
        InsertOutcome::New
    }

    fn insert_conflicting(&mut self, number: SequenceNumber, entry: Entry) -> InsertOutcome {
        let fork = (number.0, entry);
        if self.conflicting.contains(&fork) {
            return InsertOutcome::Known;
        }
        if self.conflicting.len() >= MAX_CONFLICTING_ENTRIES {
            return InsertOutcome::ConflictUntracked;
        }
        self.conflicting.insert(fork);
        InsertOutcome::Conflict
    }

    /// Its beginning is here: nothing before it was ever published.
    pub fn mark_start_known(&mut self) {
        self.start_known = true;
        self.advance();
    }

    /// Goes on over all that is here in a row.
    pub fn advance(&mut self) {
        if !self.start_known {
            return;
        }
        let from = self.received.saturating_add(1);
        let mut next = from;
        for (number, _) in self.log.range(from..) {
            if *number != next {
                break;
            }
            next = next.saturating_add(1);
        }
        self.received = next - 1;
    }

    /// The stream is known to go so far. True: that is news.
    pub fn observe_last(&mut self, now: Duration, last: SequenceNumber, by: Option<SocketAddr>) -> bool {
        if last.0 <= self.last || last.0 == u64::MAX {
            return false;
        }
        self.last = last.0;
        self.last_advanced = now;
        self.advertised_by = by.or(self.advertised_by);
        true
    }

    /// After entries or a tip: since when something is missing, and when to ask for it first.
    pub fn update_gap(&mut self, now: Duration, wait: Duration) {
        while self.start_known && self.gap_steps.front().is_some_and(|(last, _)| *last <= self.received) {
            self.gap_steps.pop_front();
        }
        if !self.has_gap() {
            self.repair_due = None;
            self.repair_attempts = 0;
            return;
        }
        if self.gap_steps.back().is_none_or(|(last, _)| *last < self.last) {
            self.record_gap_step(now, wait);
        }
        self.repair_due = self.repair_due.or(Some(now + wait));
    }

    fn record_gap_step(&mut self, now: Duration, wait: Duration) {
        let full = self.gap_steps.len() >= MAX_GAP_STEPS;
        match self.gap_steps.back_mut() {
            Some((last, at)) if *at == now || now.saturating_sub(*at) < wait => *last = self.last,
            Some(newest) if full => *newest = (self.last, now),
            _ => self.gap_steps.push_back((self.last, now)),
        }
    }

    /// Since when the oldest gap is known.
    pub fn gap_since(&self) -> Option<Duration> {
        self.gap_steps.front().map(|(_, at)| *at)
    }

    /// This process stood still: nobody can have answered meanwhile.
    pub fn shift_timers(&mut self, span: Duration) {
        for (_, at) in &mut self.gap_steps {
            *at = at.saturating_add(span);
        }
    }

    /// What is missing, a few ranges; none: a snapshot is to be asked for.
    pub fn missing_ranges(&self) -> Vec<(SequenceNumber, SequenceNumber)> {
        if !self.start_known || self.last.saturating_sub(self.received) > MAX_REPAIRABLE_GAP {
            return Vec::new();
        }
        let mut ranges = Vec::new();
        let mut next = self.received.saturating_add(1);
        for (number, _) in self.log.range(next..) {
            if *number > next {
                ranges.push((SequenceNumber(next), SequenceNumber(number - 1)));
            }
            next = number.saturating_add(1);
            if ranges.len() >= MAX_RANGES {
                return ranges;
            }
        }
        if next <= self.last {
            ranges.push((SequenceNumber(next), SequenceNumber(self.last)));
        }
        ranges
    }

    /// Gives up what is missing since longer than `wait`. True: a floor of now is to stand for it.
    pub fn abandon_gap(&mut self, now: Duration, wait: Duration) -> bool {
        let mut lost = false;
        while let Some((last, at)) = self.gap_steps.front().copied() {
            if now.saturating_sub(at) < wait {
                break;
            }
            self.gap_steps.pop_front();
            lost |= self
                .skip_to(SequenceNumber(last.saturating_add(1)), Some(Timestamp::ago(now, Duration::ZERO)));
        }
        lost
    }

    /// Something before `next` isn't here.
    pub fn lacks_before(&self, next: SequenceNumber) -> bool {
        let until = next.0.saturating_sub(1);
        if until <= self.received {
            return false;
        }
        let here = self.log.range(self.received + 1..=until).count() as u64;
        here < until - self.received
    }

    /// Goes on from `next`, over what isn't here. True: something before it isn't.
    pub fn skip_to(&mut self, next: SequenceNumber, floor: Option<Timestamp>) -> bool {
        let until = next.0.saturating_sub(1);
        if self.start_known && until <= self.received {
            return false;
        }
        let missed = self.lacks_before(next);
        self.start_known = true;
        self.received = self.received.max(until);
        self.last = self.last.max(until);
        if missed {
            self.first = self.first.max(until.saturating_add(1));
            self.newest_dropped = self.newest_dropped.max(floor);
        }
        self.advance();
        missed
    }

    /// The first of the log goes under the snapshot. False: nothing before it is complete.
    fn drop_first(&mut self) -> bool {
        let here = self
            .log
            .first_key_value()
            .is_some_and(|(number, _)| self.start_known && *number <= self.received);
        if let Some((number, held)) = here.then(|| self.log.pop_first()).flatten() {
            self.first = self.first.max(number.saturating_add(1));
            self.newest_dropped = self.newest_dropped.max(Some(held.timestamp));
        }
        here
    }

    /// Drops what is too old, or too much.
    pub fn trim(&mut self, now: Duration, keep: Duration) {
        let max = self.max_entries();
        while let Some((_, held)) = self.log.first_key_value() {
            let old = self.id.kind == StreamKind::Purges && held.timestamp.age(now) > keep;
            if !(old || self.log.len() > max) || !self.drop_first() {
                break;
            }
        }
        self.conflicting.retain(|(number, _)| *number >= self.first);
    }
}
