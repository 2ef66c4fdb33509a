//! Hosts, as discovery lists them and as status reports show them.

use crate::ids::{CellId, HostId, LocationId};
use std::time::Duration;

/// The position of a host in the cache hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An edge cache, which answers the attempts of dispatchers.
    Cache,
    /// A parent cache, which fills the misses of edge caches.
    Parent,
    /// An origin, which has every object.
    Origin,
}

/// Whether a host accepts new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The host accepts attempts.
    Ready,
    /// The host finishes the attempts in flight and accepts no new ones.
    Draining,
    /// The host has left the endpoint list.
    Gone,
}

/// A host as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The listed host.
    pub host: HostId,
    /// The cell whose hosts share deduplication records with this host.
    pub cell: CellId,
    /// The location (zone) of the host.
    pub location: LocationId,
    /// The position of the host in the cache hierarchy.
    pub role: Role,
    /// Whether the host accepts new attempts.
    pub readiness: Readiness,
    /// The weight of the host; [`WeightMeaning`](crate::WeightMeaning) tells its unit.
    pub weight: f64,
    /// When the host started. None: long ago, so that it is past its slow start.
    pub started: Option<Duration>,
}

/// The state of a host at this dispatcher, for status reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostStatus {
    /// The reported host.
    pub host: HostId,
    /// The number of attempts that this dispatcher has in flight at the host.
    pub in_flight: usize,
    /// Whether the host is ejected as an outlier because of its recent failures.
    pub ejected: bool,
    /// The share of successes among the recent attempts, from 0 to 1; 1 if there were none.
    pub health: f64,
    /// When the slow start of the host ends. None: the host is not in slow start.
    pub warming_until: Option<Duration>,
}

/// Which hosts an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All hosts, as discovery lists them now.
    Full,
    /// All hosts, as they were listed before this dispatcher restarted.
    Restored,
    /// Only the hosts that changed.
    Changes,
    /// No hosts: discovery did not answer, and the previous list stays in use.
    Failed,
}
