//! Requests: from their arrival to their one response.

use crate::client::message::ClientMessage;
use crate::decision::deadlines::Deadline;
use crate::decision::open_request::OpenRequest;
use crate::decision::DecisionActor;
use crate::endpoint::id_from_name;
use crate::mailbox::Mailbox;
use rockflow::{ClassId, Event, GroupId, ObjectId, Request, RequestId};
use rockflow_protocol::client::{ClientRequest, HttpStatus, Response};
use std::sync::Arc;
use std::time::Duration;
use tracing::error;

const UNKNOWN_CLASS: HttpStatus = HttpStatus::new(404, "unknown class");
const DUPLICATE_CALL_ID: HttpStatus = HttpStatus::new(409, "id in use");

impl DecisionActor {
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        request: Box<ClientRequest>,
        client: Arc<Mailbox<ClientMessage>>,
        arrived: Duration,
    ) {
        let class = self.dependencies.classes.iter().position(|name| *name == request.class);
        let Some(class) = class else {
            return client.send(ClientMessage::Respond(id, Response::Invalid(UNKNOWN_CLASS)));
        };
        // Guards against work for a client that disconnected while its request waited here.
        if client.is_closed() {
            return self.requests.count_disconnected(class);
        }
        // Guards against two requests under one id, whose responses could not be told apart on their way.
        if !self.requests.reserve_call_id(&request.call_id) {
            return client.send(ClientMessage::Respond(id, Response::Invalid(DUPLICATE_CALL_ID)));
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
        let open =
            OpenRequest { class, request, client, deadline, is_responded: false, attempts: Vec::new() };
        self.requests.insert(id, open);
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if !self.requests.disconnect(id) {
            return;
        }
        self.events.push_back(Event::ClientDisconnected(id));
        // Also where no attempt may be cancelled: what has not been sent need not be.
        self.withdraw_unsent(|key, _, _| key.request == id);
        self.requests.remove_finished(id);
    }

    /// Guards against a request to which the decisions don't respond in time, or before the program's end: they are told
    /// that its client disconnected.
    pub(super) fn on_response_overdue(&mut self, id: RequestId) {
        if self.requests.get(id).is_none_or(|open| open.is_responded) {
            return;
        }
        error!(
            request = id.0,
            shutting_down = self.shutdown_deadline.is_some(),
            "request not decided in time"
        );
        self.overdue += 1;
        self.requests.respond(id, Response::Failed);
        self.events.push_back(Event::ClientDisconnected(id));
    }

    /// How long after its deadline a request is left to the decisions: half the time for which its response still counts.
    pub(super) fn response_grace(&self) -> Duration {
        self.dependencies.response_slack / 2
    }

    /// No request takes longer than its class may, whatever its header says, nor past the program's end.
    fn deadline_of(&self, class: usize, time_limit: Duration, arrived: Duration) -> Duration {
        let class_limit = self.dependencies.deployment.classes.get(class).map(|class| class.deadline);
        let time_limit = class_limit.map_or(time_limit, |limit| time_limit.min(limit));
        (arrived + time_limit).min(self.shutdown_deadline.unwrap_or(Duration::MAX))
    }
}
