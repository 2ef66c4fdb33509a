//! A member's subscription to a parent: its candidates, when a parent is left for another, and the way back to the
//! first.

use crate::identity::{NodeId, Peer};
use crate::timestamp::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A parent is left after this time without a heartbeat.
const PARENT_TIMEOUT_HEARTBEATS: u32 = 3;
/// A new parent answers at once: it is left after this time without any.
const NEW_PARENT_TIMEOUT_HEARTBEATS: u32 = 2;
/// A heartbeat is stale if the control node made it longer ago than this.
const STALE_AFTER_HEARTBEATS: u32 = 5;
/// For this long a new parent's heartbeats may be stale, as it may have found its own parent just now.
const NEW_PARENT_GRACE_HEARTBEATS: u32 = 2;
/// Candidates that are tried in their order; after them the last ones are tried first.
const MAX_TRIED_IN_ORDER: usize = 2;
/// A parent is suspect for this part of a heartbeat interval before it is abandoned: the round trip of a probe.
const SUSPECT_LEAD_DIVISOR: u32 = 2;
/// Probes that follow each other at one heartbeat interval, before the interval grows.
const MAX_QUICK_PROBES: u32 = 4;
/// Interval between later probes.
const SLOW_PROBE_INTERVAL_HEARTBEATS: u32 = 4;
/// A reply to a probe counts for this long.
const PROBE_REPLY_TTL_HEARTBEATS: u32 = 2;
/// A stale parent is left at most this much sooner, where another candidate replies that is fresh.
const MAX_EARLY_SWITCH_HEARTBEATS: u32 = 2;
/// A member with this many ancestors among its candidates does not leave sooner: one of them may be where the fault is,
/// and their way around it serves this member too.
const MAX_ANCESTORS: u32 = 6;
/// The nearest candidate is chosen whose heartbeat is at most this old. That includes candidates that have just lost the
/// same parent: they find a way too, and not all members have to go to the last candidate.
const FRESH_WITHIN_HEARTBEATS: u32 = 4;
/// The same, to leave a parent that has not timed out and is not stale.
const MUCH_FRESHER_WITHIN_HEARTBEATS: u32 = 2;
/// The longest backoff after all candidates were tried.
const MAX_ROUND_BACKOFF_HEARTBEATS: u32 = 60;
/// A member with another parent than the first candidate tries that one this often.
const FAILBACK_INTERVAL_HEARTBEATS: u32 = 20;
/// The resolution of deadlines that must have passed.
const TICK: Duration = Duration::from_millis(1);

/// A node that may be followed. A seed is known by its address only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ParentCandidate {
    pub node: Option<NodeId>,
    pub address: SocketAddr,
}

impl ParentCandidate {
    /// Whether it is this node: by its id, or by its address where that is not known.
    pub fn is(&self, node: NodeId, address: SocketAddr) -> bool {
        match self.node {
            Some(own) => own == node,
            None => self.address == address,
        }
    }
}

impl From<Peer> for ParentCandidate {
    fn from(peer: Peer) -> ParentCandidate {
        ParentCandidate { node: Some(peer.node), address: peer.address }
    }
}

/// What is to be done about the parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriptionChange {
    Stay,
    /// Another parent is followed from now on; the previous one is to be notified.
    Switched {
        previous: ParentCandidate,
    },
    /// The first candidate is to be asked whether it is back.
    TryFirst(ParentCandidate),
}

/// From whom a heartbeat came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    Parent,
    /// The first candidate is back and is followed from now on; the previous parent is to be notified.
    Preferred {
        previous: ParentCandidate,
    },
    /// A node that is not followed; it is to be notified.
    Other,
}

/// How fresh another candidate is.
#[derive(Clone, Copy, Debug)]
struct ProbeReply {
    received: Duration,
    /// When a control node made the newest heartbeat that the candidate has received.
    made_at: Timestamp,
}

/// Owns the candidates and what is known of them and of the parent.
#[derive(Clone, Debug)]
pub(crate) struct ParentSubscription {
    heartbeat_interval: Duration,
    candidates: Vec<ParentCandidate>,
    /// How many of the candidates are members, which stand above this one.
    ancestors: u32,
    parent_index: usize,
    /// When the parent was last received from; later where this process did not run for a while.
    silent_since: Duration,
    /// Since when the parent is followed.
    followed_since: Duration,
    /// When the newest heartbeat from the parent becomes stale.
    stale_at: Option<Duration>,
    tried: BTreeSet<usize>,
    /// The candidate that was freshest of those tried.
    freshest_tried: Option<(Timestamp, usize)>,
    backoff: Duration,
    /// Until then no parent is left, after all were tried.
    hold_until: Duration,
    failback_due: Duration,
    /// By candidate.
    probe_replies: BTreeMap<usize, ProbeReply>,
    /// When the replies are to be looked at, as the parent is abandoned by then.
    reply_review_due: Option<Duration>,
    /// Probes since a fresh heartbeat.
    probes: u32,
    probe_due: Duration,
}

