//! Datastores, sessions, locks and commits (RFC 6241; partial locks: RFC 5717).
//!
//! There is one running configuration, which only commits change. Each session has a candidate of its own, so
//! that two operators editing at once never see each other's half-done work; at its commit the later one is
//! laid over what has become of running meanwhile, and where both changed the same, it is refused with the name
//! of who was first. A commit is durable before it is in force, and in force before it is acknowledged.

use crate::access::{Access, Operation};
use crate::error::{ErrorTag, ManagementError};
use crate::marks::marks;
use crate::record::{Record, Trial};
use crate::words::{Commit, Operator, Origin, SessionId};
use rockflow_endpoints::{find_emptied_group, AdminOverrides, ListedEndpoint};
use rockflow_yang::{
    data, Change, DataNode, DataTree, Edit, EditError, EditOperation, Path, PathStep, Pattern, Scalar, Schema,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

impl Datastore {
    pub fn name(self) -> &'static str {
        match self {
            Datastore::Running => "running",
            Datastore::Candidate => "candidate",
            Datastore::Startup => "startup",
        }
    }
}

/// What follows on an edit that fails (RFC 6241, section 7.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorOption {
    #[default]
    Stop,
    Continue,
    Rollback,
}

/// Where a payload lasts. Once `save` has returned without a fault, a restart comes back with it.
pub trait Durable {
    fn save(&mut self, payload: &[u8]) -> Result<(), String>;
}

/// Lasts as long as the process.
#[derive(Debug, Default)]
pub struct Memory;

impl Durable for Memory {
    fn save(&mut self, _: &[u8]) -> Result<(), String> {
        Ok(())
    }
}

impl<D: rockflow_store::Disk> Durable for rockflow_store::Store<D> {
    fn save(&mut self, payload: &[u8]) -> Result<(), String> {
        rockflow_store::Store::save(self, payload).map(|_| ()).map_err(|what| what.to_string())
    }
}

impl<T: Durable + ?Sized> Durable for Box<T> {
    fn save(&mut self, payload: &[u8]) -> Result<(), String> {
        (**self).save(payload)
    }
}

/// How a commit is to be made.
#[derive(Clone, Debug, Default)]
pub struct CommitOptions {
    /// Undone after so long unless confirmed; none: for good.
    pub confirm_timeout: Option<Duration>,
    /// The name by which another session may confirm it; it then outlives its own.
    pub persist: Option<String>,
    /// The name of the pending commit that this one confirms or extends.
    pub persist_id: Option<String>,
}

struct Pending {
    session: Option<SessionId>,
    persist: Option<String>,
    author: Operator,
    version: u64,
    /// What holds again unless it is confirmed: the configuration, its number, and how long the history was.
    before: Arc<DataTree>,
    before_version: u64,
    due: Duration,
}

struct Candidate {
    fields: DataTree,
    base: Arc<DataTree>,
    base_version: u64,
}

struct Session {
    operator: Operator,
    since: Duration,
    heard: Duration,
    /// It follows something, and may be silent for it.
    follows: bool,
    candidate: Option<Candidate>,
}

struct Partial {
    session: SessionId,
    held: Vec<Path>,
}

/// What else a change is checked against: the hosts as they are listed.
#[derive(Clone, Debug, Default)]
pub struct ValidationContext {
    pub hosts: BTreeMap<String, ListedEndpoint>,
}

/// What others are told of.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    Committed(Commit),
    SessionStarted {
        session: SessionId,
        operator: Operator,
    },
    SessionEnded {
        session: SessionId,
        operator: Operator,
        reason: &'static str,
    },
    /// A confirmed commit began, was extended, confirmed, cancelled or timed out (RFC 6470).
    ConfirmedCommit {
        event: &'static str,
        operator: Operator,
    },
}

/// Caps on what is held here.
const MAX_VALUES: usize = 100_000;
const MAX_HISTORY_VALUES: usize = 100_000;
const MAX_PARTIAL_LOCKS: usize = 256;
/// Nodes that one expression of a partial lock may name.
const MAX_LOCKED: usize = 10_000;
const MAX_NOTICES: usize = 4096;
const MAX_PERSIST: usize = 256;
const MAX_COMMENT: usize = 1024;
/// RFC 6241, section 8.4.5.1; the most is a day.
pub const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);
const MAX_CONFIRM: Duration = Duration::from_secs(86_400);

pub struct Management<S> {
    schema: Arc<Schema>,
    saved: S,
    running: Arc<DataTree>,
    startup: DataTree,
    version: u64,
    used: u64,
    access: Access,
    owner: Option<String>,
    origins: BTreeMap<Path, Origin>,
    history: VecDeque<Commit>,
    sessions: BTreeMap<SessionId, Session>,
    next_session: u32,
    locks: BTreeMap<Datastore, (SessionId, Duration)>,
    partial: BTreeMap<u32, Partial>,
    next_partial: u32,
    pending: Option<Pending>,
    notices: VecDeque<Notification>,
    /// With a startup of its own, a restart begins with that; else with the last commit in force.
    separate_startup: bool,
}

