//! Why the server does not start.

use rockflow_management_service::credentials::CredentialError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the gNMI server does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address can't be listened on.
    #[error("gnmi {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The listener can't be used by the runtime.
    #[error(transparent)]
    Listener(#[from] io::Error),
    /// A key or certificate that can't be used, with its file.
    #[error(transparent)]
    Credentials(#[from] CredentialError),
}
