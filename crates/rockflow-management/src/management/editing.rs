//! Editing the candidate and startup, and validating configurations.

use super::Management;
use crate::access::Operation;
use crate::candidate::Candidate;
use crate::datastore::{ConfigSource, Datastore, EditMode, ErrorOption};
use crate::error::{ErrorTag, ManagementError};
use crate::lock::in_use;
use crate::session::SessionId;
use crate::storage::SnapshotStorage;
use crate::validation::{self, ValidationContext};
use rockflow_yang::{data, Change, DataNode, DataTree, Edit, EditOperation, Path};
use std::time::Duration;

impl<S: SnapshotStorage> Management<S> {
    /// Edits the session's candidate, or startup where that is separate.
    ///
    /// # Errors
    /// With [`ErrorOption::Continue`], an error for each edit that failed, while the others are applied; otherwise the
    /// error of the first edit that failed.
    pub fn edit_config(
        &mut self,
        id: SessionId,
        target: Datastore,
        edits: &[Edit],
        option: ErrorOption,
        mode: EditMode,
    ) -> Result<(), Vec<ManagementError>> {
        let single = |error: ManagementError| vec![error];
        self.check_editable(id, target).map_err(single)?;
        let user = self.sessions.get(id).map_err(single)?.operator.user.clone();
        let before = self.datastore(id, target).clone();
        let mut after = before.clone();
        let mut errors = Vec::new();
        for edit in edits {
            if let Err(error) = self.apply_authorized(&user, &mut after, edit) {
                errors.push(error);
                if option != ErrorOption::Continue {
                    break;
                }
            }
        }
        validation::check_size(&after).map_err(single)?;
        let is_kept = errors.is_empty() || option != ErrorOption::Rollback;
        if mode == EditMode::Apply && is_kept && after != before {
            self.replace_datastore(id, target, after).map_err(single)?;
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    /// Discards the session's edits: its candidate equals running again.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] where an access rule denies the call.
    pub fn discard_changes(&mut self, id: SessionId) -> Result<(), ManagementError> {
        self.authorize_call(id, "discard-changes")?;
        self.drop_candidate(id);
        Ok(())
    }

    /// Copies one whole configuration over another (RFC 6241, section 7.3).
    ///
    /// # Errors
    /// [`ErrorTag::OperationNotSupported`] where the target is running, or startup that is not separate;
    /// [`ErrorTag::InvalidValue`] where source and target are the same; otherwise as [`Management::edit_config`].
    pub fn copy_config(
        &mut self,
        id: SessionId,
        source: ConfigSource,
        target: Datastore,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "copy-config")?;
        let fields = match source {
            ConfigSource::Datastore(source) if source == target => {
                return Err(ManagementError::new(ErrorTag::InvalidValue, "copied onto itself"));
            }
            ConfigSource::Datastore(source) => self.datastore(id, source).clone(),
            ConfigSource::Inline(fields) => fields,
        };
        self.check_copy_target(id, target)?;
        let value = Some(DataNode::Container(fields));
        self.edit_root(id, target, Edit { path: Path::default(), op: EditOperation::Replace, value })
    }

    /// Deletes the contents of startup.
    ///
    /// # Errors
    /// [`ErrorTag::OperationNotSupported`] where startup is not separate.
    pub fn delete_startup(&mut self, id: SessionId) -> Result<(), ManagementError> {
        self.authorize_call(id, "delete-config")?;
        self.edit_root(
            id,
            Datastore::Startup,
            Edit { path: Path::default(), op: EditOperation::Remove, value: None },
        )
    }

    /// Checks a whole configuration against the model, the access rules' syntax and the limits, as a commit does.
    ///
    /// # Errors
    /// The error that a commit of the configuration would fail with. Locks, a pending commit and the permissions for
    /// nodes are not checked.
    pub fn validate(
        &self,
        now: Duration,
        id: SessionId,
        source: &ConfigSource,
        context: &ValidationContext,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "validate")?;
        match source {
            ConfigSource::Datastore(Datastore::Candidate) => {
                self.check_valid(now, &self.rebased_candidate(id)?, context)
            }
            ConfigSource::Datastore(source) => self.check_valid(now, self.datastore(id, *source), context),
            ConfigSource::Inline(fields) => self.check_valid(now, fields, context),
        }
    }

    pub(super) fn check_valid(
        &self,
        now: Duration,
        proposed: &DataTree,
        context: &ValidationContext,
    ) -> Result<(), ManagementError> {
        let owner = self.owner.as_deref();
        validation::validate(&self.schema, now, &self.running, proposed, owner, context)
    }

