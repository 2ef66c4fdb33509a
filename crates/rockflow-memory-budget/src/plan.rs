//! Declarations of purposes, in shares of the memory limit, and the checked plan that they yield, in bytes.

use std::fmt;

/// The index of a purpose in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PurposeId(pub u16);

/// What the caller does when a charge for a purpose is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtCap {
    /// Refuses new work.
    RefuseNew,
    /// Keeps less of each item.
    Shrink,
    /// Evicts the oldest item.
    EvictOldest,
    /// Merges items of the same content.
    Coalesce,
    /// Closes connections that have no open request.
    CloseIdle,
    /// Sheds requests, with a time after which to retry.
    ShedRequests,
    /// Drops the item and counts it.
    Drop,
}

/// The declaration of one purpose. Caps, floors and borrowing are shares of the memory limit, from 0 to 1. A floor may
/// not exceed the cap, and the floors of children may not together exceed the cap of their parent.
#[derive(Clone, Debug)]
pub struct PurposeSpec {
    pub name: &'static str,
    /// The name of the parent. Empty for the root.
    pub parent: &'static str,
    pub cap: f64,
    /// The guaranteed minimum: other purposes can't take it, whether or not it is used.
    pub floor: f64,
    /// What the purpose may hold beyond its cap while its parent has room.
    pub borrow: f64,
    pub at_cap: AtCap,
}

/// Declares a purpose on one line.
pub const fn purpose(
    name: &'static str,
    parent: &'static str,
    cap: f64,
    floor: f64,
    borrow: f64,
    at_cap: AtCap,
) -> PurposeSpec {
    PurposeSpec { name, parent, cap, floor, borrow, at_cap }
}

/// One purpose of a plan, with its limits in bytes.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: &'static str,
    pub parent: Option<PurposeId>,
    pub cap: usize,
    pub floor: usize,
    pub borrow: usize,
    pub at_cap: AtCap,
}

/// A checked plan. The first purpose is the root, and every parent comes before its children.
#[derive(Clone, Debug)]
pub struct Plan(pub(crate) Vec<Node>);

/// Why declarations make no valid plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanError {
    /// The purpose at fault. Empty if none is declared.
    pub name: &'static str,
    pub reason: String,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name, self.reason)
    }
}

impl Plan {
    /// Makes the plan for a limit in bytes, which becomes the cap of the root.
    ///
    /// # Errors
    /// If the declarations contradict each other or are out of range.
    pub fn new(limit: usize, specs: &[PurposeSpec]) -> Result<Plan, PlanError> {
        let bytes_of = |share: f64| (limit as f64 * share) as usize;
        let mut nodes: Vec<Node> = Vec::new();
        for spec in specs {
            let error = |reason: &str| Err(PlanError { name: spec.name, reason: reason.to_string() });
            if nodes.iter().any(|node| node.name == spec.name) {
                return error("declared twice");
            }
            let parent = nodes.iter().position(|node| node.name == spec.parent);
            let parent = match (nodes.is_empty(), parent) {
                (true, _) if spec.parent.is_empty() => None,
                (true, _) => return error("the first purpose must be the root, which has no parent"),
                (false, Some(index)) => Some(PurposeId(index as u16)),
                (false, None) => return error("its parent is not declared ahead of it"),
            };
            let shares = [spec.cap, spec.floor, spec.borrow];
            if shares.iter().any(|share| !(0.0..=1.0).contains(share)) || nodes.len() >= usize::from(u16::MAX)
            {
                return error("its cap, floor and borrowing must be shares of the limit, from 0 to 1");
            }
            let cap = if parent.is_none() { limit } else { bytes_of(spec.cap) };
            if spec.floor > spec.cap {
                return error("its floor exceeds its cap");
            }
            if let Some(parent) = parent {
                let parent_cap = nodes[usize::from(parent.0)].cap;
                if cap > parent_cap {
                    return error("its cap exceeds the cap of its parent");
                }
                let siblings = nodes.iter().filter(|node| node.parent == Some(parent));
                let floors: usize = siblings.map(|node| node.floor).sum::<usize>() + bytes_of(spec.floor);
                if floors > parent_cap {
                    return error("the floors of its parent's children exceed the parent's cap");
                }
            }
            let (floor, borrow) = (bytes_of(spec.floor), bytes_of(spec.borrow));
            let (name, at_cap) = (spec.name, spec.at_cap);
            nodes.push(Node { name, parent, cap, floor, borrow, at_cap });
        }
        if nodes.is_empty() {
            return Err(PlanError { name: "", reason: "nothing is declared".to_string() });
        }
        Ok(Plan(nodes))
    }

    /// All purposes, in the order of their declaration.
    pub fn nodes(&self) -> &[Node] {
        &self.0
    }

    /// The purpose of the given name. None if the plan has no such purpose.
    pub fn id(&self, name: &str) -> Option<PurposeId> {
        self.0.iter().position(|node| node.name == name).map(|index| PurposeId(index as u16))
    }
}
