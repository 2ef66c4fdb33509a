//! Codecs of the dispatcher's three protocols, without I/O: the one place that knows the words on the wire.
//!
//! - [`client`]: HTTP/1.1 between clients and the dispatcher.
//! - [`upstream`]: the line protocol between the dispatcher and its hosts.
//! - [`discovery`]: the event stream of the discovery service (the protocol calls it the board).

pub mod buffer;
pub mod client;
pub mod discovery;
pub mod upstream;

pub use buffer::Buffer;

/// The longest body of an object, in bytes, in either direction.
pub const MAX_BODY_BYTES: usize = 240_000;
