//! Confirmed commits (RFC 6241, section 8.4): reverted unless they are confirmed in time.

use crate::error::{ErrorTag, ManagementError};
use crate::session::{Operator, SessionId};
use rockflow_yang::DataTree;
use std::sync::Arc;
use std::time::Duration;

/// The time to confirm a commit in, where the request names none (RFC 6241, section 8.4.5.1).
pub const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);
/// The longest time that a request may name; a longer one is cut to it.
pub(crate) const MAX_CONFIRM_TIMEOUT: Duration = Duration::from_secs(86_400);
/// Bytes of a persist id.
const MAX_PERSIST_ID_BYTES: usize = 256;

/// How a commit is made.
#[derive(Clone, Debug, Default)]
pub struct CommitOptions {
    /// Reverted after this time unless confirmed; none: permanent at once.
    pub confirm_timeout: Option<Duration>,
    /// The id by which any session may confirm it; it then outlives its own session.
    pub persist: Option<String>,
    /// The id of the pending commit that this one confirms or extends.
    pub persist_id: Option<String>,
}

impl CommitOptions {
    pub(crate) fn check(&self) -> Result<(), ManagementError> {
        if self.persist.as_ref().is_some_and(|id| id.len() > MAX_PERSIST_ID_BYTES) {
            return Err(ManagementError::new(ErrorTag::TooBig, "the persist id is too long"));
        }
        Ok(())
    }
}

/// A confirmed commit that waits for its confirmation, as status reports show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingCommitInfo<'a> {
    /// Who made it.
    pub author: &'a Operator,
    /// The only session that may confirm it; none: any that knows its persist id.
    pub session: Option<SessionId>,
    /// When it is reverted, as Unix time.
    pub deadline: Duration,
}

/// A confirmed commit that waits for its confirmation.
pub(crate) struct PendingCommit {
    pub(crate) session: Option<SessionId>,
    pub(crate) persist: Option<String>,
    pub(crate) author: Operator,
    pub(crate) version: u64,
    /// The configuration that returns unless it is confirmed.
    pub(crate) before: Arc<DataTree>,
    /// The commit that made that configuration.
    pub(crate) before_version: u64,
    pub(crate) deadline: Duration,
}

impl PendingCommit {
    pub(crate) fn info(&self) -> PendingCommitInfo<'_> {
        PendingCommitInfo { author: &self.author, session: self.session, deadline: self.deadline }
    }

    /// The session that blocks others until it is confirmed.
    pub(crate) fn holder(&self) -> SessionId {
        self.session.unwrap_or(SessionId::NONE)
    }

    /// Whether the session may confirm, extend or cancel it with the persist id that it gives.
    pub(crate) fn is_controlled_by(&self, session: SessionId, persist_id: Option<&str>) -> bool {
        match &self.persist {
            Some(persist) => persist_id == Some(persist.as_str()),
            None => self.session == Some(session) && persist_id.is_none(),
        }
    }

    /// The error of a request that can't go on until it is confirmed.
    pub(crate) fn blocking_error(&self, tag: ErrorTag) -> ManagementError {
        let message = format!("commit {} of {} waits for its confirmation", self.version, self.author.user);
        ManagementError::new(tag, message).with_holder(self.holder())
    }
}
