//! The life cycle of attempts: sending, cancelling, withdrawing unsent ones, and reporting how each ended.

use crate::attempt::{AttemptKey, CancelReason, OutgoingAttempt};
use crate::decision::deadlines::Deadline;
use crate::decision::open_request::{AttemptState, OpenRequest};
use crate::decision::DecisionActor;
use crate::host::message::HostMessage;
use crate::memory::MemoryReservation;
use crate::send_permit::SendPermit;
use rockflow::{Attempt, AttemptEnd, AttemptNumber, CacheStatus, Event, Outcome, RequestId};
use rockflow_protocol::client::Response;
use rockflow_protocol::upstream::{CacheNote, FetchRequest, HostResponse, Status};
use std::sync::Arc;
use std::time::Duration;
use tracing::error;

/// The time limits of an attempt.
struct AttemptLimits {
    /// How long the attempt may take from now.
    timeout: Duration,
    /// The time after which the attempt may no longer be sent, on the clock of the process.
    send_by: Duration,
}

/// How an attempt ended and what its host reported.
struct AttemptResult {
    outcome: Outcome,
    cache_status: CacheStatus,
    /// How long the host waited for its fill; zero if it reported none.
    fill_wait: Duration,
}

impl AttemptResult {
    fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, cache_status: CacheStatus::Unknown, fill_wait: Duration::ZERO }
    }
}

impl DecisionActor {
    /// Hands an attempt to its host and sets its deadlines. It ends at once as not sent if the host or its
    /// source is no longer listed.
    pub(super) fn send_attempt(&mut self, id: RequestId, attempt: Attempt) {
        let now = self.dependencies.clock.now();
        let handle = self.host_handle(attempt.host);
        let source = attempt.source.and_then(|source| self.hosts.get(&source));
        let source = source.map(|source| source.endpoint.name.clone());
        let Some(open_request) = self.requests.get_mut(id) else {
            return error!(request = id.0, "attempt of an unknown request");
        };
        let key = AttemptKey { request: id, attempt: AttemptNumber(open_request.attempts.len() as u16) };
        let limits = attempt_limits(&attempt, open_request.deadline, now);
        let permit = SendPermit::new(limits.send_by, open_request.client.clone());
        open_request.attempts.push(AttemptState {
            host: attempt.host,
            source: attempt.source,
            handle: handle.clone(),
            started: now,
            is_in_flight: true,
            permit: permit.clone(),
        });
        self.deadlines.push(now + limits.timeout, Deadline::AttemptTimeout(key));
        if limits.send_by < now + limits.timeout {
            self.deadlines.push(limits.send_by, Deadline::SendBy(key));
        }
        // Without its source, the host would answer from its cache only, which is not what was decided.
        let lacks_source = attempt.source.is_some() && source.is_none();
        match handle.filter(|_| !lacks_source) {
            Some(handle) => {
                let outgoing =
                    encode_attempt(open_request, &attempt, key, source.as_deref(), limits.timeout, permit);
                handle.send(HostMessage::Send(outgoing));
            }
            None => self.end_without_response(key, Outcome::NotSent),
        }
    }

