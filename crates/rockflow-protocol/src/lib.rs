//! Codecs of the dispatcher's three protocols, without I/O: bytes in, messages out, and the other way round.

pub mod buffer;
pub mod client;
pub mod discovery;
pub mod upstream;

pub use buffer::Buffer;

/// The largest object that the protocol knows, and so the longest body either way.
pub const MAX_BODY: usize = 240_000;
