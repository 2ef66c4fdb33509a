//! Anti-entropy: requests missing entries, answers such requests, abandons gaps that no other node can close, and
//! retires the streams of superseded incarnations.

use super::{Node, Sender};
use crate::encoded_size;
use crate::entry::{SequenceNumber, StreamId, StreamKind};
use crate::message::{Message, MAX_RANGES};
use crate::stream::{Stream, MAX_REPAIRABLE_GAP};
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Most messages sent in answer to one repair request. The other node requests what is still missing again.
const MAX_REPAIR_MESSAGES: usize = 16;
/// The configuration stream of a superseded incarnation is retired after this many heartbeat intervals without a new
/// entry.
const CONFIGURATION_RETIRE_HEARTBEATS: u32 = 120;
/// A gap that has been open for the purge window divided by this number is skipped as soon as a single node reports
/// that its log begins after it.
const LONG_GAP_DIVISOR: u32 = 4;
/// A gap in a purge stream that has been open for the purge window divided by this number is abandoned.
const ABANDON_GAP_DIVISOR: u32 = 2;

impl Node {
    /// Sends the repair requests that are due.
    pub(super) fn request_repairs(&mut self, now: Duration) {
        let is_due = |stream: &&Stream| stream.repair_due().is_some_and(|due| due <= now);
        let due: Vec<StreamId> = self.streams.iter().filter(is_due).map(|stream| stream.id).collect();
        for id in due {
            self.request_repair(now, id);
        }
    }

    fn request_repair(&mut self, now: Duration, id: StreamId) {
        let Some(stream) = self.streams.get_mut(id) else { return };
        let repair = stream.next_repair(now, self.config.heartbeat_interval);
        if let Some(target) = self.repair_target(id, repair.advertised_by, repair.attempt as usize) {
            self.counters.repair_requests_sent += 1;
            self.send(target, Message::RepairRequest { stream: id, ranges: repair.ranges });
        }
    }

    /// Chooses the node to ask for missing entries, in rotation over the attempts: first the parent; then the node that
    /// advertised the entries, or else a candidate counted from the nearest; then a candidate counted from the last, as
    /// control nodes come last and hold more entries.
    fn repair_target(
        &self,
        id: StreamId,
        advertised_by: Option<SocketAddr>,
        attempt: usize,
    ) -> Option<SocketAddr> {
        if let Some(control) = &self.control {
            return control.repair_target(id, advertised_by, attempt);
        }
        let parent = self.subscription.parent().map(|parent| parent.address);
        let candidates = self.subscription.candidates();
        let count = candidates.len().max(1);
        let round = attempt / 3;
        let nearest = candidates.get((round + 1) % count).map(|candidate| candidate.address);
        let last = candidates.get(count - 1 - round % count).map(|candidate| candidate.address);
        match attempt % 3 {
            1 => advertised_by.filter(|by| Some(*by) != parent).or(nearest),
            2 => last.or(advertised_by),
            _ => parent.or(advertised_by),
        }
    }

    /// Answers with the requested entries that the log still holds, and with a snapshot if it begins after some of
    /// them.
    pub(super) fn on_repair_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        id: StreamId,
        ranges: Vec<(SequenceNumber, SequenceNumber)>,
    ) {
        if !self.rate_limits.repairs.has_credit(now) {
            self.counters.repair_requests_throttled += 1;
            return;
        }
        let Some(stream) = self.streams.get(id) else { return };
        let mut wants_snapshot = ranges.is_empty();
        let mut messages = Vec::new();
        for (first, last) in ranges.into_iter().take(MAX_RANGES) {
            let last = SequenceNumber(last.0.min(first.0.saturating_add(MAX_REPAIRABLE_GAP - 1)));
            messages.extend(stream.batches(now, first, last, MAX_REPAIR_MESSAGES - messages.len()));
            wants_snapshot |= first < stream.first() && stream.get(first).is_none();
        }
        if wants_snapshot && stream.start_known {
            messages.insert(0, stream.snapshot(now, self.config.purge_window));
        }
        if messages.is_empty() {
            return;
        }
        self.counters.repair_requests_answered += 1;
        for message in messages {
            self.rate_limits.repairs.consume(encoded_size::message(&message));
            self.send(from, message);
        }
    }

    /// Handles another node's report that its log begins at `next`. If entries before `next` are missing here, a purge
    /// of everything replaces purges, and the settings table replaces settings.
    pub(super) fn on_snapshot(
        &mut self,
        now: Duration,
        sender: Sender,
        id: StreamId,
        next: SequenceNumber,
        min_accepted_age_ms: Option<u32>,
    ) {
        if self.is_own(id) || next.0 == u64::MAX {
            return;
        }
        let window = self.config.purge_window;
        let Some(stream) = self.streams.get_mut(id).filter(|stream| stream.has_gap()) else { return };
        if id.kind == StreamKind::Configuration && stream.lacks_before(next) {
            let request = self.table_sync.request_skip(now, sender.identity, sender.address, (id, next));
            if let Some((to, message)) = request {
                self.send(to, message);
            }
            return;
        }
        // Another node may still hold the missing entries: a narrow and recent gap is first requested from others.
        let is_wide = stream.last().0.saturating_sub(stream.received().0) > MAX_REPAIRABLE_GAP;
        let is_old =
            stream.gap_since().is_some_and(|since| now.saturating_sub(since) >= window / LONG_GAP_DIVISOR);
        if stream.start_known && stream.lacks_before(next) && !is_wide && !is_old {
            return;
        }
        let min_accepted = min_accepted_age_ms.map(|age| Timestamp::ms_ago(now, age));
        let has_missed = stream.skip_to(next, min_accepted);
        stream.update_gap(now, self.config.heartbeat_interval / 2);
        if stream.has_gap() {
            stream.request_repair_at(now);
        }
        self.apply_queue.touch(id);
        if !has_missed {
            return;
        }
        match min_accepted {
            Some(timestamp) => self.substitute_full_purge(timestamp),
            // All missed purges are older than the window. A node that has run for longer than the window may still
            // serve objects that it stored before those purges.
            None if id.kind == StreamKind::Purges && self.clock.uptime(now) > window => {
                self.substitute_full_purge(Timestamp::ago(now, window));
            }
            None => {}
        }
    }

    /// Abandons gaps in purge streams that have been open for too long. A purge of everything replaces the missing
    /// entries.
    pub(super) fn abandon_gaps(&mut self, now: Duration) {
        let wait = self.config.purge_window / ABANDON_GAP_DIVISOR;
        let mut has_lost_entries = false;
        for stream in self.streams.iter_mut().filter(|stream| stream.id.kind == StreamKind::Purges) {
            if stream.gap_since().is_some_and(|since| now.saturating_sub(since) >= wait) {
                has_lost_entries |= stream.abandon_gap(now, wait);
                stream.update_gap(now, self.config.heartbeat_interval / 2);
                self.apply_queue.touch(stream.id);
            }
        }
        if has_lost_entries {
            self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
        }
    }

    /// Drops the streams of superseded incarnations that have been quiet for long enough.
    pub(super) fn retire_streams(&mut self, now: Duration) {
        let configuration_quiet_time = self.config.heartbeat_interval * CONFIGURATION_RETIRE_HEARTBEATS;
        for retired in self.streams.retire_superseded(now, self.config.purge_window, configuration_quiet_time)
        {
            self.counters.streams_retired += 1;
            self.cover_dropped_stream(now, &retired);
        }
    }
}
