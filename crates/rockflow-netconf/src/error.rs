//! Errors that prevent the NETCONF server from starting.

use rockflow_management_service::credentials::CredentialError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why the NETCONF server could not be checked, bound or started.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding a listener to its address failed.
    #[error("netconf {address}: {source}")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The I/O error from the operating system.
        source: io::Error,
    },
    /// A bound listener could not be registered with the async runtime.
    #[error(transparent)]
    Listener(#[from] io::Error),
    /// A key or certificate file, or the folder of authorized keys, is not usable; the error names the path.
    #[error(transparent)]
    Credentials(#[from] CredentialError),
    /// The file with the SSH host key is not UTF-8 text.
    #[error("{}: not text", path.display())]
    KeyNotText {
        /// The host key file.
        path: PathBuf,
    },
    /// The SSH host key can't be decoded.
    #[error("{}: {source}", path.display())]
    Key {
        /// The host key file.
        path: PathBuf,
        /// The error from the key decoder.
        source: russh::keys::Error,
    },
}