    /// Cancels an attempt that has not ended: notifies its host and reports the outcome without waiting for the host.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.requests.in_flight(key) else { return };
        attempt.permit.withdraw();
        let is_timeout = outcome == Outcome::TimedOut;
        attempt.send_cancel(key, if is_timeout { CancelReason::TimedOut } else { CancelReason::Withdrawn });
        self.end_without_response(key, outcome);
    }

    /// Withdraws the matching attempts that have not been sent, so that the decision logic can route their requests
    /// again with its current state.
    pub(super) fn withdraw_unsent(
        &mut self,
        matches: impl Fn(AttemptKey, &OpenRequest, &AttemptState) -> bool,
    ) {
        let mut withdrawn = Vec::new();
        for (id, open_request) in self.requests.iter() {
            for (key, attempt) in open_request.in_flight(id) {
                if matches(key, open_request, attempt) && attempt.permit.withdraw() {
                    withdrawn.push(key);
                }
            }
        }
        for key in withdrawn {
            if let Some(attempt) = self.requests.in_flight(key) {
                attempt.send_cancel(key, CancelReason::Withdrawn);
            }
            self.end_without_response(key, Outcome::NotSent);
        }
    }

    /// Handles the response of a host; one to an attempt that has ended is ignored.
    pub(super) fn on_response(&mut self, key: AttemptKey, response: HostResponse, memory: MemoryReservation) {
        if self.requests.in_flight(key).is_none() {
            return;
        }
        let outcome = match response.status {
            Status::Data | Status::NotModified => Outcome::Succeeded,
            Status::NotFound => Outcome::Miss,
            Status::Overloaded => Outcome::Rejected,
            Status::NotExecuted => Outcome::NotSent,
            Status::Failed | Status::Healthy | Status::Unhealthy => Outcome::HostError,
        };
        let result = AttemptResult {
            outcome,
            cache_status: response.cache_note.map_or(CacheStatus::Unknown, cache_status),
            fill_wait: response.fill_wait,
        };
        let tag = response.tag;
        match response.status {
            Status::Data => {
                let succeeded = Response::Succeeded { tag, body: response.body };
                self.requests.respond(key.request, succeeded, Some(memory));
            }
            Status::NotModified => self.requests.respond(key.request, Response::NotModified { tag }, None),
            _ => {}
        }
        self.end_attempt(key, result);
    }

    /// Ends an attempt for which no response was received.
    pub(super) fn end_without_response(&mut self, key: AttemptKey, outcome: Outcome) {
        self.end_attempt(key, AttemptResult::without_response(outcome));
    }

    /// Reports the end of an attempt to the decision logic; does nothing if it has already ended.
    fn end_attempt(&mut self, key: AttemptKey, result: AttemptResult) {
        let now = self.dependencies.clock.now();
        let Some(open_request) = self.requests.get_mut(key.request) else { return };
        let attempt = open_request.attempts.get_mut(usize::from(key.attempt.0));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        attempt.is_in_flight = false;
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: key.request,
            attempt: key.attempt,
            host: attempt.host,
            outcome: result.outcome,
            duration: now.saturating_sub(attempt.started),
            request_finished: open_request.is_responded,
            cache_status: result.cache_status,
            fill_wait: result.fill_wait,
            first_byte_sent: attempt.permit.is_sent(),
        }));
        self.requests.remove_finished(key.request);
    }
}

/// The limits of an attempt that starts now; both end at the deadline of the request at the latest.
fn attempt_limits(attempt: &Attempt, deadline: Duration, now: Duration) -> AttemptLimits {
    let time_left = deadline.saturating_sub(now);
    let timeout = attempt.timeout.map_or(time_left, |limit| limit.min(time_left));
    let send_by = attempt.send_by.map_or(now + timeout, |send_by| send_by.min(now + timeout));
    AttemptLimits { timeout, send_by }
}

/// Encodes the request line of an attempt. The options that concern fills are set only if it has a source.
fn encode_attempt(
    open_request: &OpenRequest,
    attempt: &Attempt,
    key: AttemptKey,
    source: Option<&str>,
    timeout: Duration,
    permit: Arc<SendPermit>,
) -> OutgoingAttempt {
    let has_source = source.is_some();
    let fetch = FetchRequest {
        id: &open_request.request.call_id,
        class: &open_request.request.class,
        object: &open_request.request.object,
        part: open_request.request.part,
        timeout,
        source,
        cache_priority: attempt.cache_priority as u8,
        max_age: attempt.max_age,
        coalesce: has_source && attempt.coalesce,
        cached_at_source_only: has_source && attempt.cached_at_source_only,
        no_store_at_parent: has_source && attempt.no_store_at_parent,
        revalidate: has_source && attempt.revalidate,
        cached_tag: open_request.request.cached_tag.as_deref(),
    };
    OutgoingAttempt {
        key,
        id: open_request.request.call_id.clone(),
        names_cached_copy: fetch.cached_tag.is_some(),
        line: fetch.encode(),
        permit,
    }
}

fn cache_status(note: CacheNote) -> CacheStatus {
    match note {
        CacheNote::Hit => CacheStatus::Hit,
        CacheNote::Filled => CacheStatus::Filled,
        CacheNote::FilledByOrigin => CacheStatus::FilledByOrigin,
        CacheNote::Coalesced => CacheStatus::Coalesced,
        CacheNote::Stale => CacheStatus::Stale,
        CacheNote::SourceRejected => CacheStatus::SourceRejected,
        CacheNote::SourceUnreachable => CacheStatus::SourceUnreachable,
        CacheNote::SourceMiss => CacheStatus::SourceMiss,
        CacheNote::NoFillCapacity => CacheStatus::NoFillCapacity,
        CacheNote::OriginFailed => CacheStatus::OriginFailed,
    }
}
