//! Errors that keep the gNMI server from starting.

use rockflow_management_service::credentials::CredentialError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that keeps the gNMI server from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listener can't be bound to its address.
    #[error("gnmi {address}: {source}")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bound listener can't be registered with the async runtime.
    #[error(transparent)]
    Listener(#[from] io::Error),
    /// A key or certificate can't be used; the error names its file.
    #[error(transparent)]
    Credentials(#[from] CredentialError),
}
