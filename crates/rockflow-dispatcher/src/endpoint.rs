//! An endpoint as the endpoint list holds it.

use rockflow::{EndpointEntry, Readiness};
use rockflow_endpoints::{ListedEndpoint, RegistryEntry};
use std::net::SocketAddr;

/// The id that the decisions use for a name on the wire; the same at every dispatcher.
pub fn id_from_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// An entry of the endpoint list, with what only the sockets need.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The name that identifies it.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What the decisions know of it.
    pub entry: EndpointEntry,
}

impl Endpoint {
    /// What the availability of its group depends on.
    pub fn to_listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            role: self.entry.role,
            location: self.entry.location.0,
            readiness: self.entry.readiness,
        }
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
        let mut endpoint = self.clone();
        endpoint.entry.readiness = readiness;
        endpoint
    }
}
