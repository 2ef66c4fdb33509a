//! Transport between dispatchers: datagrams with no outside protocol. `datagram` has what all of them share, `socket` what
//! every thread with a socket does alike. `cluster` and `dissemination` say what their datagrams hold, validate what
//! arrives, and run the thread in which their state machine lives.
//!
//! The state machines decide everything; this package sends what they want sent, hands them what arrived and the time,
//! and passes their other outputs to the dispatcher by a callback that must not wait.

pub mod datagram;
pub mod socket;

#[cfg(feature = "cluster")]
pub mod cluster;
#[cfg(feature = "dissemination")]
pub mod dissemination;

pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES};
pub use socket::Traffic;
