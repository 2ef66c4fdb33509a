//! Whom a member follows: its candidates, when one is left for the next, and the way back to the first.

use crate::identity::{NodeId, Peer};
use crate::timestamp::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A parent is left after so many pulses without one.
const PARENT_TIMEOUT_HEARTBEATS: u32 = 3;
/// One that was just turned to answers at once: it is left after so many without a word.
const NEW_PARENT_TIMEOUT_HEARTBEATS: u32 = 2;
/// A pulse is stale where the control node's own is older than so many.
const STALE_AFTER_HEARTBEATS: u32 = 5;
/// A new parent's pulses may be stale for so many, as it may have begun just now too.
const NEW_PARENT_GRACE_HEARTBEATS: u32 = 2;
/// So many are tried by preference; then the furthest first.
const MAX_TRIED_IN_ORDER: usize = 2;
/// A parent is in doubt one pulse in so many before it is given up: the way there and back of a probe.
const SUSPECT_LEAD_DIVISOR: u32 = 2;
/// Probes a pulse after each other; then one in so many pulses.
const MAX_QUICK_PROBES: u32 = 4;
const SLOW_PROBE_INTERVAL_HEARTBEATS: u32 = 4;
/// An answer counts for so many pulses.
const PROBE_REPLY_TTL_HEARTBEATS: u32 = 2;
/// A stale parent is left so many pulses sooner where another answers that is fresh.
const MAX_EARLY_SWITCH_HEARTBEATS: u32 = 2;
/// Those with most members above them, so many as candidates can be, not so: one of those above may be where the fault
/// is, and its way out is theirs as well.
const MAX_ANCESTORS: u32 = 6;
/// The nearest that is not staler than this, in pulses, is turned to. So are those that lost the same parent just now:
/// they find a way too, and all the nearest needn't go to the furthest.
const FRESH_WITHIN_HEARTBEATS: u32 = 4;
/// Away from a parent that would not be left yet, if nobody had answered, likewise.
const MUCH_FRESHER_WITHIN_HEARTBEATS: u32 = 2;
/// The wait after a round of all, doubled up to so many pulses.
const MAX_ROUND_BACKOFF_HEARTBEATS: u32 = 60;
/// On a backup the first candidate is tried again every so many pulses.
const FAILBACK_INTERVAL_HEARTBEATS: u32 = 20;

/// One that may be followed; a seed is known by its address only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParentCandidate {
    pub node: Option<NodeId>,
    pub address: SocketAddr,
}

impl ParentCandidate {
    pub fn is(&self, node: NodeId, at: SocketAddr) -> bool {
        self.node.map_or(self.address == at, |own| own == node)
    }
}

impl From<Peer> for ParentCandidate {
    fn from(peer: Peer) -> ParentCandidate {
        ParentCandidate { node: Some(peer.node), address: peer.address }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriptionChange {
    Stay,
    /// Another is followed from now on; the one before is to be told.
    Switched {
        previous: ParentCandidate,
    },
    /// The first is to be asked whether it is there again.
    TryFirst(ParentCandidate),
}

/// From whom a pulse came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    Parent,
    /// The first candidate is there again and is followed from now on; this one was before.
    Preferred {
        previous: ParentCandidate,
    },
    /// Not followed: it is to be told.
    Other,
}

#[derive(Clone, Debug)]
pub struct ParentSubscription {
    heartbeat_interval: Duration,
    candidates: Vec<ParentCandidate>,
    /// How many of them are members, which stand above this one.
    ancestors: u32,
    parent_index: usize,
    /// Since when the parent is silent; moved on over times when this process stood still.
    silent_since: Duration,
    /// Since when the parent is followed.
    superseded_since: Duration,
    /// From when on the newest pulse that came by this parent is stale.
    stale_at: Option<Duration>,
    tried: BTreeSet<usize>,
    /// The freshest of this round.
    freshest_tried: Option<(Timestamp, usize)>,
    backoff: Duration,
    /// Until then nobody is left, after a round of all.
    hold_until: Duration,
    first_due: Duration,
    /// What other candidates answered: when, and how fresh they are.
    probe_replies: BTreeMap<usize, (Duration, Timestamp)>,
    /// When the answers are to be looked at, as the parent is given up by then.
    reply_review_due: Option<Duration>,
    /// How often was asked since a fresh pulse came, and when it is to be again.
    probes: u32,
    probe_due: Duration,
}

impl ParentSubscription {
    pub fn new(heartbeat_interval: Duration, now: Duration) -> ParentSubscription {
        ParentSubscription {
            heartbeat_interval,
            candidates: Vec::new(),
            ancestors: 0,
            parent_index: 0,
            silent_since: now,
            superseded_since: now,
            stale_at: None,
            tried: BTreeSet::new(),
            freshest_tried: None,
            backoff: Duration::ZERO,
            hold_until: now,
            first_due: now,
            probe_replies: BTreeMap::new(),
            reply_review_due: None,
            probes: 0,
            probe_due: now,
        }
    }

