//! Confirmed commits (RFC 6241, section 8.4): reverted unless they are confirmed in time.

use crate::error::{ErrorTag, ManagementError};
use crate::session::{Operator, SessionId};
use rockflow_yang::DataTree;
use std::sync::Arc;
use std::time::Duration;

/// The time within which a commit has to be confirmed, where the request gives none (RFC 6241, section 8.4.5.1).
pub const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);
/// The longest confirmation timeout; a request with a longer one gets this.
pub(crate) const MAX_CONFIRM_TIMEOUT: Duration = Duration::from_secs(86_400);
/// The longest persist id that is accepted, in bytes.
const MAX_PERSIST_ID_BYTES: usize = 256;

/// The parameters of a commit request that concern its confirmation.
#[derive(Clone, Debug, Default)]
pub struct CommitOptions {
    /// The time after which the commit is reverted unless it is confirmed; `None`: the commit is permanent at once.
    pub confirm_timeout: Option<Duration>,
    /// The id with which any session may confirm the commit. With it, the commit stays pending when the session that
    /// made it ends.
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

/// The pending confirmed commit, as status reports show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingCommitInfo<'a> {
    /// The operator who made the commit.
    pub author: &'a Operator,
    /// The only session that may confirm the commit; `None`: any session that gives its persist id.
    pub session: Option<SessionId>,
    /// When the commit is reverted unless it is confirmed, as Unix time.
    pub deadline: Duration,
}

/// A confirmed commit that has not been confirmed yet.
pub(crate) struct PendingCommit {
    /// The only session that may confirm the commit; `None` where it has a persist id.
    pub(crate) session: Option<SessionId>,
    /// The id with which any session may confirm the commit.
    pub(crate) persist: Option<String>,
    pub(crate) author: Operator,
    /// The number of the commit.
    pub(crate) version: u64,
    /// The configuration that is restored unless the commit is confirmed.
    pub(crate) before: Arc<DataTree>,
    /// The number of the commit that made `before`.
    pub(crate) before_version: u64,
    /// When the commit is reverted unless it is confirmed, as Unix time.
    pub(crate) deadline: Duration,
}

impl PendingCommit {
    pub(crate) fn info(&self) -> PendingCommitInfo<'_> {
        PendingCommitInfo { author: &self.author, session: self.session, deadline: self.deadline }
    }

    /// The session that errors name as blocking others; [`SessionId::NONE`] where any session may confirm the commit.
    pub(crate) fn holder(&self) -> SessionId {
        self.session.unwrap_or(SessionId::NONE)
    }

    /// Whether the session may confirm, extend or cancel the commit with the persist id that it gives.
    pub(crate) fn is_controlled_by(&self, session: SessionId, persist_id: Option<&str>) -> bool {
        match &self.persist {
            Some(persist) => persist_id == Some(persist.as_str()),
            None => self.session == Some(session) && persist_id.is_none(),
        }
    }

    /// The error for a request that is refused while the commit is pending.
    pub(crate) fn blocking_error(&self, tag: ErrorTag) -> ManagementError {
        let message = format!("commit {} of {} waits for its confirmation", self.version, self.author.user);
        ManagementError::new(tag, message).with_holder(self.holder())
    }
}
