//! How the successor of a lost owner proceeds with a request, by its effect and its progress. This only says what is
//! allowed; the decision logic (crate `rockflow`) determines whether and where an attempt is sent, under its usual
//! limits.

use crate::record::{Answer, EffectKind, Outcome, RequestProgress};

/// How a successor proceeds with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverAction {
    /// A final answer is recorded. It is kept and given to the clients that wait for it.
    Answered(Answer),
    /// Execute the request as if it had just arrived.
    Run,
    /// Execute the request, but only if the scope of its idempotency key covers every attempt that may have executed
    /// and the deduplication window has not passed.
    RunWithIdempotencyKey,
    /// An earlier attempt may have executed and must not be repeated, so the request ends as failed.
    FailUnknown,
    /// Drop the request without an answer: nothing was started, or it is idempotent, and it is not awaited or its
    /// deadline has passed.
    Abandon,
}

/// Returns how a successor proceeds with a request whose owner is lost. `is_awaited`: a client or another member
/// waits for the answer. `has_time_left`: the deadline of the request has not passed.
///
/// | effect | answered | nothing started | an attempt may have executed |
/// | --- | --- | --- | --- |
/// | idempotent, a client waits | answered | run | run |
/// | idempotent, nobody waits | answered | abandon | abandon |
/// | idempotency key | answered | run | run with the idempotency key |
/// | at most once | answered | run | fail as unknown |
///
/// Once the deadline has passed, a request that would run is abandoned if nothing was started or it is idempotent, and
/// fails as unknown otherwise.
pub fn takeover_action(
    kind: EffectKind,
    progress: &RequestProgress,
    is_awaited: bool,
    has_time_left: bool,
) -> TakeoverAction {
    if let Some((_, answer)) = &progress.answer {
        return TakeoverAction::Answered(answer.clone());
    }
    let is_started = !progress.started_attempts.is_empty();
    match (kind, is_started) {
        (EffectKind::Idempotent, _) if is_awaited && has_time_left => TakeoverAction::Run,
        (EffectKind::Idempotent, _) => TakeoverAction::Abandon,
        (_, false) if has_time_left => TakeoverAction::Run,
        (_, false) => TakeoverAction::Abandon,
        (EffectKind::IdempotencyKey, true) if has_time_left => TakeoverAction::RunWithIdempotencyKey,
        (EffectKind::IdempotencyKey | EffectKind::AtMostOnce, true) => TakeoverAction::FailUnknown,
    }
}

/// The answer of a request of which it is unknown whether it has executed.
pub fn unknown_answer() -> Answer {
    Answer { outcome: Outcome::Failed, tag: None, body: None }
}