    pub fn parent(&self) -> Option<ParentCandidate> {
        self.candidates.get(self.parent_index).copied()
    }

    pub fn candidates(&self) -> &[ParentCandidate] {
        &self.candidates
    }

    pub fn is_first(&self) -> bool {
        self.parent_index == 0
    }

    /// New candidates, so many of them members. The parent stays if it is among them; else the first is followed. Returns who was left.
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
        self.tried.clear();
        self.freshest_tried = None;
        self.backoff = Duration::ZERO;
        self.hold_until = now;
        self.probe_replies.clear();
        self.probes = 0;
        self.probe_due = now;
        self.first_due = now + self.heartbeat_interval * FAILBACK_INTERVAL_HEARTBEATS;
        let stays = |parent: ParentCandidate| {
            self.candidates.iter().position(|other| other.node.is_some() && other.node == parent.node)
        };
        match parent.and_then(stays) {
            Some(at) => {
                self.parent_index = at;
                None
            }
            None => {
                self.switch_to(now, 0);
                parent
            }
        }
    }

    fn switch_to(&mut self, now: Duration, to: usize) {
        self.parent_index = to;
        self.superseded_since = now;
        self.silent_since = now;
        self.stale_at = None;
        self.first_due = now + self.heartbeat_interval * FAILBACK_INTERVAL_HEARTBEATS;
        self.probe_replies.remove(&to);
    }

    pub fn shift_timers(&mut self, span: Duration) {
        self.silent_since = self.silent_since.saturating_add(span);
        self.stale_at = None;
        self.probe_replies.clear();
    }

    fn timeout_at(&self) -> Duration {
        self.silent_since
            + self.heartbeat_interval
                * if self.stale_at.is_some() {
                    PARENT_TIMEOUT_HEARTBEATS
                } else {
                    NEW_PARENT_TIMEOUT_HEARTBEATS
                }
    }

    /// When the parent is given up for one that answers, unless it is heard meanwhile.
    fn abandon_at(&self) -> Duration {
        let sooner = self.heartbeat_interval
            * MAX_EARLY_SWITCH_HEARTBEATS
            * (MAX_ANCESTORS - self.ancestors.min(MAX_ANCESTORS))
            / MAX_ANCESTORS;
        let stale = self.stale_at.map(|at| {
            at.saturating_sub(sooner)
                .max(self.superseded_since + self.heartbeat_interval * NEW_PARENT_GRACE_HEARTBEATS)
        });
        stale.map_or(self.timeout_at(), |stale| stale.min(self.timeout_at()))
    }

    fn suspect_at(&self) -> Duration {
        self.abandon_at().saturating_sub(self.heartbeat_interval / SUSPECT_LEAD_DIVISOR)
    }

