//! The rules that a run is held to, and those that are judged once it is over.

use super::ledger::{Ledger, ReceivedAttempt};
use std::collections::BTreeMap;
use std::time::Duration;

/// "each time limit is 50 ms longer" (The rules on sockets).
pub(super) const TIME_TOLERANCE: Duration = Duration::from_millis(50);
/// "no attempt, first or further, begins over 0.1 s later" than its client left (Acceptance).
const MAX_ATTEMPT_DELAY_AFTER_LEAVE: Duration = Duration::from_millis(100);
/// `stopSendingWithinUs` of the run's configuration.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(400);
/// "purge_grace_us": so long after being told, an older copy may still be sent.
pub(super) const PURGE_GRACE: Duration = Duration::from_millis(500);

/// A rule of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// "Ending that connection with no whole answer loses the request."
    Lost,
    /// "how long the client waits for the whole answer" and 50 ms.
    Late,
    /// One final answer, nothing after.
    SecondAnswer,
    /// "the bytes of that part, whole and unchanged".
    WrongBody,
    /// A well-formed request that is answered as if it were none.
    WrongStatus,
    /// "No query is answered from a copy older than a purge."
    Purged,
    /// "Drains kept: nothing new, as query or as source of a fill."
    Drained,
    /// "No effect happens twice."
    RepeatedEffect,
    /// "A client that closed its connection or cancelled has gone."
    SentAfterLeave,
    /// "A dispatcher that ends after SIGTERM has not crashed": it ends by itself, with 0, before the kill.
    Exit,
    /// A panic in the log.
    Panic,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The client's id of the request that shows it.
    pub request: Option<u64>,
    /// What was seen.
    pub detail: String,
    /// When, counted from the start of the run.
    pub at: Duration,
}

/// Judges what can be judged only from all peers together.
pub(super) fn check_ledger(ledger: &mut Ledger) {
    check_drained_hosts(ledger);
    check_attempts_after_leave(ledger);
    check_repeated_effects(ledger);
    check_unended_requests(ledger);
}

fn check_drained_hosts(ledger: &mut Ledger) {
    let mut found = Vec::new();
    for attempt in &ledger.attempts {
        let hosts = [Some(&attempt.host), attempt.source.as_ref()];
        for host in hosts.into_iter().flatten() {
            let since =
                ledger.drains.get(host).and_then(|told| attempt.received_at.checked_duration_since(*told));
            if let Some(since) = since.filter(|since| *since > DRAIN_GRACE + TIME_TOLERANCE) {
                found.push((attempt.id, format!("{host} got it {since:?} after its drain was told")));
            }
        }
    }
    found.into_iter().for_each(|(id, detail)| ledger.report_violation(Rule::Drained, Some(id), detail));
}

fn check_attempts_after_leave(ledger: &mut Ledger) {
    let mut found = Vec::new();
    for attempt in &ledger.attempts {
        let left_at = ledger.requests.get(&attempt.id).and_then(|request| request.left_at);
        let since = left_at.and_then(|left| attempt.received_at.checked_duration_since(left));
        if let Some(since) = since.filter(|since| *since > MAX_ATTEMPT_DELAY_AFTER_LEAVE + TIME_TOLERANCE) {
            found.push((attempt.id, format!("{} got it {since:?} after its client had left", attempt.host)));
        }
    }
    found
        .into_iter()
        .for_each(|(id, detail)| ledger.report_violation(Rule::SentAfterLeave, Some(id), detail));
}

fn check_repeated_effects(ledger: &mut Ledger) {
    let mut executed: BTreeMap<u64, usize> = BTreeMap::new();
    let may_have_run = |attempt: &&ReceivedAttempt| !attempt.is_known_not_executed;
    for attempt in ledger.attempts.iter().filter(may_have_run) {
        *executed.entry(attempt.id).or_default() += 1;
    }
    let is_bound = |id: &u64| ledger.requests.get(id).is_some_and(|request| request.is_at_most_once);
    let repeated: Vec<_> = executed.into_iter().filter(|(id, count)| *count > 1 && is_bound(id)).collect();
    for (id, count) in repeated {
        ledger.report_violation(Rule::RepeatedEffect, Some(id), format!("{count} attempts may have run"));
    }
}

/// A client that was still waiting when the run ended.
fn check_unended_requests(ledger: &mut Ledger) {
    let unended = ledger.requests.values().filter(|request| request.end.is_none());
    let unended: Vec<u64> = unended.map(|request| request.id).collect();
    for id in unended {
        ledger.report_violation(Rule::Lost, Some(id), "no answer by the end of the run");
    }
}
