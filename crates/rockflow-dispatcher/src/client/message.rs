//! Messages to a client's connection.

use rockflow::RequestId;
use rockflow_protocol::client::Response;

/// A message to a client's connection.
pub enum ClientMessage {
    /// The response to a request.
    Respond(RequestId, Response),
    /// Check whether the connection is still of use.
    Inspect,
    /// Another connection needs the place of this one: close, unless a request has arrived by now.
    Yield,
}
