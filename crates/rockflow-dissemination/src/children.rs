//! The nodes that follow this one in the tree, and the reports of their subtrees.

use crate::identity::{Identity, NodeId};
use crate::message::MAX_REPORTS;
use crate::subtree_report::SubtreeReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Limit of children of a member. A further node is answered with [`Message::Full`](crate::Message::Full), and follows
/// its next candidate.
pub const MAX_CHILDREN: usize = 16;
/// Limit of children of a control node. A further node is answered in the same way.
pub const MAX_CONTROL_CHILDREN: usize = 256;

/// A node that follows this one.
#[derive(Clone, Debug)]
pub(crate) struct Child {
    pub identity: Identity,
    pub address: SocketAddr,
    /// When its last acknowledgement was received.
    pub last_received: Duration,
    /// What its subtree has applied, by region and listing, as of that acknowledgement.
    pub reports: Vec<SubtreeReport>,
}

/// Whether an acknowledgement was recorded, and what it changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckOutcome {
    /// Recorded, from a new child or a new incarnation of a child.
    New,
    /// Recorded, from a child that was known.
    Known {
        /// Whether its reports differ from the previous ones.
        changed: bool,
    },
    /// Not recorded: there is no room for another child.
    Full,
    /// Not recorded: it is from an earlier incarnation of a child.
    Earlier,
}

/// Owns the children and their latest reports.
#[derive(Clone, Debug)]
pub(crate) struct Children {
    children: BTreeMap<NodeId, Child>,
    max_children: usize,
    /// A child and its reports are kept for this long after its last acknowledgement.
    ttl: Duration,
}

impl Children {
    /// No children yet. A child and its reports are kept for `ttl` after its last acknowledgement.
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

    /// The latest reports of all children; a child may report several regions or listings.
    pub fn reports(&self) -> impl Iterator<Item = &SubtreeReport> {
        self.children.values().flat_map(|child| &child.reports)
    }

    /// Records an acknowledgement, whose sender becomes a child if there is room. Reports above the limits are cut off.
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

    /// Whether `node` is a child already or there is room for it as a new one.
    pub fn has_room_for(&self, node: NodeId) -> bool {
        self.children.len() < self.max_children || self.children.contains_key(&node)
    }

    /// Removes a child that has left. Returns false, and changes nothing, if this incarnation is not a child.
    pub fn remove(&mut self, identity: Identity) -> bool {
        let is_child = self.children.get(&identity.node).is_some_and(|child| child.identity == identity);
        is_child && self.children.remove(&identity.node).is_some()
    }

    /// Removes children whose last acknowledgement is too old. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.children.len();
        let ttl = self.ttl;
        self.children.retain(|_, child| now.saturating_sub(child.last_received) <= ttl);
        self.children.len() < before
    }

    /// Drops all reports, as they may be out of date. The children send them again with their next acknowledgements.
    pub fn forget_reports(&mut self) {
        for child in self.children.values_mut() {
            child.reports.clear();
        }
    }
}
