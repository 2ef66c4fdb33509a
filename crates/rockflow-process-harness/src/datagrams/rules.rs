//! Rules: between which members a path has which conditions.

use std::sync::Arc;
use std::time::Duration;

/// The conditions of a path. By default every datagram is carried at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathConditions {
    /// Whether all datagrams are dropped.
    pub cut: bool,
    /// The share of datagrams that are lost, 0 to 1.
    pub lost: f64,
    /// The share of datagrams that are carried twice, 0 to 1.
    pub doubled: f64,
    /// The delay of every datagram.
    pub late: Duration,
    /// The greatest random delay on top, by which one datagram may overtake another.
    pub jitter: Duration,
}

impl PathConditions {
    /// Both conditions on one path.
    pub(super) fn combine(self, other: &PathConditions) -> PathConditions {
        PathConditions {
            cut: self.cut || other.cut,
            lost: 1.0 - (1.0 - self.lost) * (1.0 - other.lost),
            doubled: 1.0 - (1.0 - self.doubled) * (1.0 - other.doubled),
            late: self.late + other.late,
            jitter: self.jitter + other.jitter,
        }
    }
}

/// A set of members, by their index in the proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberSet {
    /// Every member.
    All,
    /// A single member.
    One(usize),
    /// The members at whose index the value is `true`.
    Some(Arc<Vec<bool>>),
}

impl MemberSet {
    /// These of `count` members.
    ///
    /// # Panics
    /// If an index is not below `count`.
    pub fn only(count: usize, members: impl IntoIterator<Item = usize>) -> MemberSet {
        let mut included = vec![false; count];
        for member in members {
            included[member] = true;
        }
        MemberSet::Some(Arc::new(included))
    }

    /// All of `count` members but these.
    ///
    /// # Panics
    /// If an index is not below `count`.
    pub fn all_except(count: usize, members: impl IntoIterator<Item = usize>) -> MemberSet {
        let mut included = vec![true; count];
        for member in members {
            included[member] = false;
        }
        MemberSet::Some(Arc::new(included))
    }

    /// Whether a member is in the set.
    pub(super) fn contains(&self, member: usize) -> bool {
        match self {
            MemberSet::All => true,
            MemberSet::One(one) => *one == member,
            MemberSet::Some(included) => included.get(member).copied().unwrap_or(false),
        }
    }
}

/// The conditions of the paths from one set of members to another, in that direction only.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The senders.
    pub from: MemberSet,
    /// The receivers.
    pub to: MemberSet,
    /// The conditions.
    pub path: PathConditions,
}

/// Identifies a rule of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleId(pub(super) u64);
