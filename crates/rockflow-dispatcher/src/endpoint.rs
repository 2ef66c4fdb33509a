//! An endpoint as the list holds it.

use rockflow::{EndpointEntry, Readiness};
use rockflow_endpoints::{ListedEndpoint, RegistryEntry};
use std::net::SocketAddr;

/// Names on the sockets as ids of the decisions; the same at every dispatcher.
pub fn id_from_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// A host as the list has it, with what only the sockets need.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub entry: EndpointEntry,
}

impl Endpoint {
    /// What is judged of it.
    pub fn to_listed(&self) -> ListedEndpoint {
        let EndpointEntry { role, location, readiness, .. } = &self.entry;
        ListedEndpoint { role: *role, location: location.0, readiness: *readiness }
    }
}

impl RegistryEntry for Endpoint {
    fn name(&self) -> &str {
        &self.name
    }

    fn discovered_readiness(&self) -> Readiness {
        self.entry.readiness
    }

    fn with_readiness(&self, readiness: Readiness) -> Self {
        let listing = EndpointEntry { readiness, ..self.entry.clone() };
        Endpoint { entry: listing, ..self.clone() }
    }
}
