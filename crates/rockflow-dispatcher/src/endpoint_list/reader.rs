//! Reads endpoints from events of discovery by what the settings name.

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
    /// Its name.
    pub instance: String,
    /// What is wrong with it.
    pub fault: InstanceFault,
}

/// What is wrong with an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InstanceFault {
    /// The settings don't name its location.
    #[error("unknown zone")]
    UnknownLocation,
    /// The settings don't name its kind.
    #[error("unknown kind")]
    UnknownKind,
    /// Its address can't be parsed.
    #[error("no address")]
    InvalidAddress,
}

/// What is known at the start of a dispatcher.
pub struct InitialState {
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The purges, in their order.
    pub purges: Vec<Purge>,
}

/// Reads events of discovery.
pub struct EndpointReader {
    clock: Clock,
    /// Names of the locations, by index.
    locations: Vec<String>,
    /// Names of the kinds of machines, by index.
    kinds: Vec<String>,
    parent_kind: i64,
    origin_kind: i64,
}

impl EndpointReader {
    /// A reader by these settings.
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

    /// Reads a snapshot: the list that its events amount to, and its purges.
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

    /// Reads the endpoints of an update; invalid ones are logged and left out.
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

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| *known == normalize_value(name))
}