impl<S: Durable> Management<S> {
    /// With what was last saved, if anything. A record that can't be read is a fault: to begin with nothing
    /// then would undo marks that were acknowledged.
    pub fn new(
        now: Duration,
        schema: Arc<Schema>,
        saved: S,
        restored: Option<&[u8]>,
        owner: Option<String>,
        separate_startup: bool,
    ) -> Result<(Self, Vec<String>), String> {
        let (mut record, mut complaints) = match restored {
            Some(bytes) => Record::read(&schema, bytes)?,
            None => (Record::default(), Vec::new()),
        };
        if let Some(trial) = record.trial.take() {
            let comment = format!(
                "commit {} of {} was not confirmed before the restart, and is undone",
                trial.version, trial.author
            );
            complaints.push(comment.clone());
            record.used += 1;
            record.version = record.used;
            let (version, operator) = (record.version, Operator::system());
            record.history.push_back(Commit { version, operator, time: now, comment, changes: Vec::new() });
        }
        if separate_startup && record.startup != record.running {
            // The history tells of what was committed; a start that goes back ends it.
            record.running = record.startup.clone();
            record.history.clear();
            record.origins.clear();
            record.used += 1;
            record.version = record.used;
        }
        let access = Access::of(&schema, &record.running, owner.clone())?;
        let machine = Management {
            schema,
            saved,
            running: Arc::new(record.running),
            startup: record.startup,
            version: record.version,
            used: record.used.max(record.version),
            access,
            owner,
            origins: record.origins,
            history: record.history,
            sessions: BTreeMap::new(),
            next_session: 1,
            locks: BTreeMap::new(),
            partial: BTreeMap::new(),
            next_partial: 1,
            pending: None,
            notices: VecDeque::new(),
            separate_startup,
        };
        Ok((machine, complaints))
    }

    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    pub fn saved(&self) -> &S {
        &self.saved
    }

    pub fn saved_mut(&mut self) -> &mut S {
        &mut self.saved
    }

    pub fn running(&self) -> &Arc<DataTree> {
        &self.running
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn access(&self) -> &Access {
        &self.access
    }

    pub fn marks(&self) -> AdminOverrides {
        marks(&self.schema, &self.running)
    }

    pub fn has_separate_startup(&self) -> bool {
        self.separate_startup
    }

    /// The configuration that a session sees under that name.
    pub fn datastore(&self, session: SessionId, which: Datastore) -> &DataTree {
        match which {
            Datastore::Running => &self.running,
            Datastore::Startup if self.separate_startup => &self.startup,
            Datastore::Startup => &self.running,
            Datastore::Candidate => {
                let candidate = self.sessions.get(&session).and_then(|session| session.candidate.as_ref());
                candidate.map_or(&*self.running, |candidate| &candidate.fields)
            }
        }
    }

    pub fn take_notices(&mut self) -> Vec<Notification> {
        self.notices.drain(..).collect()
    }

    fn tell(&mut self, notice: Notification) {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
    }

    // Sessions.

    fn number(&self, name: &str) -> u64 {
        let names = ["router", "management", name];
        let told = data::leaf_by_names(&self.schema, &self.running, &names).and_then(Scalar::as_u64);
        let default = self.schema.find(&names).and_then(|id| self.schema.default_of(id)?.as_u64());
        told.or(default).unwrap_or(1)
    }

    pub fn open(&mut self, now: Duration, operator: Operator) -> Result<SessionId, ManagementError> {
        let most = self.number("most-sessions") as usize;
        if self.sessions.len() >= most {
            return Err(ManagementError::new(
                ErrorTag::ResourceDenied,
                format!("all {most} sessions are in use"),
            ));
        }
        let id = SessionId(self.next_session);
        self.next_session += 1;
        self.tell(Notification::SessionStarted { session: id, operator: operator.clone() });
        self.sessions
            .insert(id, Session { operator, since: now, heard: now, follows: false, candidate: None });
        Ok(id)
    }

    /// The session has asked for something.
    pub fn touch(&mut self, now: Duration, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.heard = now;
        }
    }

