//! The desk: the datastores beside a running dispatcher, one at a time, for every front alike. A commit is
//! durable, then goes to the list's actor in the order of commits, and is acknowledged once the decisions go by
//! it. All of this runs in the management thread; the dispatcher sees words in mailboxes.

use crate::audit::Audit;
use crate::operator_config::ManagementSection;
use crate::state;
use rockflow_dispatcher::StatusReport;
use rockflow_dispatcher::{Clock, ServiceHandle};
use rockflow_endpoints::{merge_readiness, AdminOverrides, EffectiveReadiness};
use rockflow_management::*;
use rockflow_store::{Folder, Store};
use rockflow_yang::{data, DataTree, Edit, Path, Pattern, Scalar, Schema};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{broadcast, oneshot, Notify};
use tracing::{debug, error, info, warn};

type Kept = Box<dyn Durable + Send>;
pub type Datastores = Management<Kept>;

/// How old a survey may be that is shown, and how long one is waited for before the last one is.
const SURVEY_FRESH: Duration = Duration::from_millis(40);
const SURVEY_WAIT: Duration = Duration::from_secs(1);
/// The longest wait for the decisions to go by a commit before it is acknowledged all the same.
const APPLY_WAIT: Duration = Duration::from_secs(2);
/// How often state is looked at for followers of its changes.
pub const PULSE: Duration = Duration::from_millis(100);
/// The longest wait between two looks at what is due.
const LOOK: Duration = Duration::from_secs(1);
/// Events that a slow follower may be behind before it misses some.
const MAX_EVENTS: usize = 1024;
/// Followers over all fronts.
const MAX_FOLLOWERS: usize = 256;
const STORE: &str = "config";

/// What is told to followers of events (RFC 5277), by the model's notifications or those of RFC 6470.
#[derive(Clone, Debug)]
pub enum ManagementEvent {
    Notification(Notification),
    EndpointChanged { name: String, now: Option<EffectiveReadiness> },
    OverrideExpired { host: String },
}

struct Follower {
    user: String,
    subscription: Subscription,
    wake: Arc<Notify>,
}

struct Inner {
    datastores: Datastores,
    audit: Audit,
    survey: Option<(Duration, Arc<StatusReport>)>,
    /// What followers of changes last saw; none while there are none.
    seen: Option<DataTree>,
    followers: BTreeMap<u64, Follower>,
    next_follower: u64,
    /// Sessions that the desk has ended, each to be told by its front.
    ended: VecDeque<SessionId>,
    /// Whom the events last spoke of, and how each stood.
    hosts: BTreeMap<String, EffectiveReadiness>,
    expired: BTreeMap<String, Duration>,
    level: Option<String>,
    /// The list has not been told of the last marks yet.
    unapplied: bool,
}

/// Sets the log's level while running; none: as the program was started.
pub type SetLogLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

/// The datastores as they come back at a start, ahead of the dispatcher.
pub struct RestoredState {
    datastores: Datastores,
    audit: Audit,
    clock: Clock,
}

pub struct ManagementService {
    inner: Mutex<Inner>,
    schema: Arc<Schema>,
    link: ServiceHandle,
    started: Duration,
    events: broadcast::Sender<(Duration, ManagementEvent)>,
    /// Something is due earlier than was known.
    moved: Notify,
    /// A session has ended at the desk's word.
    ended: Notify,
    set_level: SetLogLevel,
}

