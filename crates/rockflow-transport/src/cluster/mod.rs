//! Transport of a cluster: the codec of its datagrams, with the validation of received messages, and the thread that runs
//! a member's state machine.

pub mod frame;
pub mod thread;

pub use frame::Frame;
pub use thread::{Command, NodeHandle, NodeOptions, StatusReport};
