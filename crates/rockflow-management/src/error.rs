//! Errors of the management side. A [`ManagementError`] describes a refused request in the terms of RFC 6241,
//! appendix A; servers of other protocols translate it.

use crate::session::SessionId;
use rockflow_yang::{EditError, EditErrorKind, JsonError, Path, PathError};
use std::fmt;
use thiserror::Error;

/// The `error-tag` of an error (RFC 6241, appendix A).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorTag {
    /// Another session holds what the request needs.
    InUse,
    /// A value is not acceptable.
    InvalidValue,
    /// The request or its answer is too large.
    TooBig,
    /// An expected attribute is missing.
    MissingAttribute,
    /// An attribute's value is not correct.
    BadAttribute,
    /// An attribute is not expected.
    UnknownAttribute,
    /// An expected element is missing.
    MissingElement,
    /// An element's value is not correct.
    BadElement,
    /// An element is not expected.
    UnknownElement,
    /// A namespace is not expected.
    UnknownNamespace,
    /// An access rule denies the request.
    AccessDenied,
    /// Another session holds the lock.
    LockDenied,
    /// A limit of this server is reached.
    ResourceDenied,
    /// A change could not be rolled back.
    RollbackFailed,
    /// Data to be created exists already.
    DataExists,
    /// Data to be deleted or found does not exist.
    DataMissing,
    /// The operation is not supported here.
    OperationNotSupported,
    /// The request failed for a reason that no other tag describes.
    OperationFailed,
    /// A message could not be parsed.
    MalformedMessage,
}

impl ErrorTag {
    /// The tag's name in protocols and messages.
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

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{}: {message}", .tag.name())]
pub struct ManagementError {
    /// The kind of the error.
    pub tag: ErrorTag,
    /// A description of the error for operators.
    pub message: String,
    /// The node that the error concerns, if any.
    pub path: Option<Path>,
    /// The `error-app-tag`, which is more specific than the tag: `conflict`, `none-left` or `no-matches`, for example.
    pub app_tag: Option<&'static str>,
    /// The session whose lock or pending commit blocks the request; [`SessionId::NONE`] where the holder is no session
    /// of this server.
    pub holder: Option<SessionId>,
    /// The name of the element or attribute that is missing, wrong or not expected.
    pub element: Option<String>,
}

impl ManagementError {
    /// Creates an error with only a tag and a message.
    pub fn new(tag: ErrorTag, message: impl Into<String>) -> ManagementError {
        let message = message.into();
        ManagementError { tag, message, path: None, app_tag: None, holder: None, element: None }
    }

    /// Adds the node that the error concerns.
    pub fn with_path(mut self, path: &Path) -> ManagementError {
        self.path = Some(path.clone());
        self
    }

    /// Adds the `error-app-tag`.
    pub fn with_app_tag(mut self, tag: &'static str) -> ManagementError {
        self.app_tag = Some(tag);
        self
    }

    /// Adds the session that blocks the request.
    pub fn with_holder(mut self, session: SessionId) -> ManagementError {
        self.holder = Some(session);
        self
    }

    /// Adds the name of the element or attribute at fault.
    pub fn with_element(mut self, name: impl Into<String>) -> ManagementError {
        self.element = Some(name.into());
        self
    }
}

impl From<EditError> for ManagementError {
    fn from(error: EditError) -> ManagementError {
        let tag = match error.kind {
            EditErrorKind::Exists => ErrorTag::DataExists,
            EditErrorKind::Missing => ErrorTag::DataMissing,
            EditErrorKind::NotWritable | EditErrorKind::BadValue => ErrorTag::InvalidValue,
        };
        ManagementError::new(tag, error.message).with_path(&error.path)
    }
}

/// Why the access rules of a configuration can't be compiled.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum AccessRuleError {
    /// The path of a rule can't be parsed.
    #[error("rule {rule}: {source}")]
    Path {
        /// The rule's number.
        rule: String,
        /// What is wrong with the path.
        source: Box<PathError>,
    },
    /// A rule has both a path and a call as its target.
    #[error("rule {rule}: a path and a call exclude each other")]
    PathAndCall {
        /// The rule's number.
        rule: String,
    },
}

/// Why a stored snapshot can't be read back.
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The payload is not valid JSON.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// A member is missing or not an unsigned integer.
    #[error("{key} is missing or not an unsigned integer")]
    NotANumber {
        /// The member of the JSON object.
        key: &'static str,
    },
    /// A configuration does not fit the model's schema.
    #[error("{key}: {source}")]
    Configuration {
        /// The member of the JSON object.
        key: &'static str,
        /// Why the configuration can't be read.
        source: JsonError,
    },
    /// A configuration violates a constraint of the model.
    #[error("{key}: {source}")]
    Constraint {
        /// The member of the JSON object.
        key: &'static str,
        /// The constraint that is violated.
        source: EditError,
    },
    /// The access rules can't be compiled.
    #[error(transparent)]
    AccessRules(#[from] AccessRuleError),
}

/// A difference between a stored snapshot and what was restored from it.
#[derive(Clone, Debug, PartialEq)]
pub enum RestoreWarning {
    /// A commit of the history could not be read, for example because the model has changed. It and all earlier
    /// commits were dropped.
    HistoryLeftOut {
        /// The number of the commit that could not be read, as JSON text.
        version: String,
    },
    /// A confirmed commit was pending when the snapshot was written, and is reverted.
    UnconfirmedCommit {
        /// The number of the commit.
        version: u64,
        /// The user who made the commit.
        author: String,
    },
}

impl fmt::Display for RestoreWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RestoreWarning::HistoryLeftOut { version } => write!(f, "history up to {version} left out"),
            RestoreWarning::UnconfirmedCommit { version, author } => {
                write!(f, "commit {version} of {author} was not confirmed before the restart, and is undone")
            }
        }
    }
}
