//! A member's subscription to a parent: which of its candidates it follows, when it leaves a parent for another, and
//! how it returns to its first candidate.
//!
//! Control nodes send heartbeats, which parents forward down the tree. The age of a heartbeat is the time since a
//! control node sent it (`made_at`). A parent is silent when no heartbeats arrive from it, and stale when those that
//! arrive are too old.

use crate::identity::{NodeId, Peer};
use crate::timestamp::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A parent that has sent no heartbeat for this time is silent, and is left.
const PARENT_TIMEOUT_HEARTBEATS: u32 = 3;
/// The same for a new parent that has sent none yet, as it answers the first acknowledgement with one at once.
const NEW_PARENT_TIMEOUT_HEARTBEATS: u32 = 2;
/// A heartbeat of this age is stale.
const STALE_AFTER_HEARTBEATS: u32 = 5;
/// A new parent does not count as stale for this long, as it may have found its own parent only just now.
const NEW_PARENT_GRACE_HEARTBEATS: u32 = 2;
/// Once this many candidates were tried in a round, the others are tried in reverse order of preference.
const MAX_TRIED_IN_ORDER: usize = 2;
/// A parent is suspect from one heartbeat interval divided by this before it is abandoned: long enough for the round
/// trip of a probe.
const SUSPECT_LEAD_DIVISOR: u32 = 2;
/// Probes that are sent one heartbeat interval apart. Later ones are further apart.
const MAX_QUICK_PROBES: u32 = 4;
/// Interval between probes after the quick ones.
const SLOW_PROBE_INTERVAL_HEARTBEATS: u32 = 4;
/// A reply to a probe is used for this long after it is received.
const PROBE_REPLY_TTL_HEARTBEATS: u32 = 2;
/// A parent is left at most this long before it is stale, if another candidate replies with a much fresher heartbeat.
const MAX_EARLY_SWITCH_HEARTBEATS: u32 = 2;
/// A member with this many ancestors among its candidates does not leave a parent before it is stale: the fault may
/// be at one of the ancestors, and the way around it that they find serves this member too. With fewer ancestors it
/// leaves proportionally sooner.
const NO_EARLY_SWITCH_ANCESTORS: u32 = 6;
/// A parent that is silent or stale is left for the nearest candidate whose heartbeat is at most this old. The limit
/// admits candidates that have just lost the same parent: they will find another parent, and so not all members have
/// to follow the last candidate.
const FRESH_WITHIN_HEARTBEATS: u32 = 4;
/// The same limit for leaving a parent that is neither silent nor stale yet.
const MUCH_FRESHER_WITHIN_HEARTBEATS: u32 = 2;
/// The longest backoff after a round in which all candidates were tried.
const MAX_ROUND_BACKOFF_HEARTBEATS: u32 = 60;
/// Interval at which a member whose parent is not its first candidate tries the first candidate.
const FAILBACK_INTERVAL_HEARTBEATS: u32 = 20;
/// Added to a deadline that takes effect only once it has passed.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1);

/// A node that this member may follow. The id of a seed is unknown until its first heartbeat is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ParentCandidate {
    pub node: Option<NodeId>,
    pub address: SocketAddr,
}

impl ParentCandidate {
    /// Whether the candidate is the node with this id, or the one at this address if the candidate's id is unknown.
    pub fn matches(&self, node: NodeId, address: SocketAddr) -> bool {
        match self.node {
            Some(id) => id == node,
            None => self.address == address,
        }
    }
}

impl From<Peer> for ParentCandidate {
    fn from(peer: Peer) -> ParentCandidate {
        ParentCandidate { node: Some(peer.node), address: peer.address }
    }
}

/// What is to be done about the parent after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriptionChange {
    /// The parent is kept.
    Stay,
    /// Another parent is followed from now on; the previous one is to be notified.
    Switched { previous: ParentCandidate },
    /// The first candidate is to be sent an acknowledgement. If it is back, it answers with a heartbeat and is
    /// followed.
    TryFirst(ParentCandidate),
}

/// Whether the sender of a heartbeat is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// The parent.
    Parent,
    /// The first candidate, which is back and is followed from now on; the previous parent is to be notified.
    Preferred { previous: ParentCandidate },
    /// A node that is not followed, and is to be notified of that.
    Other,
}

/// The reply of a candidate to a probe.
#[derive(Clone, Copy, Debug)]
struct ProbeReply {
    received: Duration,
    /// When a control node sent the newest heartbeat that the candidate has received.
    made_at: Timestamp,
}

