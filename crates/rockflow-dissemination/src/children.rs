//! The nodes that follow this one, and what they report.

use crate::identity::{Identity, NodeId};
use crate::message::MAX_REPORTS;
use crate::subtree_report::SubtreeReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Children of a member. A further one is answered with [`Message::Full`](crate::Message::Full), and follows its next
/// candidate.
pub const MAX_CHILDREN: usize = 16;
/// Children of a control node, likewise.
pub const MAX_CONTROL_CHILDREN: usize = 256;

/// A node that follows this one.
#[derive(Clone, Debug)]
pub(crate) struct Child {
    pub identity: Identity,
    pub address: SocketAddr,
    /// When its last acknowledgement was received.
    pub last_received: Duration,
    pub reports: Vec<SubtreeReport>,
}

/// What became of an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckOutcome {
    /// From a new child, or a new incarnation of one.
    New,
    Known {
        /// Whether its reports differ from those before.
        changed: bool,
    },
    /// There is no room for another child.
    Full,
    /// From an earlier incarnation of a child.
    Earlier,
}

/// Owns the children and their last reports.
#[derive(Clone, Debug)]
pub(crate) struct Children {
    children: BTreeMap<NodeId, Child>,
    max_children: usize,
    ttl: Duration,
}

impl Children {
    /// A child is kept, and its reports count, for `ttl` after an acknowledgement.
    pub fn new(max_children: usize, ttl: Duration) -> Children {
        Children { children: BTreeMap::new(), max_children, ttl }
    }

    /// The number of children.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// All children.
    pub fn iter(&self) -> impl Iterator<Item = &Child> {
        self.children.values()
    }

    /// The addresses of all children.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.children.values().map(|child| child.address).collect()
    }

    /// The last report of each child that sent one.
    pub fn reports(&self) -> impl Iterator<Item = &SubtreeReport> {
        self.children.values().flat_map(|child| &child.reports)
    }

    /// Records the acknowledgement of a child.
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
        let is_full = self.children.len() >= self.max_children;
        let outcome = match self.children.get(&identity.node) {
            Some(child) if child.identity.incarnation > identity.incarnation => return AckOutcome::Earlier,
            Some(child) if child.identity == identity => {
                AckOutcome::Known { changed: child.reports != reports }
            }
            Some(_) => AckOutcome::New,
            None if is_full => return AckOutcome::Full,
            None => AckOutcome::New,
        };
        self.children.insert(identity.node, Child { identity, address, last_received: now, reports });
        outcome
    }

    /// Whether an acknowledgement of this node would be accepted.
    pub fn has_room_for(&self, node: NodeId) -> bool {
        self.children.len() < self.max_children || self.children.contains_key(&node)
    }

    /// Returns whether it was a child.
    pub fn remove(&mut self, identity: Identity) -> bool {
        let is_child = self.children.get(&identity.node).is_some_and(|child| child.identity == identity);
        is_child && self.children.remove(&identity.node).is_some()
    }

    /// Drops children that were silent for too long. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.children.len();
        let ttl = self.ttl;
        self.children.retain(|_, child| now.saturating_sub(child.last_received) <= ttl);
        self.children.len() < before
    }

    /// The reports are too old to count; the children repeat them.
    pub fn forget_reports(&mut self) {
        for child in self.children.values_mut() {
            child.reports.clear();
        }
    }
}
