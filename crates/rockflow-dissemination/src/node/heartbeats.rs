//! Heartbeats, which travel down the tree and between control nodes.

use super::{Node, Sender};
use crate::entry::StreamId;
use crate::identity::Identity;
use crate::message::{Message, MAX_TIPS};
use crate::stream::StreamTip;
use crate::subscription::HeartbeatSource;
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// A stream that advanced within this many heartbeat intervals is in every heartbeat and acknowledgement.
const RECENT_STREAM_HEARTBEATS: u32 = 20;
/// Number of other streams in each heartbeat and acknowledgement, in rotation.
const ROTATED_STREAMS_PER_MESSAGE: usize = 2;

/// The fields of a [`Message::Heartbeat`], with the same meaning.
pub(super) struct Heartbeat {
    pub staleness_ms: u32,
    pub directory_version: u64,
    pub listing_hash: u32,
    pub tips: Vec<StreamTip>,
    pub settings_digest: Option<u32>,
}

/// Whether the sender of a stream tip can be expected to know how far the stream reaches at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TipSource {
    /// A parent or a control node, whose tip is up to date.
    Upstream,
    /// A child, or the sender of a message that may have waited unread for long, so that its tip may be outdated.
    Other,
}

impl Node {
    /// Handles a heartbeat: a control node accepts those of other control nodes, a member those of its parent.
    pub(super) fn on_heartbeat(&mut self, now: Duration, sender: Sender, heartbeat: Heartbeat) {
        let Sender { identity: from, address } = sender;
        let has_reliable_age = !self.clock.is_unreliable(now);
        let is_control = self.control.is_some();
        if is_control && self.control_index(from.node).is_none() {
            self.counters.unexpected_messages += 1;
            return;
        }
        if !is_control && !has_reliable_age {
            self.subscription.on_untimed_heartbeat(now, from.node, address);
        }
        if !is_control && has_reliable_age && !self.on_parent_heartbeat(now, sender, heartbeat.staleness_ms) {
            return;
        }
        let source = if has_reliable_age { TipSource::Upstream } else { TipSource::Other };
        for tip in heartbeat.tips.into_iter().take(MAX_TIPS) {
            self.on_tip(now, address, tip, source);
        }
        if let (Some(digest), true) = (heartbeat.settings_digest, has_reliable_age) {
            self.compare_digest(now, sender, digest);
        }
        if !is_control && has_reliable_age {
            self.on_parent_listing(now, heartbeat.directory_version, heartbeat.listing_hash);
            if self.heartbeats.may_forward(now) {
                self.send_heartbeats(now);
            }
        }
    }

    /// Renews the contact with the parent. Returns false if the sender is not the parent; it is then notified that this
    /// node does not follow it.
    fn on_parent_heartbeat(&mut self, now: Duration, sender: Sender, staleness_ms: u32) -> bool {
        let made_at = Timestamp::ms_ago(now, staleness_ms);
        match self.subscription.on_heartbeat(now, sender.identity.node, sender.address, made_at) {
            HeartbeatSource::Parent => {}
            HeartbeatSource::Preferred { previous } => self.on_parent_changed(now, Some(previous)),
            HeartbeatSource::Other => {
                self.counters.unexpected_messages += 1;
                self.send(sender.address, Message::Leave);
                return false;
            }
        }
        self.contact.on_heartbeat(now, made_at);
        true
    }

    /// Sends a member's heartbeat if it is due because the parent has sent none that could be passed on.
    pub(super) fn heartbeat_tick(&mut self, now: Duration) {
        if self.control.is_none() && now >= self.heartbeats.member_due() {
            self.send_heartbeats(now);
        }
    }

    /// Milliseconds since a control node made the newest heartbeat that has reached this node; 0 at a control node,
    /// `u32::MAX` if none was received.
    pub(super) fn staleness_ms(&self, now: Duration) -> u32 {
        match self.control {
            Some(_) => 0,
            None => self.contact.staleness_ms(now),
        }
    }

    /// Builds a heartbeat. `listing_hash` identifies the listing of the receiver's region.
    pub(super) fn heartbeat_message(&mut self, now: Duration, listing_hash: u32) -> Message {
        self.record_tips_advertised();
        let directory_version = match &self.control {
            Some(control) => control.directory_version(),
            None => self.join.parent_listing().directory_version,
        };
        let settings_digest = self.heartbeats.carries_digest().then(|| self.settings.digest());
        Message::Heartbeat {
            staleness_ms: self.staleness_ms(now),
            directory_version,
            listing_hash,
            tips: self.tips(now),
            settings_digest,
        }
    }

    /// Sends a heartbeat to all children and, at a control node, to the other control nodes.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        self.heartbeats.on_sent(now);
        let children: Vec<(Identity, SocketAddr)> =
            self.children.iter().map(|child| (child.identity, child.address)).collect();
        let message = self.heartbeat_message(now, self.join.parent_listing().listing_hash);
        for (child, to) in children {
            let mut for_child = message.clone();
            if let (Some(control), Message::Heartbeat { listing_hash, .. }) = (&self.control, &mut for_child)
            {
                *listing_hash = control.listing_hash_for(child.node);
            }
            self.send(to, for_child);
        }
        for to in self.other_control_addresses() {
            self.send(to, message.clone());
        }
    }

    /// The streams to name in the next heartbeat or acknowledgement, at most `max`: those that advanced recently, and a
    /// few of the others in rotation.
    pub(super) fn streams_to_advertise(&self, now: Duration, max: usize) -> Vec<StreamId> {
        let recent_span = self.config.heartbeat_interval * RECENT_STREAM_HEARTBEATS;
        let known = self.streams.iter().filter(|stream| stream.start_known && stream.last().0 > 0);
        let (recent, quiet): (Vec<_>, Vec<_>) =
            known.partition(|stream| now.saturating_sub(stream.last_advanced) <= recent_span);
        let rotation = self.heartbeats.sent();
        let first_quiet = rotation.wrapping_mul(ROTATED_STREAMS_PER_MESSAGE) % quiet.len().max(1);
        let quiet_count = ROTATED_STREAMS_PER_MESSAGE.min(quiet.len());
        let quiet = quiet.iter().cycle().skip(first_quiet).take(quiet_count);
        let first_recent = rotation % recent.len().max(1);
        let recent_count = recent.len().min(max - ROTATED_STREAMS_PER_MESSAGE);
        let recent = recent.iter().cycle().skip(first_recent).take(recent_count);
        recent.chain(quiet).map(|stream| stream.id).collect()
    }

    /// Tips of the streams to advertise in a heartbeat.
    fn tips(&self, now: Duration) -> Vec<StreamTip> {
        let advertised = self.streams_to_advertise(now, MAX_TIPS);
        advertised.into_iter().filter_map(|id| self.streams.get(id)).map(|stream| stream.tip()).collect()
    }
}
