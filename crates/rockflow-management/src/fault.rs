//! What goes wrong, in the words of RFC 6241, appendix A; fronts of other protocols translate them.

use crate::words::SessionId;
use rockflow_yang::{EditError, EditErrorKind, Path};
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    InUse,
    InvalidValue,
    TooBig,
    MissingAttribute,
    BadAttribute,
    UnknownAttribute,
    MissingElement,
    BadElement,
    UnknownElement,
    UnknownNamespace,
    AccessDenied,
    LockDenied,
    ResourceDenied,
    RollbackFailed,
    DataExists,
    DataMissing,
    OperationNotSupported,
    OperationFailed,
    MalformedMessage,
}

impl Tag {
    pub fn name(self) -> &'static str {
        match self {
            Tag::InUse => "in-use",
            Tag::InvalidValue => "invalid-value",
            Tag::TooBig => "too-big",
            Tag::MissingAttribute => "missing-attribute",
            Tag::BadAttribute => "bad-attribute",
            Tag::UnknownAttribute => "unknown-attribute",
            Tag::MissingElement => "missing-element",
            Tag::BadElement => "bad-element",
            Tag::UnknownElement => "unknown-element",
            Tag::UnknownNamespace => "unknown-namespace",
            Tag::AccessDenied => "access-denied",
            Tag::LockDenied => "lock-denied",
            Tag::ResourceDenied => "resource-denied",
            Tag::RollbackFailed => "rollback-failed",
            Tag::DataExists => "data-exists",
            Tag::DataMissing => "data-missing",
            Tag::OperationNotSupported => "operation-not-supported",
            Tag::OperationFailed => "operation-failed",
            Tag::MalformedMessage => "malformed-message",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub tag: Tag,
    pub message: String,
    pub path: Option<Path>,
    /// Finer than the tag: `conflict`, `none-left`, `no-matches`.
    pub app_tag: Option<&'static str>,
    /// Who stands in the way, where a session does; 0 stands for one that is no session of ours (RFC 6241).
    pub holder: Option<SessionId>,
    /// The element or attribute that is wrong.
    pub element: Option<String>,
}

impl Fault {
    pub fn new(tag: Tag, message: impl Into<String>) -> Fault {
        Fault { tag, message: message.into(), path: None, app_tag: None, holder: None, element: None }
    }

    pub fn at(mut self, path: &Path) -> Fault {
        self.path = Some(path.clone());
        self
    }

    pub fn app(mut self, tag: &'static str) -> Fault {
        self.app_tag = Some(tag);
        self
    }

    pub fn held_by(mut self, session: SessionId) -> Fault {
        self.holder = Some(session);
        self
    }

    pub fn element(mut self, name: impl Into<String>) -> Fault {
        self.element = Some(name.into());
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.tag.name(), self.message)
    }
}

impl From<EditError> for Fault {
    fn from(fault: EditError) -> Fault {
        let tag = match fault.kind {
            EditErrorKind::Exists => Tag::DataExists,
            EditErrorKind::Missing => Tag::DataMissing,
            EditErrorKind::NotWritable | EditErrorKind::BadValue => Tag::InvalidValue,
        };
        Fault::new(tag, fault.message).at(&fault.path)
    }
}
