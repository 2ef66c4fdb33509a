//! The subscriptions of one session. Each has a task that converts events or value updates to notifications.

use crate::notify;
use crate::rpc::Server;
use rockflow_management::{ErrorTag, ManagementError, Trigger};
use rockflow_management_service::{ManagementEvent, SessionHandle, ValueSubscription};
use rockflow_yang::{Pattern, Schema};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc};
use tokio::task::AbortHandle;
use tracing::info;

/// Maximum number of subscriptions in one session.
const MAX_SUBSCRIPTIONS: usize = 16;
/// Id of the event subscription. Value subscriptions have ids from 1.
const EVENT_SUBSCRIPTION_ID: u64 = 0;

/// The active subscriptions of a session. Dropping it stops their tasks.
pub(super) struct Subscriptions {
    notifications: mpsc::Sender<String>,
    /// The task of each subscription, by subscription id.
    tasks: BTreeMap<u64, AbortHandle>,
    has_event_subscription: bool,
}

impl Drop for Subscriptions {
    fn drop(&mut self) {
        self.tasks.values().for_each(AbortHandle::abort);
    }
}

impl Subscriptions {
    pub(super) fn new(notifications: mpsc::Sender<String>) -> Subscriptions {
        Subscriptions { notifications, tasks: BTreeMap::new(), has_event_subscription: false }
    }

    /// Subscribes to events and returns the subscription id. Fails if the session has an event subscription
    /// already.
    pub(super) fn subscribe_events(
        &mut self,
        server: &Server,
        session: &mut SessionHandle,
    ) -> Result<u64, ManagementError> {
        self.check_limit()?;
        if self.has_event_subscription {
            return Err(ManagementError::new(ErrorTag::InUse, "this session follows events already"));
        }
        self.has_event_subscription = true;
        let events = session.subscribe_events();
        let schema = server.service.schema().clone();
        let task = tokio::spawn(send_events(events, schema, self.notifications.clone()));
        self.tasks.insert(EVENT_SUBSCRIPTION_ID, task.abort_handle());
        Ok(EVENT_SUBSCRIPTION_ID)
    }

    /// Subscribes to the values that match `patterns` and returns the subscription id.
    pub(super) async fn subscribe(
        &mut self,
        server: &Arc<Server>,
        session: &mut SessionHandle,
        patterns: Vec<Pattern>,
        trigger: Trigger,
        updates_only: bool,
    ) -> Result<u64, ManagementError> {
        self.check_limit()?;
        let subscription = session.subscribe(patterns, trigger, updates_only).await?;
        let number = subscription.number;
        let task = tokio::spawn(send_updates(subscription, server.clone(), self.notifications.clone()));
        self.tasks.insert(number, task.abort_handle());
        Ok(number)
    }

    /// Ends a subscription. Fails if this session has no subscription with that id.
    pub(super) fn unsubscribe(
        &mut self,
        session: &mut SessionHandle,
        number: u64,
    ) -> Result<(), ManagementError> {
        let task = self.tasks.remove(&number);
        let task = task.ok_or_else(|| {
            ManagementError::new(ErrorTag::InvalidValue, format!("no subscription {number} here"))
                .with_app_tag("no-such-subscription")
        })?;
        task.abort();
        session.release_subscription();
        Ok(())
    }

    fn check_limit(&self) -> Result<(), ManagementError> {
        if self.tasks.len() < MAX_SUBSCRIPTIONS {
            return Ok(());
        }
        let message = format!("more than {MAX_SUBSCRIPTIONS} subscriptions in a session");
        Err(ManagementError::new(ErrorTag::ResourceDenied, message))
    }
}

async fn send_events(
    mut events: broadcast::Receiver<(Duration, ManagementEvent)>,
    schema: Arc<Schema>,
    notifications: mpsc::Sender<String>,
) {
    loop {
        let (time, event) = match events.recv().await {
            Ok(event) => event,
            // Skipped events are not sent again: the client has to read the current state.
            Err(broadcast::error::RecvError::Lagged(missed)) => {
                info!(missed, "event subscriber too slow, events skipped");
                continue;
            }
            Err(broadcast::error::RecvError::Closed) => return,
        };
        for notification in notify::event(&schema, time, &event) {
            if notifications.send(notification).await.is_err() {
                return;
            }
        }
    }
}

async fn send_updates(
    subscription: ValueSubscription,
    server: Arc<Server>,
    notifications: mpsc::Sender<String>,
) {
    let service = &server.service;
    loop {
        let update = subscription.next().await;
        let notification = notify::push(service.schema(), service.now(), subscription.number, update);
        if notifications.send(notification).await.is_err() {
            return;
        }
    }
}
