//! The transport of a cluster: what its datagrams hold, and the thread in which a member's state machine lives.

pub mod frame;
pub mod thread;

pub use frame::Frame;
pub use thread::{Command, NodeHandle, Plan, StatusReport};
