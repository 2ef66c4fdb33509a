//! An entry of the endpoint list.

use rockflow::{EndpointEntry, Readiness};
use rockflow_endpoints::{ListedEndpoint, RegistryEntry};
use std::net::SocketAddr;

/// Hashes a name on the wire to the numeric id that the router uses for it. All dispatchers compute the same id.
pub fn id_from_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// A host in the endpoint list: the router's entry for it, and the name and address that connections need.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The unique name of the host, discovery's instance id.
    pub name: String,
    /// The address for connections to the host.
    pub address: SocketAddr,
    /// The properties of the host that the router uses.
    pub entry: EndpointEntry,
}

impl Endpoint {
    /// The properties on which the availability of the endpoint's group depends.
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
