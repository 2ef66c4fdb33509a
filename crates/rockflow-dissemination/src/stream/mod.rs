//! One stream as a node holds it: its log, what is missing, how far it is known to reach, and how far it is applied.

mod gap;
mod log;
mod repair;

use crate::entry::{Entry, SequenceNumber, StreamId, StreamKind};
use crate::timestamp::Timestamp;
use gap::GapTracker;
use repair::RepairSchedule;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Purges in one log, and how far ahead of a gap one is accepted. When full, the first is dropped, and a snapshot covers
/// it.
pub const MAX_PURGE_LOG_ENTRIES: usize = 16_384;
/// Settings in one log, likewise.
pub const MAX_CONFIGURATION_LOG_ENTRIES: usize = 1024;
/// Numbers in a gap that is repaired entry by entry; for a wider one a snapshot is requested.
pub(crate) const MAX_REPAIRABLE_GAP: u64 = 4096;
/// Entries remembered whose numbers are in the log with another content. When full, a purge of everything replaces a
/// further one.
const MAX_CONFLICTING_ENTRIES: usize = 64;

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

/// An entry in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogEntry {
    /// When it was published, at the latest.
    pub timestamp: Timestamp,
    pub entry: Entry,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    New,
    /// Received before.
    Known,
    /// The log holds another content under its number: it is applied beside that one.
    Conflict,
    /// The same, and there is no room to remember it.
    ConflictUntracked,
    /// The log has dropped its number.
    Dropped,
    /// Too far ahead: neither logged nor applied; it counts as missing.
    TooFarAhead,
    /// Of the wrong kind, or without a valid number.
    Invalid,
}

/// A stream and its log.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub id: StreamId,
    /// Whether the number of its first entry is known: by that entry, or by a snapshot. Until then nothing of it counts
    /// as received.
    pub start_known: bool,
    /// All entries up to this one are applied.
    pub applied: SequenceNumber,
    /// When something of it was first received.
    pub first_seen: Duration,
    /// When its end last advanced.
    pub last_advanced: Duration,
    /// When a parent or control node last advertised how far it reaches.
    pub last_advertised: Duration,
    log: BTreeMap<u64, LogEntry>,
    /// All entries before this one are covered by a snapshot.
    first: u64,
    /// The newest timestamp before the log.
    newest_dropped: Option<Timestamp>,
    /// All entries up to this one are here, or covered.
    received: u64,
    /// The last number that is known, here or not.
    last: u64,
    gap: GapTracker,
    repairs: RepairSchedule,
    conflicting: BTreeSet<(u64, Entry)>,
}

impl Stream {
    /// A stream of which nothing has been received.
    pub fn new(id: StreamId, now: Duration) -> Stream {
        Stream {
            id,
            start_known: false,
            applied: SequenceNumber(0),
            first_seen: now,
            last_advanced: now,
            last_advertised: now,
            log: BTreeMap::new(),
            first: 1,
            newest_dropped: None,
            received: 0,
            last: 0,
            gap: GapTracker::default(),
            repairs: RepairSchedule::default(),
            conflicting: BTreeSet::new(),
        }
    }

    /// All entries up to this one are here, or covered.
    pub fn received(&self) -> SequenceNumber {
        SequenceNumber(self.received)
    }

    /// The first number of the log.
    pub fn first(&self) -> SequenceNumber {
        SequenceNumber(self.first)
    }

    /// The last number that is known, here or not.
    pub fn last(&self) -> SequenceNumber {
        SequenceNumber(self.last.max(self.received))
    }

    /// The newest timestamp before the log.
    pub fn newest_dropped(&self) -> Option<Timestamp> {
        self.newest_dropped
    }

    /// Entries in the log, those ahead of a gap included.
    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    /// The entry of a number, if it is held.
    pub fn get(&self, number: SequenceNumber) -> Option<&LogEntry> {
        self.log.get(&number.0)
    }

    /// Whether something is known to be missing.
    pub fn has_gap(&self) -> bool {
        !self.start_known || self.received < self.last
    }

    /// Since when the oldest missing entry is known.
    pub fn gap_since(&self) -> Option<Duration> {
        self.gap.since()
    }

    /// Takes an entry that another node has sent.
    pub fn insert(&mut self, number: SequenceNumber, log_entry: LogEntry) -> InsertOutcome {
        let is_of_kind = matches!(
            (&log_entry.entry, self.id.kind),
            (Entry::Purge(_), StreamKind::Purges) | (Entry::Setting(_), StreamKind::Configuration)
        );
        if number.0 == 0 || number.0 == u64::MAX || !is_of_kind {
            return InsertOutcome::Invalid;
        }
        match self.log.get(&number.0) {
            Some(held) if held.entry == log_entry.entry => return InsertOutcome::Known,
            Some(_) => return self.insert_conflicting(number, log_entry.entry),
            None => {}
        }
        if self.start_known && number.0 <= self.received {
            return InsertOutcome::Dropped;
        }
        let max = self.max_entries();
        let is_too_far = self.start_known && number.0 - self.received > max as u64;
        if is_too_far || (self.log.len() >= max && !self.drop_first()) {
            return InsertOutcome::TooFarAhead;
        }
        self.log.insert(number.0, log_entry);
        InsertOutcome::New
    }

