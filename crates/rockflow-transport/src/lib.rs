//! UDP transport between rockflow processes, in a private format. `datagram` has the header and checksum that all
//! datagrams share, and `socket` the event loop of a thread that owns a UDP socket. `cluster` and `dissemination` each
//! have a codec that encodes, decodes and validates their messages, and a thread that runs their state machine.
//!
//! The protocols are in the state machines of `rockflow-cluster` and `rockflow-dissemination`. This package sends their
//! messages, passes received messages and the time to them, and hands their other outputs to the process by a callback
//! that must not block.

pub mod datagram;
pub mod socket;

#[cfg(feature = "cluster")]
pub mod cluster;
#[cfg(feature = "dissemination")]
pub mod dissemination;

pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES};
pub use socket::Traffic;