    /// Whether the session follows something from now on, for which it may be silent.
    pub fn follows(&mut self, id: SessionId, follows: bool) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.follows = follows;
        }
    }

    pub fn is_open(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    pub fn sessions(&self) -> impl Iterator<Item = (SessionId, &Operator, Duration)> {
        self.sessions.iter().map(|(id, session)| (*id, &session.operator, session.since))
    }

    pub fn locks(&self) -> impl Iterator<Item = (Datastore, SessionId, Duration)> + '_ {
        self.locks.iter().map(|(which, (session, since))| (*which, *session, *since))
    }

    /// Ends a session, with all that it holds; a commit that only it could confirm is undone at once.
    pub fn close(&mut self, now: Duration, id: SessionId, reason: &'static str) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.locks.retain(|_, (holder, _)| *holder != id);
        self.partial.retain(|_, partial| partial.session != id);
        if self.pending.as_ref().is_some_and(|pending| pending.session == Some(id)) {
            self.undo(now, "cancel");
        }
        self.tell(Notification::SessionEnded { session: id, operator: session.operator, reason });
    }

    pub fn kill(&mut self, now: Duration, id: SessionId, victim: SessionId) -> Result<(), ManagementError> {
        self.authorize_call(id, "kill-session")?;
        if id == victim {
            return Err(ManagementError::new(
                ErrorTag::InvalidValue,
                "a session ends itself with close-session",
            ));
        }
        if !self.sessions.contains_key(&victim) {
            return Err(ManagementError::new(
                ErrorTag::InvalidValue,
                format!("there is no session {}", victim.0),
            ));
        }
        self.close(now, victim, "killed");
        Ok(())
    }

    fn session(&self, id: SessionId) -> Result<&Session, ManagementError> {
        self.sessions
            .get(&id)
            .ok_or_else(|| ManagementError::new(ErrorTag::OperationFailed, "the session has ended"))
    }

    pub fn operator(&self, id: SessionId) -> Result<&Operator, ManagementError> {
        self.session(id).map(|session| &session.operator)
    }

    pub fn authorize_call(&self, id: SessionId, call: &str) -> Result<(), ManagementError> {
        let user = &self.session(id)?.operator.user;
        if self.access.is_call_permitted(user, call) {
            return Ok(());
        }
        Err(ManagementError::new(ErrorTag::AccessDenied, format!("{user} may not call {call}")))
    }

    // Locks.

    pub fn lock(&mut self, now: Duration, id: SessionId, which: Datastore) -> Result<(), ManagementError> {
        self.authorize_call(id, "lock")?;
        let denied = |holder: SessionId, what: &str| {
            let message = format!("{what} by session {}", holder.0);
            Err(ManagementError::new(ErrorTag::LockDenied, message).with_holder(holder))
        };
        if let Some((holder, _)) = self.locks.get(&which) {
            return denied(*holder, "locked");
        }
        if which == Datastore::Running {
            if let Some(partial) = self.partial.values().find(|partial| partial.session != id) {
                return denied(partial.session, "locked in part");
            }
            if let Some(pending) = self.pending.as_ref().filter(|pending| pending.session != Some(id)) {
                return denied(pending.session.unwrap_or(SessionId(0)), "a confirmed commit is pending");
            }
        }
        self.locks.insert(which, (id, now));
        Ok(())
    }

    pub fn unlock(&mut self, id: SessionId, which: Datastore) -> Result<(), ManagementError> {
        self.authorize_call(id, "unlock")?;
        match self.locks.get(&which) {
            Some((holder, _)) if *holder == id => {
                self.locks.remove(&which);
                if which == Datastore::Candidate {
                    self.discard_changes(id)?;
                }
                Ok(())
            }
            Some((holder, _)) => {
                let message = format!("{} is locked by session {}", which.name(), holder.0);
                Err(ManagementError::new(ErrorTag::OperationFailed, message).with_holder(*holder))
            }
            None => Err(ManagementError::new(
                ErrorTag::OperationFailed,
                format!("{} is not locked", which.name()),
            )),
        }
    }

    /// Locks what the patterns name in running now (RFC 5717), and returns the lock's number and what it holds.
    pub fn partial_lock(
        &mut self,
        id: SessionId,
        select: &[Pattern],
    ) -> Result<(u32, Vec<Path>), ManagementError> {
        self.authorize_call(id, "partial-lock")?;
        let user = self.session(id)?.operator.user.clone();
        let mut held: Vec<Path> = Vec::new();
        for pattern in select {
            let found = data::instances_matching(&self.running, pattern, MAX_LOCKED);
            let found =
                found.ok_or_else(|| ManagementError::new(ErrorTag::TooBig, "too much to lock in part"))?;
            held.extend(found.into_iter().map(|(path, _)| path));
        }
        if held.is_empty() {
            return Err(ManagementError::new(ErrorTag::OperationFailed, "nothing there to lock")
                .with_app_tag("no-matches"));
        }
        if let Some(path) = held.iter().find(|path| !self.access.is_permitted(&user, Operation::Update, path))
        {
            return Err(ManagementError::new(ErrorTag::AccessDenied, "may not be changed, so not locked")
                .with_path(path));
        }
        let denied = |holder: SessionId| {
            Err(ManagementError::new(ErrorTag::LockDenied, format!("locked by session {}", holder.0))
                .with_holder(holder))
        };
        if let Some((holder, _)) = self.locks.get(&Datastore::Running).filter(|(holder, _)| *holder != id) {
            return denied(*holder);
        }
        if let Some(pending) = self.pending.as_ref().filter(|pending| pending.session != Some(id)) {
            let holder = pending.session.unwrap_or(SessionId(0));
            let fault = ManagementError::new(ErrorTag::LockDenied, "a confirmed commit is pending")
                .with_holder(holder);
            return Err(fault.with_app_tag("outstanding-confirmed-commit"));
        }
        let overlaps = |other: &Partial| {
            other.held.iter().any(|held_there| held.iter().any(|mine| overlap(mine, held_there)))
        };
        if let Some(other) = self.partial.values().find(|other| other.session != id && overlaps(other)) {
            return denied(other.session);
        }
        if self.partial.len() >= MAX_PARTIAL_LOCKS {
            return Err(ManagementError::new(ErrorTag::ResourceDenied, "too many partial locks"));
        }
        let lock = self.next_partial;
        self.next_partial += 1;
        self.partial.insert(lock, Partial { session: id, held: held.clone() });
        Ok((lock, held))
    }

    pub fn partial_unlock(&mut self, id: SessionId, lock: u32) -> Result<(), ManagementError> {
        self.authorize_call(id, "partial-unlock")?;
        if self.partial.get(&lock).is_none_or(|partial| partial.session != id) {
            return Err(ManagementError::new(
                ErrorTag::InvalidValue,
                format!("no partial lock {lock} of this session"),
            ));
        }
        self.partial.remove(&lock);
        Ok(())
    }

    /// Whether another's lock stands in the way of these changes to running.
    fn unlocked(&self, id: SessionId, changes: &[Change]) -> Result<(), ManagementError> {
        let in_use = |holder: SessionId, what: &str| {
            Err(ManagementError::new(ErrorTag::InUse, format!("{what} by session {}", holder.0))
                .with_holder(holder))
        };
        if let Some((holder, _)) = self.locks.get(&Datastore::Running).filter(|(holder, _)| *holder != id) {
            return in_use(*holder, "running is locked");
        }
        for partial in self.partial.values().filter(|partial| partial.session != id) {
            let hit = |held: &Path| changes.iter().any(|change| overlap(held, &change.path));
            if let Some(held) = partial.held.iter().find(|held| hit(held)) {
                let what = format!("{} is locked", held.to_text(&self.schema));
                return in_use(partial.session, &what).map_err(|fault| fault.with_path(held));
            }
        }
        Ok(())
    }

    // Editing.

    fn candidate_free(&self, id: SessionId) -> Result<(), ManagementError> {
        match self.locks.get(&Datastore::Candidate) {
            Some((holder, _)) if *holder != id => {
                let message = format!("candidate is locked by session {}", holder.0);
                Err(ManagementError::new(ErrorTag::InUse, message).with_holder(*holder))
            }
            _ => Ok(()),
        }
    }

    /// Edits the session's candidate, or startup where that is kept apart. `test_only`: nothing is kept.
    /// Faults of a `Continue` come together; the edits beside them hold.
    pub fn edit_config(
        &mut self,
        id: SessionId,
        which: Datastore,
        edits: &[Edit],
        option: ErrorOption,
        test_only: bool,
    ) -> Result<(), Vec<ManagementError>> {
        let ready = self.authorize_call(id, "edit-config").and_then(|()| match which {
            Datastore::Candidate => self.candidate_free(id),
            Datastore::Startup if self.separate_startup => Ok(()),
            _ => Err(ManagementError::new(
                ErrorTag::OperationNotSupported,
                "only the candidate is edited, then committed",
            )),
        });
        ready.map_err(|fault| vec![fault])?;
        let user = self.session(id).map_err(|fault| vec![fault])?.operator.user.clone();
        let before = self.datastore(id, which).clone();
        let (mut after, mut faults) = (before.clone(), Vec::new());
        for edit in edits {
            if let Err(fault) = self.allowed_edit(&user, &mut after, edit) {
                faults.push(fault);
                if option != ErrorOption::Continue {
                    break;
                }
            }
        }
        if data::count_values(&after) > MAX_VALUES {
            let message = format!("more than {MAX_VALUES} values");
            return Err(vec![ManagementError::new(ErrorTag::ResourceDenied, message)]);
        }
        let keep = !test_only && (faults.is_empty() || option != ErrorOption::Rollback);
        if keep && after != before {
            match which {
                Datastore::Startup => {
                    let old = std::mem::replace(&mut self.startup, after);
                    if let Err(what) = self.save() {
                        self.startup = old;
                        return Err(vec![ManagementError::new(ErrorTag::OperationFailed, what)]);
                    }
                }
                _ => self.put_candidate(id, after),
            }
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    fn allowed_edit(&self, user: &str, fields: &mut DataTree, edit: &Edit) -> Result<(), ManagementError> {
        let mut after = fields.clone();
        data::apply_edit(&self.schema, &mut after, edit)?;
        self.allowed(user, &data::diff(fields, &after))?;
        *fields = after;
        Ok(())
    }

    /// RFC 8341, section 3.4.5: each node by what is done to it.
    fn allowed(&self, user: &str, changes: &[Change]) -> Result<(), ManagementError> {
        for change in changes {
            let operation = match (&change.before, &change.after) {
                (None, _) => Operation::Create,
                (_, None) => Operation::Delete,
                _ => Operation::Update,
            };
            if !self.access.is_permitted(user, operation, &change.path) {
                let message = format!("{user} may not {operation:?} this").to_lowercase();
                return Err(ManagementError::new(ErrorTag::AccessDenied, message).with_path(&change.path));
            }
        }
        Ok(())
    }

    fn put_candidate(&mut self, id: SessionId, fields: DataTree) {
        let (running, version) = (self.running.clone(), self.version);
        if let Some(session) = self.sessions.get_mut(&id) {
            let fresh = || Candidate { fields: DataTree::new(), base: running, base_version: version };
            session.candidate.get_or_insert_with(fresh).fields = fields;
        }
    }

    pub fn discard_changes(&mut self, id: SessionId) -> Result<(), ManagementError> {
        self.authorize_call(id, "discard-changes")?;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.candidate = None;
        }
        Ok(())
    }

    /// Copies one whole configuration over another (RFC 6241, section 7.3); `from` none: the tree given.
    pub fn copy_config(
        &mut self,
        id: SessionId,
        from: Result<Datastore, DataTree>,
        to: Datastore,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "copy-config")?;
        let fields = match from {
            Ok(which) if which == to => {
                return Err(ManagementError::new(ErrorTag::InvalidValue, "copied onto itself"))
            }
            Ok(which) => self.datastore(id, which).clone(),
            Err(fields) => fields,
        };
        let value = Some(DataNode::Container(fields));
        let edit = Edit { path: Path::default(), op: EditOperation::Replace, value };
        match to {
            Datastore::Running => Err(ManagementError::new(
                ErrorTag::OperationNotSupported,
                "running is changed by commits alone",
            )),
            Datastore::Startup if !self.separate_startup => {
                Err(ManagementError::new(ErrorTag::OperationNotSupported, "startup follows each commit"))
            }
            Datastore::Startup => {
                if let Some((holder, _)) = self.locks.get(&to).filter(|(holder, _)| *holder != id) {
                    return Err(
                        ManagementError::new(ErrorTag::InUse, "startup is locked").with_holder(*holder)
                    );
                }
                self.edit_config(id, to, &[edit], ErrorOption::Rollback, false).map_err(first)
            }
            Datastore::Candidate => {
                self.edit_config(id, to, &[edit], ErrorOption::Rollback, false).map_err(first)
            }
        }
    }

    /// Empties startup; only where it is kept apart.
    pub fn delete_startup(&mut self, id: SessionId) -> Result<(), ManagementError> {
        self.authorize_call(id, "delete-config")?;
        let edit = Edit { path: Path::default(), op: EditOperation::Remove, value: None };
        self.edit_config(id, Datastore::Startup, &[edit], ErrorOption::Rollback, false).map_err(first)
    }

    // Validating and committing.

    /// What the model, the rules' own form and the list of hosts demand of a configuration.
    fn valid(
        &self,
        now: Duration,
        after: &DataTree,
        around: &ValidationContext,
    ) -> Result<(), ManagementError> {
        data::check_constraints(&self.schema, after, &Path::default())
            .map_err(|fault: EditError| ManagementError::from(fault))?;
        if data::count_values(after) > MAX_VALUES {
            return Err(ManagementError::new(
                ErrorTag::ResourceDenied,
                format!("more than {MAX_VALUES} values"),
            ));
        }
        Access::of(&self.schema, after, self.owner.clone())
            .map_err(|what| ManagementError::new(ErrorTag::InvalidValue, what))?;
        let (old, new) = (self.marks(), marks(&self.schema, after));
        if let Some(what) = find_emptied_group(&around.hosts, &old, &new, now) {
            let message = format!("{what}; with force it is done all the same");
            return Err(ManagementError::new(ErrorTag::OperationFailed, message).with_app_tag("none-left"));
        }
        Ok(())
    }

    pub fn validate(
        &self,
        now: Duration,
        id: SessionId,
        which: Result<Datastore, &DataTree>,
        around: &ValidationContext,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "validate")?;
        match which {
            Ok(Datastore::Candidate) => self.valid(now, &self.rebased(id)?, around),
            Ok(which) => self.valid(now, self.datastore(id, which), around),
            Err(fields) => self.valid(now, fields, around),
        }
    }

    /// The candidate laid over what has become of running since it was begun.
    fn rebased(&self, id: SessionId) -> Result<DataTree, ManagementError> {
        let Some(candidate) = &self.session(id)?.candidate else {
            return Ok((*self.running).clone());
        };
        if candidate.base_version == self.version {
            return Ok(candidate.fields.clone());
        }
        let mine = data::diff(&candidate.base, &candidate.fields);
        let theirs = data::diff(&candidate.base, &self.running);
        if let Some(path) = clash(&self.schema, &mine, &theirs) {
            let touches = |commit: &&Commit| {
                commit.version > candidate.base_version
                    && commit.changes.iter().any(|change| overlap(&change.path, path))
            };
            let first = self.history.iter().rev().find(touches);
            let by = first.map_or("meanwhile".to_string(), |commit| {
                format!("by {} in commit {}", commit.operator.user, commit.version)
            });
            let message = format!("{} was changed {by}; discard and begin anew", path.to_text(&self.schema));
            return Err(ManagementError::new(ErrorTag::OperationFailed, message)
                .with_app_tag("conflict")
                .with_path(path));
        }
        let mut merged = (*self.running).clone();
        data::apply_changes(&self.schema, &mut merged, &mine);
        Ok(merged)
    }

    /// Guards against a call that would confirm a pending commit by the way.
    fn none_pending(&self) -> Result<(), ManagementError> {
        match &self.pending {
            None => Ok(()),
            Some(pending) => Err(waits(pending, ErrorTag::InUse)),
        }
    }

    /// Whether the session may commit while a confirmed commit is pending (RFC 6241, section 8.4).
    fn entitled(&self, id: SessionId, persist_id: Option<&str>) -> Result<(), ManagementError> {
        match (&self.pending, persist_id) {
            (None, None) => Ok(()),
            (None, Some(_)) => {
                Err(ManagementError::new(ErrorTag::InvalidValue, "no confirmed commit is pending"))
            }
            (Some(pending), given) => {
                let own = pending.persist.is_none() && pending.session == Some(id) && given.is_none();
                if own || pending.persist.as_deref().is_some_and(|name| Some(name) == given) {
                    return Ok(());
                }
                Err(waits(pending, if given.is_some() { ErrorTag::InvalidValue } else { ErrorTag::InUse }))
            }
        }
    }

    /// Commits the session's candidate. A pending confirmed commit that the session may confirm is confirmed by
    /// it, or extended where this one is to be confirmed too. Returns the number in force.
    pub fn commit(
        &mut self,
        now: Duration,
        id: SessionId,
        confirm: &CommitOptions,
        comment: &str,
        around: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, "commit")?;
        self.entitled(id, confirm.persist_id.as_deref())?;
        self.candidate_free(id)?;
        if confirm.persist.as_ref().is_some_and(|name| name.len() > MAX_PERSIST) {
            return Err(ManagementError::new(ErrorTag::TooBig, "the persist id is too long"));
        }
        let after = self.rebased(id)?;
        let version = self.change(now, id, after, confirm, comment, around, true)?;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.candidate = None;
        }
        Ok(version)
    }

    /// Changes running in one transaction, past any candidate: for protocols without one. `expected`: refused
    /// unless that commit is in force.
    pub fn set(
        &mut self,
        now: Duration,
        id: SessionId,
        edits: &[Edit],
        expected: Option<u64>,
        comment: &str,
        around: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, "set")?;
        self.none_pending()?;
        self.expect(expected)?;
        let mut after = (*self.running).clone();
        for edit in edits {
            data::apply_edit(&self.schema, &mut after, edit)?;
        }
        self.change(now, id, after, &CommitOptions::default(), comment, around, true)
    }

    fn expect(&self, expected: Option<u64>) -> Result<(), ManagementError> {
        if expected.is_none_or(|expected| expected == self.version) {
            return Ok(());
        }
        let last = self.history.back().map_or("-", |commit| &commit.operator.user);
        let message = format!("commit {} of {last} is in force", self.version);
        Err(ManagementError::new(ErrorTag::OperationFailed, message).with_app_tag("conflict"))
    }

    /// Marks a host, or takes its mark away, in a commit of its own; who may make the call may do that.
    pub fn mark(
        &mut self,
        now: Duration,
        id: SessionId,
        call: &str,
        host: &str,
        leaves: &[(&str, Scalar)],
        around: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, call)?;
        self.none_pending()?;
        let text = format!("/rockflow-router:router/marks/mark[host=\"{host}\"]");
        let path = Path::parse(&self.schema, &text)
            .map_err(|error| ManagementError::new(ErrorTag::InvalidValue, error.to_string()))?;
        let mut after = (*self.running).clone();
        if leaves.is_empty() {
            let edit = Edit { path: path.clone(), op: EditOperation::Delete, value: None };
            data::apply_edit(&self.schema, &mut after, &edit).map_err(|_| {
                ManagementError::new(ErrorTag::DataMissing, format!("{host} has no mark")).with_path(&path)
            })?;
        } else {
            let mut fields = DataTree::new();
            for (name, value) in leaves {
                let node = path.node().and_then(|list| self.schema.child(Some(list), None, name));
                let node = node.ok_or_else(|| {
                    ManagementError::new(ErrorTag::OperationFailed, format!("no leaf {name}"))
                })?;
                fields.insert(node, DataNode::Leaf(value.clone()));
            }
            let edit = Edit { path, op: EditOperation::Replace, value: Some(DataNode::Container(fields)) };
            data::apply_edit(&self.schema, &mut after, &edit)?;
        }
        let comment = format!("{call} {host}");
        self.change(now, id, after, &CommitOptions::default(), &comment, around, false)
    }

    /// The configuration as it was when that commit was in force.
    pub fn at_version(&self, version: u64) -> Option<DataTree> {
        let reachable = version == self.version
            || self.history.iter().any(|commit| commit.version == version)
            || self.history.front().is_some_and(|oldest| oldest.version == version + 1);
        if !reachable || version > self.version {
            return None;
        }
        let mut fields = (*self.running).clone();
        for commit in self.history.iter().rev().take_while(|commit| commit.version > version) {
            data::apply_changes(&self.schema, &mut fields, &inverse(&commit.changes));
        }
        Some(fields)
    }

    pub fn rollback(
        &mut self,
        now: Duration,
        id: SessionId,
        version: u64,
        expected: Option<u64>,
        around: &ValidationContext,
    ) -> Result<u64, ManagementError> {
        self.authorize_call(id, "rollback")?;
        self.none_pending()?;
        self.expect(expected)?;
        let after = self.at_version(version).ok_or_else(|| {
            let oldest = self.history.front().map_or(self.version, |commit| commit.version);
            let message = format!("commit {version} is not held; the oldest is {oldest}");
            ManagementError::new(ErrorTag::DataMissing, message)
        })?;
        let comment = format!("rollback to {version}");
        self.change(now, id, after, &CommitOptions::default(), &comment, around, true)
    }

    /// The one way by which running changes at a session's word.
    #[allow(clippy::too_many_arguments)]
    fn change(
        &mut self,
        now: Duration,
        id: SessionId,
        after: DataTree,
        confirm: &CommitOptions,
        comment: &str,
        around: &ValidationContext,
        judged: bool,
    ) -> Result<u64, ManagementError> {
        let operator = self.session(id)?.operator.clone();
        let changes = data::diff(&self.running, &after);
        self.unlocked(id, &changes)?;
        if judged {
            self.allowed(&operator.user, &changes)?;
        }
        self.valid(now, &after, around)?;
        if changes.is_empty() && self.pending.is_none() && confirm.confirm_timeout.is_none() {
            return Ok(self.version);
        }
        let comment = comment.chars().take(MAX_COMMENT).collect::<String>();
        let commit =
            Commit { version: self.used + 1, operator: operator.clone(), time: now, comment, changes };
        let Some(within) = confirm.confirm_timeout else {
            let confirming = self.pending.take();
            if let Err(fault) = self.install(commit, after, false) {
                self.pending = confirming;
                return Err(fault);
            }
            if confirming.is_some() {
                self.tell(Notification::ConfirmedCommit { event: "complete", operator });
            }
            return Ok(self.version);
        };
        let (before, before_version, event) = match &self.pending {
            Some(pending) => (pending.before.clone(), pending.before_version, "extend"),
            None => (self.running.clone(), self.version, "start"),
        };
        let version = if commit.changes.is_empty() { self.version } else { commit.version };
        let pending = Pending {
            session: confirm.persist.is_none().then_some(id),
            persist: confirm.persist.clone(),
            author: operator.clone(),
            version,
            before,
            before_version,
            due: now + within.min(MAX_CONFIRM),
        };
        let old = self.pending.replace(pending);
        if let Err(fault) = self.install(commit, after, true) {
            self.pending = old;
            return Err(fault);
        }
        self.tell(Notification::ConfirmedCommit { event, operator });
        Ok(self.version)
    }

    /// Saves, then puts in force. `trial`: what is saved is what holds again unless it is confirmed.
    fn install(&mut self, commit: Commit, after: DataTree, trial: bool) -> Result<(), ManagementError> {
        let old = (self.running.clone(), self.version, self.used, self.origins.clone());
        let (version, unchanged) = (commit.version, commit.changes.is_empty());
        self.used = version;
        for change in &commit.changes {
            if change.after.is_some() {
                let origin = Origin { author: commit.operator.user.clone(), version, time: commit.time };
                self.origins.insert(change.path.clone(), origin);
            } else {
                self.origins.remove(&change.path);
            }
        }
        self.running = Arc::new(after);
        // A confirmation alone changes nothing, and is no commit to go back to.
        if !unchanged {
            self.version = version;
            self.history.push_back(commit.clone());
        } else {
            self.used = old.2;
        }
        if let Err(what) = self.save() {
            if !unchanged {
                self.history.pop_back();
            }
            // Not used again: it may have reached the disk.
            (self.running, self.version, self.origins) = (old.0, old.1, old.3);
            debug_assert!(trial || self.pending.is_none());
            return Err(ManagementError::new(ErrorTag::OperationFailed, what));
        }
        self.bound_history();
        if let Ok(access) = Access::of(&self.schema, &self.running, self.owner.clone()) {
            self.access = access;
        }
        if !unchanged {
            self.tell(Notification::Committed(commit));
        }
        Ok(())
    }

    fn bound_history(&mut self) {
        let most = self.number("history-length") as usize;
        let mut values: usize = self.history.iter().map(|commit| commit.changes.len()).sum();
        while self.history.len() > most || (values > MAX_HISTORY_VALUES && self.history.len() > 1) {
            values -= self.history.pop_front().map_or(0, |commit| commit.changes.len());
        }
    }

    /// Makes what holds durable: the configuration in force, or while one waits for its confirmation, the one
    /// before it.
    fn save(&mut self) -> Result<(), String> {
        let mut record = Record {
            running: (*self.running).clone(),
            startup: if self.separate_startup { self.startup.clone() } else { DataTree::new() },
            version: self.version,
            used: self.used,
            trial: None,
            history: self.history.clone(),
            origins: self.origins.clone(),
        };
        if let Some(pending) = &self.pending {
            record.trial = Some(Trial { version: self.used, author: pending.author.user.clone() });
            record.running = (*pending.before).clone();
            record.version = pending.before_version;
            record.history.retain(|commit| commit.version <= pending.before_version);
            let kept: BTreeSet<Path> = data::leaves(&record.running).into_keys().collect();
            record
                .origins
                .retain(|path, origin| kept.contains(path) && origin.version <= pending.before_version);
        }
        let payload = record.write(&self.schema);
        self.saved.save(&payload)
    }

    /// Undoes the pending confirmed commit, as a commit of the dispatcher's own.
    fn undo(&mut self, now: Duration, event: &'static str) {
        let Some(pending) = self.pending.take() else { return };
        let changes = data::diff(&self.running, &pending.before);
        let comment = format!("commit {} of {} was not confirmed", pending.version, pending.author.user);
        let commit =
            Commit { version: self.used + 1, operator: Operator::system(), time: now, comment, changes };
        let before = (*pending.before).clone();
        if self.install(commit.clone(), before.clone(), false).is_err() {
            // What is durable already is what holds again, so that a disk that fails must not keep it back.
            self.running = Arc::new(before);
            self.version = commit.version;
            self.used = commit.version;
            self.history.push_back(commit.clone());
            self.bound_history();
            if let Ok(access) = Access::of(&self.schema, &self.running, self.owner.clone()) {
                self.access = access;
            }
            self.tell(Notification::Committed(commit));
        }
        self.tell(Notification::ConfirmedCommit { event, operator: pending.author });
    }

    pub fn cancel(
        &mut self,
        now: Duration,
        id: SessionId,
        persist_id: Option<&str>,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "cancel-commit")?;
        if self.pending.is_none() {
            return Err(ManagementError::new(ErrorTag::OperationFailed, "no confirmed commit is pending"));
        }
        self.entitled(id, persist_id)?;
        self.undo(now, "cancel");
        Ok(())
    }

    // Time.

    /// When something is due: a confirmation, or the end of a silent session.
    pub fn due(&self) -> Option<Duration> {
        let idle = Duration::from_secs(self.number("idle-limit"));
        let silent = self.sessions.values().filter(|session| !session.follows);
        let ends = silent.map(|session| session.heard + idle).min();
        let confirm = self.pending.as_ref().map(|pending| pending.due);
        ends.into_iter().chain(confirm).min()
    }

    /// Undoes what was not confirmed by then, and closes sessions that were silent too long; returns those.
    pub fn tick(&mut self, now: Duration) -> Vec<SessionId> {
        if self.pending.as_ref().is_some_and(|pending| pending.due <= now) {
            self.undo(now, "timeout");
        }
        let idle = Duration::from_secs(self.number("idle-limit"));
        let over = |session: &Session| !session.follows && session.heard + idle <= now;
        let silent: Vec<_> =
            self.sessions.iter().filter(|(_, session)| over(session)).map(|(id, _)| *id).collect();
        silent.iter().for_each(|id| self.close(now, *id, "timeout"));
        silent
    }

    // What is told of all this.

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Commit> {
        self.history.iter()
    }

    pub fn origin(&self, path: &Path) -> Option<&Origin> {
        self.origins.get(path)
    }

    /// The last word on anything at or below the path.
    pub fn last_origin(&self, path: &Path) -> Option<&Origin> {
        let below = self.origins.range(path.clone()..).take_while(|(at, _)| path.contains(at));
        below.map(|(_, origin)| origin).max_by_key(|origin| origin.version)
    }

    /// Who made the pending confirmed commit, in which session, and when it is due.
    pub fn pending(&self) -> Option<(&Operator, Option<SessionId>, Duration)> {
        self.pending.as_ref().map(|pending| (&pending.author, pending.session, pending.due))
    }
}