impl RestoredState {
    /// Opens what lasts, and reads it back. A folder that can't be used is an error, not an empty one.
    pub fn open(clock: Clock, part: &ManagementSection) -> Result<RestoredState, String> {
        let schema = Arc::new(Schema::published());
        let mut restored = None;
        let kept: Kept = match &part.store {
            None => Box::new(Memory),
            Some(path) => {
                let fault = |what: std::io::Error| format!("store {}: {what}", path.display());
                let folder = Folder::open(path).map_err(fault)?;
                let opened = Store::open(folder, STORE, record::VERSION, record::MOST);
                let (store, found, complaints) = opened.map_err(fault)?;
                for what in complaints {
                    error!(what, folder = %path.display(), "snapshot passed over; the last good one holds");
                }
                restored = found.map(|found| found.payload);
                Box::new(store)
            }
        };
        let (owner, separate) = (Some(part.owner.clone()), part.separate_startup);
        let made = Management::new(clock.now(), schema, kept, restored.as_deref(), owner, separate);
        let (datastores, complaints) = made.map_err(|what| format!("stored configuration: {what}"))?;
        complaints.iter().for_each(|what| warn!(what, "configuration restored"));
        info!(version = datastores.version(), marks = datastores.marks().len(), "management opened");
        Ok(RestoredState { datastores, audit: Audit::open(part.audit.as_deref())?, clock })
    }

    /// The marks that hold from the first request on.
    pub fn marks(&self) -> AdminOverrides {
        self.datastores.marks()
    }

    pub fn into_service(self, link: ServiceHandle, set_level: SetLogLevel) -> Arc<ManagementService> {
        let inner = Inner {
            datastores: self.datastores,
            audit: self.audit,
            survey: None,
            seen: None,
            followers: BTreeMap::new(),
            next_follower: 1,
            ended: VecDeque::new(),
            hosts: BTreeMap::new(),
            expired: BTreeMap::new(),
            level: None,
            unapplied: false,
        };
        let desk = Arc::new(ManagementService {
            schema: inner.datastores.schema().clone(),
            inner: Mutex::new(inner),
            link,
            started: self.clock.now(),
            events: broadcast::Sender::new(MAX_EVENTS),
            moved: Notify::new(),
            ended: Notify::new(),
            set_level,
        });
        let _ = desk.settle(&mut desk.lock());
        desk
    }
}

/// One session at the desk. Dropping it ends the session, with all that it holds.
pub struct SessionHandle {
    desk: Arc<ManagementService>,
    pub id: SessionId,
    pub user: String,
    follows: usize,
}

impl Drop for SessionHandle {
    fn drop(&mut self) {
        let now = self.desk.now();
        let mut inner = self.desk.lock();
        inner.datastores.close(now, self.id, "dropped");
        let _ = self.desk.settle(&mut inner);
    }
}

impl ManagementService {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Duration {
        self.link.clock.now()
    }

    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    pub fn link(&self) -> &ServiceHandle {
        &self.link
    }

    /// Reads the datastores; no change is made this way.
    pub fn inspect<T>(&self, look: impl FnOnce(&Datastores) -> T) -> T {
        look(&self.lock().datastores)
    }

    pub fn open_session(self: &Arc<Self>, operator: Operator) -> Result<SessionHandle, ManagementError> {
        let (now, user) = (self.now(), operator.user.clone());
        let mut inner = self.lock();
        let id = inner.datastores.open(now, operator)?;
        let _ = self.settle(&mut inner);
        self.moved.notify_one();
        Ok(SessionHandle { desk: self.clone(), id, user, follows: 0 })
    }

    /// What is known of the dispatcher, not older than `SURVEY_FRESH`; or the last known, if it does not answer;
    /// none if it never did.
    pub async fn survey(&self) -> Option<Arc<StatusReport>> {
        let now = self.now();
        let last = self.lock().survey.clone();
        if let Some((at, survey)) = &last {
            if now.saturating_sub(*at) < SURVEY_FRESH {
                return Some(survey.clone());
            }
        }
        let (reply, wait) = oneshot::channel();
        let asked = self.link.request_status(move |survey| {
            let _ = reply.send(survey);
        });
        if asked {
            if let Ok(Ok(survey)) = tokio::time::timeout(SURVEY_WAIT, wait).await {
                let survey: Arc<StatusReport> = Arc::from(survey);
                self.lock().survey = Some((now, survey.clone()));
                return Some(survey);
            }
        }
        warn!("the dispatcher did not tell its state in time; the last known is shown");
        last.map(|(_, survey)| survey)
    }