    /// Whom to ask how fresh they are: all others, while the parent is in doubt.
    pub fn candidates_to_probe(&mut self, now: Duration) -> Vec<ParentCandidate> {
        if self.candidates.len() < 2 || now < self.suspect_at().max(self.probe_due) {
            return Vec::new();
        }
        self.probes = self.probes.saturating_add(1);
        self.probe_due = now
            + self.heartbeat_interval
                * if self.probes < MAX_QUICK_PROBES { 1 } else { SLOW_PROBE_INTERVAL_HEARTBEATS };
        let others = self.candidates.iter().enumerate().filter(|(index, _)| *index != self.parent_index);
        others.map(|(_, other)| *other).collect()
    }

    /// A candidate says how fresh it is.
    pub fn on_probe_reply(
        &mut self,
        now: Duration,
        node: NodeId,
        at: SocketAddr,
        timestamp: Timestamp,
    ) -> SubscriptionChange {
        let index = self.candidates.iter().position(|candidate| candidate.is(node, at));
        let Some(index) = index.filter(|index| *index != self.parent_index && now >= self.suspect_at())
        else {
            return SubscriptionChange::Stay;
        };
        self.probe_replies.insert(index, (now, timestamp));
        if now > self.abandon_at() {
            return self.switch_to_probed(now).unwrap_or(SubscriptionChange::Stay);
        }
        self.reply_review_due = Some(self.abandon_at() + Duration::from_millis(1));
        SubscriptionChange::Stay
    }

    /// To the nearest that is fresh of those that answered lately; away from a silent parent else to the freshest.
    fn switch_to_probed(&mut self, now: Duration) -> Option<SubscriptionChange> {
        let from = self.parent()?;
        let (heartbeat_interval, reply_ttl) =
            (self.heartbeat_interval, self.heartbeat_interval * PROBE_REPLY_TTL_HEARTBEATS);
        self.probe_replies.retain(|_, (at, _)| now.saturating_sub(*at) <= reply_ttl);
        let silent = now > self.timeout_at();
        let max = if silent || self.stale_at.is_some_and(|at| now >= at) {
            FRESH_WITHIN_HEARTBEATS
        } else {
            MUCH_FRESHER_WITHIN_HEARTBEATS
        };
        let fresh = |timestamp: Timestamp| timestamp.age(now) <= heartbeat_interval * max;
        let nearest = self.probe_replies.iter().find(|(_, (_, timestamp))| fresh(*timestamp));
        let freshest = self.probe_replies.iter().max_by_key(|(_, (_, timestamp))| *timestamp);
        // To go from one stale parent to another gains nothing.
        let freshest = freshest.filter(|(_, (_, timestamp))| {
            silent && timestamp.age(now) < heartbeat_interval * STALE_AFTER_HEARTBEATS
        });
        let to = *nearest.or(freshest)?.0;
        self.tried.insert(self.parent_index);
        self.switch_to(now, to);
        Some(SubscriptionChange::Switched { previous: from })
    }

    /// From when on a pulse of this age is stale.
    fn stale_at(&self, now: Duration, timestamp: Timestamp) -> Duration {
        now + (self.heartbeat_interval * STALE_AFTER_HEARTBEATS).saturating_sub(timestamp.age(now))
    }

