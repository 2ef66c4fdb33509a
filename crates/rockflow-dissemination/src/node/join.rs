//! How a member obtains its place in the tree and chooses the parent that it follows.

use super::{Node, Sender};
use crate::directory::Placement;
use crate::identity::{Identity, NodeId, Peer};
use crate::join::{JoinAnswer, Listing};
use crate::message::{Message, MAX_PARENTS};
use crate::slot_set::MAX_SLOTS;
use crate::subscription::{ParentCandidate, SubscriptionChange};
use crate::timestamp::Timestamp;
use std::time::Duration;

impl Node {
    /// Does what is due at a member: asks for a place, probes other candidates, and changes the parent.
    pub(super) fn drive_subscription(&mut self, now: Duration) {
        if self.control.is_some() {
            return;
        }
        if now >= self.join.due() {
            self.ask_for_place(now);
        }
        for candidate in self.subscription.candidates_to_probe(now) {
            self.send(candidate.address, Message::Probe);
        }
        let random = self.random_fraction();
        let change = self.subscription.tick(now, random);
        self.apply_subscription_change(now, change);
    }

    /// Answers a node that suspects its parent to have failed, if there is room for another child and a control node's
    /// heartbeat has been received.
    pub(super) fn on_probe(&mut self, now: Duration, sender: Sender) {
        let staleness_ms = self.staleness_ms(now);
        if staleness_ms < u32::MAX && self.children.has_room_for(sender.identity.node) {
            self.send(sender.address, Message::ProbeReply { staleness_ms });
        }
    }

    /// Handles the answer of a candidate that was probed.
    pub(super) fn on_probe_reply(&mut self, now: Duration, sender: Sender, staleness_ms: u32) {
        if self.clock.is_unreliable(now) {
            return;
        }
        let made_at = Timestamp::ms_ago(now, staleness_ms);
        let change = self.subscription.on_probe_reply(now, sender.identity.node, sender.address, made_at);
        self.apply_subscription_change(now, change);
    }

    /// Handles the answer of a candidate that has no room for another child.
    pub(super) fn on_full(&mut self, now: Duration, sender: Sender) {
        let random = self.random_fraction();
        let change = self.subscription.on_full(now, sender.identity.node, sender.address, random);
        self.apply_subscription_change(now, change);
    }

    /// Handles the place in the tree that a control node has assigned to this member.
    pub(super) fn on_placement(
        &mut self,
        now: Duration,
        from: Identity,
        directory_version: u64,
        mut place: Placement,
    ) {
        if !self.accepts_join_answer(from, directory_version) {
            return;
        }
        place.parents.truncate(MAX_PARENTS);
        let own_node = self.config.identity.node;
        let others = place.parents.iter().filter(|peer| peer.node != own_node);
        let candidates: Vec<ParentCandidate> = others.map(|peer| ParentCandidate::from(*peer)).collect();
        let is_valid = place.slot < place.slots && usize::from(place.slots) <= MAX_SLOTS;
        let random = self.random_fraction();
        self.join.on_answer(now, JoinAnswer::Placed, random);
        self.join.set_place(is_valid.then_some(place));
        self.acks.request();
        self.set_candidates(now, candidates);
    }

    /// Handles the answer that the directory doesn't list this node. The node then follows control nodes directly, and
    /// no report includes it.
    pub(super) fn on_not_listed(&mut self, now: Duration, from: Identity, directory_version: u64) {
        if !self.accepts_join_answer(from, directory_version) {
            return;
        }
        let random = self.random_fraction();
        self.join.on_answer(now, JoinAnswer::NotListed, random);
        self.join.set_place(None);
        let control = &self.config.control;
        let first = control.iter().position(|peer| peer.node == from.node).unwrap_or(0);
        let rotated: Vec<Peer> =
            control.iter().cycle().skip(first).take(control.len().min(MAX_PARENTS)).copied().collect();
        let candidates: Vec<ParentCandidate> = rotated.into_iter().map(ParentCandidate::from).collect();
        let keeps_parent = self.subscription.parent().is_some_and(|parent| candidates.contains(&parent));
        if !keeps_parent {
            self.set_candidates(now, candidates);
        }
    }

    /// Handles the directory version and the hash of the region's listing in the parent's heartbeat. If they show that
    /// this member's place has changed, it soon asks for its place again.
    pub(super) fn on_parent_listing(&mut self, now: Duration, directory_version: u64, listing_hash: u32) {
        if self.join.on_parent_listing(now, Listing { directory_version, listing_hash }) {
            let random = self.random_fraction();
            self.join.ask_soon(now, random);
        }
    }

    /// Notifies the new parent by an acknowledgement at once, and the previous parent that this node has left it.
    pub(super) fn on_parent_changed(&mut self, now: Duration, previous: Option<ParentCandidate>) {
        self.counters.parent_changes += 1;
        self.table_sync.clear_mismatches();
        if let Some(previous) = previous {
            self.send(previous.address, Message::Leave);
        }
        self.send_acknowledgement(now);
    }

    /// Asks one control node for a place. A member without any candidates follows the seeds once each control node has
    /// been asked twice without an answer.
    fn ask_for_place(&mut self, now: Duration) {
        let random = self.random_fraction();
        self.join.on_attempt(now, random);
        let attempts = self.join.attempts();
        let count = self.config.control.len();
        if count > 0 {
            // The node id determines which control node is asked first, so that members don't all ask the same one.
            let index = (self.config.identity.node.0 as usize).wrapping_add(attempts) % count;
            let directory_version = self.join.directory_version();
            self.send(self.config.control[index].address, Message::Join { directory_version });
        }
        let is_unanswered = attempts > 2 * count.max(1);
        if is_unanswered && self.subscription.candidates().is_empty() {
            let seeds = self.config.seeds.iter().take(MAX_PARENTS);
            let seeds = seeds.map(|address| ParentCandidate { node: None, address: *address }).collect();
            self.set_candidates(now, seeds);
        }
    }

    /// Whether an answer comes from a control node and is to be accepted. A few answers from an earlier directory than
    /// that of the current place are ignored.
    fn accepts_join_answer(&mut self, from: Identity, directory_version: u64) -> bool {
        if self.control.is_some() || !self.is_control_node(from.node) {
            self.counters.unexpected_messages += 1;
            return false;
        }
        self.join.accepts(directory_version)
    }

    /// Replaces the candidates for the parent. Notifies the parents concerned if the parent changes by it.
    fn set_candidates(&mut self, now: Duration, candidates: Vec<ParentCandidate>) {
        let parent_before = self.subscription.parent();
        let is_control =
            |candidate: &ParentCandidate| candidate.node.is_some_and(|node| self.is_control_node(node));
        let ancestors = candidates.iter().filter(|candidate| !is_control(candidate)).count() as u32;
        let previous = self.subscription.set_candidates(now, candidates, ancestors);
        if self.subscription.parent() != parent_before {
            self.on_parent_changed(now, previous);
        }
    }

    fn apply_subscription_change(&mut self, now: Duration, change: SubscriptionChange) {
        match change {
            SubscriptionChange::Stay => {}
            SubscriptionChange::Switched { previous } => self.on_parent_changed(now, Some(previous)),
            SubscriptionChange::TryFirst(first) => {
                // A heartbeat in answer shows that the first candidate is back.
                let message = self.acknowledgement(now);
                self.send(first.address, message);
            }
        }
    }

    fn is_control_node(&self, node: NodeId) -> bool {
        self.config.control.iter().any(|peer| peer.node == node)
    }
}
