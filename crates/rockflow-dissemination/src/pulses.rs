//! Pulses down the tree, and acks up it.

use crate::children::Heard;
use crate::following::Source;
use crate::made::Made;
use crate::messages::{Message, Report, Slots, Tip, MAX_REFUSED, MAX_STREAMS, MAX_TIPS};
use crate::node::{Node, ACK};
use crate::reports::{self, MAX_JOINED};
use crate::words::{Identity, Number, StreamId};
use std::net::SocketAddr;
use std::time::Duration;

/// Streams that moved within so many pulses are in every pulse.
const LATELY: u32 = 20;
/// Others, in turn, in each pulse and ack.
const IN_TURN: usize = 2;
/// A pulse not older than so many says that this node is in touch, for as long.
const IN_TOUCH: u32 = 8;
/// One pulse in so many has a digest of all settings.
const DIGEST: u64 = 2;

impl Node {
    pub(crate) fn pulse(
        &mut self,
        now: Duration,
        (from, at): (Identity, SocketAddr),
        stale_ms: u32,
        (directory, near): (u64, u32),
        tips: Vec<Tip>,
        settings: Option<u32>,
    ) {
        let blurred = now < self.blurred;
        let is_control = self.control.is_some();
        if is_control && self.control_at(from.node).is_none() {
            self.counts.out_of_place += 1;
            return;
        }
        if !is_control {
            if blurred {
                self.following.heard_blurred(now, from.node, at);
            } else if !self.parent_pulse(now, from, at, stale_ms) {
                return;
            }
        }
        for tip in tips.into_iter().take(MAX_TIPS) {
            self.tip(now, at, tip, !blurred);
        }
        if let (Some(digest), false) = (settings, blurred) {
            self.compare(now, from, at, digest);
        }
        if !is_control && !blurred {
            self.heard_of_listing(now, directory, near);
            if now.saturating_sub(self.pulsed) >= self.told.pulse / 2 {
                self.send_pulses(now);
            }
        }
    }

    /// False: it isn't of the parent.
    fn parent_pulse(&mut self, now: Duration, from: Identity, at: SocketAddr, stale_ms: u32) -> bool {
        let made = Made::ms_ago(now, stale_ms);
        match self.following.heard(now, from.node, at, made) {
            Source::Parent => {}
            Source::First { from } => self.step_after_pulse(now, from),
            Source::Other => {
                self.counts.out_of_place += 1;
                self.send(at, Message::Leave);
                return false;
            }
        }
        self.basis = self.basis.max(Some(made));
        if made.age(now) <= self.told.pulse * IN_TOUCH {
            let broke =
                self.in_touch.1.is_none_or(|last| now.saturating_sub(last) > self.told.pulse * IN_TOUCH);
            let since = if broke { now } else { self.in_touch.0 };
            self.in_touch = (since, Some(now));
        }
        true
    }

    /// Its own pulse, where none came that could be passed on.
    pub(crate) fn pulse_tick(&mut self, now: Duration) {
        if self.control.is_none() && now >= self.pulsed + self.told.pulse * 3 / 2 {
            self.send_pulses(now);
        }
    }

    pub(crate) fn stale_ms(&self, now: Duration) -> u32 {
        match self.control {
            Some(_) => 0,
            None => self.basis.map_or(u32::MAX, |made| made.age_ms(now)),
        }
    }

    pub(crate) fn pulse_to(&mut self, now: Duration, near: u32) -> Message {
        self.tips_told();
        let directory = match &self.control {
            Some(control) => control.version(),
            None => self.joining.heard.0,
        };
        let settings = self.pulses.is_multiple_of(DIGEST).then(|| self.hosts.digest());
        Message::Pulse { stale_ms: self.stale_ms(now), directory, near, tips: self.tips(now), settings }
    }

    /// To all children, and from a control node to the others.
    pub(crate) fn send_pulses(&mut self, now: Duration) {
        self.pulsed = now;
        self.pulses += 1;
        let children: Vec<(Identity, SocketAddr)> =
            self.children.iter().map(|child| (child.me, child.at)).collect();
        let message = self.pulse_to(now, self.joining.heard.1);
        for (child, to) in children {
            let mut one = message.clone();
            if let (Some(control), Message::Pulse { near, .. }) = (&self.control, &mut one) {
                *near = control.near(child.node);
            }
            self.send(to, one);
        }
        for to in self.other_control() {
            self.send(to, message.clone());
        }
    }

