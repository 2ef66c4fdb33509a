//! Applies the effects of a change of the datastores: writes the audit log, notifies subscribers, sets the
//! log level, and sends the overrides to the endpoint list of the decision logic.

use super::{Datastores, ManagementService, Shared};
use crate::event::ManagementEvent;
use crate::state;
use rockflow_management::{
    ErrorTag, ManagementError, Notification, Operator, Protocol, SessionEndReason, SessionId,
    ValidationContext,
};
use rockflow_yang::{data, Scalar};
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::{debug, error, info, warn};

/// Timeout for the decision logic to apply a commit. After it, the commit is acknowledged anyway.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

impl ManagementService {
    /// Makes one change on behalf of a session, and waits until it is durable and the decision logic has
    /// applied it.
    pub(crate) async fn change<T>(
        &self,
        id: SessionId,
        apply_change: impl FnOnce(&mut Datastores, Duration, &ValidationContext) -> Result<T, ManagementError>,
    ) -> Result<T, ManagementError> {
        // Without the endpoint list, the validation could not prevent draining the last endpoint of a
        // location.
        let status = self.status().await.ok_or_else(|| {
            let message = "the dispatcher does not tell its hosts; nothing is changed";
            ManagementError::new(ErrorTag::ResourceDenied, message)
        })?;
        let context = state::validation_context(&status, self.now());
        let (result, applied) = {
            let now = self.now();
            let mut shared = self.lock();
            shared.datastores.record_activity(now, id);
            let result = apply_change(&mut shared.datastores, now, &context);
            (result, self.process_notifications(&mut shared))
        };
        self.reschedule();
        if let Some(applied) = applied {
            if tokio::time::timeout(APPLY_TIMEOUT, applied).await.is_err() {
                warn!("commit is durable, but the dispatcher did not confirm in time that it is applied");
            }
        }
        result
    }

    /// Applies the effects of the pending notifications while the lock is held, so that commits reach the
    /// endpoint list in order, including those caused by the end of a session or by a timeout. If overrides
    /// were sent, the returned receiver completes when the decision logic has applied them.
    pub(crate) fn process_notifications(&self, shared: &mut Shared) -> Option<oneshot::Receiver<()>> {
        let now = self.now();
        let mut has_commit = false;
        for notification in shared.datastores.take_notifications() {
            match &notification {
                Notification::Committed(commit) => {
                    shared.audit.write(&self.schema, commit);
                    has_commit = true;
                }
                Notification::SessionStarted { session, operator } => log_session_start(*session, operator),
                Notification::SessionEnded { session, operator, reason } => {
                    log_session_end(*session, operator, *reason);
                    self.session_ended.notify_waiters();
                }
                Notification::ConfirmedCommit { event, operator } => {
                    info!(event = event.name(), user = operator.user, "confirmed commit");
                }
            }
            let _ = self.events.send((now, ManagementEvent::Notification(notification)));
        }
        self.update_log_level(shared);
        if has_commit || shared.has_unapplied_overrides {
            self.send_overrides(shared)
        } else {
            None
        }
    }

    fn update_log_level(&self, shared: &mut Shared) {
        let names = ["router", "logging", "level"];
        let running = shared.datastores.running();
        let configured = data::leaf_by_names(&self.schema, running, &names).map(Scalar::to_string);
        if configured != shared.log_level {
            (self.set_log_level)(configured.as_deref());
            shared.log_level = configured;
        }
    }

    /// Sends all current overrides to the endpoint list. `None` if the endpoint list accepts no more
    /// messages; then they are sent again later.
    fn send_overrides(&self, shared: &mut Shared) -> Option<oneshot::Receiver<()>> {
        let (done, applied) = oneshot::channel();
        let is_sent =
            self.dispatcher.set_operator_overrides(shared.datastores.administrative_overrides(), move || {
                let _ = done.send(());
            });
        if let Some(cached) = &mut shared.status {
            // Expires the cached report, which does not include the new overrides.
            cached.requested_at = Duration::ZERO;
        }
        shared.has_unapplied_overrides = !is_sent;
        if !is_sent {
            error!("endpoint list accepts no more messages, overrides will be sent again later");
        }
        is_sent.then_some(applied)
    }
}

/// Each gNMI call opens a separate session, so gNMI sessions are logged at the debug level only.
fn log_session_start(session: SessionId, operator: &Operator) {
    let (session, protocol) = (session.0, operator.protocol.name());
    let (user, source) = (&operator.user, &operator.source);
    if operator.protocol == Protocol::Gnmi {
        debug!(session, user, protocol, source, "management session started");
    } else {
        info!(session, user, protocol, source, "management session started");
    }
}

fn log_session_end(session: SessionId, operator: &Operator, reason: SessionEndReason) {
    let (session, user, reason) = (session.0, &operator.user, reason.name());
    if operator.protocol == Protocol::Gnmi {
        debug!(session, user, reason, "management session ended");
    } else {
        info!(session, user, reason, "management session ended");
    }
}
