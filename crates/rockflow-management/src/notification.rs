//! What happens to sessions and datastores, for the audit log and for subscribers.

use crate::history::Commit;
use crate::session::{Operator, SessionEndReason, SessionId};
use std::collections::VecDeque;

/// Notifications that wait to be taken; past that the oldest is dropped.
const MAX_NOTIFICATIONS: usize = 4096;

/// An event of the management side.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// Running has changed.
    Committed(Commit),
    /// A session was opened.
    SessionStarted {
        /// Its number.
        session: SessionId,
        /// Who opened it.
        operator: Operator,
    },
    /// A session has ended.
    SessionEnded {
        /// Its number.
        session: SessionId,
        /// Who had opened it.
        operator: Operator,
        /// Why it ended.
        reason: SessionEndReason,
    },
    /// A confirmed commit has changed its state (RFC 6470).
    ConfirmedCommit {
        /// What has become of it.
        event: ConfirmedCommitEvent,
        /// Who did that, or made the commit.
        operator: Operator,
    },
}

/// What becomes of a confirmed commit (RFC 6470, section 2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmedCommitEvent {
    /// It was made, and waits for its confirmation.
    Start,
    /// Its time to be confirmed was extended.
    Extend,
    /// It was confirmed.
    Complete,
    /// It was cancelled and reverted.
    Cancel,
    /// It was not confirmed in time and reverted.
    Timeout,
}

impl ConfirmedCommitEvent {
    /// The name in notifications and in the log.
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
