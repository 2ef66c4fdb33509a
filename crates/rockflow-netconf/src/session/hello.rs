//! The hello that a client sends.

use crate::ns;
use crate::xml::{self, XmlError};
use thiserror::Error;

const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
/// The two names under which clients announce base:1.0.
const BASE_1_0: [&str; 2] = ["urn:ietf:params:netconf:base:1.0", "urn:ietf:params:xml:ns:netconf:base:1.0"];

/// What a client's hello announces.
pub(super) struct ClientHello {
    /// Whether it knows base:1.1, so that messages are sent in chunks from now on.
    pub(super) supports_chunks: bool,
}

/// A hello that can't be accepted.
#[derive(Debug, Error)]
pub(super) enum HelloError {
    #[error(transparent)]
    Xml(#[from] XmlError),
    #[error("no hello")]
    NotAHello,
    #[error("a client tells no session-id")]
    SessionId,
    #[error("no capabilities")]
    NoCapabilities,
    #[error("no base in common")]
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
        // Whole names: there are clients that announce 1.1 under another's name, and then speak 1.0.
        let announces =
            |name: &str| capabilities.children.iter().any(|one| one.text().split('?').next() == Some(name));
        if announces(BASE_1_1) {
            Ok(ClientHello { supports_chunks: true })
        } else if BASE_1_0.into_iter().any(announces) {
            Ok(ClientHello { supports_chunks: false })
        } else {
            Err(HelloError::NoCommonBase)
        }
    }
}
