//! Counts the votes of members that may lose their memory between two votes.

use crate::identity::{Identity, Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The incarnations of other members that a voter knows of.
pub type KnownIncarnations = Vec<Identity>;

/// The latest vote of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
struct Vote {
    incarnation: Incarnation,
    known: KnownIncarnations,
}

/// The votes for one step. The vote of an incarnation that another voter knows to be superseded does not count: its
/// promise may be forgotten, as the later incarnation may have recovered from that other voter before the other
/// voted. So any two majorities share a replica that remembers, without relying on clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Votes(BTreeMap<MemberId, Vote>);

impl Votes {
    /// Adds a vote, unless a later incarnation of the voter has voted already.
    pub fn add(&mut self, voter: Identity, known: &[Identity]) {
        let is_newer = self.0.get(&voter.member).is_none_or(|vote| vote.incarnation <= voter.incarnation);
        if is_newer {
            let vote = Vote { incarnation: voter.incarnation, known: known.to_vec() };
            self.0.insert(voter.member, vote);
        }
    }

    /// Whether the member has voted and no other voter knows of a later incarnation of it.
    pub fn has(&self, member: MemberId) -> bool {
        self.0.get(&member).is_some_and(|vote| !self.is_superseded(member, vote.incarnation))
    }

    /// The number of votes by incarnations that no other voter knows to be superseded.
    pub fn count(&self) -> usize {
        let counted = |(member, vote): &(&MemberId, &Vote)| !self.is_superseded(**member, vote.incarnation);
        self.0.iter().filter(counted).count()
    }

    fn is_superseded(&self, member: MemberId, incarnation: Incarnation) -> bool {
        let mut known = self.0.values().flat_map(|vote| &vote.known);
        known.any(|identity| identity.member == member && identity.incarnation > incarnation)
    }
}
