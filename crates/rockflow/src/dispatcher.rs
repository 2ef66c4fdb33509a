//! The entry point: handles events, keeps the open requests, and returns actions.

use crate::action::Action;
use crate::config::DeploymentConfig;
use crate::effects;
use crate::emit::emit;
use crate::endpoints::{EndpointEntry, HostStatus, ListScope};
use crate::event::{AttemptEnd, CacheStatus, Event, Outcome, Request};
use crate::ids::{RequestId, TimerId};
use crate::outcome::EndedAttempt;
use crate::request::{AttemptPhase, OpenRequest};
use crate::state::RoutingState;
use std::collections::BTreeMap;
use std::time::Duration;

/// The timer that fires when a failed subscription to the endpoint list is to be retried.
const SUBSCRIPTION_TIMER: TimerId = TimerId(0);
/// The shortest delay before that retry, as a fraction of `endpoint_list_max_age`. Random jitter up to doubles it.
const SUBSCRIPTION_RETRY_FRACTION: f64 = 0.1;

/// The decision logic of one dispatcher.
///
/// The caller creates it from the configuration and a seed, carries out the actions of [`start`](Self::start), then
/// passes each [`Event`] with its time to [`handle`](Self::handle) and carries out the returned [`Action`]s in order.
/// The same configuration, seed and events always give the same actions.
///
/// # Examples
///
/// ```
/// use rockflow::{
///     Action, AttemptEnd, AttemptNumber, CacheStatus, CacheStatusDetail, CellId, Class, ClassId,
///     DeploymentConfig, Dispatcher, Effect, EndpointEntry, Event, GroupId, HostId, ListScope, LocationId,
///     ObjectId, Outcome, Readiness, Request, RequestId, Role, SlowStart, WeightMeaning,
/// };
/// use std::time::Duration;
///
/// let location = LocationId(0);
/// let slow_start = SlowStart {
///     initial_share: 0.25,
///     ramp: Duration::from_secs(20),
///     overload_multiple: 2.0,
///     window: Duration::from_secs(2),
/// };
/// let class = Class {
///     effect: Effect::Idempotent,
///     latency_objective: Duration::from_millis(500),
///     transfer_stretch: 2.0,
///     deadline: Duration::from_secs(5),
///     priority_weight: 1.0,
///     late_priority_weight: 0.2,
///     fresh_lifetime: Duration::from_secs(60),
///     grace: Duration::ZERO,
///     cacheable: true,
/// };
/// let config = DeploymentConfig {
///     location,
///     location_dispatchers: 1,
///     dispatcher_count: 1,
///     dispatcher_index: 0,
///     classes: vec![class],
///     weight_meaning: WeightMeaning::LinkCapacity,
///     cache_slow_start: slow_start,
///     parent_slow_start: slow_start,
///     purge_window: Duration::from_secs(6),
///     stream_kb_per_s: 1000.0,
///     cache_status_detail: CacheStatusDetail::All,
///     coalescing: true,
///     direct_source_access: false,
///     hedging: false,
///     cancellation: true,
///     health_checks: false,
///     max_attempts: 4,
///     max_tracked: 1000,
///     max_retry_after: None,
///     endpoint_list_max_age: None,
/// };
/// let mut dispatcher = Dispatcher::new(config, 1);
/// assert!(dispatcher.start().is_empty());
///
/// // Discovery lists a cache and the origin.
/// let host = |host, role| EndpointEntry {
///     host: HostId(host),
///     cell: CellId(0),
///     location,
///     role,
///     readiness: Readiness::Ready,
///     weight: 10.0,
///     started: None,
/// };
/// let entries = vec![host(1, Role::Cache), host(2, Role::Origin)];
/// dispatcher.handle(Duration::ZERO, Event::EndpointsListed { scope: ListScope::Full, entries });
///
/// // A request goes to the cache, which fills a miss from the origin.
/// let request = Request {
///     id: RequestId(1),
///     class: ClassId(0),
///     object: ObjectId(7),
///     part: 0,
///     group: GroupId(0),
///     time_left: Duration::from_secs(5),
///     size_kb: 100.0,
///     previous_attempts: Vec::new(),
/// };
/// let actions = dispatcher.handle(Duration::from_secs(1), Event::RequestArrived(request));
/// let [Action::SendAttempt { request: RequestId(1), attempt }] = &actions[..] else { panic!("{actions:?}") };
/// assert_eq!((attempt.host, attempt.source), (HostId(1), Some(HostId(2))));
///
/// // The cache answers, and nothing is left to do.
/// let end = AttemptEnd {
///     request: RequestId(1),
///     attempt: AttemptNumber(0),
///     host: HostId(1),
///     outcome: Outcome::Succeeded,
///     duration: Duration::from_millis(120),
///     request_finished: true,
///     cache_status: CacheStatus::Filled,
///     fill_wait: Duration::from_millis(10),
///     first_byte_sent: true,
/// };
/// assert!(dispatcher.handle(Duration::from_millis(1120), Event::AttemptEnded(end)).is_empty());
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    state: RoutingState,
    requests: BTreeMap<RequestId, OpenRequest>,
    rng: oorandom::Rand64,
    /// The actions of the event that is being handled.
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher without an endpoint list or requests. The seed determines its random numbers.
    pub fn new(config: DeploymentConfig, seed: u64) -> Self {
        Dispatcher {
            state: RoutingState::new(config),
            requests: BTreeMap::new(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            actions: Vec::new(),
        }
    }

    /// Returns the actions to carry out before the first event.
    pub fn start(&mut self) -> Vec<Action> {
        match self.state.config.endpoint_list_max_age {
            Some(_) => vec![Action::Subscribe { on: true }],
            None => Vec::new(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    ///
    /// Time never goes back: if `now` is before the time of an earlier event, that earlier event's time is used.
    ///
    /// # Panics
    /// If a request has a class that is not configured.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.state.now = self.state.now.max(now);
        match event {
            Event::EndpointsListed { scope, entries } => self.on_endpoints_listed(scope, entries),
            Event::RequestArrived(request) => self.on_request(request),
            Event::ResponseStarted { request, .. } => self.on_response_started(request),
            Event::AttemptEnded(end) => self.on_attempt_ended(end),
            Event::ClientDisconnected(request) => self.on_client_disconnected(request),
            Event::ShutdownStarted { deadline } => {
                for open in self.requests.values_mut() {
                    open.limit_deadline(deadline);
                }
            }
            Event::TimerFired(_) => self.actions = self.start(),
            Event::Purged { object, group, age } => {
                self.state.purges.record(self.state.now, object, group, age);
            }
            Event::HealthChecked { .. } | Event::MessageReceived { .. } => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the status of each listed host.
    pub fn host_statuses(&self) -> Vec<HostStatus> {
        self.state.endpoints.statuses(self.state.now)
    }

    /// Applies an update of the endpoint list. If discovery did not answer, the current list stays in use, and the
    /// subscription is retried well before that list reaches its maximum age.
    fn on_endpoints_listed(&mut self, scope: ListScope, entries: Vec<EndpointEntry>) {
        if scope != ListScope::Failed {
            self.state.apply_endpoint_list(scope, entries);
            return;
        }
        let max_age = self.state.config.endpoint_list_max_age.unwrap_or_default();
        let delay = max_age.mul_f64(SUBSCRIPTION_RETRY_FRACTION * (1.0 + self.rng.rand_float()));
        self.actions.push(Action::SetTimer { timer: SUBSCRIPTION_TIMER, delay });
    }

    fn on_request(&mut self, request: Request) {
        let id = request.id;
        let transfer = self.state.record_request(&request);
        let class = self.state.class_stats(request.class).class();
        let draw = self.rng.rand_float();
        let open = OpenRequest::new(self.state.now, request, class, transfer, draw);
        self.requests.insert(id, open);
        self.decide_and_emit(id);
    }

    fn on_response_started(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.response_started = true;
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.finished = true;
        }
        self.emit_request(id);
    }

    fn on_attempt_ended(&mut self, end: AttemptEnd) {
        let state = &mut self.state;
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(end.attempt.0)) else { return };
        if attempt.is_ended() {
            return;
        }
        attempt.phase = AttemptPhase::Ended { may_have_executed: effects::may_have_executed(&end) };
        if !end.first_byte_sent {
            open.unsent_attempts += 1;
        }
        if end.request_finished {
            open.finished = true;
        }
        if end.outcome == Outcome::Succeeded && end.request_finished {
            let now = state.now;
            state.class_stats_mut(open.request.class).record_succeeded(now, open.transfer_s);
        }
        let attempt = &open.attempts[usize::from(end.attempt.0)];
        let ended = EndedAttempt::new(state, open, attempt, &end);
        let host_to_avoid = state.record_attempt_end(&ended);
        open.failed_hosts.extend(host_to_avoid);
        if end.cache_status == CacheStatus::OriginFailed {
            open.origin_failed = true;
        }
        self.decide_and_emit(end.request);
    }

    fn decide_and_emit(&mut self, id: RequestId) {
        self.decide(id);
        self.emit_request(id);
    }

    /// Decides the next attempt of a request that waits for one. If none is possible, the final answer is decided.
    fn decide(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !open.awaits_decision() {
            return;
        }
        let next = self.state.next_attempt(open);
        // The jitter of `Retry-After`, which spreads the retries of clients. It is drawn even when unused, so that
        // later random numbers do not depend on this decision.
        let retry_jitter = self.rng.rand_float();
        match next {
            Some(attempt) => open.attempts.push(attempt),
            None if self.state.may_reject(open) => {
                let retry_after = self.state.config.max_retry_after.map(|max| max.mul_f64(retry_jitter));
                open.final_answer = Some(Action::Reject { request: id, retry_after });
            }
            None => open.final_answer = Some(Action::Fail { request: id }),
        }
    }

    fn emit_request(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        emit(open, &mut self.state, &mut self.actions);
        if open.is_closed() {
            self.requests.remove(&id);
        }
    }
}
