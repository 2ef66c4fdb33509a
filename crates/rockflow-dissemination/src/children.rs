//! Who follows this node, and what they report.

use crate::identity::{Identity, NodeId};
use crate::message::MAX_REPORTS;
use crate::subtree_report::SubtreeReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Children of a member. One more is answered `Full`, and goes to its next candidate.
pub const MAX_CHILDREN: usize = 16;
/// Children of a control node, likewise.
pub const MAX_CONTROL_CHILDREN: usize = 256;

#[derive(Clone, Debug)]
pub struct Child {
    pub identity: Identity,
    pub address: SocketAddr,
    pub last_received: Duration,
    pub reports: Vec<SubtreeReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckOutcome {
    New,
    Known {
        changed: bool,
    },
    Full,
    /// An earlier life of one that is a child.
    Earlier,
}

#[derive(Clone, Debug)]
pub struct Children {
    children: BTreeMap<NodeId, Child>,
    max_children: usize,
    ttl: Duration,
}

impl Children {
    /// Children are kept, and their reports count, for `keep` after an ack.
    pub fn new(max_children: usize, ttl: Duration) -> Children {
        Children { children: BTreeMap::new(), max_children, ttl }
    }

    pub fn len(&self) -> usize {
        self.children.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Child> {
        self.children.values()
    }

    pub fn on_acknowledgement(
        &mut self,
        now: Duration,
        identity: Identity,
        address: SocketAddr,
        mut reports: Vec<SubtreeReport>,
    ) -> AckOutcome {
        reports.truncate(MAX_REPORTS);
        for report in &mut reports {
            report.truncate_to_limits();
        }
        let full = self.children.len() >= self.max_children;
        let outcome = match self.children.get(&identity.node) {
            Some(child) if child.identity.incarnation > identity.incarnation => return AckOutcome::Earlier,
            Some(child) if child.identity == identity => {
                AckOutcome::Known { changed: child.reports != reports }
            }
            Some(_) => AckOutcome::New,
            None if full => return AckOutcome::Full,
            None => AckOutcome::New,
        };
        self.children.insert(identity.node, Child { identity, address, last_received: now, reports });
        outcome
    }

    /// Whether an ack of this one would be taken.
    pub fn has_room_for(&self, node: NodeId) -> bool {
        self.children.len() < self.max_children || self.children.contains_key(&node)
    }

    pub fn remove(&mut self, identity: Identity) -> bool {
        let there = self.children.get(&identity.node).is_some_and(|child| child.identity == identity);
        there && self.children.remove(&identity.node).is_some()
    }

    /// Drops those not heard of for too long. True: some were.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.children.len();
        let ttl = self.ttl;
        self.children.retain(|_, child| now.saturating_sub(child.last_received) <= ttl);
        self.children.len() < before
    }

    /// What they said is too old to count; they say it again.
    pub fn forget_reports(&mut self) {
        for child in self.children.values_mut() {
            child.reports.clear();
        }
    }

    pub fn reports(&self) -> impl Iterator<Item = &SubtreeReport> {
        self.children.values().flat_map(|child| &child.reports)
    }
}
