//! Why a connection to the discovery service ends.

use rockflow_protocol::discovery::DecodeError;
use thiserror::Error;

/// Why an event stream ended.
#[derive(Debug, Error)]
pub(super) enum StreamEnd {
    #[error("the address of the service has changed")]
    AddressChanged,
    #[error("closed by the service")]
    EndOfStream,
    #[error("connecting failed: {0}")]
    ConnectFailed(#[source] std::io::Error),
    #[error("the response head or a chunk header is too long")]
    OversizedFraming,
    #[error("no response in time")]
    ResponseOverdue,
    #[error("nothing received for too long")]
    Silent,
    #[error("{0}")]
    Io(#[source] std::io::Error),
    #[error("{0}")]
    Malformed(#[from] DecodeError),
    #[error("events {first} to {last} are missing")]
    MissingEvents { first: u64, last: u64 },
}