    /// The first entry ever published is here: nothing is missing before it.
    pub fn mark_start_known(&mut self) {
        self.start_known = true;
        self.advance();
    }

    /// Counts as received what follows without a gap.
    pub fn advance(&mut self) {
        if !self.start_known {
            return;
        }
        let mut next = self.received.saturating_add(1);
        for (number, _) in self.log.range(next..) {
            if *number != next {
                break;
            }
            next = next.saturating_add(1);
        }
        self.received = next - 1;
    }

    /// The stream is known to reach this far.
    pub fn observe_last(&mut self, now: Duration, last: SequenceNumber, by: Option<SocketAddr>) {
        if last.0 <= self.last || last.0 == u64::MAX {
            return;
        }
        self.last = last.0;
        self.last_advanced = now;
        self.repairs.advertised_by = by.or(self.repairs.advertised_by);
    }

    /// After entries or a tip: notes since when something is missing. It is first requested after `wait`.
    pub fn update_gap(&mut self, now: Duration, wait: Duration) {
        if self.start_known {
            self.gap.on_received(self.received);
        }
        if !self.has_gap() {
            self.repairs.reset();
            return;
        }
        self.gap.on_last(now, self.last, wait);
        self.repairs.schedule(now + wait);
    }

    /// This process did not run for a while: nobody can have answered meanwhile.
    pub fn shift_timers(&mut self, pause: Duration) {
        self.gap.shift_timers(pause);
    }

    /// Abandons what is missing for at least `wait`. Returns whether entries are lost by it.
    pub fn abandon_gap(&mut self, now: Duration, wait: Duration) -> bool {
        let mut has_lost = false;
        while let Some(step) = self.gap.pop_older_than(now, wait) {
            let next = SequenceNumber(step.last.saturating_add(1));
            has_lost |= self.skip_to(next, Some(Timestamp::ago(now, Duration::ZERO)));
        }
        has_lost
    }

    /// Whether an entry before `next` is missing.
    pub fn lacks_before(&self, next: SequenceNumber) -> bool {
        let until = next.0.saturating_sub(1);
        if until <= self.received {
            return false;
        }
        let held = self.log.range(self.received + 1..=until).count() as u64;
        held < until - self.received
    }

    /// Continues from `next`, over what is missing before it, of which the newest was made at `newest_skipped`. Returns
    /// whether something was missing.
    pub fn skip_to(&mut self, next: SequenceNumber, newest_skipped: Option<Timestamp>) -> bool {
        let until = next.0.saturating_sub(1);
        if self.start_known && until <= self.received {
            return false;
        }
        let has_missed = self.lacks_before(next);
        self.start_known = true;
        self.received = self.received.max(until);
        self.last = self.last.max(until);
        if has_missed {
            self.first = self.first.max(until.saturating_add(1));
            self.newest_dropped = self.newest_dropped.max(newest_skipped);
        }
        self.advance();
        has_missed
    }

    /// Drops purges older than `max_age`, and entries above the limit.
    pub fn trim(&mut self, now: Duration, max_age: Duration) {
        let max = self.max_entries();
        while let Some((_, first)) = self.log.first_key_value() {
            let is_expired = self.id.kind == StreamKind::Purges && first.timestamp.age(now) > max_age;
            if !(is_expired || self.log.len() > max) || !self.drop_first() {
                break;
            }
        }
        self.conflicting.retain(|(number, _)| *number >= self.first);
    }

    fn max_entries(&self) -> usize {
        match self.id.kind {
            StreamKind::Purges => MAX_PURGE_LOG_ENTRIES,
            StreamKind::Configuration => MAX_CONFIGURATION_LOG_ENTRIES,
        }
    }

    fn insert_conflicting(&mut self, number: SequenceNumber, entry: Entry) -> InsertOutcome {
        let conflicting = (number.0, entry);
        if self.conflicting.contains(&conflicting) {
            return InsertOutcome::Known;
        }
        if self.conflicting.len() >= MAX_CONFLICTING_ENTRIES {
            return InsertOutcome::ConflictUntracked;
        }
        self.conflicting.insert(conflicting);
        InsertOutcome::Conflict
    }

    /// Drops the first entry of the log, which a snapshot covers from now on. Returns false where entries before it are
    /// still missing.
    fn drop_first(&mut self) -> bool {
        let Some((number, _)) = self.log.first_key_value() else { return false };
        if !self.start_known || *number > self.received {
            return false;
        }
        if let Some((number, dropped)) = self.log.pop_first() {
            self.first = self.first.max(number.saturating_add(1));
            self.newest_dropped = self.newest_dropped.max(Some(dropped.timestamp));
        }
        true
    }
}
