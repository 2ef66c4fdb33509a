//! The operations that a session can call.

use crate::event::ManagementEvent;
use crate::service::{ActiveSubscription, Datastores, ManagementService, Shared, MAX_SUBSCRIPTIONS};
use crate::value_subscription::ValueSubscription;
use rockflow_management::{
    timestamp, CommitOptions, ConfigSource, Datastore, ErrorTag, ManagementError, SessionEndReason,
    SessionId, Subscription, Trigger,
};
use rockflow_yang::{DataTree, Edit, Pattern, Scalar};
use std::sync::{Arc, MutexGuard};
use std::time::Duration;
use tokio::sync::{broadcast, Notify};

/// An open session. Dropping the handle ends the session and releases its locks and its candidate.
pub struct SessionHandle {
    service: Arc<ManagementService>,
    /// The session's id, unique over all protocols.
    pub id: SessionId,
    /// The user who opened the session.
    pub user: String,
    /// Number of open subscriptions, of events and of values; the idle limit applies only if there are none.
    subscriptions: usize,
}

impl Drop for SessionHandle {
    fn drop(&mut self) {
        let now = self.service.now();
        let mut shared = self.service.lock();
        shared.datastores.close_session(now, self.id, SessionEndReason::Dropped);
        let _ = self.service.process_notifications(&mut shared);
    }
}

impl SessionHandle {
    pub(crate) fn new(service: Arc<ManagementService>, id: SessionId, user: String) -> SessionHandle {
        SessionHandle { service, id, user, subscriptions: 0 }
    }

    /// Runs an operation that commits nothing, such as an edit of the candidate, a lock or a discard.
    pub fn update<T>(&self, update: impl FnOnce(&mut Datastores, Duration) -> T) -> T {
        let now = self.service.now();
        let mut shared = self.lock_active();
        let result = update(&mut shared.datastores, now);
        let _ = self.service.process_notifications(&mut shared);
        result
    }

    /// Checks that the user may call the operation named `call`.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] if an access rule denies it.
    pub fn authorize_call(&self, call: &str) -> Result<(), ManagementError> {
        self.lock_active().datastores.authorize_call(self.id, call)
    }

    /// Reads the part of a datastore that the user may read; `None` reads the operational datastore.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] if an access rule denies the call.
    pub async fn read(&self, datastore: Option<Datastore>) -> Result<DataTree, ManagementError> {
        let call = if datastore.is_some() { "get-config" } else { "get" };
        self.authorize_call(call)?;
        let fields = match datastore {
            Some(datastore) => self.lock_active().datastores.datastore(self.id, datastore).clone(),
            None => self.service.operational().await,
        };
        let shared = self.lock_active();
        Ok(shared.datastores.access().readable(self.service.schema(), &self.user, &fields))
    }

    /// Commits the candidate. Returns the version of the commit now in effect.
    ///
    /// # Errors
    /// The errors of `Management::commit`.
    pub async fn commit(&self, options: &CommitOptions, comment: &str) -> Result<u64, ManagementError> {
        let id = self.id;
        let commit = |datastores: &mut Datastores, now, context: &_| {
            datastores.commit(now, id, options, comment, context)
        };
        self.service.change(id, commit).await
    }

    /// Validates a complete configuration as a commit would.
    ///
    /// # Errors
    /// Returns the error with which a commit of the configuration would be refused.
    pub async fn validate(&self, source: ConfigSource) -> Result<(), ManagementError> {
        let id = self.id;
        let validate =
            |datastores: &mut Datastores, now, context: &_| datastores.validate(now, id, &source, context);
        self.service.change(id, validate).await
    }

    /// Cancels the pending confirmed commit and reverts its changes.
    ///
    /// # Errors
    /// The errors of `Management::cancel_commit`.
    pub async fn cancel_commit(&self, persist_id: Option<&str>) -> Result<(), ManagementError> {
        let id = self.id;
        self.service.change(id, |datastores, now, _| datastores.cancel_commit(now, id, persist_id)).await
    }

    /// Changes the running configuration in one transaction. Returns the version of the commit now in effect.
    ///
    /// # Errors
    /// The errors of `Management::set`.
    pub async fn set(
        &self,
        edits: &[Edit],
        expected_version: Option<u64>,
        comment: &str,
    ) -> Result<u64, ManagementError> {
        let id = self.id;
        let set = |datastores: &mut Datastores, now, context: &_| {
            datastores.set(now, id, edits, expected_version, comment, context)
        };
        self.service.change(id, set).await
    }

