//! The purposes, declared one line each, and their figures as parts of the told limit.

use std::fmt;

/// A purpose's place in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PurposeId(pub u16);

/// What is done where a purpose is at its cap; whoever charges does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtCap {
    /// What is new is turned away.
    RefuseNew,
    /// Less is kept of each.
    Shrink,
    /// The oldest goes.
    EvictOldest,
    /// What says the same is made one.
    Coalesce,
    /// Connections on which nothing is owed are closed.
    CloseIdle,
    /// Requests are dismissed, with a time to come back.
    Dismiss,
    /// It is dropped, and counted.
    Drop,
}

/// One purpose. Parts are of the told limit; a floor beyond the cap, or floors of children beyond their parent's
/// cap, are faults of the plan.
#[derive(Clone, Debug)]
pub struct Declared {
    pub name: &'static str,
    /// Empty: the root.
    pub parent: &'static str,
    pub cap: f64,
    /// Room that no other purpose can take, used or not.
    pub floor: f64,
    /// What it may hold beyond its cap while its parent has room.
    pub borrow: f64,
    pub at_cap: AtCap,
}

/// One line each.
pub const fn purpose(
    name: &'static str,
    parent: &'static str,
    cap: f64,
    floor: f64,
    borrow: f64,
    at_cap: AtCap,
) -> Declared {
    Declared { name, parent, cap, floor, borrow, at_cap }
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: &'static str,
    pub parent: Option<PurposeId>,
    /// In bytes.
    pub cap: usize,
    pub floor: usize,
    pub borrow: usize,
    pub at_cap: AtCap,
}

/// A plan in bytes, checked. The first is the root, and every parent stands ahead of its children.
#[derive(Clone, Debug)]
pub struct Plan(pub(crate) Vec<Node>);

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub name: &'static str,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name, self.what)
    }
}

impl Plan {
    /// Makes the plan for a limit in bytes, which is the root's cap.
    pub fn new(limit: usize, declared: &[Declared]) -> Result<Plan, Fault> {
        let part = |share: f64| (limit as f64 * share) as usize;
        let mut nodes: Vec<Node> = Vec::new();
        for one in declared {
            let fault = |what: &str| Err(Fault { name: one.name, what: what.to_string() });
            if nodes.iter().any(|node| node.name == one.name) {
                return fault("declared twice");
            }
            let parent = nodes.iter().position(|node| node.name == one.parent);
            let parent = match (nodes.is_empty(), parent) {
                (true, _) if one.parent.is_empty() => None,
                (true, _) => return fault("the first is the root, which has no parent"),
                (false, Some(place)) => Some(PurposeId(place as u16)),
                (false, None) => return fault("its parent is not declared ahead of it"),
            };
            let shares = [one.cap, one.floor, one.borrow];
            if shares.iter().any(|share| !(0.0..=1.0).contains(share)) || nodes.len() >= usize::from(u16::MAX)
            {
                return fault("its parts are parts of the limit, from 0 to 1");
            }
            let cap = if parent.is_none() { limit } else { part(one.cap) };
            if one.floor > one.cap {
                return fault("its floor is beyond its cap");
            }
            if let Some(parent) = parent {
                let above = nodes[usize::from(parent.0)].cap;
                if cap > above {
                    return fault("its cap is beyond its parent's");
                }
                let beside = nodes.iter().filter(|node| node.parent == Some(parent));
                let floors: usize = beside.map(|node| node.floor).sum::<usize>() + part(one.floor);
                if floors > above {
                    return fault("the floors below its parent are beyond the parent's cap");
                }
            }
            let (floor, borrow) = (part(one.floor), part(one.borrow));
            let (name, at_cap) = (one.name, one.at_cap);
            nodes.push(Node { name, parent, cap, floor, borrow, at_cap });
        }
        if nodes.is_empty() {
            return Err(Fault { name: "", what: "nothing is declared".to_string() });
        }
        Ok(Plan(nodes))
    }

    pub fn nodes(&self) -> &[Node] {
        &self.0
    }

    /// The purpose of that name.
    pub fn id(&self, name: &str) -> Option<PurposeId> {
        self.0.iter().position(|node| node.name == name).map(|place| PurposeId(place as u16))
    }
}
