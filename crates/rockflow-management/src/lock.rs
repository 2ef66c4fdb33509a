//! Locks of whole datastores (RFC 6241, section 7.5) and partial locks of running (RFC 5717).

use crate::datastore::Datastore;
use crate::error::{ErrorTag, ManagementError};
use crate::session::SessionId;
use rockflow_yang::{Change, Path, Schema};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most partial locks that all sessions together may hold.
const MAX_PARTIAL_LOCKS: usize = 256;

/// A lock of a whole datastore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LockInfo {
    /// The datastore that is locked.
    pub datastore: Datastore,
    /// The session that holds the lock.
    pub session: SessionId,
    /// When the lock was acquired, as Unix time.
    pub since: Duration,
}

/// A partial lock as it was granted.
#[derive(Clone, Debug, PartialEq)]
pub struct PartialLockGrant {
    /// The lock's number, which a request to release it gives.
    pub id: u32,
    /// The locked nodes; all nodes below them are locked too.
    pub nodes: Vec<Path>,
}

struct PartialLock {
    session: SessionId,
    nodes: Vec<Path>,
}

/// All locks that sessions hold.
pub(crate) struct Locks {
    datastore_locks: BTreeMap<Datastore, LockInfo>,
    partial_locks: BTreeMap<u32, PartialLock>,
    next_partial_id: u32,
}

impl Locks {
    pub(crate) fn new() -> Locks {
        Locks { datastore_locks: BTreeMap::new(), partial_locks: BTreeMap::new(), next_partial_id: 1 }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = LockInfo> + '_ {
        self.datastore_locks.values().copied()
    }

    /// The session that holds the lock of the whole datastore.
    pub(crate) fn holder(&self, datastore: Datastore) -> Option<SessionId> {
        self.datastore_locks.get(&datastore).map(|lock| lock.session)
    }

    /// The session that holds the lock of the whole datastore, unless that is `session` itself.
    pub(crate) fn other_holder(&self, datastore: Datastore, session: SessionId) -> Option<SessionId> {
        self.holder(datastore).filter(|holder| *holder != session)
    }

    /// A session other than `session` that holds a partial lock, if there is one.
    pub(crate) fn other_partial_holder(&self, session: SessionId) -> Option<SessionId> {
        self.partial_locks.values().map(|lock| lock.session).find(|holder| *holder != session)
    }

    pub(crate) fn insert(&mut self, now: Duration, session: SessionId, datastore: Datastore) {
        self.datastore_locks.insert(datastore, LockInfo { datastore, session, since: now });
    }

    /// Releases the lock of a whole datastore. Fails where the session does not hold it.
    pub(crate) fn release(
        &mut self,
        session: SessionId,
        datastore: Datastore,
    ) -> Result<(), ManagementError> {
        let name = datastore.name();
        match self.holder(datastore) {
            Some(holder) if holder == session => {
                self.datastore_locks.remove(&datastore);
                Ok(())
            }
            Some(holder) => {
                let message = format!("{name} is locked by session {}", holder.0);
                Err(ManagementError::new(ErrorTag::OperationFailed, message).with_holder(holder))
            }
            None => Err(ManagementError::new(ErrorTag::OperationFailed, format!("{name} is not locked"))),
        }
    }

    /// Locks nodes of running. Fails where another session's partial lock overlaps them, or where
    /// [`MAX_PARTIAL_LOCKS`] are held already.
    pub(crate) fn insert_partial(
        &mut self,
        session: SessionId,
        nodes: Vec<Path>,
    ) -> Result<PartialLockGrant, ManagementError> {
        let overlaps = |other: &PartialLock| {
            other.nodes.iter().any(|locked| nodes.iter().any(|wanted| paths_overlap(wanted, locked)))
        };
        let blocking = self.partial_locks.values().find(|other| other.session != session && overlaps(other));
        if let Some(other) = blocking {
            return Err(lock_denied(other.session, "locked"));
        }
        if self.partial_locks.len() >= MAX_PARTIAL_LOCKS {
            return Err(ManagementError::new(ErrorTag::ResourceDenied, "too many partial locks"));
        }
        let id = self.next_partial_id;
        self.next_partial_id += 1;
        self.partial_locks.insert(id, PartialLock { session, nodes: nodes.clone() });
        Ok(PartialLockGrant { id, nodes })
    }

    /// Releases a partial lock. Fails where the session holds none with that number.
    pub(crate) fn release_partial(&mut self, session: SessionId, id: u32) -> Result<(), ManagementError> {
        if self.partial_locks.get(&id).is_none_or(|lock| lock.session != session) {
            let message = format!("no partial lock {id} of this session");
            return Err(ManagementError::new(ErrorTag::InvalidValue, message));
        }
        self.partial_locks.remove(&id);
        Ok(())
    }

    /// Releases all locks that a session holds.
    pub(crate) fn release_all(&mut self, session: SessionId) {
        self.datastore_locks.retain(|_, lock| lock.session != session);
        self.partial_locks.retain(|_, lock| lock.session != session);
    }

    /// Fails where a lock of another session prevents the session from making these changes to running.
    pub(crate) fn check_changes(
        &self,
        schema: &Schema,
        session: SessionId,
        changes: &[Change],
    ) -> Result<(), ManagementError> {
        if let Some(holder) = self.other_holder(Datastore::Running, session) {
            return Err(in_use(holder, "running is locked"));
        }
        for lock in self.partial_locks.values().filter(|lock| lock.session != session) {
            let is_changed = |node: &Path| changes.iter().any(|change| paths_overlap(node, &change.path));
            if let Some(node) = lock.nodes.iter().find(|node| is_changed(node)) {
                let reason = format!("{} is locked", node.to_text(schema));
                return Err(in_use(lock.session, &reason).with_path(node));
            }
        }
        Ok(())
    }
}

/// The error for a lock that another session prevents. The message is `reason` followed by the holder's number.
pub(crate) fn lock_denied(holder: SessionId, reason: &str) -> ManagementError {
    let message = format!("{reason} by session {}", holder.0);
    ManagementError::new(ErrorTag::LockDenied, message).with_holder(holder)
}

/// The error for a change that another session's lock prevents. The message is `reason` followed by the holder's
/// number.
pub(crate) fn in_use(holder: SessionId, reason: &str) -> ManagementError {
    let message = format!("{reason} by session {}", holder.0);
    ManagementError::new(ErrorTag::InUse, message).with_holder(holder)
}

/// Whether the paths are equal or one lies below the other.
pub(crate) fn paths_overlap(left: &Path, right: &Path) -> bool {
    left.contains(right) || right.contains(left)
}
