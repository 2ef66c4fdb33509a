//! The errors of `rockflow control`.

use rockflow_dissemination::DirectoryError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a control process can't start, or why it exits.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The settings or the operator's file are not valid.
    #[error("{0}")]
    Configuration(String),
    /// The operator's file lacks the named section, which a control process needs.
    #[error("a control process needs a section [{0}] in the operator's file")]
    MissingSection(&'static str),
    /// The operator's file does not list this process among the control nodes.
    #[error("[dissemination] control: does not name {name}")]
    NotListed { name: String },
    /// The process listens at another address than its entry in the list of control nodes has.
    #[error(
        "[dissemination] listen: {listen} is another address than {address}, which control lists for {name}"
    )]
    ListenMismatch { listen: SocketAddr, address: SocketAddr, name: String },
    /// The directory or the file of overrides can't be read.
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The directory of members is not valid.
    #[error("{}: {source}", path.display())]
    Directory { path: PathBuf, source: DirectoryError },
    /// The directory lists a member at an address beyond loopback, which is allowed only in a trusted network.
    #[error(
        "{}: {name}: {address} is no address of the loopback, and trusted-network does not say yes",
        path.display()
    )]
    OutsideLoopback { path: PathBuf, name: String, address: SocketAddr },
    /// The operators' overrides are not valid. One line for each error.
    #[error("{0}")]
    Overrides(String),
    /// The dissemination node can't be started.
    #[error("dissemination: {0}")]
    Start(#[source] io::Error),
    /// A thread that follows the purges of discovery can't be started.
    #[error("board: {0}")]
    Discovery(#[source] io::Error),
    /// The thread of the dissemination node has ended without being stopped.
    #[error("dissemination: its thread has ended")]
    NodeEnded,
}
