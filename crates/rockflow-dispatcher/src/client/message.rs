//! Messages to the actor of a client connection.

use rockflow::RequestId;
use rockflow_protocol::client::Response;

/// A message to the actor of a client connection.
pub enum ClientMessage {
    /// Write the response to the request. It is ignored if that request is no longer open.
    Respond(RequestId, Response),
    /// Check the timeouts of the connection and close it if one has passed.
    Inspect,
    /// Close if the connection is idle: its slot is needed for another one.
    Evict,
}
