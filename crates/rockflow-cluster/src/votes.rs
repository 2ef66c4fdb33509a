//! Counting votes of members that may lose their memory between two of them.

use crate::words::{Life, MemberId, Seat};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lives of other members that a voter knows of.
pub type Lives = Vec<Seat>;

/// Votes for one thing. A vote of a life that another voter knows to be over does not count: what it promised may be
/// forgotten, and its successor may have learned from that voter before this vote was given. So every set that counts
/// meets every other in a keeper that remembers, without any clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Votes(BTreeMap<MemberId, (Life, Lives)>);

impl Votes {
    pub fn add(&mut self, voter: Seat, lives: &[Seat]) {
        let newer = self.0.get(&voter.member).is_none_or(|(life, _)| *life <= voter.life);
        if newer {
            self.0.insert(voter.member, (voter.life, lives.to_vec()));
        }
    }

    /// Whether this life of the voter has voted, and nothing shows that it is over.
    pub fn has(&self, member: MemberId) -> bool {
        self.0.get(&member).is_some_and(|(life, _)| !self.outlived(member, *life))
    }

    pub fn count(&self) -> usize {
        self.0.iter().filter(|(member, (life, _))| !self.outlived(**member, *life)).count()
    }

    fn outlived(&self, member: MemberId, life: Life) -> bool {
        let known = self.0.values().flat_map(|(_, lives)| lives);
        known.into_iter().any(|seat| seat.member == member && seat.life > life)
    }
}
