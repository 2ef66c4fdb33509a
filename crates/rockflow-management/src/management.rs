//! The datastores of one dispatcher with their sessions, locks and commits.
//!
//! There is one running configuration, which only commits change. Each session has a private candidate, so that
//! operators who edit at the same time never see each other's unfinished work. A commit rebases the candidate onto
//! the running configuration, and is refused where another commit has changed the same nodes differently. A commit is
//! durable before it takes effect, and in effect before it is acknowledged.

mod commits;
mod editing;
mod installation;
mod locking;
mod session_control;

use crate::access::Access;
use crate::confirmed_commit::{PendingCommit, PendingCommitInfo};
use crate::datastore::{Datastore, StartupMode};
use crate::error::{RestoreError, RestoreWarning};
use crate::history::{Commit, History, Origin};
use crate::lock::Locks;
use crate::notification::{Notification, NotificationQueue};
use crate::overrides::administrative_overrides;
use crate::record::Record;
use crate::session::{Operator, SessionId, Sessions};
use crate::storage::SnapshotStorage;
use rockflow_endpoints::AdminOverrides;
use rockflow_yang::{data, DataTree, Path, Scalar, Schema};
use std::sync::Arc;
use std::time::Duration;

/// The options that [`Management::restore`] sets the datastores up with.
#[derive(Clone, Debug)]
pub struct ManagementOptions {
    /// The model of all configurations.
    pub schema: Arc<Schema>,
    /// The user whom no access rule restricts; `None`: the rules apply to every user.
    pub owner: Option<String>,
    /// Whether a restart begins with the last permanent commit or with a separate startup configuration.
    pub startup: StartupMode,
}

/// The result of [`Management::restore`].
pub struct Restored<S> {
    /// The restored datastores.
    pub management: Management<S>,
    /// The differences between the stored snapshot and what was restored from it.
    pub warnings: Vec<RestoreWarning>,
}

/// The datastores, sessions, locks and commits of a dispatcher. `S` stores what has to survive a restart.
pub struct Management<S> {
    schema: Arc<Schema>,
    storage: S,
    running: Arc<DataTree>,
    startup: DataTree,
    /// The number of the commit in force.
    version: u64,
    /// The greatest number given to a commit, in force or not.
    last_used_version: u64,
    access: Access,
    owner: Option<String>,
    history: History,
    sessions: Sessions,
    locks: Locks,
    pending: Option<PendingCommit>,
    notifications: NotificationQueue,
    startup_mode: StartupMode,
}

impl<S: SnapshotStorage> Management<S> {
    /// Sets the datastores up from the payload that was last stored, if any. `now` is Unix time, as in all calls.
    ///
    /// A confirmed commit that was pending is reverted by a commit that the dispatcher itself makes.
    ///
    /// # Errors
    /// Fails where the payload or its access rules can't be read: starting empty would silently drop overrides that
    /// were acknowledged.
    pub fn restore(
        now: Duration,
        options: ManagementOptions,
        storage: S,
        stored: Option<&[u8]>,
    ) -> Result<Restored<S>, RestoreError> {
        let ManagementOptions { schema, owner, startup: startup_mode } = options;
        let (mut record, mut warnings) = match stored {
            Some(payload) => Record::read(&schema, payload)?,
            None => (Record::default(), Vec::new()),
        };
        warnings.extend(revert_pending(now, &mut record));
        if startup_mode == StartupMode::Separate {
            restart_from_startup(&mut record);
        }
        let access = Access::compile(&schema, &record.running, owner.clone())?;
        let management = Management {
            schema,
            storage,
            running: Arc::new(record.running),
            startup: record.startup,
            version: record.version,
            last_used_version: record.last_used_version.max(record.version),
            access,
            owner,
            history: History::new(record.history, record.origins),
            sessions: Sessions::new(),
            locks: Locks::new(),
            pending: None,
            notifications: NotificationQueue::default(),
            startup_mode,
        };
        Ok(Restored { management, warnings })
    }

    /// The model of all configurations.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// The storage of the snapshots.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// The storage of the snapshots, mutable so that tests can make it fail.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// The configuration in force.
    pub fn running(&self) -> &Arc<DataTree> {
        &self.running
    }

    /// The number of the commit in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The access rules of the configuration in force.
    pub fn access(&self) -> &Access {
        &self.access
    }

    /// The administrative overrides of the configuration in force, by endpoint.
    pub fn administrative_overrides(&self) -> AdminOverrides {
        administrative_overrides(&self.schema, &self.running)
    }

    /// Whether the startup datastore is separate from running.
    pub fn has_separate_startup(&self) -> bool {
        self.startup_mode == StartupMode::Separate
    }

    /// The contents of a datastore as the session sees them. A candidate without edits equals running.
    pub fn datastore(&self, session: SessionId, datastore: Datastore) -> &DataTree {
        match datastore {
            Datastore::Running => &self.running,
            Datastore::Startup if self.has_separate_startup() => &self.startup,
            Datastore::Startup => &self.running,
            Datastore::Candidate => {
                let session = self.sessions.get(session).ok();
                let candidate = session.and_then(|session| session.candidate.as_ref());
                candidate.map_or(&*self.running, |candidate| &candidate.fields)
            }
        }
    }

    /// Takes the notifications since the last call, oldest first.
    pub fn take_notifications(&mut self) -> Vec<Notification> {
        self.notifications.take()
    }

    /// The retained commits, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Commit> {
        self.history.commits()
    }

    /// The newest origin of the values at or below the path.
    pub fn last_origin(&self, path: &Path) -> Option<&Origin> {
        self.history.last_origin(path)
    }

    /// The confirmed commit that has not been confirmed yet, if there is one.
    pub fn pending_commit(&self) -> Option<PendingCommitInfo<'_>> {
        self.pending.as_ref().map(PendingCommit::info)
    }

    /// The value of a numeric leaf of the `management` container, or else the model's default.
    fn setting(&self, name: &str) -> u64 {
        let names = ["router", "management", name];
        let configured = data::leaf_by_names(&self.schema, &self.running, &names).and_then(Scalar::as_u64);
        let default = || self.schema.find(&names).and_then(|id| self.schema.default_of(id)?.as_u64());
        configured.or_else(default).unwrap_or(1)
    }
}

/// Drops the pending commit of a stored record and adds a commit to the history that says so. The record's `running`
/// is the configuration before the pending commit already, so nothing else has to change.
fn revert_pending(now: Duration, record: &mut Record) -> Option<RestoreWarning> {
    let pending = record.pending.take()?;
    let warning = RestoreWarning::UnconfirmedCommit { version: pending.version, author: pending.author };
    record.last_used_version += 1;
    record.version = record.last_used_version;
    record.history.push_back(Commit {
        version: record.version,
        operator: Operator::system(),
        time: now,
        comment: warning.to_string(),
        changes: Vec::new(),
    });
    Some(warning)
}

/// Replaces running with the startup configuration. Where the two differ, the history and origins no longer describe
/// running and are cleared.
fn restart_from_startup(record: &mut Record) {
    if record.startup == record.running {
        return;
    }
    record.running = record.startup.clone();
    record.history.clear();
    record.origins.clear();
    record.last_used_version += 1;
    record.version = record.last_used_version;
}
