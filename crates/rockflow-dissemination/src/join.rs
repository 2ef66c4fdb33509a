//! A member's way to its place, and to those it may follow.

use crate::directory::Placement;
use crate::identity::{Identity, NodeId};
use crate::message::{Message, MAX_PARENTS};
use crate::node::Node;
use crate::slot_set::MAX_SLOTS;
use crate::subscription::{ParentCandidate, SubscriptionChange};
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest wait of one without a place, in pulses. Half of control may be out of reach, asked one after the other, and it hears
/// of nothing meanwhile.
const MAX_JOIN_BACKOFF_HEARTBEATS: u32 = 2;
/// One that the directory doesn't name asks anew after so many.
const UNLISTED_JOIN_INTERVAL_HEARTBEATS: u32 = 16;
/// A place is asked for anew every so many pulses, whatever is heard.
const PLACEMENT_REFRESH_HEARTBEATS: u32 = 600;
/// A changed place is asked for within so many pulses, by chance, so that a region doesn't ask at once.
const REJOIN_SPREAD_HEARTBEATS: u32 = 4;
/// Answers by an earlier directory than the place held that are passed over, before one is taken.
const MAX_STALE_ANSWERS: u32 = 3;

#[derive(Clone, Debug)]
pub(crate) struct JoinState {
    pub due: Duration,
    backoff: Duration,
    attempts: u32,
    stale_answers: u32,
    /// By which directory this node was placed or found unknown last.
    pub directory_version: u64,
    pub place: Option<Placement>,
    /// What the parent's pulses say: version of the directory, and of the region's listing.
    pub parent_listing: (u64, u32),
}

impl JoinState {
    pub fn new(now: Duration) -> JoinState {
        let wait = Duration::ZERO;
        JoinState {
            due: now,
            backoff: wait,
            attempts: 0,
            stale_answers: 0,
            directory_version: 0,
            place: None,
            parent_listing: (0, 0),
        }
    }
}

impl Node {
    /// Who follows whom, and who asks for a place.
    pub(crate) fn drive_subscription(&mut self, now: Duration) {
        if self.control.is_some() {
            return;
        }
        if now >= self.join.due {
            self.join(now);
        }
        for asked in self.subscription.candidates_to_probe(now) {
            self.send(asked.address, Message::Probe);
        }
        let random = self.random_fraction();
        let step = self.subscription.tick(now, random);
        self.apply_subscription_change(now, step);
    }

    /// One whose parent is in doubt asks. Where there is no room, or nothing was heard of control, it gets no answer.
    pub(crate) fn on_probe(&mut self, now: Duration, from: Identity, at: SocketAddr) {
        let staleness_ms = self.staleness_ms(now);
        if staleness_ms < u32::MAX && self.children.has_room_for(from.node) {
            self.send(at, Message::ProbeReply { staleness_ms });
        }
    }

    pub(crate) fn on_probe_reply(
        &mut self,
        now: Duration,
        from: Identity,
        at: SocketAddr,
        staleness_ms: u32,
    ) {
        if now < self.timing_unreliable_until {
            return;
        }
        let step = self.subscription.on_probe_reply(now, from.node, at, Timestamp::ms_ago(now, staleness_ms));
        self.apply_subscription_change(now, step);
    }

    fn join(&mut self, now: Duration) {
        let (heartbeat_interval, random) = (self.config.heartbeat_interval, self.random_fraction());
        let count = self.config.control.len();
        let join = &mut self.join;
        join.backoff =
            (join.backoff * 2).clamp(heartbeat_interval, heartbeat_interval * MAX_JOIN_BACKOFF_HEARTBEATS);
        join.due = now + join.backoff.mul_f64(1.0 - random / 2.0);
        join.attempts = join.attempts.saturating_add(1);
        let directory = join.directory_version;
        let record_futile_fetch = join.attempts as usize > 2 * count.max(1);
        if count > 0 {
            // Begins with another for each node, so that they don't all ask the first.
            let switch_to =
                (self.config.identity.node.0 as usize).wrapping_add(self.join.attempts as usize) % count;
            self.send(self.config.control[switch_to].address, Message::Join { directory_version: directory });
        }
        if record_futile_fetch && self.subscription.candidates().is_empty() {
            let seeds = self.config.seeds.iter().take(MAX_PARENTS);
            let seeds = seeds.map(|address| ParentCandidate { node: None, address: *address }).collect();
            self.set_candidates(now, seeds);
        }
    }

    fn set_candidates(&mut self, now: Duration, candidates: Vec<ParentCandidate>) {
        let before = self.subscription.parent();
        let is_control = |other: &ParentCandidate| other.node.is_some_and(|node| self.is_control_node(node));
        let above = candidates.iter().filter(|other| !is_control(other)).count() as u32;
        let left = self.subscription.set_candidates(now, candidates, above);
        if self.subscription.parent() != before {
            self.on_parent_changed(now, left);
        }
    }

