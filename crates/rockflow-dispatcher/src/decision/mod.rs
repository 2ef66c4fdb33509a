//! The decision actor. It runs the decision logic of the crate `rockflow`: it feeds it events in order, carries out the
//! actions that it returns, and enforces timers and timeouts. It makes no routing decision itself.

mod attempts;
mod call_ids;
mod deadlines;
mod endpoints;
mod health_checks;
pub mod message;
mod open_request;
mod purges;
mod recovery;
mod requests;
mod shutdown;
mod takeover;

use crate::attempt::AttemptKey;
use crate::backpressure::CompletionCallback;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::decision::deadlines::{Deadline, DeadlineQueue};
use crate::decision::endpoints::HostState;
use crate::decision::health_checks::HealthChecks;
use crate::decision::message::DecisionMessage;
use crate::decision::open_request::RequestTable;
use crate::decision::purges::PurgeLog;
use crate::endpoint::Endpoint;
use crate::host::message::HostsMessage;
use crate::mailbox::{Mailbox, Wake};
use crate::purge::{Purge, PurgeTimestamp};
use crate::status::StatusReport;
use crate::timer;
use may::coroutine;
use rockflow::{Action, DeploymentConfig, Dispatcher, Event, HostId, ListScope, Outcome};
use rockflow_protocol::client::Response;
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, info};

/// The configuration and the shared objects that the decision actor needs.
pub struct Dependencies {
    /// The clock of the process.
    pub clock: Clock,
    /// The configuration of the decision logic.
    pub deployment: DeploymentConfig,
    /// Names of the request classes on the wire, indexed by `ClassId`.
    pub classes: Vec<String>,
    /// Seed of the random numbers of the decision logic.
    pub seed: u64,
    /// Names of the values in a load report, in the order in which the decision logic expects them. Empty if health
    /// checks don't ask for one.
    pub load_report: Vec<String>,
    /// The state shared by the connections to hosts.
    pub pool: Arc<ConnectionPool>,
    /// The mailbox of the actor of all hosts.
    pub hosts: Arc<Mailbox<HostsMessage>>,
    /// Set to true once any endpoint is listed, so that requests can be routed.
    pub ready: Arc<AtomicBool>,
    /// How long after the deadline of a request its response is still useful to the client.
    pub response_slack: Duration,
    /// The mailbox of this actor.
    pub mailbox: Arc<Mailbox<DecisionMessage>>,
}

/// Owns the decision logic together with the open requests, hosts, health checks, purges and deadlines that it acts on.
pub struct DecisionActor {
    dependencies: Dependencies,
    /// The decision logic.
    dispatcher: Dispatcher,
    requests: RequestTable,
    hosts: BTreeMap<HostId, HostState>,
    health_checks: HealthChecks,
    purges: PurgeLog,
    deadlines: DeadlineQueue,
    /// Events that the decision logic has not handled yet.
    events: VecDeque<Event>,
    /// Called once all pending events are handled. One callback suffices, because no further message is taken before.
    on_events_handled: Option<CompletionCallback<()>>,
    /// When the last open request must have its response. `None` until a shutdown starts.
    shutdown_deadline: Option<Duration>,
    /// Number of requests that failed because the decision logic missed their deadlines.
    overdue_requests: u64,
}

impl DecisionActor {
    /// Creates the actor with the endpoints and purges that are known at the start, so that they apply to the first
    /// request.
    pub fn new(dependencies: Dependencies, endpoints: Vec<Endpoint>, purges: Vec<Purge>) -> Self {
        let mut actor = DecisionActor {
            dispatcher: Dispatcher::new(dependencies.deployment.clone(), dependencies.seed),
            requests: RequestTable::new(dependencies.classes.len()),
            dependencies,
            hosts: BTreeMap::new(),
            health_checks: HealthChecks::default(),
            purges: PurgeLog::new(),
            deadlines: DeadlineQueue::default(),
            events: VecDeque::new(),
            on_events_handled: None,
            shutdown_deadline: None,
            overdue_requests: 0,
        };
        for action in actor.dispatcher.start() {
            actor.apply_action(action);
        }
        actor.apply_endpoints(ListScope::Restored, endpoints);
        actor.apply_purges(purges);
        actor
    }

    /// Runs without end. If the decision logic panics, open requests fail and it restarts.
    pub fn run(&mut self) {
        self.dependencies.mailbox.wake_by(Wake::Park(coroutine::current()));
        loop {
            let wait = catch_unwind(AssertUnwindSafe(|| self.step())).unwrap_or_else(|_| {
                self.restart_decisions();
                Some(Duration::ZERO)
            });
            match wait {
                Some(Duration::ZERO) => {}
                Some(wait) => timer::park(wait),
                None => coroutine::park(),
            }
        }
    }

    /// Handles pending events, due deadlines and at most one message. Returns how long the actor may wait before the
    /// next step, or `None` if only a message can give it work.
    fn step(&mut self) -> Option<Duration> {
        self.forget_obsolete_deadlines();
        self.handle_events();
        // A delay of this actor must not turn responses that are already in its mailbox into timeouts. While messages
        // wait, deadlines are therefore postponed by the response grace at most.
        let has_messages = !self.dependencies.mailbox.is_empty();
        let postponement = if has_messages { self.response_grace() } else { Duration::ZERO };
        self.run_due_deadlines(self.dependencies.clock.now().saturating_sub(postponement));
        if let Some(message) = self.dependencies.mailbox.take() {
            self.on_message(message);
            return Some(Duration::ZERO);
        }
        self.deadlines.next_at().map(|at| at.saturating_sub(self.dependencies.clock.now()))
    }

