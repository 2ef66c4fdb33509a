//! Messages to the discovery client.

use std::net::SocketAddr;

/// A message to the discovery client.
pub enum DiscoveryMessage {
    /// The service is at another address from now on; its revisions go on.
    SetAddress(SocketAddr),
    /// Check whether the service has fallen silent.
    Inspect,
}