    /// Somebody is heard whom only his voice is known of, not how fresh it is.
    pub fn on_untimed_heartbeat(&mut self, now: Duration, node: NodeId, at: SocketAddr) {
        if self.parent().is_some_and(|parent| parent.is(node, at)) {
            self.silent_since = now;
        }
    }

    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        node: NodeId,
        at: SocketAddr,
        timestamp: Timestamp,
    ) -> HeartbeatSource {
        let stale_at = self.stale_at(now, timestamp);
        let fresh = stale_at > now;
        let parent = self.parent();
        if parent.is_some_and(|parent| parent.is(node, at)) {
            self.silent_since = now;
            let grace = self.superseded_since + self.heartbeat_interval * NEW_PARENT_GRACE_HEARTBEATS;
            self.stale_at = self.stale_at.max(Some(stale_at.max(grace)));
            self.freshest_tried = self.freshest_tried.max(Some((timestamp, self.parent_index)));
            if fresh {
                self.on_fresh_heartbeat();
            }
            if let Some(own) = self.candidates.get_mut(self.parent_index) {
                own.node = Some(node);
            }
            return HeartbeatSource::Parent;
        }
        let first = self.candidates.first().is_some_and(|first| first.is(node, at));
        match (first && fresh, parent) {
            (true, Some(from)) => {
                self.switch_to(now, 0);
                self.stale_at = Some(stale_at);
                self.on_fresh_heartbeat();
                HeartbeatSource::Preferred { previous: from }
            }
            _ => HeartbeatSource::Other,
        }
    }

    fn on_fresh_heartbeat(&mut self) {
        self.tried.clear();
        self.freshest_tried = None;
        self.backoff = Duration::ZERO;
        self.probes = 0;
    }

    /// A node has no room. Where it was the parent, the next is followed.
    pub fn on_full(
        &mut self,
        now: Duration,
        node: NodeId,
        at: SocketAddr,
        random: f64,
    ) -> SubscriptionChange {
        match self.parent() {
            Some(parent) if parent.is(node, at) => match self.switch_to_probed(now) {
                Some(step) => step,
                None if now >= self.hold_until => self.switch_to_next(now, random),
                None => SubscriptionChange::Stay,
            },
            _ => SubscriptionChange::Stay,
        }
    }

    /// `share`: a chance from 0 to 1, so that not all wait for as long.
    pub fn tick(&mut self, now: Duration, random: f64) -> SubscriptionChange {
        if self.candidates.is_empty() {
            return SubscriptionChange::Stay;
        }
        let silent = now > self.timeout_at();
        let stale = self.stale_at.is_some_and(|at| now >= at);
        self.reply_review_due = self.reply_review_due.filter(|due| *due > now);
        if silent || stale || now > self.abandon_at() {
            if let Some(step) = self.switch_to_probed(now) {
                return step;
            }
        }
        if (silent || stale) && now >= self.hold_until {
            let step = self.switch_to_next(now, random);
            if step != SubscriptionChange::Stay {
                return step;
            }
        }
        if self.parent_index != 0 && now >= self.first_due {
            self.first_due = now + self.heartbeat_interval * FAILBACK_INTERVAL_HEARTBEATS;
            return SubscriptionChange::TryFirst(self.candidates[0]);
        }
        SubscriptionChange::Stay
    }

    fn switch_to_next(&mut self, now: Duration, random: f64) -> SubscriptionChange {
        let Some(from) = self.parent() else { return SubscriptionChange::Stay };
        self.tried.insert(self.parent_index);
        let mut untried = (0..self.candidates.len()).filter(|index| !self.tried.contains(index));
        // Where the nearest two are no way, those between may all stand below the same fault: control nodes are last.
        let next = if self.tried.len() < MAX_TRIED_IN_ORDER { untried.next() } else { untried.next_back() };
        let to = match next {
            Some(to) => to,
            None => {
                self.backoff = (self.backoff * 2)
                    .clamp(self.heartbeat_interval, self.heartbeat_interval * MAX_ROUND_BACKOFF_HEARTBEATS);
                self.hold_until = now + self.backoff.mul_f64(0.75 + random / 2.0);
                self.tried.clear();
                self.freshest_tried.take().map_or(0, |(_, index)| index)
            }
        };
        if to == self.parent_index {
            self.silent_since = now;
            return SubscriptionChange::Stay;
        }
        self.switch_to(now, to);
        SubscriptionChange::Switched { previous: from }
    }

    /// When `tick` has something to do at the latest.
    pub fn next_due(&self) -> Option<Duration> {
        self.parent()?;
        let silent = self.timeout_at().max(self.hold_until) + Duration::from_millis(1);
        let stale = self.stale_at.map(|at| at.max(self.hold_until));
        let first = (self.parent_index != 0).then_some(self.first_due);
        let probe = (self.candidates.len() > 1).then(|| self.suspect_at().max(self.probe_due));
        [Some(silent), stale, first, probe, self.reply_review_due].into_iter().flatten().min()
    }
}
