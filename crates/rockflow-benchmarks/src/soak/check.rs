//! The rules of the service that a run checks, and the checks that need the records of the whole run.
//!
//! The texts in quotation marks are from the specification of the service, with the name of their section in brackets.

use super::ledger::{Ledger, ReceivedAttempt};
use std::collections::BTreeMap;
use std::time::Duration;

/// Added to every time limit that is measured at the sockets: "each time limit is 50 ms longer" (The rules on sockets).
pub(super) const TIME_TOLERANCE: Duration = Duration::from_millis(50);
/// How long after its client left a request may still cause an attempt: "no attempt, first or further, begins over 0.1
/// s later" (Acceptance).
const MAX_ATTEMPT_DELAY_AFTER_LEAVE: Duration = Duration::from_millis(100);
/// How long after a drain the drained host may still be used, which is `stopSendingWithinUs` of the run's
/// configuration.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(400);
/// How long after the dispatcher received a purge it may still serve an older copy ("purge_grace_us").
pub(super) const PURGE_GRACE: Duration = Duration::from_millis(500);

/// A rule of the service that a run can find violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request gets an answer: "Ending that connection with no whole answer loses the request."
    Lost,
    /// The whole answer comes within the client's patience, "how long the client waits for the whole answer", and 50
    /// ms.
    Late,
    /// A request gets one final answer, and no bytes follow it.
    SecondAnswer,
    /// An answer holds "the bytes of that part, whole and unchanged".
    WrongBody,
    /// A well-formed request is never answered with the status of a malformed one.
    WrongStatus,
    /// A purged copy is not served: "No query is answered from a copy older than a purge."
    Purged,
    /// A drained host gets no new attempts: "Drains kept: nothing new, as query or as source of a fill."
    Drained,
    /// A request that may be executed at most once is not executed twice: "No effect happens twice."
    RepeatedEffect,
    /// No attempt begins for a client that has left: "A client that closed its connection or cancelled has gone."
    SentAfterLeave,
    /// After SIGTERM the program exits by itself, with status 0 and before the kill: "A dispatcher that ends after
    /// SIGTERM has not crashed".
    Exit,
    /// The log of the program holds no panic.
    Panic,
}

/// An observation that violates a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The id of the request that shows the violation; `None` if it is not about a single request.
    pub request: Option<u64>,
    /// A description of the observation, for people.
    pub detail: String,
    /// The time of the observation, counted from the start of the run.
    pub at: Duration,
}

/// Checks the rules that need the records of clients, hosts and discovery together, once the run is over.
pub(super) fn check_ledger(ledger: &mut Ledger) {
    check_drained_hosts(ledger);
    check_attempts_after_leave(ledger);
    check_repeated_effects(ledger);
    check_unended_requests(ledger);
}

/// Reports attempts that used a drained host, as receiver or as source of a fill, after the grace of its drain.
fn check_drained_hosts(ledger: &mut Ledger) {
    let mut violations = Vec::new();
    for attempt in &ledger.attempts {
        let hosts = [Some(&attempt.host), attempt.source.as_ref()];
        for host in hosts.into_iter().flatten() {
            let since = ledger
                .drains
                .get(host)
                .and_then(|drained_at| attempt.received_at.checked_duration_since(*drained_at));
            if let Some(since) = since.filter(|since| *since > DRAIN_GRACE + TIME_TOLERANCE) {
                violations
                    .push((attempt.id, format!("{host} was used {since:?} after its drain was announced")));
            }
        }
    }
    violations.into_iter().for_each(|(id, detail)| ledger.report_violation(Rule::Drained, Some(id), detail));
}

/// Reports attempts that hosts received too long after the client of their request had left.
fn check_attempts_after_leave(ledger: &mut Ledger) {
    let mut violations = Vec::new();
    for attempt in &ledger.attempts {
        let left_at = ledger.requests.get(&attempt.id).and_then(|request| request.left_at);
        let since = left_at.and_then(|left| attempt.received_at.checked_duration_since(left));
        if let Some(since) = since.filter(|since| *since > MAX_ATTEMPT_DELAY_AFTER_LEAVE + TIME_TOLERANCE) {
            violations.push((
                attempt.id,
                format!("{} received an attempt {since:?} after its client had left", attempt.host),
            ));
        }
    }
    violations
        .into_iter()
        .for_each(|(id, detail)| ledger.report_violation(Rule::SentAfterLeave, Some(id), detail));
}

/// Reports at-most-once requests for which more than one attempt may have been executed.
fn check_repeated_effects(ledger: &mut Ledger) {
    let mut executions: BTreeMap<u64, usize> = BTreeMap::new();
    let may_have_run = |attempt: &&ReceivedAttempt| !attempt.is_known_not_executed;
    for attempt in ledger.attempts.iter().filter(may_have_run) {
        *executions.entry(attempt.id).or_default() += 1;
    }
    let is_at_most_once = |id: &u64| ledger.requests.get(id).is_some_and(|request| request.is_at_most_once);
    let repeated: Vec<_> =
        executions.into_iter().filter(|(id, count)| *count > 1 && is_at_most_once(id)).collect();
    for (id, count) in repeated {
        ledger.report_violation(
            Rule::RepeatedEffect,
            Some(id),
            format!("{count} attempts may have been executed"),
        );
    }
}

/// Reports requests whose clients were still waiting when the run ended.
fn check_unended_requests(ledger: &mut Ledger) {
    let unended = ledger.requests.values().filter(|request| request.end.is_none());
    let unended: Vec<u64> = unended.map(|request| request.id).collect();
    for id in unended {
        ledger.report_violation(Rule::Lost, Some(id), "no answer by the end of the run");
    }
}
