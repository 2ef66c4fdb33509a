//! The table of open requests and their attempts.

use crate::attempt::{AttemptKey, CancelReason};
use crate::client::message::ClientMessage;
use crate::decision::call_ids::CallIds;
use crate::host::message::HostMessage;
use crate::host::HostHandle;
use crate::mailbox::Mailbox;
use crate::memory::MemoryReservation;
use crate::send_permit::SendPermit;
use crate::status::OutcomeCounts;
use rockflow::{AttemptNumber, GroupId, HostId, ObjectId, RequestId};
use rockflow_protocol::client::{ClientRequest, Response};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An attempt of an open request, kept until the request is removed.
pub(super) struct AttemptState {
    pub host: HostId,
    /// The host that a miss is filled from. `None` if the attempt allows no fill.
    pub source: Option<HostId>,
    /// Sends messages to the host, even after it is delisted. `None` if the host was not listed.
    pub handle: Option<HostHandle>,
    pub started: Duration,
    /// Whether the attempt has not ended; it need not have been sent yet.
    pub is_in_flight: bool,
    /// Shared with the connection that sends the attempt; withdrawing it prevents the send.
    pub permit: Arc<SendPermit>,
}

impl AttemptState {
    /// Has the attempt cancelled.
    pub(super) fn send_cancel(&self, key: AttemptKey, reason: CancelReason) {
        if let Some(handle) = &self.handle {
            handle.send(HostMessage::Cancel { key, reason });
        }
    }
}

/// A request, kept from its arrival until it has its response and all its attempts have ended.
pub(super) struct OpenRequest {
    /// Index of the request class.
    pub class: usize,
    pub request: Box<ClientRequest>,
    pub client: Arc<Mailbox<ClientMessage>>,
    /// When the response is due, on the clock of the process.
    pub deadline: Duration,
    /// Whether the response was handed to the client connection, or the client has disconnected.
    pub is_responded: bool,
    /// All attempts so far, indexed by `AttemptNumber`.
    pub attempts: Vec<AttemptState>,
}

impl OpenRequest {
    pub(super) fn object(&self) -> ObjectId {
        ObjectId(crate::endpoint::id_from_name(&self.request.object))
    }

    pub(super) fn group(&self) -> GroupId {
        GroupId(self.request.group)
    }

    /// The attempts that have not ended, with their keys.
    pub(super) fn in_flight(&self, id: RequestId) -> impl Iterator<Item = (AttemptKey, &AttemptState)> {
        let numbered_attempts = self.attempts.iter().enumerate();
        numbered_attempts.filter(|(_, attempt)| attempt.is_in_flight).map(move |(number, attempt)| {
            let key = AttemptKey { request: id, attempt: AttemptNumber(number as u16) };
            (key, attempt)
        })
    }

    /// Whether any attempt was sent at least in part.
    fn is_sent(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.permit.is_sent())
    }

    /// Whether the request needs no response and has no attempt in flight.
    fn is_finished(&self) -> bool {
        self.is_responded && self.attempts.iter().all(|attempt| !attempt.is_in_flight)
    }
}

/// Owns the open requests and counts their outcomes.
pub(super) struct RequestTable {
    open_requests: BTreeMap<RequestId, OpenRequest>,
    call_ids: CallIds,
    /// Outcome counts, indexed by request class.
    outcomes: Vec<OutcomeCounts>,
}

impl RequestTable {
    pub(super) fn new(classes: usize) -> Self {
        RequestTable {
            open_requests: BTreeMap::new(),
            call_ids: CallIds::default(),
            outcomes: vec![OutcomeCounts::default(); classes],
        }
    }

    pub(super) fn len(&self) -> usize {
        self.open_requests.len()
    }

    pub(super) fn outcomes(&self) -> &[OutcomeCounts] {
        &self.outcomes
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open_requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open_requests.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &OpenRequest)> {
        self.open_requests.iter().map(|(id, open_request)| (*id, open_request))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut OpenRequest)> {
        self.open_requests.iter_mut().map(|(id, open_request)| (*id, open_request))
    }

    /// The attempt with this key. `None` if it is unknown or has ended.
    pub(super) fn in_flight(&self, key: AttemptKey) -> Option<&AttemptState> {
        let attempt = self.open_requests.get(&key.request)?.attempts.get(usize::from(key.attempt.0))?;
        Some(attempt).filter(|attempt| attempt.is_in_flight)
    }

    /// Reserves a client-assigned request id. Returns false if another request without a response uses it, or one that
    /// may have executed for a client that has disconnected.
    pub(super) fn reserve_call_id(&mut self, call_id: &str, now: Duration) -> bool {
        self.call_ids.reserve(call_id, now)
    }

    pub(super) fn insert(&mut self, id: RequestId, open_request: OpenRequest) {
        self.open_requests.insert(id, open_request);
    }

    /// Counts a request whose client disconnected before it was opened.
    pub(super) fn count_disconnected(&mut self, class: usize) {
        self.outcomes[class].disconnected += 1;
    }

    /// Records that the client of a request disconnected. If the request may have executed, its id stays reserved until
    /// `keep_id_until`; `None`: it may execute again. Returns false if the request is not open.
    pub(super) fn disconnect(&mut self, id: RequestId, keep_id_until: Option<Duration>) -> bool {
        let Some(open_request) = self.open_requests.get_mut(&id) else { return false };
        if !std::mem::replace(&mut open_request.is_responded, true) {
            let call_id = &open_request.request.call_id;
            match keep_id_until.filter(|_| open_request.is_sent()) {
                Some(until) => self.call_ids.keep_until(call_id, until),
                None => self.call_ids.release(call_id),
            }
            self.outcomes[open_request.class].disconnected += 1;
        }
        true
    }

    /// Sends the response to a request, with the memory of its body if it has one. Does nothing if the request already has one or is not open.
    pub(super) fn respond(&mut self, id: RequestId, response: Response, memory: Option<MemoryReservation>) {
        let Some(open_request) =
            self.open_requests.get_mut(&id).filter(|open_request| !open_request.is_responded)
        else {
            return;
        };
        open_request.is_responded = true;
        self.call_ids.release(&open_request.request.call_id);
        let counts = &mut self.outcomes[open_request.class];
        match &response {
            Response::Succeeded { .. } | Response::NotModified { .. } => counts.succeeded += 1,
            Response::Rejected { .. } => counts.rejected += 1,
            Response::Failed | Response::Healthy | Response::Invalid(_) => counts.failed += 1,
        }
        open_request.client.send(ClientMessage::Respond(id, response, memory));
        self.remove_finished(id);
    }

    /// Removes a request if it has its response and no attempt in flight.
    pub(super) fn remove_finished(&mut self, id: RequestId) {
        if self.open_requests.get(&id).is_some_and(OpenRequest::is_finished) {
            self.open_requests.remove(&id);
        }
    }

    /// Ends all requests: withdraws or cancels their attempts, and responds to each open one that it failed.
    pub(super) fn fail_all(&mut self) {
        self.call_ids.release_open();
        for (id, open_request) in std::mem::take(&mut self.open_requests) {
            for (key, attempt) in open_request.in_flight(id) {
                attempt.permit.withdraw();
                attempt.send_cancel(key, CancelReason::Withdrawn);
            }
            if !open_request.is_responded {
                self.outcomes[open_request.class].failed += 1;
                open_request.client.send(ClientMessage::Respond(id, Response::Failed, None));
            }
        }
    }
}
