//! Opening and ending sessions, and what is due by the clock.

use super::Management;
use crate::error::{ErrorTag, ManagementError};
use crate::notification::{ConfirmedCommitEvent, Notification};
use crate::session::{Operator, SessionEndReason, SessionId, SessionInfo};
use crate::storage::SnapshotStorage;
use std::time::Duration;

impl<S: SnapshotStorage> Management<S> {
    /// Opens a session.
    ///
    /// # Errors
    /// [`ErrorTag::ResourceDenied`] where `most-sessions` of the configuration are open.
    pub fn open_session(&mut self, now: Duration, operator: Operator) -> Result<SessionId, ManagementError> {
        let max_sessions = self.setting("most-sessions") as usize;
        if self.sessions.len() >= max_sessions {
            let message = format!("all {max_sessions} sessions are in use");
            return Err(ManagementError::new(ErrorTag::ResourceDenied, message));
        }
        let session = self.sessions.insert(now, operator.clone());
        self.notifications.push(Notification::SessionStarted { session, operator });
        Ok(session)
    }

    /// Ends a session and releases all that it holds; a pending commit that it alone could confirm is reverted.
    pub fn close_session(&mut self, now: Duration, id: SessionId, reason: SessionEndReason) {
        let Some(session) = self.sessions.remove(id) else { return };
        self.locks.release_all(id);
        if self.pending.as_ref().is_some_and(|pending| pending.session == Some(id)) {
            self.revert_unconfirmed(now, ConfirmedCommitEvent::Cancel);
        }
        let operator = session.operator;
        self.notifications.push(Notification::SessionEnded { session: id, operator, reason });
    }

    /// Ends another session on a session's behalf.
    ///
    /// # Errors
    /// [`ErrorTag::InvalidValue`] where that is the session itself, or none of that number is open.
    pub fn kill_session(
        &mut self,
        now: Duration,
        id: SessionId,
        victim: SessionId,
    ) -> Result<(), ManagementError> {
        self.authorize_call(id, "kill-session")?;
        if id == victim {
            let message = "a session ends itself with close-session";
            return Err(ManagementError::new(ErrorTag::InvalidValue, message));
        }
        if !self.sessions.contains(victim) {
            let message = format!("there is no session {}", victim.0);
            return Err(ManagementError::new(ErrorTag::InvalidValue, message));
        }
        self.close_session(now, victim, SessionEndReason::Killed);
        Ok(())
    }

    /// Restarts a session's idle limit, as it has sent a request.
    pub fn record_activity(&mut self, now: Duration, id: SessionId) {
        self.sessions.record_activity(now, id);
    }

    /// Sets how many subscriptions a session has; while it has any, the idle limit does not end it.
    pub fn set_subscription_count(&mut self, id: SessionId, count: usize) {
        self.sessions.set_subscription_count(id, count);
    }

    /// Whether the session is open.
    pub fn is_open(&self, id: SessionId) -> bool {
        self.sessions.contains(id)
    }

    /// The open sessions, by number.
    pub fn sessions(&self) -> impl Iterator<Item = SessionInfo> + '_ {
        self.sessions.iter()
    }

    /// Whether a session's user may make the call.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] where an access rule denies it.
    pub fn authorize_call(&self, id: SessionId, call: &str) -> Result<(), ManagementError> {
        let user = &self.sessions.get(id)?.operator.user;
        if self.access.is_call_permitted(user, call) {
            return Ok(());
        }
        Err(ManagementError::new(ErrorTag::AccessDenied, format!("{user} may not call {call}")))
    }

    /// When [`Management::on_tick`] has something to do: a confirmation or a silent session runs out.
    pub fn next_deadline(&self) -> Option<Duration> {
        let expiry = self.sessions.next_expiry(self.idle_limit());
        let confirmation = self.pending.as_ref().map(|pending| pending.deadline);
        expiry.into_iter().chain(confirmation).min()
    }

    /// Reverts a commit that was not confirmed in time, and closes sessions that were silent for too long.
    /// Returns those sessions.
    pub fn on_tick(&mut self, now: Duration) -> Vec<SessionId> {
        if self.pending.as_ref().is_some_and(|pending| pending.deadline <= now) {
            self.revert_unconfirmed(now, ConfirmedCommitEvent::Timeout);
        }
        let expired = self.sessions.expired(now, self.idle_limit());
        for id in &expired {
            self.close_session(now, *id, SessionEndReason::Timeout);
        }
        expired
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_secs(self.setting("idle-limit"))
    }
}