fn waits(pending: &Pending, tag: ErrorTag) -> ManagementError {
    let message = format!("commit {} of {} waits for its confirmation", pending.version, pending.author.user);
    ManagementError::new(tag, message).with_holder(pending.session.unwrap_or(SessionId(0)))
}

fn first(mut faults: Vec<ManagementError>) -> ManagementError {
    if faults.is_empty() {
        return ManagementError::new(ErrorTag::OperationFailed, "failed");
    }
    faults.remove(0)
}

/// Whether one is the other, or lies below it.
fn overlap(one: &Path, other: &Path) -> bool {
    one.contains(other) || other.contains(one)
}

fn inverse(changes: &[Change]) -> Vec<Change> {
    let turned = changes.iter().map(|change| Change {
        path: change.path.clone(),
        before: change.after.clone(),
        after: change.before.clone(),
    });
    turned.collect()
}

/// A path that both changed, to different ends: the same leaf, or one took an entry away in which the other put
/// something.
fn clash<'a>(schema: &Schema, mine: &'a [Change], theirs: &'a [Change]) -> Option<&'a Path> {
    let by_path: BTreeMap<&Path, &Change> = theirs.iter().map(|change| (&change.path, change)).collect();
    let other =
        |change: &&Change| by_path.get(&change.path).is_some_and(|theirs| theirs.after != change.after);
    if let Some(change) = mine.iter().find(other) {
        return Some(&change.path);
    }
    let lost = |changes: &'a [Change]| {
        let keys = changes.iter().filter(|change| {
            change.after.is_none() && change.path.node().is_some_and(|node| schema.is_key(node))
        });
        keys.map(|change| &change.path.0[..change.path.0.len() - 1]).collect::<Vec<&'a [PathStep]>>()
    };
    let put_in = |changes: &'a [Change], entries: &[&'a [PathStep]]| {
        let inside = |change: &&Change| {
            change.after.is_some() && entries.iter().any(|entry| change.path.0.starts_with(entry))
        };
        changes.iter().find(inside).map(|change| &change.path)
    };
    put_in(mine, &lost(theirs)).or_else(|| put_in(theirs, &lost(mine)))
}
