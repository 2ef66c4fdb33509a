//! Requests of sessions to lock and unlock datastores and parts of running.

use super::Management;
use crate::access::Operation;
use crate::confirmed_commit::PendingCommit;
use crate::datastore::Datastore;
use crate::error::{ErrorTag, ManagementError};
use crate::lock::{lock_denied, LockInfo, PartialLockGrant};
use crate::session::SessionId;
use crate::storage::SnapshotStorage;
use rockflow_yang::{data, Path, Pattern};
use std::time::Duration;

/// The most nodes that one expression of a partial lock may select.
const MAX_LOCKED_NODES: usize = 10_000;

impl<S: SnapshotStorage> Management<S> {
    /// Locks a whole datastore.
    ///
    /// # Errors
    /// [`ErrorTag::LockDenied`] where any session, including this one, has locked the datastore. For running also where
    /// another session holds a partial lock, or where a confirmed commit is pending that is not bound to this session.
    pub fn lock(
        &mut self,
        now: Duration,
        id: SessionId,
        datastore: Datastore,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "lock")?;
        if let Some(holder) = self.locks.holder(datastore) {
            return Err(lock_denied(holder, "locked"));
        }
        if datastore == Datastore::Running {
            if let Some(holder) = self.locks.other_partial_holder(id) {
                return Err(lock_denied(holder, "locked in part"));
            }
            if let Some(pending) = self.pending_of_others(id) {
                return Err(lock_denied(pending.holder(), "a confirmed commit is pending"));
            }
        }
        self.locks.insert(now, id, datastore);
        Ok(())
    }

    /// Releases the lock of a whole datastore. Unlocking the candidate also discards the session's changes.
    ///
    /// # Errors
    /// [`ErrorTag::OperationFailed`] where the session does not hold it.
    pub fn unlock(&mut self, id: SessionId, datastore: Datastore) -> Result<(), ManagementError> {
        self.authorize_call(id, "unlock")?;
        self.locks.release(id, datastore)?;
        if datastore == Datastore::Candidate {
            self.discard_changes(id)?;
        }
        Ok(())
    }

    /// Locks the nodes of running that the patterns select at the time of the call (RFC 5717).
    ///
    /// # Errors
    /// Fails where the patterns select no node or too many, where the user may not change a selected node, or where a
    /// lock or pending commit of another session prevents it.
    pub fn partial_lock(
        &mut self,
        id: SessionId,
        select: &[Pattern],
    ) -> Result<PartialLockGrant, ManagementError> {
        self.authorize_call(id, "partial-lock")?;
        let nodes = self.select_nodes(select)?;
        let user = &self.sessions.get(id)?.operator.user;
        let may_change = |path: &&Path| self.access.is_permitted(user, Operation::Update, path);
        if let Some(path) = nodes.iter().find(|path| !may_change(path)) {
            let message = "may not be changed, so not locked";
            return Err(ManagementError::new(ErrorTag::AccessDenied, message).with_path(path));
        }
        if let Some(holder) = self.locks.other_holder(Datastore::Running, id) {
            return Err(lock_denied(holder, "locked"));
        }
        if let Some(pending) = self.pending_of_others(id) {
            let error = ManagementError::new(ErrorTag::LockDenied, "a confirmed commit is pending");
            return Err(error.with_holder(pending.holder()).with_app_tag("outstanding-confirmed-commit"));
        }
        self.locks.insert_partial(id, nodes)
    }

    /// Releases a partial lock.
    ///
    /// # Errors
    /// [`ErrorTag::InvalidValue`] where the session holds no partial lock with that number.
    pub fn partial_unlock(&mut self, id: SessionId, lock: u32) -> Result<(), ManagementError> {
        self.authorize_call(id, "partial-unlock")?;
        self.locks.release_partial(id, lock)
    }

    /// The locks of whole datastores that are held.
    pub fn locks(&self) -> impl Iterator<Item = LockInfo> + '_ {
        self.locks.iter()
    }

    fn select_nodes(&self, select: &[Pattern]) -> Result<Vec<Path>, ManagementError> {
        let mut nodes = Vec::new();
        for pattern in select {
            let found = data::instances_matching(&self.running, pattern, MAX_LOCKED_NODES)
                .ok_or_else(|| ManagementError::new(ErrorTag::TooBig, "too much to lock in part"))?;
            nodes.extend(found.into_iter().map(|(path, _)| path));
        }
        if nodes.is_empty() {
            let error = ManagementError::new(ErrorTag::OperationFailed, "nothing there to lock");
            return Err(error.with_app_tag("no-matches"));
        }
        Ok(nodes)
    }

    /// The pending commit, unless `id` is the only session that may confirm it.
    fn pending_of_others(&self, id: SessionId) -> Option<&PendingCommit> {
        self.pending.as_ref().filter(|pending| pending.session != Some(id))
    }
}
