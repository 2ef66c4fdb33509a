//! One session's calls.

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

/// One session. Dropping it ends the session and releases all that it holds.
pub struct SessionHandle {
    service: Arc<ManagementService>,
    /// The session's number.
    pub id: SessionId,
    /// The user who opened it.
    pub user: String,
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

    /// Reads or changes what needs no commit: edits of the candidate, locks, discards.
    pub fn update<T>(&self, update: impl FnOnce(&mut Datastores, Duration) -> T) -> T {
        let now = self.service.now();
        let mut shared = self.lock_active();
        let result = update(&mut shared.datastores, now);
        let _ = self.service.process_notifications(&mut shared);
        result
    }

    /// Whether the user may make the call.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] where an access rule denies it.
    pub fn authorize_call(&self, call: &str) -> Result<(), ManagementError> {
        self.lock_active().datastores.authorize_call(self.id, call)
    }

    /// What the user may read of a datastore; none: of the operational one.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] where an access rule denies the call.
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

    /// Commits the candidate. Returns the number of the commit in force.
    ///
    /// # Errors
    /// As `Management::commit`.
    pub async fn commit(&self, options: &CommitOptions, comment: &str) -> Result<u64, ManagementError> {
        let id = self.id;
        let commit = |datastores: &mut Datastores, now, context: &_| {
            datastores.commit(now, id, options, comment, context)
        };
        self.service.change(id, commit).await
    }

    /// Checks a whole configuration as a commit would.
    ///
    /// # Errors
    /// What a commit of it would be refused for.
    pub async fn validate(&self, source: ConfigSource) -> Result<(), ManagementError> {
        let id = self.id;
        let validate =
            |datastores: &mut Datastores, now, context: &_| datastores.validate(now, id, &source, context);
        self.service.change(id, validate).await
    }

    /// Cancels the pending confirmed commit, which is reverted.
    ///
    /// # Errors
    /// As `Management::cancel_commit`.
    pub async fn cancel_commit(&self, persist_id: Option<&str>) -> Result<(), ManagementError> {
        let id = self.id;
        self.service.change(id, |datastores, now, _| datastores.cancel_commit(now, id, persist_id)).await
    }

    /// Changes running in one transaction. Returns the number of the commit in force.
    ///
    /// # Errors
    /// As `Management::set`.
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

    /// Goes back to the configuration of an earlier commit. Returns the number of the commit in force.
    ///
    /// # Errors
    /// As `Management::rollback`.
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

    /// Sets an endpoint draining; `expires_in` none: until it is undrained. With `force` also the last of its
    /// kind. Returns the number of the commit in force.
    ///
    /// # Errors
    /// As `Management::set_override`.
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

    /// Removes the administrative override of an endpoint. Returns the number of the commit in force.
    ///
    /// # Errors
    /// As `Management::set_override`.
    pub async fn undrain(&self, host: &str) -> Result<u64, ManagementError> {
        self.set_override("undrain", host, &[]).await
    }

    /// Ends another session.
    ///
    /// # Errors
    /// As `Management::kill_session`.
    pub async fn kill_session(&self, victim: SessionId) -> Result<(), ManagementError> {
        let id = self.id;
        self.service.change(id, |datastores, now, _| datastores.kill_session(now, id, victim)).await
    }

    /// Subscribes to events from now on, each with its time; a receiver that lags too far behind learns how many
    /// it missed.
    pub fn subscribe_events(&mut self) -> broadcast::Receiver<(Duration, ManagementEvent)> {
        self.subscriptions += 1;
        drop(self.lock_active());
        self.service.reschedule();
        self.service.events.subscribe()
    }

    /// Subscribes to values.
    ///
    /// # Errors
    /// Where an access rule denies the call, or all subscriptions are in use.
    pub async fn subscribe(
        &mut self,
        patterns: Vec<Pattern>,
        trigger: Trigger,
        updates_only: bool,
    ) -> Result<ValueSubscription, ManagementError> {
        self.authorize_call("establish-subscription")?;
        // Guards against a change between the first snapshot and the first observation: what is compared with
        // must not be younger than that snapshot.
        let present = self.service.operational().await;
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
            shared.subscriptions.last_state.get_or_insert(present);
            shared.subscriptions.insert(active)
        };
        self.service.reschedule();
        Ok(ValueSubscription::new(self.service.clone(), id, wake, patterns))
    }

    /// Counts one subscription less; without any, the idle limit applies to the session again.
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

    /// Locks the service's state, and records that the session is active.
    fn lock_active(&self) -> MutexGuard<'_, Shared> {
        let now = self.service.now();
        let mut shared = self.service.lock();
        shared.datastores.record_activity(now, self.id);
        shared.datastores.set_subscription_count(self.id, self.subscriptions);
        shared
    }
}