    /// Another parent: it is told at once, and the one before too.
    fn on_parent_changed(&mut self, now: Duration, left: Option<ParentCandidate>) {
        self.counters.parent_changes += 1;
        self.tables.clear_mismatches();
        if let Some(left) = left {
            self.send(left.address, Message::Leave);
        }
        self.ack(now);
    }

    fn apply_subscription_change(&mut self, now: Duration, step: SubscriptionChange) {
        match step {
            SubscriptionChange::Stay => {}
            SubscriptionChange::Switched { previous: from } => self.on_parent_changed(now, Some(from)),
            SubscriptionChange::TryFirst(first) => {
                let ack = self.own_acknowledgement(now);
                self.send(first.address, ack);
            }
        }
    }

    pub(crate) fn on_failback(&mut self, now: Duration, left: ParentCandidate) {
        self.on_parent_changed(now, Some(left));
    }

    pub(crate) fn on_full(&mut self, now: Duration, node: NodeId, at: SocketAddr) {
        let random = self.random_fraction();
        let step = self.subscription.on_full(now, node, at, random);
        self.apply_subscription_change(now, step);
    }

    fn is_control_node(&self, node: NodeId) -> bool {
        self.config.control.iter().any(|peer| peer.node == node)
    }

    /// Whether an answer by this directory is to be taken.
    fn is_current(&mut self, from: Identity, directory: u64) -> bool {
        if self.control.is_some() || !self.is_control_node(from.node) {
            self.counters.unexpected_messages += 1;
            return false;
        }
        if directory < self.join.directory_version && self.join.stale_answers < MAX_STALE_ANSWERS {
            self.join.stale_answers += 1;
            return false;
        }
        self.join.stale_answers = 0;
        self.join.directory_version = directory;
        true
    }

    fn schedule_rejoin(&mut self, now: Duration, heartbeats_sent: u32) {
        let random = self.random_fraction();
        self.join.backoff = Duration::ZERO;
        self.join.attempts = 0;
        self.join.due = now + (self.config.heartbeat_interval * heartbeats_sent).mul_f64(0.75 + random / 2.0);
    }

    pub(crate) fn on_placement(
        &mut self,
        now: Duration,
        from: Identity,
        directory: u64,
        mut place: Placement,
    ) {
        if !self.is_current(from, directory) {
            return;
        }
        place.parents.truncate(MAX_PARENTS);
        let me = self.config.identity.node;
        let candidates = place.parents.iter().filter(|peer| peer.node != me);
        let candidates: Vec<ParentCandidate> = candidates.map(|peer| ParentCandidate::from(*peer)).collect();
        let fits = place.slot < place.slots && usize::from(place.slots) <= MAX_SLOTS;
        self.schedule_rejoin(now, PLACEMENT_REFRESH_HEARTBEATS);
        self.join.place = fits.then_some(place);
        self.ack_requested = true;
        self.set_candidates(now, candidates);
    }

    /// The directory doesn't name this node: it follows control nodes, and counts nowhere.
    pub(crate) fn on_not_listed(&mut self, now: Duration, from: Identity, directory: u64) {
        if !self.is_current(from, directory) {
            return;
        }
        self.schedule_rejoin(now, UNLISTED_JOIN_INTERVAL_HEARTBEATS);
        self.join.place = None;
        let control = &self.config.control;
        let first = control.iter().position(|peer| peer.node == from.node).unwrap_or(0);
        let on_parent_changed = control.iter().cycle().skip(first).take(control.len().min(MAX_PARENTS));
        let candidates: Vec<ParentCandidate> =
            on_parent_changed.map(|peer| ParentCandidate::from(*peer)).collect();
        let stays = self.subscription.parent().is_some_and(|parent| candidates.contains(&parent));
        if !stays {
            self.set_candidates(now, candidates);
        }
    }

    /// What the parent's pulse says of the directory and of the region's listing.
    pub(crate) fn on_parent_listing(&mut self, now: Duration, directory: u64, listing_hash: u32) {
        // Whatever its version: children placed by an earlier directory would ask without end otherwise.
        self.join.parent_listing = (directory, listing_hash);
        let mine = self.join.place.as_ref().map(|place| place.listing_hash);
        let soon = now + self.config.heartbeat_interval * REJOIN_SPREAD_HEARTBEATS;
        if directory > self.join.directory_version && mine != Some(listing_hash) && self.join.due > soon {
            let random = self.random_fraction();
            self.join.due = now + (self.config.heartbeat_interval * REJOIN_SPREAD_HEARTBEATS).mul_f64(random);
        }
    }
}
