//! The configuration of a cluster. It must be the same at every member.

use crate::identity::{MemberId, RequestId};
use std::cmp::Reverse;
use std::time::Duration;

/// The configuration that all members of a cluster share.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// The names of the members; a [`MemberId`] is an index into this list. The list is sorted, so that the ids do not
    /// depend on the order of the names in the configuration file.
    pub members: Vec<String>,
    /// The configured number of replicas of a record; see [`ClusterConfig::replica_count`] for the number in use.
    pub replicas: usize,
    /// How long a replica retains a record after it first receives it, and an owner a final answer.
    pub retention: Duration,
    /// The usual maximum time for a datagram and its reply. The timeouts of the protocol are multiples of it.
    pub round_trip: Duration,
    /// The maximum number of records that a replica holds.
    pub max_records: usize,
    /// The maximum size in bytes of the body of a retained answer.
    pub max_body_bytes: usize,
}

impl ClusterConfig {
    /// The ids of all configured members, present or not, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        (0..self.members.len() as u16).map(MemberId)
    }

    /// The id of the member with this name, or `None` if no such member is configured.
    pub fn id_of(&self, name: &str) -> Option<MemberId> {
        self.members.iter().position(|member| member == name).map(|index| MemberId(index as u16))
    }

    /// The number of replicas of a record: as configured, but at least one and at most the number of members.
    pub fn replica_count(&self) -> usize {
        self.replicas.min(self.members.len()).max(1)
    }

    /// The number of replicas that form a majority.
    pub fn majority(&self) -> usize {
        self.replica_count() / 2 + 1
    }

    /// The replicas of a request, highest rank first, chosen by rendezvous hashing over all configured members. Hashing
    /// over the members that are present would be unsafe: during a partition members disagree on who is present, and
    /// majorities of two different sets of replicas need not intersect.
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

    /// A digest of the member names and the number of replicas. Members reject frames that carry a different digest.
    pub fn digest(&self) -> u32 {
        let names: Vec<u8> = self.members.iter().flat_map(|name| name.bytes().chain([0])).collect();
        xxhash_rust::xxh3::xxh3_64_with_seed(&names, self.replicas as u64) as u32
    }
}