    /// Running with its notes, and state: the operational datastore (RFC 8342).
    pub async fn operational(&self) -> DataTree {
        let survey = self.survey().await.unwrap_or_default();
        let inner = self.lock();
        state::operational(&inner.datastores, &self.link, &survey, self.started, self.now())
    }

    /// Carries out what a change has brought, while the desk is held, so that commits reach the list in their
    /// order: notices to the audit log and followers, ends of sessions to their fronts, and marks to the list
    /// whoever's doing the commit was, a session's end or a time-out too. Where marks went, the reply tells
    /// when the decisions go by them.
    fn settle(&self, inner: &mut Inner) -> Option<oneshot::Receiver<()>> {
        let (now, mut committed) = (self.now(), false);
        for notice in inner.datastores.take_notices() {
            match &notice {
                Notification::Committed(commit) => {
                    inner.audit.write(&self.schema, commit);
                    committed = true;
                }
                Notification::SessionEnded { session, operator, reason } => {
                    // Each call of gNMI is a session: told of only where single ones are searched for.
                    if operator.protocol == Protocol::Gnmi {
                        debug!(session = session.0, user = operator.user, reason, "management session over");
                    } else {
                        info!(session = session.0, user = operator.user, reason, "management session over");
                    }
                    inner.ended.push_back(*session);
                    while inner.ended.len() > MAX_EVENTS {
                        inner.ended.pop_front();
                    }
                    self.ended.notify_waiters();
                }
                Notification::SessionStarted { session, operator } => {
                    let (session, protocol) = (session.0, operator.protocol.name());
                    if operator.protocol == Protocol::Gnmi {
                        debug!(
                            session,
                            user = operator.user,
                            protocol,
                            source = operator.source,
                            "management session"
                        );
                    } else {
                        info!(
                            session,
                            user = operator.user,
                            protocol,
                            source = operator.source,
                            "management session"
                        );
                    }
                }
                Notification::ConfirmedCommit { event, operator } => {
                    info!(event, user = operator.user, "confirmed commit");
                }
            }
            let _ = self.events.send((now, ManagementEvent::Notification(notice)));
        }
        let names = ["router", "logging", "level"];
        let told =
            data::leaf_by_names(&self.schema, inner.datastores.running(), &names).map(Scalar::to_string);
        if told != inner.level {
            (self.set_level)(told.as_deref());
            inner.level = told;
        }
        if committed || inner.unapplied {
            self.apply(inner)
        } else {
            None
        }
    }

    /// One change by a session, to its end: durable, in force at the decisions, acknowledged.
    async fn change<T>(
        &self,
        id: SessionId,
        make: impl FnOnce(&mut Datastores, Duration, &ValidationContext) -> Result<T, ManagementError>,
    ) -> Result<T, ManagementError> {
        // Guards against draining the last of a location while nothing is known of the list.
        let survey = self.survey().await.ok_or_else(|| {
            ManagementError::new(
                ErrorTag::ResourceDenied,
                "the dispatcher does not tell its hosts; nothing is changed",
            )
        })?;
        let around = state::surroundings(&survey, self.now());
        let (made, applied) = {
            let now = self.now();
            let mut inner = self.lock();
            inner.datastores.touch(now, id);
            let made = make(&mut inner.datastores, now, &around);
            (made, self.settle(&mut inner))
        };
        self.moved.notify_one();
        if let Some(applied) = applied {
            if tokio::time::timeout(APPLY_WAIT, applied).await.is_err() {
                warn!("a commit is durable, and the dispatcher has not said that it goes by it");
            }
        }
        made
    }

    /// Sends the marks as they are to the list.
    fn apply(&self, inner: &mut Inner) -> Option<oneshot::Receiver<()>> {
        let (done, wait) = oneshot::channel();
        let sent = self.link.set_operator_overrides(inner.datastores.marks(), move || {
            let _ = done.send(());
        });
        // A survey from before it would show what no longer holds.
        inner.survey.iter_mut().for_each(|(at, _)| *at = Duration::ZERO);
        inner.unapplied = !sent;
        if !sent {
            error!("too many changes wait at the list; the marks go with the next look");
        }
        sent.then_some(wait)
    }

