//! Parsing of the client's `<hello>` message.

use crate::ns;
use crate::xml::{self, XmlError};
use thiserror::Error;

/// The capability that announces chunked framing.
const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
/// The two capability URIs with which clients announce base:1.0.
const BASE_1_0: [&str; 2] = ["urn:ietf:params:netconf:base:1.0", "urn:ietf:params:xml:ns:netconf:base:1.0"];

/// The client's capabilities that affect the session.
pub(super) struct ClientHello {
    /// Whether the client announced base:1.1, so that later messages use chunked framing.
    pub(super) supports_chunks: bool,
}

/// The reason why a client's hello was rejected.
#[derive(Debug, Error)]
pub(super) enum HelloError {
    #[error(transparent)]
    Xml(#[from] XmlError),
    #[error("not a hello message")]
    NotAHello,
    #[error("a client must not send a session-id")]
    SessionId,
    #[error("the hello has no capabilities")]
    NoCapabilities,
    #[error("no common base protocol version")]
    NoCommonBase,
}

impl ClientHello {
    pub(super) fn parse(message: &[u8]) -> Result<ClientHello, HelloError> {
        let hello = xml::read(message)?;
        if hello.name != "hello" || hello.ns != ns::BASE {
            return Err(HelloError::NotAHello);
        }
        if hello.child("session-id").is_some() {
            return Err(HelloError::SessionId);
        }
        let capabilities = hello.child("capabilities").ok_or(HelloError::NoCapabilities)?;
        // Capabilities are compared as whole URIs, because some clients announce 1.1 under a different URI
        // and then use the 1.0 framing.
        let announces = |name: &str| {
            capabilities.children.iter().any(|capability| capability.text().split('?').next() == Some(name))
        };
        if announces(BASE_1_1) {
            Ok(ClientHello { supports_chunks: true })
        } else if BASE_1_0.into_iter().any(announces) {
            Ok(ClientHello { supports_chunks: false })
        } else {
            Err(HelloError::NoCommonBase)
        }
    }
}
