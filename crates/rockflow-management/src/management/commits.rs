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

/// The longest comment of a commit, in characters; a longer one is truncated.
const MAX_COMMENT_CHARS: usize = 1024;

/// Which permissions a session's user needs for a change of running.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Authorization {
    /// The permission for each node that changes.
    EachNode,
    /// Only the permission to make the call, which has been checked already.
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
    /// A change that takes effect without a confirmation and needs the permission for each node.
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
    /// Commits the session's candidate. A pending confirmed commit that the session controls is thereby confirmed, or
    /// extended where `options` ask for a confirmation again. Returns the number of the commit in force.
    ///
    /// # Errors
    /// Fails where another session's lock, pending commit or conflicting change prevents it, where an access rule or
    /// the model does not allow the change, or where it can't be stored.
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

    /// Applies edits to running directly in one commit, for protocols without a candidate. Returns the number of the
    /// commit in force.
    ///
    /// # Errors
    /// Fails as [`Management::commit`] does, and where `expected_version` is given and is not the commit in force.
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

    /// Replaces the administrative override of an endpoint with the given leaves, or removes it where `leaves` is
    /// empty, in one commit. The user needs only the permission to make `call`. Returns the number of the commit in
    /// force.
    ///
    /// # Errors
    /// Fails as [`Management::commit`] does, and with [`ErrorTag::DataMissing`] where there is no override to remove.
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

    /// Restores the configuration of an earlier commit by a new commit. Returns the number of the commit in force.
    ///
    /// # Errors
    /// Fails as [`Management::set`] does, and with [`ErrorTag::DataMissing`] where the history does not reach back to
    /// `version`.
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

    /// Cancels and reverts the pending confirmed commit.
    ///
    /// # Errors
    /// Fails where none is pending, or where the session may not confirm it.
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

    /// Reconstructs the configuration as of commit `version`; `None` where the history does not reach back that far.
    pub fn configuration_at(&self, version: u64) -> Option<DataTree> {
        self.history.configuration_at(&self.schema, &self.running, self.version, version)
    }

    /// Fails where a confirmed commit is pending, since the request would confirm it implicitly.
    fn check_none_pending(&self) -> Result<(), ManagementError> {
        match &self.pending {
            None => Ok(()),
            Some(pending) => Err(pending.blocking_error(ErrorTag::InUse)),
        }
    }

    /// Fails where the session may not commit or cancel because of a pending commit (RFC 6241, section 8.4): another
    /// session's, or one with another persist id. Also fails where a persist id is given and none is pending.
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

    /// Fails where `expected` is given and another commit is in force.
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

    /// Checks a proposed configuration against locks, permissions and the model, and commits it. A commit that
    /// changes nothing gets no number, but can confirm or extend a pending one. Returns the number of the commit in
    /// force.
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