    /// What is due by the clock: confirmations, silent sessions, followers of changes. Runs as long as the
    /// management side does.
    pub async fn run(&self) {
        loop {
            let due = {
                let inner = self.lock();
                let follows = inner.followers.values().any(|follower| follower.watches());
                let listens = follows || self.events.receiver_count() > 0;
                let pulse = listens.then(|| self.now() + PULSE);
                let due = inner.datastores.due().into_iter().chain(pulse).min();
                due.map_or(LOOK, |due| due.saturating_sub(self.now())).min(LOOK)
            };
            // Not more often than the pulse, whatever is due or moves.
            let wait = due.max(Duration::from_millis(5));
            let _ = tokio::time::timeout(wait, self.moved.notified()).await;
            let now = self.now();
            {
                let mut inner = self.lock();
                inner.datastores.tick(now);
                let _ = self.settle(&mut inner);
            }
            self.pulse().await;
        }
    }

    /// Offers followers what has changed since the last pulse, and tells of hosts that stand otherwise.
    async fn pulse(&self) {
        {
            let mut inner = self.lock();
            let watched = inner.followers.values().any(Follower::watches);
            if !watched {
                inner.seen = None;
            }
            if !watched && self.events.receiver_count() == 0 {
                inner.hosts.clear();
                return;
            }
        }
        let survey = self.survey().await.unwrap_or_default();
        let now = self.now();
        let mut inner = self.lock();
        let tree = state::operational(&inner.datastores, &self.link, &survey, self.started, now);
        let changes = inner.seen.as_ref().map(|seen| data::diff(seen, &tree)).unwrap_or_default();
        inner.seen = Some(tree);
        if !changes.is_empty() {
            for follower in inner.followers.values_mut() {
                follower.subscription.offer(&changes);
                follower.wake.notify_one();
            }
        }
        self.tell_of_hosts(&mut inner, &survey, now);
    }

    fn tell_of_hosts(&self, inner: &mut Inner, survey: &StatusReport, now: Duration) {
        let mut hosts = BTreeMap::new();
        for entry in &survey.discovered {
            let marks =
                (survey.operator_overrides.get(&entry.name), survey.control_overrides.get(&entry.name));
            if let Some(found) = merge_readiness(Some(entry.entry.readiness), marks.0, marks.1, now) {
                hosts.insert(entry.name.clone(), found);
            }
        }
        if inner.hosts.is_empty() {
            // Nothing was known before: the first picture is no change.
            inner.hosts = hosts.clone();
        }
        let names: std::collections::BTreeSet<_> = hosts.keys().chain(inner.hosts.keys()).collect();
        for name in names {
            let found = hosts.get(name).copied();
            if found != inner.hosts.get(name).copied() {
                let event = ManagementEvent::EndpointChanged { name: name.clone(), now: found };
                let _ = self.events.send((now, event));
            }
        }
        inner.hosts = hosts;
        for (host, until) in
            survey.operator_overrides.iter().filter_map(|(host, mark)| Some((host, mark.expires_at?)))
        {
            if until <= now && inner.expired.insert(host.clone(), until) != Some(until) {
                let _ = self.events.send((now, ManagementEvent::OverrideExpired { host: host.clone() }));
            }
        }
        inner.expired.retain(|host, _| survey.operator_overrides.contains_key(host));
    }

    /// Waits till the session has ended at the desk's word: killed, silent, or over.
    pub async fn session_closed(&self, id: SessionId) {
        loop {
            let told = self.ended.notified();
            if !self.lock().datastores.is_open(id) {
                return;
            }
            told.await;
        }
    }
}

impl Follower {
    /// Whether changes must be looked for on its behalf.
    fn watches(&self) -> bool {
        self.subscription.on_change()
    }
}

impl SessionHandle {
    pub fn desk(&self) -> &Arc<ManagementService> {
        &self.desk
    }

