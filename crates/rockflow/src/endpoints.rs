//! Hosts: how discovery lists them and how the decisions see them.

use crate::ids::{CellId, HostId, LocationId};
use std::time::Duration;

/// What a host does in the hierarchy of caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An edge cache, which answers requests.
    Cache,
    /// A parent cache, from which edge caches are filled.
    Parent,
    /// The origin, which holds every object.
    Origin,
}

/// Whether a host takes new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It takes attempts.
    Ready,
    /// It finishes what is in flight and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// A host as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The host.
    pub host: HostId,
    /// The cell that shares its deduplication records.
    pub cell: CellId,
    /// Where it is.
    pub location: LocationId,
    /// What it does.
    pub role: Role,
    /// Whether it takes new attempts.
    pub readiness: Readiness,
    /// Its weight, by [`WeightMeaning`](crate::WeightMeaning).
    pub weight: f64,
    /// When it started. None: long ago.
    pub started: Option<Duration>,
}

/// What the decisions hold of a host, for status reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// Attempts of this dispatcher in flight at it.
    pub in_flight: usize,
    /// Whether it is ejected as an outlier for its recent failures.
    pub ejected: bool,
    /// The share of successes among its recent answers, 1 without any.
    pub health: f64,
    /// When its slow start ends. None: it is not in slow start.
    pub warming_until: Option<Duration>,
}

/// Which hosts an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All hosts, as known now.
    Full,
    /// All hosts, as known before a restart of this dispatcher.
    Restored,
    /// The hosts that changed.
    Changes,
    /// None: discovery did not answer, and the old list stays in use.
    Failed,
}
