//! Why a control process can't start, or ends.

use rockflow_dissemination::DirectoryError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a control process can't start, or ends.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The settings or the operator's file are not valid.
    #[error("{0}")]
    Configuration(String),
    /// The operator's file lacks a section.
    #[error("a control process needs a section [{0}] in the operator's file")]
    MissingSection(&'static str),
    /// The list of control nodes does not name this process.
    #[error("[dissemination] control: does not name {name}")]
    NotListed { name: String },
    /// The process listens at another address than the one under which it is listed.
    #[error("[dissemination] listen: {listen} is another address than {address} of {name} in control")]
    ListenMismatch { listen: SocketAddr, address: SocketAddr, name: String },
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The directory is not valid.
    #[error("{}: {source}", path.display())]
    Directory { path: PathBuf, source: DirectoryError },
    /// The directory names an address that is not allowed outside a trusted network.
    #[error(
        "{}: {name}: {address} is no address of the loopback, and trusted-network does not say yes",
        path.display()
    )]
    OutsideLoopback { path: PathBuf, name: String, address: SocketAddr },
    /// The operators' overrides are not valid; each line says why.
    #[error("{0}")]
    Overrides(String),
    /// The node can't be started.
    #[error("dissemination: {0}")]
    Start(#[source] io::Error),
    /// The notice board can't be followed.
    #[error("board: {0}")]
    Discovery(#[source] io::Error),
    /// The node's thread has ended by itself.
    #[error("dissemination: its thread has ended")]
    NodeEnded,
}
