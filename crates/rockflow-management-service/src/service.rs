//! The management service: the datastores attached to a running dispatcher, shared by all protocols.
//!
//! A commit is first made durable, then sent to the endpoint list's actor in the order of commits, and
//! acknowledged once the decision logic has applied it. All of this runs in the management thread, which
//! reaches the dispatcher only by messages.

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

/// The storage of snapshots: a folder, or volatile storage that keeps nothing.
pub(crate) type StorageBackend = Box<dyn SnapshotStorage + Send>;
/// The datastores of the service.
pub type Datastores = Management<StorageBackend>;
/// Sets the log level of the running program; `None` restores the level with which it was started.
pub type SetLogLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

/// Maximum age at which a cached status report is reused.
const STATUS_MAX_AGE: Duration = Duration::from_millis(40);
/// Timeout for a status report. After it, the last known report is used.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of events that are buffered for a slow subscriber before it misses some.
const MAX_EVENTS: usize = 1024;
/// Maximum number of value subscriptions, over all protocols.
pub(crate) const MAX_SUBSCRIPTIONS: usize = 256;

/// The management service. Each open session is represented by a [`SessionHandle`].
pub struct ManagementService {
    /// The mutable state. The lock is never held across an await.
    shared: Mutex<Shared>,
    schema: Arc<Schema>,
    dispatcher: ServiceHandle,
    started: Duration,
    pub(crate) events: broadcast::Sender<(Duration, ManagementEvent)>,
    /// Signals the timer that a deadline may be earlier than the one it waits for.
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
    /// The log level set last; `None` is the level with which the program was started.
    log_level: Option<String>,
    /// Whether sending the latest overrides to the endpoint list failed and is to be repeated.
    has_unapplied_overrides: bool,
}

/// The last status report of the dispatcher, with the Unix time at which it was requested.
#[derive(Clone)]
struct CachedStatus {
    requested_at: Duration,
    report: Arc<StatusReport>,
}

/// The value subscriptions of all sessions.
pub(crate) struct Subscriptions {
    pub(crate) active: BTreeMap<u64, ActiveSubscription>,
    next_id: u64,
    /// The operational state at the last observation; `None` while no subscription waits for changes.
    pub(crate) last_state: Option<DataTree>,
}

/// A value subscription as the service keeps it.
pub(crate) struct ActiveSubscription {
    pub(crate) user: String,
    pub(crate) subscription: Subscription,
    pub(crate) wake: Arc<Notify>,
}

impl Subscriptions {
    fn new() -> Subscriptions {
        Subscriptions { active: BTreeMap::new(), next_id: 1, last_state: None }
    }

    /// Adds a subscription and returns its number, which is never reused.
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

    /// The current Unix time by the dispatcher's clock.
    pub fn now(&self) -> Duration {
        self.dispatcher.clock.now()
    }

    /// The schema of the configuration and of the operational state.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// Reads from the datastores.
    pub fn inspect<T>(&self, read: impl FnOnce(&Datastores) -> T) -> T {
        read(&self.lock().datastores)
    }

    /// Opens a session for an operator.
    ///
    /// # Errors
    /// Fails if the configured maximum number of sessions is already open.
    pub fn open_session(self: &Arc<Self>, operator: Operator) -> Result<SessionHandle, ManagementError> {
        let user = operator.user.clone();
        let mut shared = self.lock();
        let id = shared.datastores.open_session(self.now(), operator)?;
        let _ = self.process_notifications(&mut shared);
        self.reschedule();
        Ok(SessionHandle::new(self.clone(), id, user))
    }

    /// Waits until the session has ended, because it was closed, killed, or idle for too long.
    pub async fn session_closed(&self, id: SessionId) {
        loop {
            let ended = self.session_ended.notified();
            if !self.lock().datastores.is_open(id) {
                return;
            }
            ended.await;
        }
    }

    /// Builds the operational datastore (RFC 8342): the running configuration with origins, and the
    /// dispatcher's state.
    pub async fn operational(&self) -> DataTree {
        let status = self.status().await.unwrap_or_default();
        let shared = self.lock();
        self.operational_state(&shared, &status, self.now())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the timer, because a deadline may be earlier than the one it waits for.
    pub(crate) fn reschedule(&self) {
        self.reschedule.notify_one();
    }

    fn operational_state(&self, shared: &Shared, status: &StatusReport, now: Duration) -> DataTree {
        let source = StateSource { dispatcher: &self.dispatcher, status, started: self.started, now };
        state::operational(&shared.datastores, &source)
    }

    /// Returns the dispatcher's status, at most [`STATUS_MAX_AGE`] old. If the dispatcher does not answer in
    /// time, returns the last known status, or `None` if it never answered.
    async fn status(&self) -> Option<Arc<StatusReport>> {
        let now = self.now();
        let last = self.lock().status.clone();
        if let Some(cached) = &last {
            if now.saturating_sub(cached.requested_at) < STATUS_MAX_AGE {
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
                self.lock().status = Some(CachedStatus { requested_at: now, report: report.clone() });
                return Some(report);
            }
        }
        warn!("dispatcher status not received in time, using the last known one");
        last.map(|cached| cached.report)
    }
}
