//! Messages that the discovery client receives.

use std::net::SocketAddr;

/// A message to the discovery client.
pub enum DiscoveryMessage {
    /// Reconnect to the service at this address and continue from the last revision.
    SetAddress(SocketAddr),
    /// Check whether the current connection, or discovery as a whole, has been silent for too long.
    Inspect,
}
