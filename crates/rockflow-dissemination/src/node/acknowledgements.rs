//! Acknowledgements, which travel up the tree: a member reports to its parent which entries it has received, and which
//! its subtree has applied.

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
    /// Sends a member's acknowledgement when it is due.
    pub(super) fn ack_tick(&mut self, now: Duration) {
        if self.control.is_none() && now >= self.acks.due() {
            self.send_acknowledgement(now);
        }
    }

    /// Sends an acknowledgement to the parent, if there is one, and schedules the next.
    pub(super) fn send_acknowledgement(&mut self, now: Duration) {
        self.acks.on_sent(now);
        if let Some(parent) = self.subscription.parent() {
            let message = self.acknowledgement(now);
            self.send(parent.address, message);
        }
    }

    /// Builds an acknowledgement. It covers the streams that changed recently and a few others in rotation.
    pub(super) fn acknowledgement(&mut self, now: Duration) -> Message {
        let advertised = self.streams_to_advertise(now, MAX_STREAMS);
        let streams = advertised.into_iter().filter_map(|id| self.streams.get(id));
        let received = streams.map(|stream| (stream.id, stream.received())).collect();
        let (reports, dropped) = self.subtree_reports();
        self.counters.reports_dropped += dropped;
        Message::Acknowledgement { received, reports }
    }

    /// How many entries `number` is behind the last known number of its stream; 0 for a stream that this node does not
    /// hold.
    pub(super) fn lag(&self, id: StreamId, number: SequenceNumber) -> u64 {
        self.streams.get(id).map_or(0, |stream| stream.last().0.saturating_sub(number.0))
    }

    /// Handles a child's acknowledgement. Its sender becomes or stays a child, if there is room.
    pub(super) fn on_acknowledgement(
        &mut self,
        now: Duration,
        sender: Sender,
        received: Vec<(StreamId, SequenceNumber)>,
        reports: Vec<SubtreeReport>,
    ) {
        let Sender { identity: from, address } = sender;
        // After a pause of this process, a message may have waited unread until its reports were outdated.
        let reports = if self.clock.is_unreliable(now) { Vec::new() } else { reports };
        match self.children.on_acknowledgement(now, from, address, reports) {
            AckOutcome::Full => {
                self.counters.children_rejected += 1;
                self.send(address, Message::Full);
                return;
            }
            AckOutcome::Earlier => return,
            AckOutcome::New => self.on_new_child(now, sender),
            AckOutcome::Known { changed: true } => self.acks.request(),
            AckOutcome::Known { changed: false } => {}
        }
        for (stream, last) in received.into_iter().take(MAX_STREAMS) {
            // The message doesn't say at which number the child's log begins. A first number of 2 leaves open whether
            // the log reaches back to the start of the stream. Only a child that has received no more than the first
            // entry is assumed to have a log from the start.
            let first = SequenceNumber(2).min(last);
            self.on_tip(now, address, StreamTip { stream, first, last }, TipSource::Other);
        }
    }

    /// Sends a heartbeat to a new child, so that it learns the stream tips without waiting for the next one.
    fn on_new_child(&mut self, now: Duration, child: Sender) {
        let listing_hash = match &self.control {
            Some(control) => control.listing_hash_for(child.identity.node),
            None => self.join.parent_listing().listing_hash,
        };
        let heartbeat = self.heartbeat_message(now, listing_hash);
        self.send(child.address, heartbeat);
        self.acks.request();
    }

    /// Merges this node's report with those of its children. Also returns how many reports were left out because the
    /// message has no room for them.
    fn subtree_reports(&self) -> (Vec<SubtreeReport>, u64) {
        let own = self.own_report();
        let reports = own.iter().chain(self.children.reports());
        subtree_report::merge(reports, &|id, number| self.lag(id, number), MAX_REPORTS)
    }

    /// What this node itself has applied; `None` without a place in the tree.
    fn own_report(&self) -> Option<SubtreeReport> {
        let place = self.join.place()?;
        let mut slots = SlotSet::default();
        slots.set(place.slot);
        let started_streams = || self.streams.iter().filter(|stream| stream.start_known);
        let applied = started_streams().map(|stream| (stream.id, stream.applied)).collect();
        let lagging = started_streams().filter(|stream| stream.applied < stream.last());
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
