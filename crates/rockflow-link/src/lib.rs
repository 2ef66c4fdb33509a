//! The link between dispatchers: datagrams, internal to a fleet, with no outside protocol. `frame` says what a datagram
//! holds and judges what comes; `carry` is the thread in which a member's machine lives, with its socket.
//!
//! The machine decides everything; this package carries what it wants sent, hands it what came and the time, and passes
//! its other words to the dispatcher by a callback that must not wait.

pub mod carry;
pub mod frame;

pub use carry::{Link, Plan, Tally, Word};
pub use frame::{Fault, Frame};