impl ParentSubscription {
    /// A member without a parent.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> ParentSubscription {
        ParentSubscription {
            heartbeat_interval,
            candidates: Vec::new(),
            ancestors: 0,
            parent_index: 0,
            silent_since: now,
            followed_since: now,
            stale_at: None,
            tried: BTreeSet::new(),
            freshest_tried: None,
            backoff: Duration::ZERO,
            hold_until: now,
            failback_due: now,
            probe_replies: BTreeMap::new(),
            reply_review_due: None,
            probes: 0,
            probe_due: now,
        }
    }

    /// The parent that is followed.
    pub fn parent(&self) -> Option<ParentCandidate> {
        self.candidates.get(self.parent_index).copied()
    }

    /// The parents that may be followed, the preferred one first.
    pub fn candidates(&self) -> &[ParentCandidate] {
        &self.candidates
    }

    /// Whether the parent is the first candidate.
    pub fn is_first(&self) -> bool {
        self.parent_index == 0
    }

    /// Replaces the candidates, `ancestors` of which are members. The parent stays if it is among them, otherwise the
    /// first is followed. Returns the parent that was left.
    pub fn set_candidates(
        &mut self,
        now: Duration,
        candidates: Vec<ParentCandidate>,
        ancestors: u32,
    ) -> Option<ParentCandidate> {
        if candidates == self.candidates {
            return None;
        }
        let parent = self.parent();
        self.ancestors = ancestors;
        self.candidates = candidates;
        self.hold_until = now;
        self.probe_replies.clear();
        self.probe_due = now;
        self.failback_due = now + self.heartbeats(FAILBACK_INTERVAL_HEARTBEATS);
        self.forget_round();
        let same_node =
            |parent: ParentCandidate| self.candidates.iter().position(|other| is_same_node(other, &parent));
        match parent.and_then(same_node) {
            Some(index) => {
                self.parent_index = index;
                None
            }
            None => {
                self.switch_to(now, 0);
                parent
            }
        }
    }

    /// This process did not run for a while: the silence meanwhile says nothing.
    pub fn shift_timers(&mut self, pause: Duration) {
        self.silent_since = self.silent_since.saturating_add(pause);
        self.stale_at = None;
        self.probe_replies.clear();
    }

    /// The candidates to probe now: all but the parent, while that is suspect.
    pub fn candidates_to_probe(&mut self, now: Duration) -> Vec<ParentCandidate> {
        if self.candidates.len() < 2 || now < self.suspect_at().max(self.probe_due) {
            return Vec::new();
        }
        self.probes = self.probes.saturating_add(1);
        let interval = if self.probes < MAX_QUICK_PROBES { 1 } else { SLOW_PROBE_INTERVAL_HEARTBEATS };
        self.probe_due = now + self.heartbeats(interval);
        let others = self.candidates.iter().enumerate().filter(|(index, _)| *index != self.parent_index);
        others.map(|(_, candidate)| *candidate).collect()
    }

    /// A candidate has room, and its newest heartbeat was made at `made_at`.
    pub fn on_probe_reply(
        &mut self,
        now: Duration,
        node: NodeId,
        address: SocketAddr,
        made_at: Timestamp,
    ) -> SubscriptionChange {
        let index = self.candidates.iter().position(|candidate| candidate.is(node, address));
        let is_awaited = |index: &usize| *index != self.parent_index && now >= self.suspect_at();
        let Some(index) = index.filter(is_awaited) else { return SubscriptionChange::Stay };
        self.probe_replies.insert(index, ProbeReply { received: now, made_at });
        if now > self.abandon_at() {
            return self.switch_to_probed(now).unwrap_or(SubscriptionChange::Stay);
        }
        self.reply_review_due = Some(self.abandon_at() + TICK);
        SubscriptionChange::Stay
    }

    /// A node has sent a heartbeat that may have waited for long: it is alive, but its freshness is not known.
    pub fn on_untimed_heartbeat(&mut self, now: Duration, node: NodeId, address: SocketAddr) {
        if self.parent().is_some_and(|parent| parent.is(node, address)) {
            self.silent_since = now;
        }
    }

    /// A node has sent a heartbeat that rests on one that a control node made at `made_at`.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        node: NodeId,
        address: SocketAddr,
        made_at: Timestamp,
    ) -> HeartbeatSource {
        let stale_at = now + self.heartbeats(STALE_AFTER_HEARTBEATS).saturating_sub(made_at.age(now));
        let is_fresh = stale_at > now;
        let parent = self.parent();
        if parent.is_some_and(|parent| parent.is(node, address)) {
            self.on_parent_heartbeat(now, node, made_at, stale_at);
            return HeartbeatSource::Parent;
        }
        let is_first = self.candidates.first().is_some_and(|first| first.is(node, address));
        match parent {
            Some(previous) if is_first && is_fresh => {
                self.switch_to(now, 0);
                self.stale_at = Some(stale_at);
                self.forget_round();
                HeartbeatSource::Preferred { previous }
            }
            _ => HeartbeatSource::Other,
        }
    }

    /// A node has no room for another child. If it is the parent, another is followed. `random` is from 0 to 1.
    pub fn on_full(
        &mut self,
        now: Duration,
        node: NodeId,
        address: SocketAddr,
        random: f64,
    ) -> SubscriptionChange {
        if !self.parent().is_some_and(|parent| parent.is(node, address)) {
            return SubscriptionChange::Stay;
        }
        match self.switch_to_probed(now) {
            Some(change) => change,
            None if now >= self.hold_until => self.switch_to_next(now, random),
            None => SubscriptionChange::Stay,
        }
    }

    /// Leaves a parent that is silent or stale. `random` from 0 to 1 spreads the members' backoffs.
    pub fn tick(&mut self, now: Duration, random: f64) -> SubscriptionChange {
        if self.candidates.is_empty() {
            return SubscriptionChange::Stay;
        }
        let is_lost = self.is_silent(now) || self.is_stale(now);
        self.reply_review_due = self.reply_review_due.filter(|due| *due > now);
        if is_lost || now > self.abandon_at() {
            if let Some(change) = self.switch_to_probed(now) {
                return change;
            }
        }
        if is_lost && now >= self.hold_until {
            let change = self.switch_to_next(now, random);
            if change != SubscriptionChange::Stay {
                return change;
            }
        }
        if self.parent_index != 0 && now >= self.failback_due {
            self.failback_due = now + self.heartbeats(FAILBACK_INTERVAL_HEARTBEATS);
            return SubscriptionChange::TryFirst(self.candidates[0]);
        }
        SubscriptionChange::Stay
    }

    /// When [`ParentSubscription::tick`] has something to do at the latest.
    pub fn next_due(&self) -> Option<Duration> {
        self.parent()?;
        let deadlines = [
            Some(self.timeout_at().max(self.hold_until) + TICK),
            self.stale_at.map(|at| at.max(self.hold_until)),
            (self.parent_index != 0).then_some(self.failback_due),
            (self.candidates.len() > 1).then(|| self.suspect_at().max(self.probe_due)),
            self.reply_review_due,
        ];
        deadlines.into_iter().flatten().min()
    }

    fn heartbeats(&self, count: u32) -> Duration {
        self.heartbeat_interval * count
    }

    fn is_silent(&self, now: Duration) -> bool {
        now > self.timeout_at()
    }

    fn is_stale(&self, now: Duration) -> bool {
        self.stale_at.is_some_and(|at| now >= at)
    }

    fn timeout_at(&self) -> Duration {
        let timeout = match self.stale_at {
            Some(_) => PARENT_TIMEOUT_HEARTBEATS,
            None => NEW_PARENT_TIMEOUT_HEARTBEATS,
        };
        self.silent_since + self.heartbeats(timeout)
    }

    /// When the parent is abandoned for a candidate that has replied, unless its heartbeat arrives before.
    fn abandon_at(&self) -> Duration {
        let other_ancestors = MAX_ANCESTORS - self.ancestors.min(MAX_ANCESTORS);
        let sooner = self.heartbeats(MAX_EARLY_SWITCH_HEARTBEATS) * other_ancestors / MAX_ANCESTORS;
        let grace = self.followed_since + self.heartbeats(NEW_PARENT_GRACE_HEARTBEATS);
        let timeout = self.timeout_at();
        match self.stale_at {
            Some(stale_at) => stale_at.saturating_sub(sooner).max(grace).min(timeout),
            None => timeout,
        }
    }

    fn suspect_at(&self) -> Duration {
        self.abandon_at().saturating_sub(self.heartbeat_interval / SUSPECT_LEAD_DIVISOR)
    }

    fn on_parent_heartbeat(&mut self, now: Duration, node: NodeId, made_at: Timestamp, stale_at: Duration) {
        self.silent_since = now;
        let grace = self.followed_since + self.heartbeats(NEW_PARENT_GRACE_HEARTBEATS);
        self.stale_at = self.stale_at.max(Some(stale_at.max(grace)));
        self.freshest_tried = self.freshest_tried.max(Some((made_at, self.parent_index)));
        if stale_at > now {
            self.forget_round();
        }
        if let Some(parent) = self.candidates.get_mut(self.parent_index) {
            parent.node = Some(node);
        }
    }

    /// Begins a new round over the candidates, without a backoff.
    fn forget_round(&mut self) {
        self.tried.clear();
        self.freshest_tried = None;
        self.backoff = Duration::ZERO;
        self.probes = 0;
    }

    fn switch_to(&mut self, now: Duration, index: usize) {
        self.parent_index = index;
        self.followed_since = now;
        self.silent_since = now;
        self.stale_at = None;
        self.failback_due = now + self.heartbeats(FAILBACK_INTERVAL_HEARTBEATS);
        self.probe_replies.remove(&index);
    }

    /// Follows the nearest candidate that has replied lately and is fresh; away from a silent parent also the freshest,
    /// if it is not stale.
    fn switch_to_probed(&mut self, now: Duration) -> Option<SubscriptionChange> {
        let previous = self.parent()?;
        let reply_ttl = self.heartbeats(PROBE_REPLY_TTL_HEARTBEATS);
        self.probe_replies.retain(|_, reply| now.saturating_sub(reply.received) <= reply_ttl);
        let is_silent = self.is_silent(now);
        let is_lost = is_silent || self.is_stale(now);
        let max_age = if is_lost { FRESH_WITHIN_HEARTBEATS } else { MUCH_FRESHER_WITHIN_HEARTBEATS };
        let max_age = self.heartbeats(max_age);
        let stale_age = self.heartbeats(STALE_AFTER_HEARTBEATS);
        let nearest = self.probe_replies.iter().find(|(_, reply)| reply.made_at.age(now) <= max_age);
        let freshest = self.probe_replies.iter().max_by_key(|(_, reply)| reply.made_at);
        let freshest = freshest.filter(|(_, reply)| is_silent && reply.made_at.age(now) < stale_age);
        let (index, _) = nearest.or(freshest)?;
        let index = *index;
        self.tried.insert(self.parent_index);
        self.switch_to(now, index);
        Some(SubscriptionChange::Switched { previous })
    }

    /// Follows the next candidate that was not tried; after all were, the freshest of them, and holds it for a while.
    fn switch_to_next(&mut self, now: Duration, random: f64) -> SubscriptionChange {
        let Some(previous) = self.parent() else { return SubscriptionChange::Stay };
        self.tried.insert(self.parent_index);
        let mut untried = (0..self.candidates.len()).filter(|index| !self.tried.contains(index));
        // Where the nearest two have failed, those between may all stand below the same fault: control nodes are last.
        let next = if self.tried.len() < MAX_TRIED_IN_ORDER { untried.next() } else { untried.next_back() };
        let index = match next {
            Some(index) => index,
            None => self.end_round(now, random),
        };
        if index == self.parent_index {
            self.silent_since = now;
            return SubscriptionChange::Stay;
        }
        self.switch_to(now, index);
        SubscriptionChange::Switched { previous }
    }

    /// All candidates were tried. Returns the freshest of them.
    fn end_round(&mut self, now: Duration, random: f64) -> usize {
        let longest = self.heartbeats(MAX_ROUND_BACKOFF_HEARTBEATS);
        self.backoff = (self.backoff * 2).clamp(self.heartbeat_interval, longest);
        self.hold_until = now + self.backoff.mul_f64(0.75 + random / 2.0);
        self.tried.clear();
        self.freshest_tried.take().map_or(0, |(_, index)| index)
    }
}

fn is_same_node(one: &ParentCandidate, other: &ParentCandidate) -> bool {
    one.node.is_some() && one.node == other.node
}
