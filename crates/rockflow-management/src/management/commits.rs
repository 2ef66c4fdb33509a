//! Requests that change running: commits, transactions, overrides and rollbacks.

use super::Management;
use crate::confirmed_commit::{CommitOptions, MAX_CONFIRM_TIMEOUT};
use crate::error::{ErrorTag, ManagementError};
use crate::history::Commit;
use crate::notification::ConfirmedCommitEvent;
use crate::session::SessionId;
use crate::storage::SnapshotStorage;
use crate::validation::ValidationContext;
use rockflow_yang::{data, DataNode, DataTree, Edit, EditOperation, Path, Scalar};
use std::sync::Arc;
use std::time::Duration;

/// Characters of a commit's comment; the rest is cut.
const MAX_COMMENT_CHARS: usize = 1024;

/// What a session's user must be permitted for a change of running.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Authorization {
    /// Each node that changes.
    EachNode,
    /// The call alone, which was checked before.
    CallOnly,
}

/// A new running configuration that a session proposes.
struct ProposedChange {
    session: SessionId,
    configuration: DataTree,
    comment: String,
    options: CommitOptions,
    authorization: Authorization,
}

impl ProposedChange {
    /// A change that needs no confirmation, and the permission for each node.
    fn new(session: SessionId, configuration: DataTree, comment: &str) -> ProposedChange {
        ProposedChange {
            session,
            configuration,
            comment: comment.chars().take(MAX_COMMENT_CHARS).collect(),
            options: CommitOptions::default(),
            authorization: Authorization::EachNode,
        }
    }
}

