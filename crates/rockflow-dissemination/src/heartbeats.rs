//! Pulses down the tree, and acks up it.

use crate::children::AckOutcome;
use crate::entry::{SequenceNumber, StreamId};
use crate::identity::Identity;
use crate::message::{Message, MAX_STREAMS, MAX_TIPS};
use crate::node::Node;
use crate::node::MAX_ACK_INTERVAL_HEARTBEATS;
use crate::slot_set::SlotSet;
use crate::stream::StreamTip;
use crate::subscription::HeartbeatSource;
use crate::subtree_report;
use crate::subtree_report::MAX_MERGED_REPORTS;
use crate::subtree_report::{SubtreeReport, MAX_REJECTED};
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Streams that moved within so many pulses are in every pulse.
const RECENT_STREAM_HEARTBEATS: u32 = 20;
/// Others, in turn, in each pulse and ack.
const ROTATED_STREAMS_PER_MESSAGE: usize = 2;
/// A pulse not older than so many says that this node is in touch, for as long.
const IN_CONTACT_HEARTBEATS: u32 = 8;
/// One pulse in so many has a digest of all settings.
const DIGEST_INTERVAL_HEARTBEATS: u64 = 2;

impl Node {
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Duration,
        (from, at): (Identity, SocketAddr),
        staleness_ms: u32,
        (directory, listing_hash): (u64, u32),
        tips: Vec<StreamTip>,
        settings: Option<u32>,
    ) {
        let timing_unreliable = now < self.timing_unreliable_until;
        let is_control = self.control.is_some();
        if is_control && self.control_index(from.node).is_none() {
            self.counters.unexpected_messages += 1;
            return;
        }
        if !is_control {
            if timing_unreliable {
                self.subscription.on_untimed_heartbeat(now, from.node, at);
            } else if !self.on_parent_heartbeat(now, from, at, staleness_ms) {
                return;
            }
        }
        for tip in tips.into_iter().take(MAX_TIPS) {
            self.on_tip(now, at, tip, !timing_unreliable);
        }
        if let (Some(digest), false) = (settings, timing_unreliable) {
            self.compare_digest(now, from, at, digest);
        }
        if !is_control && !timing_unreliable {
            self.on_parent_listing(now, directory, listing_hash);
            if now.saturating_sub(self.heartbeat_sent_at) >= self.config.heartbeat_interval / 2 {
                self.send_heartbeats(now);
            }
        }
    }

    /// False: it isn't of the parent.
    fn on_parent_heartbeat(
        &mut self,
        now: Duration,
        from: Identity,
        at: SocketAddr,
        staleness_ms: u32,
    ) -> bool {
        let timestamp = Timestamp::ms_ago(now, staleness_ms);
        match self.subscription.on_heartbeat(now, from.node, at, timestamp) {
            HeartbeatSource::Parent => {}
            HeartbeatSource::Preferred { previous: from } => self.on_failback(now, from),
            HeartbeatSource::Other => {
                self.counters.unexpected_messages += 1;
                self.send(at, Message::Leave);
                return false;
            }
        }
        self.newest_heartbeat = self.newest_heartbeat.max(Some(timestamp));
        if timestamp.age(now) <= self.config.heartbeat_interval * IN_CONTACT_HEARTBEATS {
            let broke = self.in_touch.1.is_none_or(|last| {
                now.saturating_sub(last) > self.config.heartbeat_interval * IN_CONTACT_HEARTBEATS
            });
            let since = if broke { now } else { self.in_touch.0 };
            self.in_touch = (since, Some(now));
        }
        true
    }

    /// Its own pulse, where none came that could be passed on.
    pub(crate) fn heartbeat_tick(&mut self, now: Duration) {
        if self.control.is_none() && now >= self.heartbeat_sent_at + self.config.heartbeat_interval * 3 / 2 {
            self.send_heartbeats(now);
        }
    }

    pub(crate) fn staleness_ms(&self, now: Duration) -> u32 {
        match self.control {
            Some(_) => 0,
            None => self.newest_heartbeat.map_or(u32::MAX, |timestamp| timestamp.age_ms(now)),
        }
    }

    pub(crate) fn heartbeat_message(&mut self, now: Duration, listing_hash: u32) -> Message {
        self.note_tips_advertised();
        let directory = match &self.control {
            Some(control) => control.directory_version(),
            None => self.join.parent_listing.0,
        };
        let settings =
            self.heartbeats_sent.is_multiple_of(DIGEST_INTERVAL_HEARTBEATS).then(|| self.settings.digest());
        Message::Heartbeat {
            staleness_ms: self.staleness_ms(now),
            directory_version: directory,
            listing_hash,
            tips: self.tips(now),
            settings_digest: settings,
        }
    }

    /// To all children, and from a control node to the others.
    pub(crate) fn send_heartbeats(&mut self, now: Duration) {
        self.heartbeat_sent_at = now;
        self.heartbeats_sent += 1;
        let children: Vec<(Identity, SocketAddr)> =
            self.children.iter().map(|child| (child.identity, child.address)).collect();
        let message = self.heartbeat_message(now, self.join.parent_listing.1);
        for (child, to) in children {
            let mut one = message.clone();
            if let (Some(control), Message::Heartbeat { listing_hash, .. }) = (&self.control, &mut one) {
                *listing_hash = control.listing_hash_for(child.node);
            }
            self.send(to, one);
        }
        for to in self.other_control_addresses() {
            self.send(to, message.clone());
        }
    }

    /// Streams that moved lately, and a few others in turn.
    fn recent_streams(&self, now: Duration, max: usize) -> Vec<StreamId> {
        let recent_streams = self.config.heartbeat_interval * RECENT_STREAM_HEARTBEATS;
        let start_known = self.streams.iter().filter(|stream| stream.start_known && stream.last().0 > 0);
        let (last_advanced, still): (Vec<_>, Vec<_>) = start_known
            .map(|s| (s.id, s.last_advanced))
            .partition(|(_, last_advanced)| now.saturating_sub(*last_advanced) <= recent_streams);
        let switch_to =
            (self.heartbeats_sent as usize).wrapping_mul(ROTATED_STREAMS_PER_MESSAGE) % still.len().max(1);
        let in_turn = still.iter().cycle().skip(switch_to).take(ROTATED_STREAMS_PER_MESSAGE.min(still.len()));
        let first = self.heartbeats_sent as usize % last_advanced.len().max(1);
        let last_advanced = last_advanced
            .iter()
            .cycle()
            .skip(first)
            .take(last_advanced.len().min(max - ROTATED_STREAMS_PER_MESSAGE));
        last_advanced.chain(in_turn).map(|(id, _)| *id).collect()
    }

    fn tips(&self, now: Duration) -> Vec<StreamTip> {
        let recent_streams = self.recent_streams(now, MAX_TIPS);
        recent_streams.into_iter().filter_map(|id| self.streams.get(id)).map(|stream| stream.tip()).collect()
    }

    pub(crate) fn ack_tick(&mut self, now: Duration) {
        let heartbeat_interval = self.config.heartbeat_interval;
        let wait = if self.ack_requested {
            heartbeat_interval
        } else {
            heartbeat_interval * MAX_ACK_INTERVAL_HEARTBEATS
        };
        if self.control.is_none() && now >= self.ack_sent_at + wait {
            self.ack(now);
        }
    }

    /// To the parent: what is here, and in force below.
    pub(crate) fn ack(&mut self, now: Duration) {
        self.ack_sent_at = now;
        self.ack_requested = false;
        if let Some(parent) = self.subscription.parent() {
            let ack = self.own_acknowledgement(now);
            self.send(parent.address, ack);
        }
    }

    pub(crate) fn own_acknowledgement(&mut self, now: Duration) -> Message {
        let recent_streams = self.recent_streams(now, MAX_STREAMS);
        let has = recent_streams.into_iter().filter_map(|id| self.streams.get(id));
        let has = has.map(|stream| (stream.id, stream.received())).collect();
        let (reports, dropped) = self.reports();
        self.counters.reports_dropped += dropped;
        Message::Acknowledgement { received: has, reports }
    }

    fn own_report(&self) -> Option<SubtreeReport> {
        let place = self.join.place.as_ref()?;
        let mut slots = SlotSet::default();
        slots.set(place.slot);
        let start_known = || self.streams.iter().filter(|stream| stream.start_known);
        let applied = start_known().map(|stream| (stream.id, stream.applied)).collect();
        let lagging = start_known().filter(|stream| stream.applied < stream.last());
        let lagging = lagging.map(|stream| (place.slot, stream.id, stream.applied)).collect();
        let rejected = self.quarantined.iter().map(|((stream, number), why)| (stream, number, why, 1));
        let rejected = rejected.take(MAX_REJECTED).collect();
        Some(SubtreeReport {
            region: place.region,
            listing_hash: place.listing_hash,
            slots,
            applied,
            lagging,
            rejected,
        })
    }

    /// What is known here of a stream, above a number.
    pub(crate) fn lag(&self, id: StreamId, number: SequenceNumber) -> u64 {
        self.streams.get(id).map_or(0, |stream| stream.last().0.saturating_sub(number.0))
    }

    pub(crate) fn reports(&self) -> (Vec<SubtreeReport>, u64) {
        let own = self.own_report();
        let all = own.iter().chain(self.children.reports());
        subtree_report::join(all, &|id, number| self.lag(id, number), MAX_MERGED_REPORTS)
    }

    pub(crate) fn on_acknowledgement(
        &mut self,
        now: Duration,
        from: Identity,
        at: SocketAddr,
        has: Vec<(StreamId, SequenceNumber)>,
        reports: Vec<SubtreeReport>,
    ) {
        let reports = if now < self.timing_unreliable_until { Vec::new() } else { reports };
        match self.children.on_acknowledgement(now, from, at, reports) {
            AckOutcome::Full => {
                self.counters.children_rejected += 1;
                self.send(at, Message::Full);
                return;
            }
            AckOutcome::Earlier => return,
            AckOutcome::New => {
                let listing_hash = match &self.control {
                    Some(control) => control.listing_hash_for(from.node),
                    None => self.join.parent_listing.1,
                };
                let heartbeat = self.heartbeat_message(now, listing_hash);
                self.send(at, heartbeat);
                self.ack_requested = true;
            }
            AckOutcome::Known { changed } => self.ack_requested |= changed,
        }
        for (stream, last) in has.into_iter().take(MAX_STREAMS) {
            // Where its log begins isn't said; only that of its first entry is known.
            let first = SequenceNumber(2).min(last);
            self.on_tip(now, at, StreamTip { stream, first, last }, false);
        }
    }
}
