//! Members, their incarnations, the requests they own and the ballots under which they decide about them.

use serde::{Deserialize, Serialize};

/// The index of a dispatcher in the configured list of members; the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// One run of a process: what it holds in memory begins and ends with it. Later incarnations are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member.
    pub member: MemberId,
    /// Which of its incarnations.
    pub incarnation: Incarnation,
}

/// The hash of the id under which a client sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// The right to decide about a request. Round 0 is that of the first owner, later rounds are takeovers. No ballot is ever
/// used twice: two incarnations never share one, and an incarnation numbers those that it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for the first owner, one more with each takeover.
    pub round: u32,
    /// Who decides under it.
    pub identity: Identity,
    /// Its number among the ballots of that incarnation, from 1; 0 where nobody owns the request.
    pub number: u64,
}

impl Ballot {
    /// The ballot of a first owner.
    pub fn first(identity: Identity, number: u64) -> Ballot {
        Ballot { round: 0, identity, number }
    }

    /// A ballot above that of every first owner, under which nobody owns the request.
    pub fn unowned(identity: Identity) -> Ballot {
        Ballot { round: 1, identity, number: 0 }
    }

    /// Whether somebody may be executing the request under this ballot.
    pub fn is_owned(self) -> bool {
        self.number > 0
    }
}