impl<S: SnapshotStorage> Management<S> {
    /// Commits the session's candidate. A pending confirmed commit that the session controls is confirmed by it,
    /// or extended where this one is to be confirmed too. Returns the number of the commit in force.
    ///
    /// # Errors
    /// Where another session is in the way, a rule or the model denies the change, or it can't be stored.
    pub fn commit(
        &mut self,
        now: Duration,
        id: SessionId,
        options: &CommitOptions,
        comment: &str,
        context: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, "commit")?;
        self.check_controls_pending(id, options.persist_id.as_deref())?;
        self.check_candidate_lock(id)?;
        options.check()?;
        let mut change = ProposedChange::new(id, self.rebased_candidate(id)?, comment);
        change.options = options.clone();
        let version = self.apply_change(now, change, context)?;
        self.drop_candidate(id);
        Ok(version)
    }

    /// Changes running in one transaction, past any candidate, for protocols without one. Returns the number of
    /// the commit in force.
    ///
    /// # Errors
    /// As [`Management::commit`], and where another commit than `expected_version` is in force.
    pub fn set(
        &mut self,
        now: Duration,
        id: SessionId,
        edits: &[Edit],
        expected_version: Option<u64>,
        comment: &str,
        context: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, "set")?;
        self.check_none_pending()?;
        self.check_version(expected_version)?;
        let mut configuration = (*self.running).clone();
        for edit in edits {
            data::apply_edit(&self.schema, &mut configuration, edit)?;
        }
        self.apply_change(now, ProposedChange::new(id, configuration, comment), context)
    }

    /// Sets the administrative override of an endpoint to these leaves, or removes it where there are none, in a
    /// commit of its own. The permission to make the call is enough. Returns the number of the commit in force.
    ///
    /// # Errors
    /// As [`Management::commit`], and [`ErrorTag::DataMissing`] where there is no override to remove.
    pub fn set_override(
        &mut self,
        now: Duration,
        id: SessionId,
        call: &str,
        host: &str,
        leaves: &[(&str, Scalar)],
        context: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, call)?;
        self.check_none_pending()?;
        let text = format!("/rockflow-router:router/marks/mark[host=\"{host}\"]");
        let path = Path::parse(&self.schema, &text)
            .map_err(|reason| ManagementError::new(ErrorTag::InvalidValue, reason.to_string()))?;
        let configuration = if leaves.is_empty() {
            self.without_override(host, path)?
        } else {
            self.with_override(path, leaves)?
        };
        let mut change = ProposedChange::new(id, configuration, &format!("{call} {host}"));
        change.authorization = Authorization::CallOnly;
        self.apply_change(now, change, context)
    }

    /// Goes back to the configuration of an earlier commit, in a new one. Returns the number of the commit in
    /// force.
    ///
    /// # Errors
    /// As [`Management::set`], and [`ErrorTag::DataMissing`] where the history does not reach back so far.
    pub fn rollback(
        &mut self,
        now: Duration,
        id: SessionId,
        version: u64,
        expected_version: Option<u64>,
        context: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, "rollback")?;
        self.check_none_pending()?;
        self.check_version(expected_version)?;
        let configuration = self.configuration_at(version).ok_or_else(|| {
            let oldest = self.history.oldest_version().unwrap_or(self.version);
            let message = format!("commit {version} is not held; the oldest is {oldest}");
            ManagementError::new(ErrorTag::DataMissing, message)
        })?;
        let change = ProposedChange::new(id, configuration, &format!("rollback to {version}"));
        self.apply_change(now, change, context)
    }

    /// Cancels the pending confirmed commit, which is reverted.
    ///
    /// # Errors
    /// Where none is pending, or the session does not control it.
    pub fn cancel_commit(
        &mut self,
        now: Duration,
        id: SessionId,
        persist_id: Option<&str>,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "cancel-commit")?;
        if self.pending.is_none() {
            return Err(ManagementError::new(ErrorTag::OperationFailed, "no confirmed commit is pending"));
        }
        self.check_controls_pending(id, persist_id)?;
        self.revert_unconfirmed(now, ConfirmedCommitEvent::Cancel);
        Ok(())
    }

    /// The configuration as it was when that commit was in force; none where the history does not reach back.
    pub fn configuration_at(&self, version: u64) -> Option<DataTree> {
        self.history.configuration_at(&self.schema, &self.running, self.version, version)
    }

    /// An error where a confirmed commit is pending: the request would confirm it unasked.
    fn check_none_pending(&self) -> Result<(), ManagementError> {
        match &self.pending {
            None => Ok(()),
            Some(pending) => Err(pending.blocking_error(ErrorTag::InUse)),
        }
    }

    /// An error where the session may not commit because of a pending commit (RFC 6241, section 8.4).
    fn check_controls_pending(&self, id: SessionId, persist_id: Option<&str>) -> Result<(), ManagementError> {
        match (&self.pending, persist_id) {
            (None, None) => Ok(()),
            (None, Some(_)) => {
                Err(ManagementError::new(ErrorTag::InvalidValue, "no confirmed commit is pending"))
            }
            (Some(pending), _) if pending.is_controlled_by(id, persist_id) => Ok(()),
            (Some(pending), Some(_)) => Err(pending.blocking_error(ErrorTag::InvalidValue)),
            (Some(pending), None) => Err(pending.blocking_error(ErrorTag::InUse)),
        }
    }

    /// An error where another commit than the expected one is in force.
    fn check_version(&self, expected: Option<u64>) -> Result<(), ManagementError> {
        if expected.is_none_or(|expected| expected == self.version) {
            return Ok(());
        }
        let author = self.history.last_author().unwrap_or("-");
        let message = format!("commit {} of {author} is in force", self.version);
        Err(ManagementError::new(ErrorTag::OperationFailed, message).with_app_tag("conflict"))
    }

    fn without_override(&self, host: &str, path: Path) -> Result<DataTree, ManagementError> {
        let mut configuration = (*self.running).clone();
        let edit = Edit { path: path.clone(), op: EditOperation::Delete, value: None };
        data::apply_edit(&self.schema, &mut configuration, &edit).map_err(|_| {
            let message = format!("{host} has no mark");
            ManagementError::new(ErrorTag::DataMissing, message).with_path(&path)
        })?;
        Ok(configuration)
    }

    fn with_override(&self, path: Path, leaves: &[(&str, Scalar)]) -> Result<DataTree, ManagementError> {
        let mut fields = DataTree::new();
        for (name, value) in leaves {
            let node = path.node().and_then(|list| self.schema.child(Some(list), None, name));
            let node = node
                .ok_or_else(|| ManagementError::new(ErrorTag::OperationFailed, format!("no leaf {name}")))?;
            fields.insert(node, DataNode::Leaf(value.clone()));
        }
        let mut configuration = (*self.running).clone();
        let edit = Edit { path, op: EditOperation::Replace, value: Some(DataNode::Container(fields)) };
        data::apply_edit(&self.schema, &mut configuration, &edit)?;
        Ok(configuration)
    }

    /// Checks a change of running and makes it. Returns the number of the commit in force.
    fn apply_change(
        &mut self,
        now: Duration,
        change: ProposedChange,
        context: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        let operator = self.sessions.get(change.session)?.operator.clone();
        let changes = data::diff(&self.running, &change.configuration);
        self.locks.check_changes(&self.schema, change.session, &changes)?;
        if change.authorization == Authorization::EachNode {
            self.authorize_changes(&operator.user, &changes)?;
        }
        self.check_valid(now, &change.configuration, context)?;
        if changes.is_empty() && self.pending.is_none() && change.options.confirm_timeout.is_none() {
            return Ok(self.version);
        }
        let version = self.last_used_version + 1;
        let commit = Commit { version, operator, time: now, comment: change.comment, changes };
        let configuration = Arc::new(change.configuration);
        match change.options.confirm_timeout {
            None => self.install_permanent(commit, configuration)?,
            Some(timeout) => {
                let deadline = now + timeout.min(MAX_CONFIRM_TIMEOUT);
                self.install_unconfirmed(commit, configuration, change.session, &change.options, deadline)?;
            }
        }
        Ok(self.version)
    }
}
