//! Detects overrides that would leave a group of endpoints without a ready one.

use crate::overrides::{effective_readiness, AdminOverrides};
use rockflow::{Readiness, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The properties of an endpoint that the availability of its group depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Role of the endpoint; with the location it determines the group.
    pub role: Role,
    /// Index of the endpoint's location.
    pub location: u16,
    /// Readiness without the overrides that are checked.
    pub readiness: Readiness,
}

/// Identifies a group of endpoints that can replace each other: the caches of one location, or all parents, or all
/// origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    role: usize,
    /// `None` for parents and origins, which serve all locations.
    location: Option<u16>,
}

impl Group {
    fn of(endpoint: &ListedEndpoint) -> Group {
        let location = (endpoint.role == Role::Cache).then_some(endpoint.location);
        Group { role: endpoint.role as usize, location }
    }
}

/// A group that would be left without a ready endpoint. `Display` lists the endpoints that are ready so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EmptiedGroup {
    /// Names of the endpoints of the group that are ready with the overrides so far.
    pub endpoints: Vec<String>,
}

impl fmt::Display for EmptiedGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no host would be left in place of {}", self.endpoints.join(", "))
    }
}

/// Returns the first group that has ready endpoints with the overrides `before` but none with `after`. A group is left
/// out if each of those endpoints has an override with `force` in `after`.
pub fn find_emptied_group(
    endpoints: &BTreeMap<String, ListedEndpoint>,
    before: &AdminOverrides,
    after: &AdminOverrides,
    now: Duration,
) -> Option<EmptiedGroup> {
    let still_ready = ready_by_group(endpoints, after, now);
    let ready_before = ready_by_group(endpoints, before, now);
    let emptied = ready_before.into_iter().find(|(group, names)| {
        let all_forced =
            names.iter().all(|name| after.get(*name).is_some_and(|admin_override| admin_override.force));
        !still_ready.contains_key(group) && !all_forced
    });
    emptied.map(|(_, names)| EmptiedGroup { endpoints: names.into_iter().map(str::to_string).collect() })
}

/// The names of the ready endpoints in each group that has one.
fn ready_by_group<'a>(
    endpoints: &'a BTreeMap<String, ListedEndpoint>,
    overrides: &AdminOverrides,
    now: Duration,
) -> BTreeMap<Group, BTreeSet<&'a str>> {
    let mut groups: BTreeMap<_, BTreeSet<&str>> = BTreeMap::new();
    for (name, endpoint) in endpoints {
        let effective = effective_readiness(Some(endpoint.readiness), overrides.get(name), now);
        if effective.is_some_and(|effective| effective.readiness == Readiness::Ready) {
            groups.entry(Group::of(endpoint)).or_default().insert(name);
        }
    }
    groups
}

/// Returns the endpoints with the overrides of one source applied. The overrides of the other source are checked
/// against the result.
pub fn apply_overrides(
    mut endpoints: BTreeMap<String, ListedEndpoint>,
    overrides: &AdminOverrides,
    now: Duration,
) -> BTreeMap<String, ListedEndpoint> {
    for (name, endpoint) in &mut endpoints {
        if let Some(effective) = effective_readiness(Some(endpoint.readiness), overrides.get(name), now) {
            endpoint.readiness = effective.readiness;
        }
    }
    endpoints
}
