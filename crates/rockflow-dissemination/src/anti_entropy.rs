//! What is missing, asked for and answered, given up, and streams that are over.

use crate::encoded_size;
use crate::entry::{SequenceNumber, StreamId, StreamKind};
use crate::identity::Identity;
use crate::message::{Message, MAX_RANGES};
use crate::node::Node;
use crate::stream::{Stream, MAX_REPAIRABLE_GAP};
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Frames that answer one ask. The rest is asked for again.
const MAX_REPAIR_FRAMES: usize = 16;
/// A configuration stream's life that a later one has followed is dropped after so many pulses.
const CONFIGURATION_RETIRE_HEARTBEATS: u32 = 120;
/// Asks wait longer the more there were, up to so many pulses, where nothing ends a gap.
const MAX_REPAIR_BACKOFF_HEARTBEATS: u32 = 16;
/// So many asks come a pulse after each other.
const MAX_QUICK_REPAIR_REQUESTS: u32 = 16;

impl Node {
    /// Asks for what is missing, where it is due.
    pub(crate) fn request_repairs(&mut self, now: Duration) {
        let due = |stream: &&Stream| stream.repair_due.is_some_and(|due| due <= now);
        let due: Vec<StreamId> = self.streams.iter().filter(due).map(|stream| stream.id).collect();
        for id in due {
            let heartbeat_interval = self.config.heartbeat_interval;
            let Some(stream) = self.streams.get_mut(id) else { continue };
            if stream.received_at_last_repair != stream.received() {
                stream.received_at_last_repair = stream.received();
                stream.repair_attempts = 0;
            }
            let repair_attempts = stream.repair_attempts;
            stream.repair_attempts = repair_attempts.saturating_add(1);
            let wait = heartbeat_interval
                * repair_attempts
                    .saturating_sub(MAX_QUICK_REPAIR_REQUESTS)
                    .clamp(1, MAX_REPAIR_BACKOFF_HEARTBEATS);
            stream.repair_due = Some(now + wait);
            let ranges = stream.missing_ranges();
            let advertised_by = stream.advertised_by;
            if let Some(to) = self.repair_target(id, advertised_by, repair_attempts) {
                self.counters.repair_requests_sent += 1;
                self.send(to, Message::RepairRequest { stream: id, ranges });
            }
        }
    }

    /// The parent; then, each time anew, another candidate from the nearest on, and one from the last on: control nodes,
    /// which have more to give. Whoever showed that there is more, where there is none of these.
    fn repair_target(
        &self,
        id: StreamId,
        advertised_by: Option<SocketAddr>,
        repair_attempts: u32,
    ) -> Option<SocketAddr> {
        let switch_to = repair_attempts as usize;
        if let Some(control) = &self.control {
            return control.repair_target(id, advertised_by, switch_to);
        }
        let parent = self.subscription.parent().map(|parent| parent.address);
        let candidates = self.subscription.candidates();
        let count = candidates.len().max(1);
        let nearest = candidates.get((switch_to / 3 + 1) % count).map(|other| other.address);
        let last = candidates.get(count - 1 - (switch_to / 3) % count).map(|other| other.address);
        match switch_to % 3 {
            1 => advertised_by.filter(|by| Some(*by) != parent).or(nearest),
            2 => last.or(advertised_by),
            _ => parent.or(advertised_by),
        }
    }

    /// Somebody misses these.
    pub(crate) fn on_repair_request(
        &mut self,
        now: Duration,
        at: SocketAddr,
        id: StreamId,
        ranges: Vec<(SequenceNumber, SequenceNumber)>,
    ) {
        if !self.repair_budget.has_credit(now) {
            self.counters.repair_requests_throttled += 1;
            return;
        }
        let Some(stream) = self.streams.get(id) else { return };
        let window = self.config.purge_window;
        let mut snapshot = ranges.is_empty();
        let mut frames = Vec::new();
        for (from, to) in ranges.into_iter().take(MAX_RANGES) {
            let to = SequenceNumber(to.0.min(from.0.saturating_add(MAX_REPAIRABLE_GAP - 1)));
            frames.extend(stream.batches(now, from, to, MAX_REPAIR_FRAMES - frames.len()));
            snapshot |= from < stream.first() && stream.get(from).is_none();
        }
        if snapshot && stream.start_known {
            frames.insert(0, stream.snapshot(now, window));
        }
        if frames.is_empty() {
            return;
        }
        self.counters.repair_requests_answered += 1;
        for frame in frames {
            self.repair_budget.consume(encoded_size::message(&frame));
            self.send(at, frame);
        }
    }

    /// Somebody's log begins there. What is missing before it is covered by a floor, or by the whole table.
    pub(crate) fn on_snapshot(
        &mut self,
        now: Duration,
        (from, at): (Identity, SocketAddr),
        id: StreamId,
        next: SequenceNumber,
        min_accepted_age_ms: Option<u32>,
    ) {
        let (window, heartbeat_interval) = (self.config.purge_window, self.config.heartbeat_interval);
        let lives_longer = now.saturating_sub(self.started) > window;
        if self.is_own(id) || next.0 == u64::MAX {
            return;
        }
        let Some(stream) = self.streams.get_mut(id).filter(|stream| stream.has_gap()) else { return };
        if id.kind == StreamKind::Configuration && stream.lacks_before(next) {
            if let Some((to, message)) = self.tables.request_skip(now, from, at, (id, next)) {
                self.send(to, message);
            }
            return;
        }
        // Another may have what this one doesn't: a narrow gap is asked for elsewhere first.
        let wide = stream.last().0.saturating_sub(stream.received().0) > MAX_REPAIRABLE_GAP;
        let long = stream.gap_since().is_some_and(|since| now.saturating_sub(since) >= window / 4);
        if stream.start_known && stream.lacks_before(next) && !wide && !long {
            return;
        }
        let floor = min_accepted_age_ms.map(|age| Timestamp::ms_ago(now, age));
        let missed = stream.skip_to(next, floor);
        stream.update_gap(now, heartbeat_interval / 2);
        if stream.has_gap() {
            stream.repair_due = Some(now);
        }
        self.touched_streams.insert(id);
        match floor {
            Some(timestamp) if missed => self.substitute_full_purge(timestamp),
            // What this life missed is older than the window, and so may be what it holds.
            None if missed && lives_longer && id.kind == StreamKind::Purges => {
                self.substitute_full_purge(Timestamp::ago(now, window))
            }
            _ => {}
        }
    }

    /// Purges that nobody has brought in half the window: a floor of now stands for them.
    pub(crate) fn abandon_gaps(&mut self, now: Duration) {
        let wait = self.config.purge_window / 2;
        let mut lost = Vec::new();
        for stream in self.streams.iter_mut().filter(|stream| stream.id.kind == StreamKind::Purges) {
            if stream.gap_since().is_some_and(|since| now.saturating_sub(since) >= wait) {
                if stream.abandon_gap(now, wait) {
                    lost.push(stream.id);
                }
                stream.update_gap(now, self.config.heartbeat_interval / 2);
                self.touched_streams.insert(stream.id);
            }
        }
        if !lost.is_empty() {
            self.substitute_full_purge(Timestamp::ago(now, Duration::ZERO));
        }
    }

    pub(crate) fn retire_streams(&mut self, now: Duration) {
        let settings = self.config.heartbeat_interval * CONFIGURATION_RETIRE_HEARTBEATS;
        for gone in self.streams.retire_superseded(now, self.config.purge_window, settings) {
            self.counters.streams_retired += 1;
            self.cover_dropped_stream(now, &gone);
        }
    }
}