    /// Streams that moved lately, and a few others in turn.
    fn lately(&self, now: Duration, most: usize) -> Vec<StreamId> {
        let lately = self.told.pulse * LATELY;
        let begun = self.streams.iter().filter(|stream| stream.begun && stream.last().0 > 0);
        let (moved, still): (Vec<_>, Vec<_>) =
            begun.map(|s| (s.id, s.moved)).partition(|(_, moved)| now.saturating_sub(*moved) <= lately);
        let turn = (self.pulses as usize).wrapping_mul(IN_TURN) % still.len().max(1);
        let in_turn = still.iter().cycle().skip(turn).take(IN_TURN.min(still.len()));
        let first = self.pulses as usize % moved.len().max(1);
        let moved = moved.iter().cycle().skip(first).take(moved.len().min(most - IN_TURN));
        moved.chain(in_turn).map(|(id, _)| *id).collect()
    }

    fn tips(&self, now: Duration) -> Vec<Tip> {
        let lately = self.lately(now, MAX_TIPS);
        lately.into_iter().filter_map(|id| self.streams.get(id)).map(|stream| stream.tip()).collect()
    }

    pub(crate) fn ack_tick(&mut self, now: Duration) {
        let pulse = self.told.pulse;
        let wait = if self.ack_soon { pulse } else { pulse * ACK };
        if self.control.is_none() && now >= self.acked + wait {
            self.ack(now);
        }
    }

    /// To the parent: what is here, and in force below.
    pub(crate) fn ack(&mut self, now: Duration) {
        self.acked = now;
        self.ack_soon = false;
        if let Some(parent) = self.following.parent() {
            let ack = self.own_ack(now);
            self.send(parent.address, ack);
        }
    }

    pub(crate) fn own_ack(&mut self, now: Duration) -> Message {
        let lately = self.lately(now, MAX_STREAMS);
        let has = lately.into_iter().filter_map(|id| self.streams.get(id));
        let has = has.map(|stream| (stream.id, stream.to())).collect();
        let (reports, dropped) = self.reports();
        self.counts.reports_dropped += dropped;
        Message::Ack { has, reports }
    }

    fn own_report(&self) -> Option<Report> {
        let place = self.joining.place.as_ref()?;
        let mut slots = Slots::default();
        slots.set(place.slot);
        let begun = || self.streams.iter().filter(|stream| stream.begun);
        let in_force = begun().map(|stream| (stream.id, stream.in_force)).collect();
        let behind = begun().filter(|stream| stream.in_force < stream.last());
        let behind = behind.map(|stream| (place.slot, stream.id, stream.in_force)).collect();
        let refused = self.apart.iter().map(|((stream, number), why)| (stream, number, why, 1));
        let refused = refused.take(MAX_REFUSED).collect();
        Some(Report { region: place.region, near: place.near, slots, in_force, behind, refused })
    }

    /// What is known here of a stream, above a number.
    pub(crate) fn lag(&self, id: StreamId, number: Number) -> u64 {
        self.streams.get(id).map_or(0, |stream| stream.last().0.saturating_sub(number.0))
    }

    pub(crate) fn reports(&self) -> (Vec<Report>, u64) {
        let own = self.own_report();
        let all = own.iter().chain(self.children.reports());
        reports::join(all, &|id, number| self.lag(id, number), MAX_JOINED)
    }

    pub(crate) fn acked_by(
        &mut self,
        now: Duration,
        from: Identity,
        at: SocketAddr,
        has: Vec<(StreamId, Number)>,
        reports: Vec<Report>,
    ) {
        let reports = if now < self.blurred { Vec::new() } else { reports };
        match self.children.hear(now, from, at, reports) {
            Heard::Full => {
                self.counts.full += 1;
                self.send(at, Message::Full);
                return;
            }
            Heard::Earlier => return,
            Heard::New => {
                let near = match &self.control {
                    Some(control) => control.near(from.node),
                    None => self.joining.heard.1,
                };
                let pulse = self.pulse_to(now, near);
                self.send(at, pulse);
                self.ack_soon = true;
            }
            Heard::Known { changed } => self.ack_soon |= changed,
        }
        for (stream, last) in has.into_iter().take(MAX_STREAMS) {
            // Where its log begins isn't said; only that of its first entry is known.
            let first = Number(2).min(last);
            self.tip(now, at, Tip { stream, first, last }, false);
        }
    }
}
