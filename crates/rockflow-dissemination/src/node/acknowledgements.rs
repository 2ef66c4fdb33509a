//! Acknowledgements up the tree.

use super::heartbeats::TipSource;
use super::{Node, Sender};
use crate::children::AckOutcome;
use crate::entry::{SequenceNumber, StreamId};
use crate::message::{Message, MAX_REPORTS, MAX_STREAMS};
use crate::slot_set::SlotSet;
use crate::stream::StreamTip;
use crate::subtree_report::{self, SubtreeReport, MAX_REJECTED};
use std::time::Duration;

impl Node {
    pub(super) fn ack_tick(&mut self, now: Duration) {
        if self.control.is_none() && now >= self.acks.due() {
            self.send_acknowledgement(now);
        }
    }

    /// Tells the parent what was received here, and what is applied in this subtree.
    pub(super) fn send_acknowledgement(&mut self, now: Duration) {
        self.acks.on_sent(now);
        if let Some(parent) = self.subscription.parent() {
            let message = self.acknowledgement(now);
            self.send(parent.address, message);
        }
    }

    pub(super) fn acknowledgement(&mut self, now: Duration) -> Message {
        let advertised = self.streams_to_advertise(now, MAX_STREAMS);
        let streams = advertised.into_iter().filter_map(|id| self.streams.get(id));
        let received = streams.map(|stream| (stream.id, stream.received())).collect();
        let (reports, dropped) = self.subtree_reports();
        self.counters.reports_dropped += dropped;
        Message::Acknowledgement { received, reports }
    }

    /// How far a number is behind the last that is known here of its stream.
    pub(super) fn lag(&self, id: StreamId, number: SequenceNumber) -> u64 {
        self.streams.get(id).map_or(0, |stream| stream.last().0.saturating_sub(number.0))
    }

    pub(super) fn on_acknowledgement(
        &mut self,
        now: Duration,
        sender: Sender,
        received: Vec<(StreamId, SequenceNumber)>,
        reports: Vec<SubtreeReport>,
    ) {
        let Sender { identity: from, address } = sender;
        let reports = if self.clock.is_unreliable(now) { Vec::new() } else { reports };
        match self.children.on_acknowledgement(now, from, address, reports) {
            AckOutcome::Full => {
                self.counters.children_rejected += 1;
                self.send(address, Message::Full);
                return;
            }
            AckOutcome::Earlier => return,
            AckOutcome::New => self.welcome_child(now, sender),
            AckOutcome::Known { changed: true } => self.acks.request(),
            AckOutcome::Known { changed: false } => {}
        }
        for (stream, last) in received.into_iter().take(MAX_STREAMS) {
            // The message doesn't say where the child's log begins; only a log that holds nothing is known to.
            let first = SequenceNumber(2).min(last);
            self.on_tip(now, address, StreamTip { stream, first, last }, TipSource::Other);
        }
    }

    fn welcome_child(&mut self, now: Duration, child: Sender) {
        let listing_hash = match &self.control {
            Some(control) => control.listing_hash_for(child.identity.node),
            None => self.join.parent_listing().listing_hash,
        };
        let heartbeat = self.heartbeat_message(now, listing_hash);
        self.send(child.address, heartbeat);
        self.acks.request();
    }

    /// The reports of this node and its children, and how many had no room.
    fn subtree_reports(&self) -> (Vec<SubtreeReport>, u64) {
        let own = self.own_report();
        let all = own.iter().chain(self.children.reports());
        subtree_report::merge(all, &|id, number| self.lag(id, number), MAX_REPORTS)
    }

    fn own_report(&self) -> Option<SubtreeReport> {
        let place = self.join.place()?;
        let mut slots = SlotSet::default();
        slots.set(place.slot);
        let known = || self.streams.iter().filter(|stream| stream.start_known);
        let applied = known().map(|stream| (stream.id, stream.applied)).collect();
        let lagging = known().filter(|stream| stream.applied < stream.last());
        let lagging = lagging.map(|stream| (place.slot, stream.id, stream.applied)).collect();
        let rejected = self.quarantined.iter().map(|((stream, number), reason)| (stream, number, reason, 1));
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
}