    /// Feeds all pending events to the decision logic, carries out its actions, and then calls the waiting callback.
    fn handle_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            for action in self.dispatcher.handle(self.dependencies.clock.now(), event) {
                self.apply_action(action);
            }
        }
        if let Some(done) = self.on_events_handled.take() {
            done(());
        }
    }

    /// Handles the pending events, then calls `done`. If the decision logic panics, `done` is called once it has
    /// restarted with the change applied.
    fn handle_events_then(&mut self, done: Option<CompletionCallback<()>>) {
        self.on_events_handled = done;
        debug!(events = self.events.len(), "applying changes to the decisions");
        self.handle_events();
    }

    fn on_message(&mut self, message: DecisionMessage) {
        match message {
            DecisionMessage::RequestReceived { id, request, client, arrived } => {
                self.on_request(id, request, client, arrived);
            }
            DecisionMessage::ClientDisconnected(request) => self.on_client_disconnected(request),
            DecisionMessage::ShutdownStarted { deadline } => self.on_shutdown(deadline),
            DecisionMessage::ResponseReceived { key, response, memory } => {
                self.on_response(key, response, memory)
            }
            DecisionMessage::AttemptFailed { key, outcome } => self.end_without_response(key, outcome),
            DecisionMessage::HealthCheckAnswered { tag, response } => {
                self.on_health_check_answered(tag, &response);
            }
            DecisionMessage::HealthCheckFailed { tag, outcome } => {
                self.end_health_check(tag, outcome, Vec::new());
            }
            DecisionMessage::EndpointsChanged { scope, entries, done } => {
                if scope != ListScope::Changes || !entries.is_empty() {
                    self.apply_endpoints(scope, entries);
                }
                self.handle_events_then(done);
            }
            DecisionMessage::PurgesReceived { purges, done } => self.on_purges(purges, done),
            DecisionMessage::PurgeEverything(slot) => {
                if let Some((purged_at, notify)) = slot.take() {
                    let purge = Purge::everything(PurgeTimestamp::Local(purged_at));
                    self.on_purges(vec![purge], Some(Box::new(notify)));
                }
            }
            DecisionMessage::ReportStatus { report, reply } => reply(self.complete_report(report)),
        }
    }

    /// Fills in the fields of a status report that this actor knows.
    fn complete_report(&self, mut report: Box<StatusReport>) -> Box<StatusReport> {
        report.host_statuses = self.dispatcher.host_statuses();
        report.outcomes = self.requests.outcomes().to_vec();
        report.open_requests = self.requests.len();
        report.queued_messages = self.dependencies.mailbox.len();
        report.overdue = self.overdue_requests;
        report
    }

    /// Carries out an action of the decision logic.
    fn apply_action(&mut self, action: Action) {
        match action {
            Action::SendAttempt { request, attempt } => self.send_attempt(request, attempt),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(AttemptKey { request, attempt }, Outcome::Cancelled);
            }
            Action::Reject { request, retry_after } => {
                self.requests.respond(request, Response::Rejected { retry_after }, None);
            }
            Action::Fail { request } => self.requests.respond(request, Response::Failed, None),
            Action::SetTimer { timer, delay } => {
                self.deadlines.push(self.dependencies.clock.now() + delay, Deadline::Timer(timer));
            }
            Action::Log(text) => info!(text, "decisions"),
            Action::CheckHealth { host } => self.check_health(host),
            Action::CloseIdleConnections { host } => self.close_idle_connections(host),
            // Discovery is always being followed, so the current list is the answer.
            Action::Subscribe { .. } | Action::RequestEndpointList => {
                let entries = self.listed_entries();
                self.events.push_back(Event::EndpointsListed { scope: ListScope::Full, entries });
            }
            Action::SendMessage { .. } => debug!("message to other dispatchers dropped"),
        }
    }

    /// Removes deadlines of what has ended, once they may be most of the queue.
    fn forget_obsolete_deadlines(&mut self) {
        if !self.deadlines.is_compaction_due() {
            return;
        }
        let (requests, health_checks) = (&self.requests, &self.health_checks);
        self.deadlines.compact(|deadline| match deadline {
            Deadline::AttemptTimeout(key) => requests.in_flight(*key).is_some(),
            Deadline::SendBy(key) => {
                requests.in_flight(*key).is_some_and(|attempt| !attempt.permit.is_sent())
            }
            Deadline::Response(id) => requests.get(*id).is_some_and(|request| !request.is_responded),
            Deadline::HealthCheck(tag) => health_checks.is_in_flight(*tag),
            Deadline::Timer(_) => true,
        });
    }

    /// Handles all deadlines that are due by `time`.
    fn run_due_deadlines(&mut self, time: Duration) {
        while let Some(deadline) = self.deadlines.pop_due(time) {
            match deadline {
                Deadline::AttemptTimeout(key) => self.cancel_attempt(key, Outcome::TimedOut),
                Deadline::SendBy(unsent) => self.withdraw_unsent(|key, _, _| key == unsent),
                Deadline::HealthCheck(tag) => self.end_health_check(tag, Outcome::TimedOut, Vec::new()),
                Deadline::Timer(timer) => self.events.push_back(Event::TimerFired(timer)),
                Deadline::Response(id) => self.on_response_overdue(id),
            }
            self.handle_events();
        }
    }
}
