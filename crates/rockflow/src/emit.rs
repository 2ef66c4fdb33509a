//! Turns the decisions on a request that have not been carried out yet into actions.

use crate::action::Action;
use crate::ids::AttemptNumber;
use crate::request::{AttemptPhase, OpenRequest};
use crate::state::RoutingState;

/// Emits the actions of one request: unsent attempts, cancellations, and the final answer.
///
/// All actions on requests are emitted here, which ensures that a request gets at most one final answer.
pub(crate) fn emit(open: &mut OpenRequest, state: &mut RoutingState, actions: &mut Vec<Action>) {
    let request = open.request.id;
    let class = open.request.class;
    let answer = open.final_answer.take().filter(|_| !open.finished);
    if answer.is_some() {
        open.finished = true;
    }
    let may_cancel = state.config.cancellation && !open.response_started && open.finished;
    for (number, attempt) in open.attempts.iter_mut().enumerate() {
        match attempt.phase {
            AttemptPhase::Unsent if !open.finished => {
                attempt.phase = AttemptPhase::InFlight;
                actions.push(Action::SendAttempt { request, attempt: attempt.attempt });
                state.record_attempt_sent(class, attempt);
            }
            AttemptPhase::InFlight if may_cancel => {
                attempt.phase = AttemptPhase::Cancelled;
                let attempt = AttemptNumber(number as u16);
                actions.push(Action::CancelAttempt { request, attempt });
            }
            _ => {}
        }
    }
    actions.extend(answer);
}
