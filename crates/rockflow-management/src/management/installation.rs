//! Putting commits into force: each is stored first, then installed. A confirmed commit is reverted unless it is
//! confirmed in time.

use super::Management;
use crate::access::Access;
use crate::confirmed_commit::{CommitOptions, PendingCommit};
use crate::error::{ErrorTag, ManagementError};
use crate::history::Commit;
use crate::notification::{ConfirmedCommitEvent, Notification};
use crate::record::{PendingRecord, Record};
use crate::session::{Operator, SessionId};
use crate::storage::SnapshotStorage;
use rockflow_yang::{data, DataTree, Path};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Whether a commit is permanent, or is reverted unless it is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finality {
    Final,
    AwaitsConfirmation,
}

impl<S: SnapshotStorage> Management<S> {
    /// Installs a permanent commit, which also confirms a pending one.
    pub(super) fn install_permanent(
        &mut self,
        commit: Commit,
        configuration: Arc<DataTree>,
    ) -> Result<(), ManagementError> {
        let operator = commit.operator.clone();
        let confirmed = self.pending.take();
        if let Err(error) = self.install(commit, configuration, Finality::Final) {
            self.pending = confirmed;
            return Err(error);
        }
        if confirmed.is_some() {
            let event = ConfirmedCommitEvent::Complete;
            self.notifications.push(Notification::ConfirmedCommit { event, operator });
        }
        Ok(())
    }

    /// Installs a commit that is reverted at the deadline unless it is confirmed.
    pub(super) fn install_unconfirmed(
        &mut self,
        commit: Commit,
        configuration: Arc<DataTree>,
        session: SessionId,
        options: &CommitOptions,
        deadline: Duration,
    ) -> Result<(), ManagementError> {
        let operator = commit.operator.clone();
        let (before, before_version, event) = match &self.pending {
            Some(pending) => (pending.before.clone(), pending.before_version, ConfirmedCommitEvent::Extend),
            None => (self.running.clone(), self.version, ConfirmedCommitEvent::Start),
        };
        let pending = PendingCommit {
            session: options.persist.is_none().then_some(session),
            persist: options.persist.clone(),
            author: operator.clone(),
            version: if commit.changes.is_empty() { self.version } else { commit.version },
            before,
            before_version,
            deadline,
        };
        let replaced = self.pending.replace(pending);
        if let Err(error) = self.install(commit, configuration, Finality::AwaitsConfirmation) {
            self.pending = replaced;
            return Err(error);
        }
        self.notifications.push(Notification::ConfirmedCommit { event, operator });
        Ok(())
    }

    /// Reverts the pending confirmed commit, if any, by a commit that the dispatcher itself makes.
    pub(super) fn revert_unconfirmed(&mut self, now: Duration, event: ConfirmedCommitEvent) {
        let Some(pending) = self.pending.take() else { return };
        let author = pending.author;
        let commit = Commit {
            version: self.last_used_version + 1,
            operator: Operator::system(),
            time: now,
            comment: format!("commit {} of {} was not confirmed", pending.version, author.user),
            changes: data::diff(&self.running, &pending.before),
        };
        if self.install(commit.clone(), pending.before.clone(), Finality::Final).is_err() {
            // While a commit is pending, the stored snapshot holds the configuration before it, so the revert takes
            // effect even when the disk fails.
            self.running = pending.before;
            self.version = commit.version;
            self.last_used_version = commit.version;
            self.history.push(commit.clone());
            self.trim_history();
            self.refresh_access();
            self.notifications.push(Notification::Committed(commit));
        }
        self.notifications.push(Notification::ConfirmedCommit { event, operator: author });
    }

    /// Stores the snapshot that a restart restores: the configuration in force or, while a commit is pending, the one
    /// before it.
    pub(super) fn save(&mut self) -> Result<(), ManagementError> {
        let payload = self.record().write(&self.schema);
        let saved = self.storage.save(&payload);
        saved.map_err(|error| ManagementError::new(ErrorTag::OperationFailed, error.to_string()))
    }

    /// Stores a commit, then puts it into force. Where it can't be stored, the state before it is restored.
    fn install(
        &mut self,
        commit: Commit,
        configuration: Arc<DataTree>,
        finality: Finality,
    ) -> Result<(), ManagementError> {
        let running_before = std::mem::replace(&mut self.running, configuration);
        let version_before = self.version;
        let origins_before = self.history.record_origins(&commit);
        // A bare confirmation changes nothing, so it gets no entry in the history to roll back to.
        let is_change = !commit.changes.is_empty();
        if is_change {
            self.version = commit.version;
            self.last_used_version = commit.version;
            self.history.push(commit.clone());
        }
        if let Err(error) = self.save() {
            if is_change {
                self.history.pop();
            }
            self.running = running_before;
            self.version = version_before;
            self.history.restore_origins(origins_before);
            // `last_used_version` is not reset: the commit may have reached the disk, so its number must not be used
            // again.
            debug_assert!(finality == Finality::AwaitsConfirmation || self.pending.is_none());
            return Err(error);
        }
        self.trim_history();
        self.refresh_access();
        if is_change {
            self.notifications.push(Notification::Committed(commit));
        }
        Ok(())
    }

    fn trim_history(&mut self) {
        let max_commits = self.setting("history-length") as usize;
        self.history.trim(max_commits);
    }

    /// Compiles the access rules of running. Compilation can't fail, since validation has compiled them before.
    fn refresh_access(&mut self) {
        if let Ok(access) = Access::compile(&self.schema, &self.running, self.owner.clone()) {
            self.access = access;
        }
    }

    fn record(&self) -> Record {
        let startup = if self.has_separate_startup() { self.startup.clone() } else { DataTree::new() };
        let mut record = Record {
            running: (*self.running).clone(),
            startup,
            version: self.version,
            last_used_version: self.last_used_version,
            pending: None,
            history: self.history.commits().cloned().collect(),
            origins: self.history.origins().clone(),
        };
        let Some(pending) = &self.pending else { return record };
        let before_version = pending.before_version;
        record.pending =
            Some(PendingRecord { version: self.last_used_version, author: pending.author.user.clone() });
        record.running = (*pending.before).clone();
        record.version = before_version;
        record.history.retain(|commit| commit.version <= before_version);
        let leaves: BTreeSet<Path> = data::leaves(&record.running).into_keys().collect();
        record.origins.retain(|path, origin| leaves.contains(path) && origin.version <= before_version);
        record
    }
}
