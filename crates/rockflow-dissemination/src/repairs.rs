//! What is missing, asked for and answered, given up, and streams that are over.

use crate::made::Made;
use crate::messages::{Message, MAX_RANGES};
use crate::node::Node;
use crate::sizes;
use crate::stream::{Stream, MAX_GAP};
use crate::words::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Frames that answer one ask. The rest is asked for again.
const MAX_FRAMES: usize = 16;
/// A configuration stream's life that a later one has followed is dropped after so many pulses.
const RETIRE_SETTINGS: u32 = 120;
/// Asks wait longer the more there were, up to so many pulses, where nothing ends a gap.
const MAX_ASK_WAIT: u32 = 16;
/// So many asks come a pulse after each other.
const QUICK_ASKS: u32 = 16;

impl Node {
    /// Asks for what is missing, where it is due.
    pub(crate) fn ask(&mut self, now: Duration) {
        let due = |stream: &&Stream| stream.ask_due.is_some_and(|due| due <= now);
        let due: Vec<StreamId> = self.streams.iter().filter(due).map(|stream| stream.id).collect();
        for id in due {
            let pulse = self.told.pulse;
            let Some(stream) = self.streams.get_mut(id) else { continue };
            if stream.asked_at != stream.to() {
                stream.asked_at = stream.to();
                stream.asks = 0;
            }
            let asks = stream.asks;
            stream.asks = asks.saturating_add(1);
            let wait = pulse * asks.saturating_sub(QUICK_ASKS).clamp(1, MAX_ASK_WAIT);
            stream.ask_due = Some(now + wait);
            let ranges = stream.missing();
            let shown_by = stream.shown_by;
            if let Some(to) = self.whom_to_ask(id, shown_by, asks) {
                self.counts.repairs_asked += 1;
                self.send(to, Message::Ask { stream: id, ranges });
            }
        }
    }

    /// The parent; then, each time anew, another candidate from the nearest on, and one from the last on: control nodes,
    /// which have more to give. Whoever showed that there is more, where there is none of these.
    fn whom_to_ask(&self, id: StreamId, shown_by: Option<SocketAddr>, asks: u32) -> Option<SocketAddr> {
        let turn = asks as usize;
        if let Some(control) = &self.control {
            return control.whom_to_ask(id, shown_by, turn);
        }
        let parent = self.following.parent().map(|parent| parent.address);
        let candidates = self.following.candidates();
        let count = candidates.len().max(1);
        let nearest = candidates.get((turn / 3 + 1) % count).map(|other| other.address);
        let last = candidates.get(count - 1 - (turn / 3) % count).map(|other| other.address);
        match turn % 3 {
            1 => shown_by.filter(|by| Some(*by) != parent).or(nearest),
            2 => last.or(shown_by),
            _ => parent.or(shown_by),
        }
    }

    /// Somebody misses these.
    pub(crate) fn asked(
        &mut self,
        now: Duration,
        at: SocketAddr,
        id: StreamId,
        ranges: Vec<(Number, Number)>,
    ) {
        if !self.repairs.open(now) {
            self.counts.repairs_held_back += 1;
            return;
        }
        let Some(stream) = self.streams.get(id) else { return };
        let window = self.told.purge_window;
        let mut snapshot = ranges.is_empty();
        let mut frames = Vec::new();
        for (from, to) in ranges.into_iter().take(MAX_RANGES) {
            let to = Number(to.0.min(from.0.saturating_add(MAX_GAP - 1)));
            frames.extend(stream.batches(now, from, to, MAX_FRAMES - frames.len()));
            snapshot |= from < stream.first() && stream.get(from).is_none();
        }
        if snapshot && stream.begun {
            frames.insert(0, stream.snapshot(now, window));
        }
        if frames.is_empty() {
            return;
        }
        self.counts.repairs_answered += 1;
        for frame in frames {
            self.repairs.take(sizes::message(&frame));
            self.send(at, frame);
        }
    }

    /// Somebody's log begins there. What is missing before it is covered by a floor, or by the whole table.
    pub(crate) fn snapshot(
        &mut self,
        now: Duration,
        (from, at): (Identity, SocketAddr),
        id: StreamId,
        next: Number,
        floor_age_ms: Option<u32>,
    ) {
        let (window, pulse) = (self.told.purge_window, self.told.pulse);
        let lives_longer = now.saturating_sub(self.started) > window;
        if self.is_own(id) || next.0 == u64::MAX {
            return;
        }
        let Some(stream) = self.streams.get_mut(id).filter(|stream| stream.gap()) else { return };
        if id.kind == Kind::Configuration && stream.lacks_before(next) {
            if let Some((to, message)) = self.tables.jump(now, from, at, (id, next)) {
                self.send(to, message);
            }
            return;
        }
        // Another may have what this one doesn't: a narrow gap is asked for elsewhere first.
        let wide = stream.last().0.saturating_sub(stream.to().0) > MAX_GAP;
        let long = stream.gap_since().is_some_and(|since| now.saturating_sub(since) >= window / 4);
        if stream.begun && stream.lacks_before(next) && !wide && !long {
            return;
        }
        let floor = floor_age_ms.map(|age| Made::ms_ago(now, age));
        let missed = stream.pass(next, floor);
        stream.watch_gap(now, pulse / 2);
        if stream.gap() {
            stream.ask_due = Some(now);
        }
        self.touched.insert(id);
        match floor {
            Some(made) if missed => self.floor(made),
            // What this life missed is older than the window, and so may be what it holds.
            None if missed && lives_longer && id.kind == Kind::Purges => self.floor(Made::ago(now, window)),
            _ => {}
        }
    }

    /// Purges that nobody has brought in half the window: a floor of now stands for them.
    pub(crate) fn give_up(&mut self, now: Duration) {
        let wait = self.told.purge_window / 2;
        let mut lost = Vec::new();
        for stream in self.streams.iter_mut().filter(|stream| stream.id.kind == Kind::Purges) {
            if stream.gap_since().is_some_and(|since| now.saturating_sub(since) >= wait) {
                if stream.give_up(now, wait) {
                    lost.push(stream.id);
                }
                stream.watch_gap(now, self.told.pulse / 2);
                self.touched.insert(stream.id);
            }
        }
        if !lost.is_empty() {
            self.floor(Made::ago(now, Duration::ZERO));
        }
    }

    pub(crate) fn retire(&mut self, now: Duration) {
        let settings = self.told.pulse * RETIRE_SETTINGS;
        for gone in self.streams.retire(now, self.told.purge_window, settings) {
            self.counts.retired += 1;
            self.floor_for(now, &gone);
        }
    }
}
