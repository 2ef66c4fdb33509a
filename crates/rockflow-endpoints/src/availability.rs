//! Guards against overrides that leave a group of endpoints without a ready member.

use crate::overrides::{effective_readiness, AdminOverrides};
use rockflow::{Readiness, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// An endpoint as far as the availability of its group depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its role.
    pub role: Role,
    /// Index of its location.
    pub location: u16,
    /// Its readiness before the overrides that are judged.
    pub readiness: Readiness,
}

/// The endpoints that can take each other's place: caches serve their own location, parents and origins all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    role: usize,
    location: Option<u16>,
}

impl Group {
    fn of(endpoint: &ListedEndpoint) -> Group {
        let location = (endpoint.role == Role::Cache).then_some(endpoint.location);
        Group { role: endpoint.role as usize, location }
    }
}

/// A group that would be left without a ready endpoint. Its `Display` names the endpoints that would be lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EmptiedGroup {
    /// Names of the endpoints that are ready now.
    pub endpoints: Vec<String>,
}

impl fmt::Display for EmptiedGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no host would be left in place of {}", self.endpoints.join(", "))
    }
}

/// The first group that has a ready endpoint with the overrides `before` and would have none with `after`, unless all of
/// its endpoints are overridden with `force`.
pub fn find_emptied_group(
    endpoints: &BTreeMap<String, ListedEndpoint>,
    before: &AdminOverrides,
    after: &AdminOverrides,
    now: Duration,
) -> Option<EmptiedGroup> {
    let still_ready = ready_by_group(endpoints, after, now);
    let ready_before = ready_by_group(endpoints, before, now);
    let emptied = ready_before.into_iter().find(|(group, names)| {
        let all_forced = names.iter().all(|name| after.get(*name).is_some_and(|applied| applied.force));
        !still_ready.contains_key(group) && !all_forced
    });
    emptied.map(|(_, names)| EmptiedGroup { endpoints: names.into_iter().map(str::to_string).collect() })
}

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

/// The endpoints with the overrides of one source applied, as the basis on which those of the other are judged.
pub fn apply_overrides(
    endpoints: BTreeMap<String, ListedEndpoint>,
    overrides: &AdminOverrides,
    now: Duration,
) -> BTreeMap<String, ListedEndpoint> {
    let mut applied = endpoints;
    for (name, endpoint) in &mut applied {
        if let Some(effective) = effective_readiness(Some(endpoint.readiness), overrides.get(name), now) {
            endpoint.readiness = effective.readiness;
        }
    }
    applied
}
