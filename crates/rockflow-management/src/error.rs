//! What goes wrong, in the words of RFC 6241, appendix A; fronts of other protocols translate them.

use crate::words::SessionId;
use rockflow_yang::{EditError, EditErrorKind, Path};
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorTag {
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

impl ErrorTag {
    pub fn name(self) -> &'static str {
        match self {
            ErrorTag::InUse => "in-use",
            ErrorTag::InvalidValue => "invalid-value",
            ErrorTag::TooBig => "too-big",
            ErrorTag::MissingAttribute => "missing-attribute",
            ErrorTag::BadAttribute => "bad-attribute",
            ErrorTag::UnknownAttribute => "unknown-attribute",
            ErrorTag::MissingElement => "missing-element",
            ErrorTag::BadElement => "bad-element",
            ErrorTag::UnknownElement => "unknown-element",
            ErrorTag::UnknownNamespace => "unknown-namespace",
            ErrorTag::AccessDenied => "access-denied",
            ErrorTag::LockDenied => "lock-denied",
            ErrorTag::ResourceDenied => "resource-denied",
            ErrorTag::RollbackFailed => "rollback-failed",
            ErrorTag::DataExists => "data-exists",
            ErrorTag::DataMissing => "data-missing",
            ErrorTag::OperationNotSupported => "operation-not-supported",
            ErrorTag::OperationFailed => "operation-failed",
            ErrorTag::MalformedMessage => "malformed-message",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct ManagementError {
    pub tag: ErrorTag,
    pub message: String,
    pub path: Option<Path>,
    /// Finer than the tag: `conflict`, `none-left`, `no-matches`.
    pub app_tag: Option<&'static str>,
    /// Who stands in the way, where a session does; 0 stands for one that is no session of ours (RFC 6241).
    pub holder: Option<SessionId>,
    /// The element or attribute that is wrong.
    pub element: Option<String>,
}

impl ManagementError {
    pub fn new(tag: ErrorTag, message: impl Into<String>) -> ManagementError {
        ManagementError {
            tag,
            message: message.into(),
            path: None,
            app_tag: None,
            holder: None,
            element: None,
        }
    }

    pub fn with_path(mut self, path: &Path) -> ManagementError {
        self.path = Some(path.clone());
        self
    }

    pub fn with_app_tag(mut self, tag: &'static str) -> ManagementError {
        self.app_tag = Some(tag);
        self
    }

    pub fn with_holder(mut self, session: SessionId) -> ManagementError {
        self.holder = Some(session);
        self
    }

    pub fn with_element(mut self, name: impl Into<String>) -> ManagementError {
        self.element = Some(name.into());
        self
    }
}

impl fmt::Display for ManagementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.tag.name(), self.message)
    }
}

impl From<EditError> for ManagementError {
    fn from(fault: EditError) -> ManagementError {
        let tag = match fault.kind {
            EditErrorKind::Exists => ErrorTag::DataExists,
            EditErrorKind::Missing => ErrorTag::DataMissing,
            EditErrorKind::NotWritable | EditErrorKind::BadValue => ErrorTag::InvalidValue,
        };
        ManagementError::new(tag, fault.message).with_path(&fault.path)
    }
}
