//! Why the server does not start.

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
    #[error("{0}")]
    Secrets(Box<dyn std::error::Error + Send + Sync>),
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

impl StartError {
    pub(crate) fn secrets(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> StartError {
        StartError::Secrets(error.into())
    }
}
