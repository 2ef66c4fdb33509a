//! The state of one stream at a node: its log, its missing entries, and how far it is known, received and applied.

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

/// Maximum number of purges in one log, and how far ahead of a gap a purge is accepted. When the log is full, its first
/// entry is dropped, and a snapshot covers it.
pub const MAX_PURGE_LOG_ENTRIES: usize = 16_384;
/// Maximum number of settings in one log, and how far ahead of a gap a setting is accepted.
pub const MAX_CONFIGURATION_LOG_ENTRIES: usize = 1024;
/// Widest gap, in numbers, that is repaired entry by entry. A snapshot is requested for a wider one.
pub(crate) const MAX_REPAIRABLE_GAP: u64 = 4096;
/// Maximum number of conflicting entries that a stream remembers, that is, of entries under whose numbers the log holds
/// different ones. Above it, a purge of everything replaces each further conflicting purge.
const MAX_CONFLICTING_ENTRIES: usize = 64;

/// How far a stream reaches at the node that sends this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamTip {
    /// Id of the stream.
    pub stream: StreamId,
    /// First number that the sender's log holds.
    pub first: SequenceNumber,
    /// Last number that the sender knows to be published, whether or not it holds the entry.
    pub last: SequenceNumber,
}

/// An entry in a stream's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogEntry {
    /// Upper bound of the time of publication: transit times are not subtracted.
    pub timestamp: Timestamp,
    pub entry: Entry,
}

/// The result of inserting a received entry into a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    /// Added to the log.
    New,
    /// Received before.
    Known,
    /// The log holds a different entry under the same number. Both entries are applied.
    Conflict,
    /// As `Conflict`, but there is no room to remember the entry, so it may be received again.
    ConflictUntracked,
    /// The log no longer holds the entry's number.
    Dropped,
    /// The number is too far ahead of the received ones: the entry is neither logged nor applied, and stays missing.
    TooFarAhead,
    /// The entry is not of the stream's kind, or its number is not valid.
    Invalid,
}

/// The state of a stream, including its log.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub id: StreamId,
    /// Whether the number of the stream's first entry is known, from that entry, a tip or a snapshot. Until then no
    /// entry counts as received.
    pub start_known: bool,
    /// The node's caller has applied all entries up to this number.
    pub applied: SequenceNumber,
    /// When the node first learned of the stream.
    pub first_seen: Duration,
    /// When the known end of the stream last advanced.
    pub last_advanced: Duration,
    /// When a parent or control node last advertised how far the stream reaches.
    pub last_advertised: Duration,
    log: BTreeMap<u64, LogEntry>,
    /// First number of the log; a snapshot covers all entries before it.
    first: u64,
    /// The newest timestamp of the entries before the log; `None` if there are none, or none with a known timestamp.
    newest_dropped: Option<Timestamp>,
    /// The node holds all entries up to this number, or a snapshot or purge of everything covers them.
    received: u64,
    /// The last number known to be published, whether or not its entry has been received.
    last: u64,
    gap: GapTracker,
    repairs: RepairSchedule,
    /// Entries that were received under a number for which the log holds a different entry.
    conflicting: BTreeSet<(u64, Entry)>,
}

impl Stream {
    /// Creates a stream of which no entry has been received.
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

    /// The node holds all entries up to this number, or a snapshot or purge of everything covers them.
    pub fn received(&self) -> SequenceNumber {
        SequenceNumber(self.received)
    }

    /// First number of the log.
    pub fn first(&self) -> SequenceNumber {
        SequenceNumber(self.first)
    }

    /// The last number known to be published, whether or not its entry has been received.
    pub fn last(&self) -> SequenceNumber {
        SequenceNumber(self.last.max(self.received))
    }

    /// The newest timestamp of the entries before the log.
    pub fn newest_dropped(&self) -> Option<Timestamp> {
        self.newest_dropped
    }

    /// Number of entries in the log, including those after a gap.
    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    /// The log entry with this number; `None` if the log does not hold it.
    pub fn get(&self, number: SequenceNumber) -> Option<&LogEntry> {
        self.log.get(&number.0)
    }

    /// Whether an entry, or the start of the stream, is known to be missing.
    pub fn has_gap(&self) -> bool {
        !self.start_known || self.received < self.last
    }

    /// Time at which the oldest missing entry became known; `None` if no entry is known to be missing.
    pub fn gap_since(&self) -> Option<Duration> {
        self.gap.since()
    }

    /// Adds an entry that another node has sent, if the stream accepts it.
    pub fn insert(&mut self, number: SequenceNumber, log_entry: LogEntry) -> InsertOutcome {
        let has_stream_kind = matches!(
            (&log_entry.entry, self.id.kind),
            (Entry::Purge(_), StreamKind::Purges) | (Entry::Setting(_), StreamKind::Configuration)
        );
        if number.0 == 0 || number.0 == u64::MAX || !has_stream_kind {
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
        let max_entries = self.max_entries();
        let is_too_far_ahead = self.start_known && number.0 - self.received > max_entries as u64;
        if is_too_far_ahead || (self.log.len() >= max_entries && !self.drop_first()) {
            return InsertOutcome::TooFarAhead;
        }
        self.log.insert(number.0, log_entry);
        InsertOutcome::New
    }

    /// Records that the start of the stream is known: no entry before the log's first one is missing.
    pub fn mark_start_known(&mut self) {
        self.start_known = true;
        self.advance();
    }

    /// Advances `received` over the entries that follow it in the log without a gap.
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

    /// Records that the stream is known to reach `last`, as the node `advertised_by` has shown.
    pub fn observe_last(&mut self, now: Duration, last: SequenceNumber, advertised_by: Option<SocketAddr>) {
        if last.0 <= self.last || last.0 == u64::MAX {
            return;
        }
        self.last = last.0;
        self.last_advanced = now;
        self.repairs.advertised_by = advertised_by.or(self.repairs.advertised_by);
    }

    /// Updates since when entries are missing; to be called after entries or a tip were received. A missing entry is
    /// first requested after `wait`.
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

    /// Adds a pause of the process to the age of the gap, as no request could be answered during the pause.
    pub fn shift_timers(&mut self, pause: Duration) {
        self.gap.shift_timers(pause);
    }

    /// Abandons the entries that have been missing for at least `wait`. Returns whether entries are lost by this.
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

    /// Skips the missing entries before `next` and continues from there. `newest_skipped` is the timestamp of the
    /// newest of them, if known. Returns whether an entry was missing.
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

    /// Drops the purges that are older than `max_age`, and the first entries of a log that is above its limit.
    pub fn trim(&mut self, now: Duration, max_age: Duration) {
        let max_entries = self.max_entries();
        while let Some((_, first)) = self.log.first_key_value() {
            let is_expired = self.id.kind == StreamKind::Purges && first.timestamp.age(now) > max_age;
            if !(is_expired || self.log.len() > max_entries) || !self.drop_first() {
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

    /// Drops the first entry of the log, which a snapshot covers from now on. Returns false if the log is empty, or if
    /// entries before its first one are still missing.
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
