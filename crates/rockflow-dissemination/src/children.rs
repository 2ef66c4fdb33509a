//! Who follows this node, and what they report.

use crate::messages::{Report, MAX_REPORTS};
use crate::words::{Identity, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Children of a member. One more is answered `Full`, and goes to its next candidate.
pub const MAX_CHILDREN: usize = 16;
/// Children of a control node, likewise.
pub const MAX_CONTROL_CHILDREN: usize = 256;

#[derive(Clone, Debug)]
pub struct Child {
    pub me: Identity,
    pub at: SocketAddr,
    pub heard: Duration,
    pub reports: Vec<Report>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
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
    map: BTreeMap<NodeId, Child>,
    most: usize,
    keep: Duration,
}

impl Children {
    /// Children are kept, and their reports count, for `keep` after an ack.
    pub fn new(most: usize, keep: Duration) -> Children {
        Children { map: BTreeMap::new(), most, keep }
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Child> {
        self.map.values()
    }

    pub fn hear(&mut self, now: Duration, me: Identity, at: SocketAddr, mut reports: Vec<Report>) -> Heard {
        reports.truncate(MAX_REPORTS);
        for report in &mut reports {
            report.cut();
        }
        let full = self.map.len() >= self.most;
        let heard = match self.map.get(&me.node) {
            Some(child) if child.me.incarnation > me.incarnation => return Heard::Earlier,
            Some(child) if child.me == me => Heard::Known { changed: child.reports != reports },
            Some(_) => Heard::New,
            None if full => return Heard::Full,
            None => Heard::New,
        };
        self.map.insert(me.node, Child { me, at, heard: now, reports });
        heard
    }

    /// Whether an ack of this one would be taken.
    pub fn has_room_for(&self, node: NodeId) -> bool {
        self.map.len() < self.most || self.map.contains_key(&node)
    }

    pub fn leave(&mut self, me: Identity) -> bool {
        let there = self.map.get(&me.node).is_some_and(|child| child.me == me);
        there && self.map.remove(&me.node).is_some()
    }

    /// Drops those not heard of for too long. True: some were.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.map.len();
        let keep = self.keep;
        self.map.retain(|_, child| now.saturating_sub(child.heard) <= keep);
        self.map.len() < before
    }

    /// What they said is too old to count; they say it again.
    pub fn forget_reports(&mut self) {
        for child in self.map.values_mut() {
            child.reports.clear();
        }
    }

    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.map.values().flat_map(|child| &child.reports)
    }
}