    /// Fails where another session has locked the candidate.
    pub(super) fn check_candidate_lock(&self, id: SessionId) -> Result<(), ManagementError> {
        match self.locks.other_holder(Datastore::Candidate, id) {
            Some(holder) => Err(in_use(holder, "candidate is locked")),
            None => Ok(()),
        }
    }

    /// The session's candidate, rebased onto running.
    pub(super) fn rebased_candidate(&self, id: SessionId) -> Result<DataTree, ManagementError> {
        match &self.sessions.get(id)?.candidate {
            Some(candidate) => candidate.rebase(&self.schema, &self.running, self.version, &self.history),
            None => Ok((*self.running).clone()),
        }
    }

    pub(super) fn drop_candidate(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.candidate = None;
        }
    }

    /// Fails where the user may not make one of the changes: creating, updating and deleting a node need separate
    /// permissions (RFC 8341, section 3.4.5).
    pub(super) fn authorize_changes(&self, user: &str, changes: &[Change]) -> Result<(), ManagementError> {
        for change in changes {
            let operation = match (&change.before, &change.after) {
                (None, _) => Operation::Create,
                (_, None) => Operation::Delete,
                _ => Operation::Update,
            };
            if !self.access.is_permitted(user, operation, &change.path) {
                let message = format!("{user} may not {operation:?} this").to_lowercase();
                let error = ManagementError::new(ErrorTag::AccessDenied, message);
                return Err(error.with_path(&change.path));
            }
        }
        Ok(())
    }

    fn check_editable(&self, id: SessionId, target: Datastore) -> Result<(), ManagementError> {
        self.authorize_call(id, "edit-config")?;
        match target {
            Datastore::Candidate => self.check_candidate_lock(id),
            Datastore::Startup if self.has_separate_startup() => Ok(()),
            _ => {
                let message = "only the candidate is edited, then committed";
                Err(ManagementError::new(ErrorTag::OperationNotSupported, message))
            }
        }
    }

    fn check_copy_target(&self, id: SessionId, target: Datastore) -> Result<(), ManagementError> {
        let not_supported = |message: &str| ManagementError::new(ErrorTag::OperationNotSupported, message);
        match target {
            Datastore::Running => Err(not_supported("running is changed by commits alone")),
            Datastore::Startup if !self.has_separate_startup() => {
                Err(not_supported("startup follows each commit"))
            }
            Datastore::Startup => match self.locks.other_holder(target, id) {
                Some(holder) => {
                    let error = ManagementError::new(ErrorTag::InUse, "startup is locked");
                    Err(error.with_holder(holder))
                }
                None => Ok(()),
            },
            Datastore::Candidate => Ok(()),
        }
    }

    /// Applies one edit to the root of a datastore, for requests that replace or delete all of it.
    fn edit_root(&mut self, id: SessionId, target: Datastore, edit: Edit) -> Result<(), ManagementError> {
        let edited = self.edit_config(id, target, &[edit], ErrorOption::Rollback, EditMode::Apply);
        edited.map_err(|errors| {
            let first = errors.into_iter().next();
            first.unwrap_or_else(|| ManagementError::new(ErrorTag::OperationFailed, "failed"))
        })
    }

    /// Applies one edit that the user is permitted to make. On an error `fields` does not change.
    fn apply_authorized(
        &self,
        user: &str,
        fields: &mut DataTree,
        edit: &Edit,
    ) -> Result<(), ManagementError> {
        let mut after = fields.clone();
        data::apply_edit(&self.schema, &mut after, edit)?;
        self.authorize_changes(user, &data::diff(fields, &after))?;
        *fields = after;
        Ok(())
    }

    fn replace_datastore(
        &mut self,
        id: SessionId,
        target: Datastore,
        fields: DataTree,
    ) -> Result<(), ManagementError> {
        if target != Datastore::Startup {
            self.set_candidate(id, fields);
            return Ok(());
        }
        let before = std::mem::replace(&mut self.startup, fields);
        self.save().inspect_err(|_| self.startup = before)
    }

    fn set_candidate(&mut self, id: SessionId, fields: DataTree) {
        let (running, version) = (self.running.clone(), self.version);
        if let Some(session) = self.sessions.get_mut(id) {
            session.candidate.get_or_insert_with(|| Candidate::new(running, version)).fields = fields;
        }
    }
}
