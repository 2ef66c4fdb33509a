//! Links between dispatchers: datagrams, internal to a fleet, with no outside protocol. `datagram` has what all of them
//! share, `wire` what every thread with a socket does alike. Each link has a module that says what a datagram holds and
//! judges what comes, and one with the thread in which its machine lives: `frame` and `carry` that of the covered
//! requests, `dissemination` that of purges and configuration.
//!
//! The machines decide everything; this package carries what they want sent, hands them what came and the time, and
//! passes their other words to the dispatcher by a callback that must not wait.

pub mod datagram;
pub mod wire;

#[cfg(feature = "fleet")]
pub mod carry;
#[cfg(feature = "dissemination")]
pub mod dissemination;
#[cfg(feature = "fleet")]
pub mod frame;

#[cfg(feature = "fleet")]
pub use carry::{Link, Plan, Tally, Word};
pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES};
#[cfg(feature = "fleet")]
pub use frame::Frame;
pub use wire::Traffic;
