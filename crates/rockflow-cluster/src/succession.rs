//! What a successor does with a request that its owner left behind: a table by effect and by what may have executed. It
//! says what is allowed; whether and where an attempt is sent is for the routing decisions, under their usual limits.

use crate::record::{Answer, EffectKind, Outcome, RequestProgress};

/// What a successor does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Succession {
    /// There is an answer: it stands, and is given to clients that ask.
    Answered(Answer),
    /// Execute it, as if it had arrived just now.
    Run,
    /// Execute it only where the key scope covers every attempt that may have executed, within the deduplication window.
    RunWithIdempotencyKey,
    /// What it did is unknown and must not be done twice: it ends as failed.
    FailUnknown,
    /// Nobody waits, and a repeat can do no harm: abandon it.
    Abandon,
}

/// What becomes of a request whose owner is lost.
///
/// | effect | answered | nothing started | an attempt may have executed |
/// | --- | --- | --- | --- |
/// | idempotent, a client waits | answered | run | run |
/// | idempotent, nobody waits | answered | abandon | abandon |
/// | idempotency key | answered | run | run with the idempotency key |
/// | at most once | answered | run | fail as unknown |
///
/// Where no time is left, a request that would run is abandoned if nothing was started, and else fails as unknown.
pub fn succession(
    kind: EffectKind,
    progress: &RequestProgress,
    is_awaited: bool,
    has_time_left: bool,
) -> Succession {
    if let Some((_, answer)) = &progress.answer {
        return Succession::Answered(answer.clone());
    }
    let is_started = !progress.started_attempts.is_empty();
    match (kind, is_started) {
        (EffectKind::Idempotent, _) if is_awaited && has_time_left => Succession::Run,
        (EffectKind::Idempotent, _) => Succession::Abandon,
        (_, false) if has_time_left => Succession::Run,
        (_, false) => Succession::Abandon,
        (EffectKind::IdempotencyKey, true) if has_time_left => Succession::RunWithIdempotencyKey,
        (EffectKind::IdempotencyKey | EffectKind::AtMostOnce, true) => Succession::FailUnknown,
    }
}

/// The answer of a request of which nothing is known.
pub fn unknown_answer() -> Answer {
    Answer { outcome: Outcome::Failed, tag: None, body: None }
}
