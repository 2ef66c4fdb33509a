//! Messages to the actor of a client connection.

use crate::memory::MemoryReservation;
use rockflow::RequestId;
use rockflow_protocol::client::Response;

/// A message to the actor of a client connection.
pub enum ClientMessage {
    /// Write the response to the request, with the memory of its body if it has one. It is ignored if that request is
    /// no longer open.
    Respond(RequestId, Response, Option<MemoryReservation>),
    /// Check the timeouts of the connection and close it if one has passed.
    Inspect,
    /// Close if the connection is idle: its slot is needed for another one.
    Evict,
}
