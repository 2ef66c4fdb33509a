//! Messages that the discovery client receives.

use may::net::TcpStream;
use std::net::SocketAddr;

/// A message to the discovery client.
pub enum DiscoveryMessage {
    /// Reconnect to the service at this address and continue from the last revision.
    SetAddress(SocketAddr),
    /// The connect in the background has ended.
    BackgroundConnectEnded {
        /// Address of the service to which it was made.
        address: SocketAddr,
        /// The connection, if it was established.
        result: std::io::Result<TcpStream>,
    },
    /// Check whether the current connection, or discovery as a whole, has been silent for too long.
    Inspect,
}
