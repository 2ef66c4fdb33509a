//! Codecs of the dispatcher's three protocols, without I/O. The texts of these protocols appear in no other part of the
//! dispatcher.
//!
//! - [`client`]: HTTP/1.1 between clients and the dispatcher.
//! - [`upstream`]: the line protocol between the dispatcher and its hosts.
//! - [`discovery`]: the event stream of the discovery service (called "board" in the request path).

pub mod buffer;
pub mod client;
pub mod discovery;
pub mod upstream;

pub use buffer::{Buffer, INITIAL_CAPACITY_BYTES};

/// Maximum size of an object's body in bytes, in responses from hosts and in responses to clients.
pub const MAX_BODY_BYTES: usize = 240_000;
