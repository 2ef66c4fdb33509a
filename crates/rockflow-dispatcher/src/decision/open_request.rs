//! The requests that are open, and their attempts.

use crate::attempt::{AttemptKey, CancelReason};
use crate::client::message::ClientMessage;
use crate::host::message::HostMessage;
use crate::mailbox::Mailbox;
use crate::send_permit::SendPermit;
use crate::status::OutcomeCounts;
use rockflow::{AttemptNumber, GroupId, HostId, ObjectId, RequestId};
use rockflow_protocol::client::{ClientRequest, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// An attempt of an open request.
pub(super) struct AttemptState {
    pub host: HostId,
    pub source: Option<HostId>,
    /// Where its host is reached, also once that is no longer listed.
    pub mailbox: Option<Arc<Mailbox<HostMessage>>>,
    pub started: Duration,
    pub is_in_flight: bool,
    pub permit: Arc<SendPermit>,
}

impl AttemptState {
    pub(super) fn send_cancel(&self, key: AttemptKey, reason: CancelReason) {
        if let Some(mailbox) = &self.mailbox {
            mailbox.send(HostMessage::Cancel { key, reason });
        }
    }
}

/// A request from its arrival until its response is sent and its last attempt has ended.
pub(super) struct OpenRequest {
    /// Index of the class.
    pub class: usize,
    pub request: Box<ClientRequest>,
    pub client: Arc<Mailbox<ClientMessage>>,
    pub deadline: Duration,
    pub is_responded: bool,
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
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.is_in_flight).map(move |(number, attempt)| {
            let key = AttemptKey { request: id, attempt: AttemptNumber(number as u16) };
            (key, attempt)
        })
    }

    fn is_finished(&self) -> bool {
        self.is_responded && self.attempts.iter().all(|attempt| !attempt.is_in_flight)
    }
}

/// Owns the open requests, and counts how requests end.
pub(super) struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    /// The client's ids of the requests without a response.
    call_ids: BTreeSet<String>,
    /// By index of the class.
    outcomes: Vec<OutcomeCounts>,
}

impl RequestTable {
    pub(super) fn new(classes: usize) -> Self {
        RequestTable {
            open: BTreeMap::new(),
            call_ids: BTreeSet::new(),
            outcomes: vec![OutcomeCounts::default(); classes],
        }
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn outcomes(&self) -> &[OutcomeCounts] {
        &self.outcomes
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &OpenRequest)> {
        self.open.iter().map(|(id, open)| (*id, open))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut OpenRequest)> {
        self.open.iter_mut().map(|(id, open)| (*id, open))
    }

    /// An attempt that has not ended.
    pub(super) fn in_flight(&self, key: AttemptKey) -> Option<&AttemptState> {
        let attempt = self.open.get(&key.request)?.attempts.get(usize::from(key.attempt.0))?;
        Some(attempt).filter(|attempt| attempt.is_in_flight)
    }

    /// Reserves the client's id of a request; false: another request has it.
    pub(super) fn reserve_call_id(&mut self, call_id: &str) -> bool {
        self.call_ids.insert(call_id.to_string())
    }

    pub(super) fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.open.insert(id, open);
    }

    /// Counts a request whose client disconnected before it was opened.
    pub(super) fn count_disconnected(&mut self, class: usize) {
        self.outcomes[class].disconnected += 1;
    }

    /// Marks a request whose client disconnected; false: it is not open.
    pub(super) fn disconnect(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        if !std::mem::replace(&mut open.is_responded, true) {
            self.call_ids.remove(&open.request.call_id);
            self.outcomes[open.class].disconnected += 1;
        }
        true
    }

    /// Sends the one response to a request; another that would follow it is dropped.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.is_responded) else { return };
        open.is_responded = true;
        self.call_ids.remove(&open.request.call_id);
        let counts = &mut self.outcomes[open.class];
        match &response {
            Response::Succeeded { .. } | Response::NotModified { .. } => counts.succeeded += 1,
            Response::Rejected { .. } => counts.rejected += 1,
            Response::Failed | Response::Healthy | Response::Invalid(_) => counts.failed += 1,
        }
        open.client.send(ClientMessage::Respond(id, response));
        self.remove_finished(id);
    }

    /// Removes a request that has its response and no attempt in flight.
    pub(super) fn remove_finished(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(OpenRequest::is_finished) {
            self.open.remove(&id);
        }
    }

    /// Ends all requests: withdraws their attempts, and responds that they failed.
    pub(super) fn fail_all(&mut self) {
        self.call_ids.clear();
        for (id, open) in std::mem::take(&mut self.open) {
            for (key, attempt) in open.in_flight(id) {
                attempt.permit.withdraw();
                attempt.send_cancel(key, CancelReason::Withdrawn);
            }
            if !open.is_responded {
                self.outcomes[open.class].failed += 1;
                open.client.send(ClientMessage::Respond(id, Response::Failed));
            }
        }
    }
}
