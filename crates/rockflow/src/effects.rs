//! Repeated execution: whether a request may be attempted again after earlier attempts, and until when.

use crate::config::{Effect, KeyScope};
use crate::event::{AttemptEnd, Outcome, PreviousAttempt};
use crate::ids::HostId;
use crate::request::{AttemptPhase, OpenRequest};
use crate::state::RoutingState;
use std::time::Duration;

/// Whether the host may have executed an attempt that ended like this.
pub(crate) fn may_have_executed(end: &AttemptEnd) -> bool {
    let certainly_not_executed =
        matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss);
    end.first_byte_sent && !certainly_not_executed
}

/// The attempts of a request that may have executed, including those of a previous dispatcher.
fn possibly_executed_attempts(open: &OpenRequest) -> impl Iterator<Item = PreviousAttempt> + '_ {
    let own = open
        .attempts
        .iter()
        .filter(|attempt| attempt.phase != AttemptPhase::Ended { may_have_executed: false })
        .map(|attempt| PreviousAttempt { host: attempt.attempt.host, sent: attempt.decided_at });
    own.chain(open.request.previous_attempts.iter().copied())
}

/// Whether no attempt of the request can have executed.
fn has_certainly_not_executed(open: &OpenRequest) -> bool {
    possibly_executed_attempts(open).next().is_none()
}

impl RoutingState {
    /// Whether the request may be sent to this host, considering that earlier attempts may have executed.
    pub(crate) fn may_repeat(&self, open: &OpenRequest, host: HostId) -> bool {
        match self.class(open).effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => has_certainly_not_executed(open),
            Effect::IdempotencyKey { scope, .. } => {
                let in_window = self.repeat_deadline(open).is_none_or(|by| self.now < by);
                let scope_id = self.key_scope_id(scope, host);
                in_window
                    && possibly_executed_attempts(open)
                        .all(|attempt| self.key_scope_id(scope, attempt.host) == scope_id)
            }
        }
    }

    /// The latest time to send a repeat so that hosts still drop it. None: no attempt may have executed, or the class
    /// has no deduplication window.
    ///
    /// This is before the end of the window by the duration of an ordinary attempt, as the repeat may execute
    /// some time after it is sent.
    pub(crate) fn repeat_deadline(&self, open: &OpenRequest) -> Option<Duration> {
        let Effect::IdempotencyKey { deduplication_window, .. } = self.class(open).effect else {
            return None;
        };
        let first_window_end =
            possibly_executed_attempts(open).map(|attempt| attempt.sent + deduplication_window).min()?;
        Some(first_window_end.saturating_sub(open.usual_duration))
    }

    /// Whether the request may be rejected, which tells the client that it may safely send the request again.
    pub(crate) fn may_reject(&self, open: &OpenRequest) -> bool {
        match self.class(open).effect {
            Effect::Idempotent | Effect::IdempotencyKey { scope: KeyScope::All, .. } => true,
            Effect::IdempotencyKey { .. } | Effect::AtMostOnce => has_certainly_not_executed(open),
        }
    }

    /// A number that is equal for exactly those hosts that share deduplication records in this scope. None: the host is
    /// not listed.
    fn key_scope_id(&self, scope: KeyScope, host: HostId) -> Option<u16> {
        let entry = self.endpoints.get(host)?.entry();
        Some(match scope {
            KeyScope::All => 0,
            KeyScope::Location => entry.location.0,
            KeyScope::Cell => entry.cell.0,
        })
    }
}