    /// Restores the configuration of an earlier commit, as a new commit. Returns the version of the commit
    /// now in effect.
    ///
    /// # Errors
    /// The errors of `Management::rollback`.
    pub async fn rollback(
        &self,
        version: u64,
        expected_version: Option<u64>,
    ) -> Result<u64, ManagementError> {
        let id = self.id;
        let rollback = |datastores: &mut Datastores, now, context: &_| {
            datastores.rollback(now, id, version, expected_version, context)
        };
        self.service.change(id, rollback).await
    }

    /// Sets an endpoint to draining for `expires_in`; if that is `None`, until it is undrained. `force` also
    /// drains the last endpoint of a location. Returns the version of the commit now in effect.
    ///
    /// # Errors
    /// The errors of `Management::set_override`.
    pub async fn drain(
        &self,
        host: &str,
        reason: Option<&str>,
        expires_in: Option<Duration>,
        force: bool,
    ) -> Result<u64, ManagementError> {
        let mut leaves = vec![("state", Scalar::text("draining"))];
        if let Some(reason) = reason {
            leaves.push(("reason", Scalar::text(reason)));
        }
        if let Some(span) = expires_in {
            let expires = timestamp::format(self.service.now() + span);
            leaves.push(("expires", Scalar::Text(expires)));
        }
        if force {
            leaves.push(("force", Scalar::Bool(true)));
        }
        self.set_override("drain", host, &leaves).await
    }

    /// Removes the administrative override of an endpoint. Returns the version of the commit now in effect.
    ///
    /// # Errors
    /// The errors of `Management::set_override`.
    pub async fn undrain(&self, host: &str) -> Result<u64, ManagementError> {
        self.set_override("undrain", host, &[]).await
    }

    /// Ends another session, `victim`.
    ///
    /// # Errors
    /// The errors of `Management::kill_session`.
    pub async fn kill_session(&self, victim: SessionId) -> Result<(), ManagementError> {
        let id = self.id;
        self.service.change(id, |datastores, now, _| datastores.kill_session(now, id, victim)).await
    }

    /// Subscribes to future events, each with its Unix time. A receiver that lags too far behind gets an
    /// error with the number of missed events.
    pub fn subscribe_events(&mut self) -> broadcast::Receiver<(Duration, ManagementEvent)> {
        self.subscriptions += 1;
        drop(self.lock_active());
        self.service.reschedule();
        self.service.events.subscribe()
    }

    /// Subscribes to the values of the operational datastore that match the patterns. With `updates_only`,
    /// the first update does not repeat the present values.
    ///
    /// # Errors
    /// Fails if an access rule denies the call, or the maximum number of subscriptions is reached.
    pub async fn subscribe(
        &mut self,
        patterns: Vec<Pattern>,
        trigger: Trigger,
        updates_only: bool,
    ) -> Result<ValueSubscription, ManagementError> {
        self.authorize_call("establish-subscription")?;
        // The baseline for change detection must not be newer than the subscriber's first snapshot; otherwise
        // a change between the two would never be reported.
        let baseline = self.service.operational().await;
        let now = self.service.now();
        if self.service.lock().subscriptions.active.len() >= MAX_SUBSCRIPTIONS {
            let message = format!("all {MAX_SUBSCRIPTIONS} subscriptions are in use");
            return Err(ManagementError::new(ErrorTag::ResourceDenied, message));
        }
        self.subscriptions += 1;
        let wake = Arc::new(Notify::new());
        let active = ActiveSubscription {
            user: self.user.clone(),
            subscription: Subscription::new(patterns.clone(), trigger, updates_only, now),
            wake: wake.clone(),
        };
        let id = {
            let mut shared = self.lock_active();
            shared.subscriptions.last_state.get_or_insert(baseline);
            shared.subscriptions.insert(active)
        };
        self.service.reschedule();
        Ok(ValueSubscription::new(self.service.clone(), id, wake, patterns))
    }

    /// Decrements the session's subscription count; at zero, the idle limit applies to the session again.
    pub fn release_subscription(&mut self) {
        self.subscriptions = self.subscriptions.saturating_sub(1);
        drop(self.lock_active());
    }

    async fn set_override(
        &self,
        call: &str,
        host: &str,
        leaves: &[(&str, Scalar)],
    ) -> Result<u64, ManagementError> {
        let id = self.id;
        let set = |datastores: &mut Datastores, now, context: &_| {
            datastores.set_override(now, id, call, host, leaves, context)
        };
        self.service.change(id, set).await
    }

    /// Locks the service's state and records that the session is active.
    fn lock_active(&self) -> MutexGuard<'_, Shared> {
        let now = self.service.now();
        let mut shared = self.service.lock();
        shared.datastores.record_activity(now, self.id);
        shared.datastores.set_subscription_count(self.id, self.subscriptions);
        shared
    }
}
