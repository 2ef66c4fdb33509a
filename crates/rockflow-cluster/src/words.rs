//! Who is who among dispatchers, and what they say of a request in hand.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Place of a dispatcher in the told list of members; the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A life of a process: what it holds in memory begins and ends with it. Later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// One life of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub member: MemberId,
    pub life: Life,
}

/// The id under which a client asks, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u128);

/// The right to decide about a call: round 0 is its first owner's, later rounds are claims. None is ever used twice:
/// two lives never share one, and a life numbers those that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u32,
    pub seat: Seat,
    pub no: u64,
}

impl Ballot {
    pub fn first(seat: Seat, no: u64) -> Ballot {
        Ballot { round: 0, seat, no }
    }

    /// Above every first owner's, and held by nobody.
    pub fn nobodys(seat: Seat) -> Ballot {
        Ballot { round: 1, seat, no: 0 }
    }

    /// Whether somebody may be at work under it.
    pub fn is_held(self) -> bool {
        self.no > 0
    }
}

/// What a second run would do, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    Redoable,
    Labelled,
    Irreversible,
}

impl Kind {
    /// Whether a majority of the keepers must know of an attempt before it is written.
    pub fn covered(self) -> bool {
        self != Kind::Redoable
    }
}

/// What is asked for. It never changes under one call: the same id for another object is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    pub kind: Kind,
    pub class: u16,
    pub object: u64,
    pub part: u32,
    pub group: u64,
    /// Size in bytes as told; zero: untold.
    pub size: u64,
}

/// An attempt that may have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Begun {
    pub ballot: Ballot,
    pub attempt: u16,
    pub host: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ended {
    Succeeded,
    Dismissed,
    Terminated,
}

/// The final answer, as it is kept for who asks again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    pub ended: Ended,
    pub tag: Option<String>,
    /// None: it was larger than what is kept, or there was none.
    pub body: Option<Vec<u8>>,
}

/// What became of a request so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Content {
    pub begun: Vec<Begun>,
    /// With the ballot under which it was written.
    pub answer: Option<(Ballot, Answer)>,
}

impl Content {
    /// Takes in what another knows: every attempt that may have begun, and of two answers that under the later ballot.
    pub fn merge(&mut self, other: &Content) {
        self.begun.extend_from_slice(&other.begun);
        self.begun.sort_unstable();
        self.begun.dedup();
        if let Some((ballot, answer)) = &other.answer {
            if self.answer.as_ref().is_none_or(|(mine, _)| mine < ballot) {
                self.answer = Some((*ballot, answer.clone()));
            }
        }
    }
}

/// What a keeper holds of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// None: a claim came ahead of all else.
    pub subject: Option<Subject>,
    /// The highest ballot that was granted or written here; nothing under a lower one is taken any more.
    pub promised: Ballot,
    pub content: Content,
}

/// What is told to every member alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Names, in the order of `MemberId`; sorted, so that every file that names the same ones gives the same ids.
    pub members: Vec<String>,
    /// Keepers of a record.
    pub keepers: usize,
    /// How long a record is kept, from when a keeper first hears of it.
    pub keep: Duration,
    /// The time that a datagram and its answer take at most in the ordinary case.
    pub round_trip: Duration,
    /// Records that a keeper holds at the most.
    pub max_kept: usize,
    /// Bytes of a kept answer's body at the most.
    pub max_body: usize,
}

impl Told {
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        (0..self.members.len() as u16).map(MemberId)
    }

    pub fn id_of(&self, name: &str) -> Option<MemberId> {
        self.members.iter().position(|known| known == name).map(|at| MemberId(at as u16))
    }

    /// Keepers of a record; never more than there are members.
    pub fn width(&self) -> usize {
        self.keepers.min(self.members.len()).max(1)
    }

    pub fn majority(&self) -> usize {
        self.width() / 2 + 1
    }

    /// The keepers of a call, by rendezvous hashing over the told members. Not over the view: views differ between
    /// members just when it matters, and majorities of two sets of keepers need not meet.
    pub fn keepers_of(&self, call: CallId) -> Vec<MemberId> {
        let score = |id: &MemberId| {
            let key = call.0.to_le_bytes();
            let seed = xxhash_rust::xxh3::xxh3_64(self.members[usize::from(id.0)].as_bytes());
            xxhash_rust::xxh3::xxh3_64_with_seed(&key, seed)
        };
        let mut ids: Vec<_> = self.ids().collect();
        ids.sort_by_cached_key(|id| std::cmp::Reverse((score(id), *id)));
        ids.truncate(self.width());
        ids
    }

    /// The same at all that were told the same; others are not understood.
    pub fn digest(&self) -> u32 {
        let names: Vec<u8> = self.members.iter().flat_map(|name| name.bytes().chain([0])).collect();
        xxhash_rust::xxh3::xxh3_64_with_seed(&names, self.keepers as u64) as u32
    }
}
