//! Dissemination on sockets: the format of its datagrams, their checks, and the thread in which a node runs.

pub mod frame;
mod service;
mod validate;

pub use frame::{AddressScope, Frame, FrameCodec};
pub use service::{Command, Handle, NodeOptions, Reply, TransportStatus, WeakHandle};
