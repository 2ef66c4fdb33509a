//! Rules that give the paths between members their conditions: loss, duplication, delay or a cut.

use std::sync::Arc;
use std::time::Duration;

/// The conditions of a path in one direction. By default every datagram is carried exactly once, without delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathConditions {
    /// Drops all datagrams.
    pub cut: bool,
    /// The probability that a datagram is dropped, 0 to 1.
    pub lost: f64,
    /// The probability that a datagram is carried twice, 0 to 1.
    pub doubled: f64,
    /// The fixed delay of every datagram.
    pub late: Duration,
    /// The upper limit of a random delay that is added to the fixed one. Datagrams may overtake each other by it.
    pub jitter: Duration,
}

impl PathConditions {
    /// The conditions of a path to which both rules apply: probabilities combine as independent events, delays add up.
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
    /// The members whose index in the vector holds `true`; a member past its end is not in the set.
    Some(Arc<Vec<bool>>),
}

impl MemberSet {
    /// The given members, out of `count`.
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

    /// All members but the given ones, out of `count`.
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

    /// Whether the member with this index is in the set.
    pub(super) fn contains(&self, member: usize) -> bool {
        match self {
            MemberSet::All => true,
            MemberSet::One(index) => *index == member,
            MemberSet::Some(included) => included.get(member).copied().unwrap_or(false),
        }
    }
}

/// The conditions of the paths from one set of members to another, in that direction only.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The members whose datagrams the rule applies to.
    pub from: MemberSet,
    /// The members to which those datagrams are addressed.
    pub to: MemberSet,
    /// The conditions that the rule adds to those of other rules.
    pub path: PathConditions,
}

/// Identifies a rule within its proxy. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleId(pub(super) u64);
