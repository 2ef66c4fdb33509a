//! The life cycle of requests, from arrival to response.

use crate::client::message::ClientMessage;
use crate::decision::deadlines::Deadline;
use crate::decision::open_request::OpenRequest;
use crate::decision::DecisionActor;
use crate::endpoint::id_from_name;
use crate::mailbox::Mailbox;
use rockflow::{ClassId, Effect, Event, GroupId, ObjectId, Request, RequestId};
use rockflow_protocol::client::{ClientRequest, HttpStatus, Response};
use std::sync::Arc;
use std::time::Duration;
use tracing::error;

const UNKNOWN_CLASS: HttpStatus = HttpStatus::new(404, "unknown class");
const DUPLICATE_CALL_ID: HttpStatus = HttpStatus::new(409, "id in use");

impl DecisionActor {
    /// Opens a request and passes it to the decision logic. Requests of an unknown class and those whose
    /// client-assigned id is in use are answered with an error status.
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        request: Box<ClientRequest>,
        client: Arc<Mailbox<ClientMessage>>,
        arrived: Duration,
    ) {
        let class = self.dependencies.classes.iter().position(|name| *name == request.class);
        let Some(class) = class else {
            return client.send(ClientMessage::Respond(id, Response::Invalid(UNKNOWN_CLASS), None));
        };
        // The client may have disconnected while its request waited in the mailbox.
        if client.is_closed() {
            return self.requests.count_disconnected(class);
        }
        // Hosts answer under the client-assigned id, so responses to two open requests with one id could be confused.
        if !self.requests.reserve_call_id(&request.call_id, self.dependencies.clock.now()) {
            return client.send(ClientMessage::Respond(id, Response::Invalid(DUPLICATE_CALL_ID), None));
        }
        let deadline = self.deadline_of(class, request.time_limit, arrived);
        self.deadlines.push(deadline + self.response_grace(), Deadline::Response(id));
        self.events.push_back(Event::RequestArrived(Request {
            id,
            class: ClassId(class),
            object: ObjectId(id_from_name(&request.object)),
            part: request.part,
            group: GroupId(request.group),
            time_left: deadline.saturating_sub(self.dependencies.clock.now()),
            size_kb: request.size_kb,
            previous_attempts: Vec::new(),
        }));
        let open_request =
            OpenRequest { class, request, client, deadline, is_responded: false, attempts: Vec::new() };
        self.requests.insert(id, open_request);
    }

    /// Passes a client's disconnect to the decision logic and withdraws its unsent attempts.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let keep_id_until = self.requests.get(id).and_then(|open_request| self.keep_id_until(open_request));
        if !self.requests.disconnect(id, keep_id_until) {
            return;
        }
        self.events.push_back(Event::ClientDisconnected(id));
        // Unsent attempts are withdrawn even where sent ones may not be cancelled.
        self.withdraw_unsent(|key, _, _| key.request == id);
        self.requests.remove_finished(id);
    }

    /// Until when the id of a request must not come again if its client disconnects and it may have executed. `None` if
    /// it has no effect that must not be repeated.
    fn keep_id_until(&self, open_request: &OpenRequest) -> Option<Duration> {
        let class = self.dependencies.deployment.classes.get(open_request.class)?;
        let has_effect = class.effect != Effect::Idempotent;
        has_effect.then(|| self.dependencies.clock.now() + self.dependencies.pool.max_request_time)
    }

    /// Fails a request that the decision logic has not answered in time or before the process exits. The decision
    /// logic then handles it as if its client had disconnected.
    pub(super) fn on_response_overdue(&mut self, id: RequestId) {
        if self.requests.get(id).is_none_or(|open_request| open_request.is_responded) {
            return;
        }
        error!(
            request = id.0,
            shutting_down = self.shutdown_deadline.is_some(),
            "request not decided in time"
        );
        self.overdue_requests += 1;
        self.requests.respond(id, Response::Failed, None);
        self.events.push_back(Event::ClientDisconnected(id));
    }

    /// How long after its deadline the decision logic may still answer a request: half of `response_slack`.
    pub(super) fn response_grace(&self) -> Duration {
        self.dependencies.response_slack / 2
    }

    /// The deadline of a request: the earliest of its own time limit, the limit of its class and the shutdown deadline.
    fn deadline_of(&self, class: usize, time_limit: Duration, arrived: Duration) -> Duration {
        let class_limit = self.dependencies.deployment.classes.get(class).map(|class| class.deadline);
        let time_limit = class_limit.map_or(time_limit, |limit| time_limit.min(limit));
        (arrived + time_limit).min(self.shutdown_deadline.unwrap_or(Duration::MAX))
    }
}