    fn touched(&self) -> MutexGuard<'_, Inner> {
        let now = self.desk.now();
        let mut inner = self.desk.lock();
        inner.datastores.touch(now, self.id);
        inner.datastores.follows(self.id, self.follows > 0);
        inner
    }

    /// Reads or changes what needs no commit: edits of the candidate, locks, discards.
    pub fn update<T>(&self, act: impl FnOnce(&mut Datastores, Duration) -> T) -> T {
        let now = self.desk.now();
        let mut inner = self.touched();
        let done = act(&mut inner.datastores, now);
        let _ = self.desk.settle(&mut inner);
        done
    }

    pub fn authorize_call(&self, call: &str) -> Result<(), ManagementError> {
        self.touched().datastores.authorize_call(self.id, call)
    }

    /// A configuration, or with `state` all that is operational, as far as the user may read it.
    pub async fn read(&self, which: Option<Datastore>) -> Result<DataTree, ManagementError> {
        let call = if which.is_some() { "get-config" } else { "get" };
        self.authorize_call(call)?;
        let fields = match which {
            Some(which) => self.touched().datastores.datastore(self.id, which).clone(),
            None => self.desk.operational().await,
        };
        let inner = self.touched();
        Ok(inner.datastores.access().readable(&self.desk.schema, &self.user, &fields))
    }

    pub async fn commit(&self, confirm: &CommitOptions, comment: &str) -> Result<u64, ManagementError> {
        let id = self.id;
        self.desk.change(id, |all, now, around| all.commit(now, id, confirm, comment, around)).await
    }

    pub async fn validate(&self, which: Result<Datastore, DataTree>) -> Result<(), ManagementError> {
        let id = self.id;
        let which = which.as_ref().map(|which| *which);
        self.desk.change(id, |all, now, around| all.validate(now, id, which, around)).await
    }

    pub async fn cancel_commit(&self, persist_id: Option<&str>) -> Result<(), ManagementError> {
        let id = self.id;
        self.desk.change(id, |all, now, _| all.cancel(now, id, persist_id)).await
    }

    pub async fn set(
        &self,
        edits: &[Edit],
        expected: Option<u64>,
        comment: &str,
    ) -> Result<u64, ManagementError> {
        let id = self.id;
        self.desk.change(id, |all, now, around| all.set(now, id, edits, expected, comment, around)).await
    }

    pub async fn rollback(&self, version: u64, expected: Option<u64>) -> Result<u64, ManagementError> {
        let id = self.id;
        self.desk.change(id, |all, now, around| all.rollback(now, id, version, expected, around)).await
    }

    /// Marks a host as draining; `expires_in` none: until it is taken away.
    pub async fn drain(
        &self,
        host: &str,
        reason: Option<&str>,
        expires_in: Option<Duration>,
        force: bool,
    ) -> Result<u64, ManagementError> {
        let mut leaves = vec![("state", Scalar::text("draining"))];
        leaves.extend(reason.map(|reason| ("reason", Scalar::text(reason))));
        let until = expires_in.map(|span| self.desk.now() + span);
        leaves.extend(until.map(|until| ("expires", Scalar::Text(timestamp::format(until)))));
        if force {
            leaves.push(("force", Scalar::Bool(true)));
        }
        let id = self.id;
        self.desk.change(id, |all, now, around| all.mark(now, id, "drain", host, &leaves, around)).await
    }

    pub async fn undrain(&self, host: &str) -> Result<u64, ManagementError> {
        let id = self.id;
        self.desk.change(id, |all, now, around| all.mark(now, id, "undrain", host, &[], around)).await
    }

    pub async fn kill_session(&self, victim: SessionId) -> Result<(), ManagementError> {
        let id = self.id;
        self.desk.change(id, |all, now, _| all.kill(now, id, victim)).await
    }

    /// Events from now on; a receiver that falls too far behind is told how many it missed.
    pub fn subscribe_events(&mut self) -> broadcast::Receiver<(Duration, ManagementEvent)> {
        self.follows += 1;
        drop(self.touched());
        self.desk.moved.notify_one();
        self.desk.events.subscribe()
    }

    /// Begins to follow values; the number is for `next` and `unfollow`.
    pub async fn subscribe(
        &mut self,
        patterns: Vec<Pattern>,
        trigger: Trigger,
        updates_only: bool,
    ) -> Result<ValueSubscription, ManagementError> {
        self.authorize_call("establish-subscription")?;
        // Guards against a change that falls between the first picture and the first pulse: what is compared
        // with must not be younger than that picture.
        let present = self.desk.operational().await;
        let now = self.desk.now();
        let wake = Arc::new(Notify::new());
        if self.desk.lock().followers.len() >= MAX_FOLLOWERS {
            let message = format!("all {MAX_FOLLOWERS} subscriptions are in use");
            return Err(ManagementError::new(ErrorTag::ResourceDenied, message));
        }
        self.follows += 1;
        let mut inner = self.touched();
        inner.seen.get_or_insert(present);
        let number = inner.next_follower;
        inner.next_follower += 1;
        let subscription = Subscription::new(patterns.clone(), trigger, updates_only, now);
        let follower = Follower { user: self.user.clone(), subscription, wake: wake.clone() };
        inner.followers.insert(number, follower);
        drop(inner);
        self.desk.moved.notify_one();
        Ok(ValueSubscription { desk: self.desk.clone(), number, wake, patterns })
    }

    /// One fewer thing is followed.
    pub fn release_subscription(&mut self) {
        self.follows = self.follows.saturating_sub(1);
        drop(self.touched());
    }
}

