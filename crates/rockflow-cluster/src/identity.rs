//! Identifiers of members, their incarnations, requests, and the ballots under which members own requests.

use serde::{Deserialize, Serialize};

/// The index of a dispatcher in the configured list of members, which is the same at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// Identifies one run of a member's process. Each incarnation begins with empty memory; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member that the process belongs to.
    pub member: MemberId,
    /// The run of that member's process.
    pub incarnation: Incarnation,
}

/// The hash of the id that a client gives its request. A client that retries sends the same id again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// A claim to the ownership of a request; a higher ballot overrides a lower one. Round 0 belongs to the first owner,
/// later rounds are takeovers. No ballot is used twice: it contains the incarnation, and an incarnation numbers its
/// ballots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for the first owner, incremented by each takeover.
    pub round: u32,
    /// The incarnation that claims the ownership.
    pub identity: Identity,
    /// The sequence number among the ballots of that incarnation, from 1; 0 if nobody owns the request.
    pub number: u64,
}

impl Ballot {
    /// The ballot of a first owner, with round 0.
    pub fn first(identity: Identity, number: u64) -> Ballot {
        Ballot { round: 0, identity, number }
    }

    /// A ballot that is higher than that of every first owner and under which nobody owns the request.
    pub fn unowned(identity: Identity) -> Ballot {
        Ballot { round: 1, identity, number: 0 }
    }

    /// Whether a member may be executing the request under this ballot.
    pub fn is_owned(self) -> bool {
        self.number > 0
    }
}
