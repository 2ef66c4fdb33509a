//! The management service: the datastores beside a running dispatcher, for all protocols alike.
//!
//! A commit is durable, then goes to the endpoint list's actor in the order of commits, and is acknowledged once
//! the decisions apply it. All of this runs in the management thread; the dispatcher sees messages alone.

mod changes;
mod observation;

use crate::audit::Audit;
use crate::event::ManagementEvent;
use crate::session_handle::SessionHandle;
use crate::state::{self, StateSource};
use observation::EndpointObserver;
use rockflow_dispatcher::{Clock, ServiceHandle, StatusReport};
use rockflow_management::{Management, ManagementError, Operator, SessionId, SnapshotStorage, Subscription};
use rockflow_yang::{DataTree, Schema};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{broadcast, oneshot, Notify};
use tracing::warn;

/// Where snapshots are stored: a folder, or nowhere.
pub(crate) type StorageBackend = Box<dyn SnapshotStorage + Send>;
/// The datastores of the service.
pub type Datastores = Management<StorageBackend>;
/// Sets the log's level while the program runs; none: as it was started.
pub type SetLogLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

/// The age up to which a status report is used again.
const STATUS_MAX_AGE: Duration = Duration::from_millis(40);
/// The longest wait for a status report before the last one is used.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Events that a slow subscriber may lag behind before it misses some.
const MAX_EVENTS: usize = 1024;
/// Value subscriptions over all protocols.
pub(crate) const MAX_SUBSCRIPTIONS: usize = 256;

/// The management service; each session is a [`SessionHandle`].
pub struct ManagementService {
    /// All that changes, under one lock, which is never held across an await.
    shared: Mutex<Shared>,
    schema: Arc<Schema>,
    dispatcher: ServiceHandle,
    started: Duration,
    pub(crate) events: broadcast::Sender<(Duration, ManagementEvent)>,
    /// Something is due earlier than the timer knows.
    reschedule: Notify,
    session_ended: Notify,
    set_log_level: SetLogLevel,
}

/// What the service's lock protects.
pub(crate) struct Shared {
    pub(crate) datastores: Datastores,
    audit: Audit,
    status: Option<CachedStatus>,
    pub(crate) subscriptions: Subscriptions,
    endpoints: EndpointObserver,
    /// The level that the log was set to last.
    log_level: Option<String>,
    /// The endpoint list has not got the last overrides yet.
    has_unapplied_overrides: bool,
}

/// The last status report of the dispatcher.
#[derive(Clone)]
struct CachedStatus {
    taken: Duration,
    report: Arc<StatusReport>,
}

/// The value subscriptions of all sessions.
pub(crate) struct Subscriptions {
    pub(crate) active: BTreeMap<u64, ActiveSubscription>,
    next_id: u64,
    /// The operational state that was compared last; none while no subscription waits for changes.
    pub(crate) last_state: Option<DataTree>,
}

/// One value subscription.
pub(crate) struct ActiveSubscription {
    pub(crate) user: String,
    pub(crate) subscription: Subscription,
    pub(crate) wake: Arc<Notify>,
}

impl Subscriptions {
    fn new() -> Subscriptions {
        Subscriptions { active: BTreeMap::new(), next_id: 1, last_state: None }
    }

    /// Adds a subscription and returns its number.
    pub(crate) fn insert(&mut self, subscription: ActiveSubscription) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.active.insert(id, subscription);
        id
    }

    fn has_on_change(&self) -> bool {
        self.active.values().any(|active| active.subscription.is_on_change())
    }
}

impl ManagementService {
    pub(crate) fn start(
        datastores: Datastores,
        audit: Audit,
        clock: Clock,
        dispatcher: ServiceHandle,
        set_log_level: SetLogLevel,
    ) -> Arc<ManagementService> {
        let schema = datastores.schema().clone();
        let shared = Shared {
            datastores,
            audit,
            status: None,
            subscriptions: Subscriptions::new(),
            endpoints: EndpointObserver::default(),
            log_level: None,
            has_unapplied_overrides: false,
        };
        let service = Arc::new(ManagementService {
            shared: Mutex::new(shared),
            schema,
            dispatcher,
            started: clock.now(),
            events: broadcast::Sender::new(MAX_EVENTS),
            reschedule: Notify::new(),
            session_ended: Notify::new(),
            set_log_level,
        });
        let _ = service.process_notifications(&mut service.lock());
        service
    }

    /// The time, as Unix time on the dispatcher's clock.
    pub fn now(&self) -> Duration {
        self.dispatcher.clock.now()
    }

    /// The model of all configurations and of the operational state.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// Reads the datastores; no change is made this way.
    pub fn inspect<T>(&self, read: impl FnOnce(&Datastores) -> T) -> T {
        read(&self.lock().datastores)
    }

    /// Opens a session.
    ///
    /// # Errors
    /// Where the configured number of sessions is open.
    pub fn open_session(self: &Arc<Self>, operator: Operator) -> Result<SessionHandle, ManagementError> {
        let user = operator.user.clone();
        let mut shared = self.lock();
        let id = shared.datastores.open_session(self.now(), operator)?;
        let _ = self.process_notifications(&mut shared);
        self.reschedule();
        Ok(SessionHandle::new(self.clone(), id, user))
    }

    /// Waits until the session has ended: killed, silent for too long, or closed.
    pub async fn session_closed(&self, id: SessionId) {
        loop {
            let ended = self.session_ended.notified();
            if !self.lock().datastores.is_open(id) {
                return;
            }
            ended.await;
        }
    }

    /// The operational datastore (RFC 8342): running with its origins, and the dispatcher's state.
    pub async fn operational(&self) -> DataTree {
        let status = self.status().await.unwrap_or_default();
        let shared = self.lock();
        self.operational_state(&shared, &status, self.now())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the timer, as something may be due earlier than it knows.
    pub(crate) fn reschedule(&self) {
        self.reschedule.notify_one();
    }

    fn operational_state(&self, shared: &Shared, status: &StatusReport, now: Duration) -> DataTree {
        let source = StateSource { dispatcher: &self.dispatcher, status, started: self.started, now };
        state::operational(&shared.datastores, &source)
    }

    /// The dispatcher's status, not older than [`STATUS_MAX_AGE`]; the last known one where it does not answer in
    /// time, none where it never did.
    async fn status(&self) -> Option<Arc<StatusReport>> {
        let now = self.now();
        let last = self.lock().status.clone();
        if let Some(cached) = &last {
            if now.saturating_sub(cached.taken) < STATUS_MAX_AGE {
                return Some(cached.report.clone());
            }
        }
        let (reply, answer) = oneshot::channel();
        let is_requested = self.dispatcher.request_status(move |report| {
            let _ = reply.send(report);
        });
        if is_requested {
            if let Ok(Ok(report)) = tokio::time::timeout(STATUS_TIMEOUT, answer).await {
                let report: Arc<StatusReport> = Arc::from(report);
                self.lock().status = Some(CachedStatus { taken: now, report: report.clone() });
                return Some(report);
            }
        }
        warn!("dispatcher status not received in time, the last known one is used");
        last.map(|cached| cached.report)
    }
}
