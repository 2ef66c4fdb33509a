//! Why the server does not start.

use rockflow_management_service::credentials::CredentialError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the NETCONF server does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("netconf {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A listener can't be used by the runtime.
    #[error(transparent)]
    Listener(#[from] io::Error),
    /// Keys or certificates that can't be used, with their file.
    #[error(transparent)]
    Credentials(#[from] CredentialError),
    /// The host key's file holds no text.
    #[error("{}: not text", path.display())]
    KeyNotText {
        /// The file.
        path: PathBuf,
    },
    /// The host key can't be decoded.
    #[error("{}: {source}", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: russh::keys::Error,
    },
}
