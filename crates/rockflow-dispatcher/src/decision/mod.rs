//! The actor of the decisions. It orders events, runs timers and the attempts' time limits, and carries out actions. It
//! decides nothing itself.

mod attempts;
mod deadlines;
mod endpoints;
mod health_checks;
pub mod message;
mod open_request;
mod purges;
mod recovery;
mod requests;
mod shutdown;

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

/// What the actor is given.
pub struct Dependencies {
    /// The clock.
    pub clock: Clock,
    /// The configuration of the decisions.
    pub deployment: DeploymentConfig,
    /// Names of the request classes, by index.
    pub classes: Vec<String>,
    /// Seed of the decisions' random draws.
    pub seed: u64,
    /// Names of the values of a load report; empty where health checks bring none.
    pub load_report: Vec<String>,
    /// What the connections to hosts share.
    pub pool: Arc<ConnectionPool>,
    /// Set once an endpoint is listed: from then on requests can be decided.
    pub ready: Arc<AtomicBool>,
    /// How late after a request's deadline its response still counts.
    pub response_slack: Duration,
    /// The mailbox of the actor.
    pub mailbox: Arc<Mailbox<DecisionMessage>>,
}

/// The only owner of the decisions, and of all that is open because of them.
pub struct DecisionActor {
    dependencies: Dependencies,
    dispatcher: Dispatcher,
    requests: RequestTable,
    hosts: BTreeMap<HostId, HostState>,
    health_checks: HealthChecks,
    purges: PurgeLog,
    deadlines: DeadlineQueue,
    /// Events that the decisions have not handled yet.
    events: VecDeque<Event>,
    /// Called once these events are handled; one at most, as no message is taken before that.
    on_decided: Option<CompletionCallback<()>>,
    /// When the program ends, once a shutdown has begun.
    shutdown_deadline: Option<Duration>,
    /// Requests that the decisions did not respond to in time.
    overdue: u64,
}

impl DecisionActor {
    /// Starts with the endpoints and purges that are known, so that the first request is decided by them.
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
            on_decided: None,
            shutdown_deadline: None,
            overdue: 0,
        };
        for action in actor.dispatcher.start() {
            actor.apply_action(action);
        }
        actor.apply_endpoints(ListScope::Restored, endpoints);
        actor.apply_purges(purges);
        actor
    }

    /// Runs for ever.
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

    /// Takes the next message, or returns how long there is nothing to do; none: until a message arrives.
    fn step(&mut self) -> Option<Duration> {
        self.decide();
        // Guards against a delay of our own that makes responses late which are here already: they go first, as long as
        // what is due is not late for it.
        let has_messages = !self.dependencies.mailbox.is_empty();
        let patience = if has_messages { self.response_grace() } else { Duration::ZERO };
        self.run_due_deadlines(self.dependencies.clock.now().saturating_sub(patience));
        if let Some(message) = self.dependencies.mailbox.take() {
            self.on_message(message);
            return Some(Duration::ZERO);
        }
        self.deadlines.next_at().map(|at| at.saturating_sub(self.dependencies.clock.now()))
    }

    /// Lets the decisions handle all events, and notifies whoever waits for that.
    fn decide(&mut self) {
        while let Some(event) = self.events.pop_front() {
            for action in self.dispatcher.handle(self.dependencies.clock.now(), event) {
                self.apply_action(action);
            }
        }
        if let Some(done) = self.on_decided.take() {
            done(());
        }
    }

    /// Lets the decisions handle what has changed, then calls `done`: also where they panic over it, once they have
    /// restarted and go by it.
    fn decide_then(&mut self, done: Option<CompletionCallback<()>>) {
        self.on_decided = done;
        debug!(events = self.events.len(), "applying changes to the decisions");
        self.decide();
    }

    fn on_message(&mut self, message: DecisionMessage) {
        match message {
            DecisionMessage::RequestReceived { id, request, client, arrived } => {
                self.on_request(id, request, client, arrived);
            }
            DecisionMessage::ClientDisconnected(request) => self.on_client_disconnected(request),
            DecisionMessage::ShutdownStarted { deadline } => self.on_shutdown(deadline),
            DecisionMessage::ResponseReceived { key, response } => self.on_response(key, response),
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
                self.decide_then(done);
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

    fn complete_report(&self, mut report: Box<StatusReport>) -> Box<StatusReport> {
        report.host_statuses = self.dispatcher.host_statuses();
        report.outcomes = self.requests.outcomes().to_vec();
        report.open_requests = self.requests.len();
        report.queued_messages = self.dependencies.mailbox.len();
        report.overdue = self.overdue;
        report
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::SendAttempt { request, attempt } => self.send_attempt(request, attempt),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(AttemptKey { request, attempt }, Outcome::Cancelled);
            }
            Action::Reject { request, retry_after } => {
                self.requests.respond(request, Response::Rejected { retry_after });
            }
            Action::Fail { request } => self.requests.respond(request, Response::Failed),
            Action::SetTimer { timer, delay } => {
                self.deadlines.push(self.dependencies.clock.now() + delay, Deadline::Timer(timer));
            }
            Action::Log(text) => info!(text, "decisions"),
            Action::CheckHealth { host } => self.check_health(host),
            Action::CloseIdleConnections { host } => self.close_idle_connections(host),
            // Discovery is watched all the time: what it has listed is the response.
            Action::Subscribe { .. } | Action::RequestEndpointList => {
                let entries = self.listed_entries();
                self.events.push_back(Event::EndpointsListed { scope: ListScope::Full, entries });
            }
            Action::SendMessage { .. } => debug!("message to other dispatchers dropped"),
        }
    }

    /// Handles what is due by `time`.
    fn run_due_deadlines(&mut self, time: Duration) {
        while let Some(deadline) = self.deadlines.pop_due(time) {
            match deadline {
                Deadline::AttemptTimeout(key) => self.cancel_attempt(key, Outcome::TimedOut),
                Deadline::SendBy(late) => self.withdraw_unsent(|key, _, _| key == late),
                Deadline::HealthCheck(tag) => self.end_health_check(tag, Outcome::TimedOut, Vec::new()),
                Deadline::Timer(timer) => self.events.push_back(Event::TimerFired(timer)),
                Deadline::Response(id) => self.on_response_overdue(id),
            }
            self.decide();
        }
    }
}