/// Owns the candidates, the choice of the parent among them, and the deadlines for leaving it.
#[derive(Clone, Debug)]
pub(crate) struct ParentSubscription {
    heartbeat_interval: Duration,
    /// In order of preference.
    candidates: Vec<ParentCandidate>,
    /// How many of the candidates are members rather than control nodes; they are above this member in the tree.
    ancestors: u32,
    parent_index: usize,
    /// When the latest heartbeat of the parent was received, or the parent was chosen; moved forward by the length of a
    /// pause of this process.
    silent_since: Duration,
    /// When the parent was chosen.
    followed_since: Duration,
    /// When the newest heartbeat of the parent becomes stale. `None`: there was none since the parent was chosen, or
    /// since a pause of this process.
    stale_at: Option<Duration>,
    /// Indices of the candidates that were tried in this round.
    tried: BTreeSet<usize>,
    /// When the newest heartbeat received in this round was sent by a control node, and the index of the candidate that
    /// forwarded it.
    freshest_tried: Option<(Timestamp, usize)>,
    /// Backoff after the latest round, before random jitter; zero after a fresh heartbeat.
    backoff: Duration,
    /// The next round does not start before then, after a round in which all candidates were tried.
    backoff_until: Duration,
    /// When the first candidate is tried next, if it is not the parent.
    failback_due: Duration,
    /// The latest replies by index of the candidate.
    probe_replies: BTreeMap<usize, ProbeReply>,
    /// When the replies are evaluated: just after the time at which the parent is abandoned.
    reply_review_due: Option<Duration>,
    /// How often the candidates were probed since the latest fresh heartbeat or change of candidates.
    probes: u32,
    /// The earliest time at which the candidates are probed again.
    probe_due: Duration,
}

