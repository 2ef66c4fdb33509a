//! The configuration of a cluster, the same at every member.

use crate::identity::{MemberId, RequestId};
use std::cmp::Reverse;
use std::time::Duration;

/// What every member is configured with alike.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// Names, in the order of [`MemberId`]; sorted, so that every file with the same names gives the same ids.
    pub members: Vec<String>,
    /// Replicas of a record.
    pub replicas: usize,
    /// How long a record is retained, from when a replica first receives it.
    pub retention: Duration,
    /// The time that a datagram and its reply usually take at most.
    pub round_trip: Duration,
    /// The maximum number of records that a replica holds.
    pub max_records: usize,
    /// The maximum size in bytes of the body of a retained answer.
    pub max_body_bytes: usize,
}

impl ClusterConfig {
    /// The ids of all members.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        (0..self.members.len() as u16).map(MemberId)
    }

    /// The id of the member of that name.
    pub fn id_of(&self, name: &str) -> Option<MemberId> {
        self.members.iter().position(|member| member == name).map(|index| MemberId(index as u16))
    }

    /// Replicas of a record; never more than there are members.
    pub fn replica_count(&self) -> usize {
        self.replicas.min(self.members.len()).max(1)
    }

    /// How many replicas are a majority.
    pub fn majority(&self) -> usize {
        self.replica_count() / 2 + 1
    }

    /// The replicas of a request, by rendezvous hashing over the configured members. Not over the members that are
    /// present: views differ between members just when it matters, and majorities of two sets need not intersect.
    pub fn replicas_of(&self, request: RequestId) -> Vec<MemberId> {
        let score = |id: &MemberId| {
            let key = request.0.to_le_bytes();
            let seed = xxhash_rust::xxh3::xxh3_64(self.members[usize::from(id.0)].as_bytes());
            xxhash_rust::xxh3::xxh3_64_with_seed(&key, seed)
        };
        let mut ids: Vec<_> = self.ids().collect();
        ids.sort_by_cached_key(|id| Reverse((score(id), *id)));
        ids.truncate(self.replica_count());
        ids
    }

    /// A digest that members with the same configuration share; frames with another one are not accepted.
    pub fn digest(&self) -> u32 {
        let names: Vec<u8> = self.members.iter().flat_map(|name| name.bytes().chain([0])).collect();
        xxhash_rust::xxh3::xxh3_64_with_seed(&names, self.replicas as u64) as u32
    }
}