/// A subscription under way; dropping it ends it.
pub struct ValueSubscription {
    desk: Arc<ManagementService>,
    pub number: u64,
    wake: Arc<Notify>,
    patterns: Vec<Pattern>,
}

impl Drop for ValueSubscription {
    fn drop(&mut self) {
        self.desk.lock().followers.remove(&self.number);
    }
}

impl ValueSubscription {
    /// The next thing owed, waited for; without those values that the user may not read.
    pub async fn next(&self) -> Update {
        loop {
            let woken = self.wake.notified();
            let now = self.desk.now();
            let due = {
                let inner = self.desk.lock();
                inner.followers.get(&self.number).and_then(|follower| follower.subscription.due())
            };
            match due {
                Some(due) if due <= now => {
                    let present = self.desk.operational().await;
                    if let Some(update) = self.take(now, &present) {
                        return update;
                    }
                    // Nothing new to say: on with the next period.
                }
                Some(due) => {
                    let _ = tokio::time::timeout(due - now, woken).await;
                }
                None => woken.await,
            }
        }
    }

    fn take(&self, now: Duration, present: &DataTree) -> Option<Update> {
        let mut inner = self.desk.lock();
        let inner = &mut *inner;
        let follower = inner.followers.get_mut(&self.number)?;
        let patterns = &self.patterns;
        let update = follower.subscription.take(now, || {
            let mut part = DataTree::new();
            patterns
                .iter()
                .for_each(|pattern| data::merge(&mut part, &data::select_matching(present, pattern)));
            part
        })?;
        let access = inner.datastores.access();
        let may = |path: &Path| {
            let plain = plain(path);
            access.is_permitted(&follower.user, Operation::Read, plain.as_ref().unwrap_or(path))
        };
        Some(match update {
            Update::Snapshot(all) => {
                Update::Snapshot(all.into_iter().filter(|(path, _)| may(path)).collect())
            }
            Update::Changes(changes) => {
                Update::Changes(changes.into_iter().filter(|(path, _)| may(path)).collect())
            }
        })
    }
}

/// A leaf-list's value by the path of its leaf-list, which is what rules speak of.
fn plain(path: &Path) -> Option<Path> {
    let last = path.0.last().filter(|step| !step.keys.is_empty())?;
    Some(Path(path.0[..path.0.len() - 1].to_vec()).child(last.node, Vec::new()))
}