impl ParentSubscription {
    /// A member without candidates.
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
            backoff_until: now,
            failback_due: now,
            probe_replies: BTreeMap::new(),
            reply_review_due: None,
            probes: 0,
            probe_due: now,
        }
    }

    /// The candidate that is followed; `None` without candidates.
    pub fn parent(&self) -> Option<ParentCandidate> {
        self.candidates.get(self.parent_index).copied()
    }

    /// The nodes that may be followed, in order of preference.
    pub fn candidates(&self) -> &[ParentCandidate] {
        &self.candidates
    }

    /// Whether the parent is the first candidate.
    pub fn is_first(&self) -> bool {
        self.parent_index == 0
    }

    /// Replaces the candidates, `ancestors` of which are members. The parent is kept if it is among the new candidates,
    /// otherwise the first one is followed. Returns the parent that was left, if any.
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
        self.backoff_until = now;
        self.probe_replies.clear();
        self.probe_due = now;
        self.failback_due = now + self.heartbeats(FAILBACK_INTERVAL_HEARTBEATS);
        self.start_new_round();
        let index_of =
            |parent: ParentCandidate| self.candidates.iter().position(|other| is_same_node(other, &parent));
        match parent.and_then(index_of) {
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

    /// Discounts a pause of this process, in which it could not receive heartbeats: the parent does not count as
    /// silent or stale for it.
    pub fn shift_timers(&mut self, pause: Duration) {
        self.silent_since = self.silent_since.saturating_add(pause);
        self.stale_at = None;
        self.probe_replies.clear();
    }

    /// Returns the candidates to be probed now: while the parent is suspect and a probe is due, all others.
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

    /// Handles the reply to a probe from a node that has room for a child. `made_at` is when a control node sent the
    /// newest heartbeat that the replying node has received.
    pub fn on_probe_reply(
        &mut self,
        now: Duration,
        node: NodeId,
        address: SocketAddr,
        made_at: Timestamp,
    ) -> SubscriptionChange {
        let index = self.candidates.iter().position(|candidate| candidate.matches(node, address));
        let is_awaited = |index: &usize| *index != self.parent_index && now >= self.suspect_at();
        let Some(index) = index.filter(is_awaited) else { return SubscriptionChange::Stay };
        self.probe_replies.insert(index, ProbeReply { received: now, made_at });
        if now > self.abandon_at() {
            return self.switch_to_probed(now).unwrap_or(SubscriptionChange::Stay);
        }
        self.reply_review_due = Some(self.abandon_at() + DEADLINE_MARGIN);
        SubscriptionChange::Stay
    }

    /// Handles a heartbeat that may have waited unread, as after a pause of this process. It shows that the sender is
    /// alive, but the age of the heartbeat is unknown.
    pub fn on_untimed_heartbeat(&mut self, now: Duration, node: NodeId, address: SocketAddr) {
        if self.parent().is_some_and(|parent| parent.matches(node, address)) {
            self.silent_since = now;
        }
    }

    /// Handles a heartbeat from `node`, which is based on one that a control node sent at `made_at`.
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
        if parent.is_some_and(|parent| parent.matches(node, address)) {
            self.on_parent_heartbeat(now, node, made_at, stale_at);
            return HeartbeatSource::Parent;
        }
        let is_first = self.candidates.first().is_some_and(|first| first.matches(node, address));
        match parent {
            Some(previous) if is_first && is_fresh => {
                self.switch_to(now, 0);
                self.stale_at = Some(stale_at);
                self.start_new_round();
                HeartbeatSource::Preferred { previous }
            }
            _ => HeartbeatSource::Other,
        }
    }

    /// Handles the refusal of a node that has no room for another child. If it is the parent, another candidate is
    /// followed. `random` is from 0 to 1.
    pub fn on_full(
        &mut self,
        now: Duration,
        node: NodeId,
        address: SocketAddr,
        random: f64,
    ) -> SubscriptionChange {
        if !self.parent().is_some_and(|parent| parent.matches(node, address)) {
            return SubscriptionChange::Stay;
        }
        match self.switch_to_probed(now) {
            Some(change) => change,
            None if now >= self.backoff_until => self.switch_to_next(now, random),
            None => SubscriptionChange::Stay,
        }
    }

    /// Leaves a parent that is silent or stale, or tries the first candidate again when that is due. `random`, from 0
    /// to 1, spreads the members' backoffs.
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
        if is_lost && now >= self.backoff_until {
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

    /// When [`ParentSubscription::tick`] and [`ParentSubscription::candidates_to_probe`] are to be called at the
    /// latest. `None` without candidates.
    pub fn next_due(&self) -> Option<Duration> {
        self.parent()?;
        let deadlines = [
            Some(self.timeout_at().max(self.backoff_until) + DEADLINE_MARGIN),
            self.stale_at.map(|at| at.max(self.backoff_until)),
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

    /// The time after which the parent is silent.
    fn timeout_at(&self) -> Duration {
        let timeout = match self.stale_at {
            Some(_) => PARENT_TIMEOUT_HEARTBEATS,
            None => NEW_PARENT_TIMEOUT_HEARTBEATS,
        };
        self.silent_since + self.heartbeats(timeout)
    }

    /// The time after which the parent is left for a candidate that has replied to a probe, unless a heartbeat from the
    /// parent postpones it.
    fn abandon_at(&self) -> Duration {
        let missing_ancestors = NO_EARLY_SWITCH_ANCESTORS - self.ancestors.min(NO_EARLY_SWITCH_ANCESTORS);
        let early_by =
            self.heartbeats(MAX_EARLY_SWITCH_HEARTBEATS) * missing_ancestors / NO_EARLY_SWITCH_ANCESTORS;
        let grace = self.followed_since + self.heartbeats(NEW_PARENT_GRACE_HEARTBEATS);
        let timeout = self.timeout_at();
        match self.stale_at {
            Some(stale_at) => stale_at.saturating_sub(early_by).max(grace).min(timeout),
            None => timeout,
        }
    }

    /// The time from which the other candidates are probed.
    fn suspect_at(&self) -> Duration {
        self.abandon_at().saturating_sub(self.heartbeat_interval / SUSPECT_LEAD_DIVISOR)
    }

    fn on_parent_heartbeat(&mut self, now: Duration, node: NodeId, made_at: Timestamp, stale_at: Duration) {
        self.silent_since = now;
        let grace = self.followed_since + self.heartbeats(NEW_PARENT_GRACE_HEARTBEATS);
        self.stale_at = self.stale_at.max(Some(stale_at.max(grace)));
        self.freshest_tried = self.freshest_tried.max(Some((made_at, self.parent_index)));
        if stale_at > now {
            self.start_new_round();
        }
        if let Some(parent) = self.candidates.get_mut(self.parent_index) {
            parent.node = Some(node);
        }
    }

    /// Starts a new round over the candidates, without a backoff.
    fn start_new_round(&mut self) {
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

    /// Follows the nearest candidate whose recent reply is fresh enough. If there is none and the parent is silent,
    /// follows the freshest that has replied, unless it is stale. `None`: no candidate qualifies.
    fn switch_to_probed(&mut self, now: Duration) -> Option<SubscriptionChange> {
        let previous = self.parent()?;
        let reply_ttl = self.heartbeats(PROBE_REPLY_TTL_HEARTBEATS);
        self.probe_replies.retain(|_, reply| now.saturating_sub(reply.received) <= reply_ttl);
        let is_silent = self.is_silent(now);
        let is_lost = is_silent || self.is_stale(now);
        let max_heartbeats = if is_lost { FRESH_WITHIN_HEARTBEATS } else { MUCH_FRESHER_WITHIN_HEARTBEATS };
        let max_age = self.heartbeats(max_heartbeats);
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

    /// Follows the next candidate that was not tried in this round. After all were tried, follows the freshest of them
    /// until a backoff is over.
    fn switch_to_next(&mut self, now: Duration, random: f64) -> SubscriptionChange {
        let Some(previous) = self.parent() else { return SubscriptionChange::Stay };
        self.tried.insert(self.parent_index);
        let mut untried = (0..self.candidates.len()).filter(|index| !self.tried.contains(index));
        // After the two nearest candidates have failed, the next ones may all be below the same fault in the tree. The
        // control nodes are the last candidates, so those are tried first.
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

    /// Ends a round in which all candidates were tried, and starts the backoff. Returns the index of the candidate
    /// with the newest heartbeat, or of the first candidate if no heartbeat was received.
    fn end_round(&mut self, now: Duration, random: f64) -> usize {
        let max_backoff = self.heartbeats(MAX_ROUND_BACKOFF_HEARTBEATS);
        self.backoff = (self.backoff * 2).clamp(self.heartbeat_interval, max_backoff);
        self.backoff_until = now + self.backoff.mul_f64(0.75 + random / 2.0);
        self.tried.clear();
        self.freshest_tried.take().map_or(0, |(_, index)| index)
    }
}

/// Whether both candidates have the same known id.
fn is_same_node(one: &ParentCandidate, other: &ParentCandidate) -> bool {
    one.node.is_some() && one.node == other.node
}
