//! Converts discovery's events into endpoints, using the location and machine kind names of the settings.

use crate::clock::Clock;
use crate::endpoint::{id_from_name, Endpoint};
use crate::purge::Purge;
use rockflow::{CellId, EndpointEntry, HostId, LocationId, Readiness, Role};
use rockflow_protocol::discovery::{EndpointUpdate, Instance, Lifecycle, WatchEvent};
use rockflow_settings::{normalize_value, DeploymentSettings, NetworkSettings};
use std::collections::BTreeMap;
use thiserror::Error;
use tracing::warn;

/// Why an instance is left out of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{instance}: {fault}")]
pub struct InvalidInstance {
    /// The instance id that discovery lists.
    pub instance: String,
    /// The invalid part of its entry.
    pub fault: InstanceFault,
}

/// The invalid part of an instance's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InstanceFault {
    /// The settings don't contain its zone as a location.
    #[error("unknown zone")]
    UnknownLocation,
    /// The settings don't contain its machine type as a kind.
    #[error("unknown machine type")]
    UnknownKind,
    /// Its `hostPort` can't be parsed as a socket address.
    #[error("invalid address")]
    InvalidAddress,
}

/// The endpoint list and the purges with which a dispatcher starts.
pub struct InitialState {
    /// The listed endpoints, ordered by name.
    pub endpoints: Vec<Endpoint>,
    /// The purges, in the order of the events.
    pub purges: Vec<Purge>,
}

/// Converts discovery's events into [`Endpoint`]s and [`Purge`]s.
pub struct EndpointReader {
    clock: Clock,
    /// Names of the locations, by index.
    locations: Vec<String>,
    /// Names of the kinds of machines, by index.
    kinds: Vec<String>,
    /// Index in `kinds` of the kind that parents have; negative if there are no parents.
    parent_kind: i64,
    /// Index in `kinds` of the kind that origins have; negative if there are no origins.
    origin_kind: i64,
}

impl EndpointReader {
    /// Creates a reader for the locations and kinds of these settings.
    pub fn new(
        clock: Clock,
        deployment_settings: &DeploymentSettings,
        network_settings: &NetworkSettings,
    ) -> Self {
        EndpointReader {
            clock,
            locations: network_settings.location_names.clone(),
            kinds: network_settings.kind_names.clone(),
            parent_kind: deployment_settings.parent_kind,
            origin_kind: deployment_settings.origin_kind,
        }
    }

    /// Reads the events of a snapshot: the endpoint list that results from all its updates, and its purges.
    pub fn read_snapshot(&self, events: &[WatchEvent]) -> InitialState {
        let mut endpoints = BTreeMap::new();
        let mut purges = Vec::new();
        for event in events {
            if let Some(update) = &event.endpoints {
                self.apply_update(&mut endpoints, update);
            }
            purges.extend(event.purge.clone().map(Purge::from));
        }
        InitialState { endpoints: endpoints.into_values().collect(), purges }
    }

    /// Reads the endpoints of an update. Logs and omits invalid instances.
    pub fn read_update(&self, update: &EndpointUpdate) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for instance in &update.instances {
            match self.read_instance(instance) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => warn!(%error, "invalid endpoint ignored"),
            }
        }
        endpoints
    }

    /// Applies an update to a list of endpoints by name.
    fn apply_update(&self, endpoints: &mut BTreeMap<String, Endpoint>, update: &EndpointUpdate) {
        if update.is_full {
            endpoints.clear();
        }
        for endpoint in self.read_update(update) {
            if endpoint.entry.readiness == Readiness::Gone {
                endpoints.remove(&endpoint.name);
            } else {
                endpoints.insert(endpoint.name.clone(), endpoint);
            }
        }
    }

    fn read_instance(&self, instance: &Instance) -> Result<Endpoint, InvalidInstance> {
        let invalid = |fault| InvalidInstance { instance: instance.instance_id.clone(), fault };
        let location = index_of(&self.locations, &instance.zone);
        let location = location.ok_or_else(|| invalid(InstanceFault::UnknownLocation))?;
        let kind = index_of(&self.kinds, &instance.machine_type);
        let kind = kind.ok_or_else(|| invalid(InstanceFault::UnknownKind))?;
        let entry = EndpointEntry {
            host: HostId(id_from_name(&instance.instance_id)),
            cell: CellId(instance.cell),
            location: LocationId(location as u16),
            role: self.role_of(kind as i64),
            readiness: match instance.lifecycle {
                Lifecycle::Active => Readiness::Ready,
                Lifecycle::Leaving => Readiness::Draining,
                Lifecycle::Left => Readiness::Gone,
            },
            weight: instance.weight,
            started: (instance.started_at_ms > 0).then(|| self.clock.at(instance.started_at_ms)),
        };
        let address = instance.host_port.parse().map_err(|_| invalid(InstanceFault::InvalidAddress))?;
        Ok(Endpoint { name: instance.instance_id.clone(), address, entry })
    }

    fn role_of(&self, kind: i64) -> Role {
        if kind == self.parent_kind {
            Role::Parent
        } else if kind == self.origin_kind {
            Role::Origin
        } else {
            Role::Cache
        }
    }
}

/// Position of the normalized `name` in `names`.
fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| *candidate == normalize_value(name))
}
