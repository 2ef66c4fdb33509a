//! Transport of dissemination: the codec of its datagrams, the validation of received messages, and the thread that runs
//! a node.

pub mod frame;
mod service;
mod validate;

pub use frame::{AddressScope, Frame, FrameCodec};
pub use service::{Command, Handle, NodeOptions, Reply, TransportStatus, WeakHandle};
