//! Opening and ending sessions, and the timers of idle sessions and pending commits.

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
    /// [`ErrorTag::ResourceDenied`] where as many sessions are open as the setting `most-sessions` allows.
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

    /// Ends a session and releases its locks and candidate. A pending commit that only this session could confirm is
    /// reverted.
    pub fn close_session(&mut self, now: Duration, id: SessionId, reason: SessionEndReason) {
        let Some(session) = self.sessions.remove(id) else { return };
        self.locks.release_all(id);
        if self.pending.as_ref().is_some_and(|pending| pending.session == Some(id)) {
            self.revert_unconfirmed(now, ConfirmedCommitEvent::Cancel);
        }
        let operator = session.operator;
        self.notifications.push(Notification::SessionEnded { session: id, operator, reason });
    }

    /// Ends session `victim` at the request of session `id`.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] where an access rule denies the call; [`ErrorTag::InvalidValue`] where both are the
    /// same session, or `victim` is not open.
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

    /// Records that a session has sent a request, which restarts its idle timeout.
    pub fn record_activity(&mut self, now: Duration, id: SessionId) {
        self.sessions.record_activity(now, id);
    }

    /// Sets the number of a session's subscriptions. A session with subscriptions has no idle timeout.
    pub fn set_subscription_count(&mut self, id: SessionId, count: usize) {
        self.sessions.set_subscription_count(id, count);
    }

    /// Whether the session is open.
    pub fn is_open(&self, id: SessionId) -> bool {
        self.sessions.contains(id)
    }

    /// The open sessions, in the order of their numbers.
    pub fn sessions(&self) -> impl Iterator<Item = SessionInfo> + '_ {
        self.sessions.iter()
    }

    /// Checks that a session's user may make the call.
    ///
    /// # Errors
    /// [`ErrorTag::AccessDenied`] where the access rules don't permit it.
    pub fn authorize_call(&self, id: SessionId, call: &str) -> Result<(), ManagementError> {
        let user = &self.sessions.get(id)?.operator.user;
        if self.access.is_call_permitted(user, call) {
            return Ok(());
        }
        Err(ManagementError::new(ErrorTag::AccessDenied, format!("{user} may not call {call}")))
    }

    /// When [`Management::on_tick`] has to be called next, as Unix time: the earliest deadline of a pending commit or
    /// an idle session; `None` while there is neither.
    pub fn next_deadline(&self) -> Option<Duration> {
        let expiry = self.sessions.next_expiry(self.idle_limit());
        let confirmation = self.pending.as_ref().map(|pending| pending.deadline);
        expiry.into_iter().chain(confirmation).min()
    }

    /// Reverts a commit that was not confirmed in time, and closes the sessions whose idle timeout has expired. Returns
    /// the closed sessions.
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
