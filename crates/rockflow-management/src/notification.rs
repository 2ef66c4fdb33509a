//! Events of sessions and datastores, for the audit log and for subscribers.

use crate::history::Commit;
use crate::session::{Operator, SessionEndReason, SessionId};
use std::collections::VecDeque;

/// The most notifications that are queued; when the queue is full, the oldest is dropped.
const MAX_NOTIFICATIONS: usize = 4096;

/// An event of the management side.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A commit has changed running.
    Committed(Commit),
    /// A session was opened.
    SessionStarted {
        /// The number of the session.
        session: SessionId,
        /// The operator who opened the session.
        operator: Operator,
    },
    /// A session has ended.
    SessionEnded {
        /// The number of the session.
        session: SessionId,
        /// The operator who had opened the session.
        operator: Operator,
        /// Why the session ended.
        reason: SessionEndReason,
    },
    /// The state of a confirmed commit has changed (RFC 6470).
    ConfirmedCommit {
        /// The change of state.
        event: ConfirmedCommitEvent,
        /// The operator whose commit request caused the change; for a revert, the author of the reverted commit.
        operator: Operator,
    },
}

/// A change in the state of a confirmed commit (RFC 6470, section 2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmedCommitEvent {
    /// The commit was made, and has to be confirmed.
    Start,
    /// The time to confirm the commit was extended.
    Extend,
    /// The commit was confirmed.
    Complete,
    /// The commit was cancelled, or its session ended, and it was reverted.
    Cancel,
    /// The commit was not confirmed in time, and was reverted.
    Timeout,
}

impl ConfirmedCommitEvent {
    /// The event's name in notifications and in the log.
    pub fn name(self) -> &'static str {
        match self {
            ConfirmedCommitEvent::Start => "start",
            ConfirmedCommitEvent::Extend => "extend",
            ConfirmedCommitEvent::Complete => "complete",
            ConfirmedCommitEvent::Cancel => "cancel",
            ConfirmedCommitEvent::Timeout => "timeout",
        }
    }
}

/// The notifications that have not been taken yet.
#[derive(Default)]
pub(crate) struct NotificationQueue(VecDeque<Notification>);

impl NotificationQueue {
    pub(crate) fn push(&mut self, notification: Notification) {
        if self.0.len() >= MAX_NOTIFICATIONS {
            self.0.pop_front();
        }
        self.0.push_back(notification);
    }

    pub(crate) fn take(&mut self) -> Vec<Notification> {
        self.0.drain(..).collect()
    }
}
