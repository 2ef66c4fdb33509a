//! The simulation of a fleet: a queue of events in virtual time for many dispatchers.

use crate::deployment::{deployment_config, DEADLINE};
use rockflow::{
    Action, Attempt, AttemptEnd, AttemptNumber, CacheStatus, ClassId, Dispatcher, EndpointEntry, Event,
    GroupId, HostId, ListScope, ObjectId, Outcome, Request, RequestId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Added to the seed of a dispatcher when it restarts, so that it does not repeat its earlier random draws.
const RESTART_SEED_OFFSET: u64 = 1000;

/// The size of a fleet and of its traffic.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The time between two requests at a dispatcher with a traffic factor of 1.
    pub request_interval: Duration,
    /// The mean size of a response, in kB.
    pub mean_size_kb: f64,
    /// The number of distinct objects that are requested. None: each request is for a random object that practically
    /// never repeats.
    pub object_count: Option<u64>,
}

/// An attempt with the circumstances of its sending.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// When it was sent.
    pub at: Duration,
    /// The index of the dispatcher that sent it.
    pub dispatcher: usize,
    /// The requested object.
    pub object: ObjectId,
    /// The size of the response, in kB.
    pub size_kb: f64,
    /// The attempt as the decision logic ordered it.
    pub attempt: Attempt,
}

impl SentAttempt {
    /// Whether the attempt asks only for a cached object, so that no host may fill the object for it.
    pub fn is_cached_only(&self) -> bool {
        self.attempt.cached_at_source_only || self.attempt.source.is_none()
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswerKind {
    /// An attempt succeeded, and its response was passed on.
    Succeeded,
    /// The request was shed.
    Rejected,
    /// The request failed.
    Failed,
}

/// A final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// When the client got the answer.
    pub at: Duration,
    /// How the request ended.
    pub kind: FinalAnswerKind,
}

/// A request with all final answers to it.
#[derive(Clone, Debug)]
pub struct SimulatedRequest {
    /// When the request arrived.
    pub at: Duration,
    /// The size of its response, in kB.
    pub size_kb: f64,
    /// The final answers in order. More than one is a fault of the decision logic; none means that the request is open.
    pub final_answers: Vec<FinalAnswer>,
}

impl SimulatedRequest {
    /// Whether a final answer of this kind was given.
    pub fn has_answer(&self, kind: FinalAnswerKind) -> bool {
        self.final_answers.iter().any(|answer| answer.kind == kind)
    }
}

/// How a host responds to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct HostResponse {
    /// The outcome of the attempt, unless its timeout ends it earlier.
    pub outcome: Outcome,
    /// The cache status that the response reports.
    pub cache_status: CacheStatus,
    /// The time from the sending of the attempt to its end.
    pub duration: Duration,
}

enum ScheduledEvent {
    /// An event that a test delivers to the dispatcher.
    Deliver(Event),
    /// The dispatcher is killed and starts again with the endpoint list that it restores.
    Restart(Vec<EndpointEntry>),
    /// A request arrives, and the next one is scheduled.
    NextRequest,
    /// An attempt of the dispatcher ends.
    AttemptEnds(AttemptEnd),
}

struct Scheduled {
    dispatcher: usize,
    event: ScheduledEvent,
}

struct RequestState {
    object: ObjectId,
    /// The number of attempts sent so far.
    attempts: u16,
}

/// A fleet of dispatchers in virtual time.
pub struct FleetSimulation {
    options: FleetOptions,
    dispatchers: Vec<Dispatcher>,
    /// The source of random draws for the traffic. A test may draw from it too.
    pub rng: oorandom::Rand64,
    /// Response sizes as multiples of the mean size, all equally likely. Empty: every response has the mean size.
    pub relative_sizes: Vec<f64>,
    /// By dispatcher: its rate of requests as a multiple of the rate that `FleetOptions::request_interval` gives.
    pub traffic_factors: Vec<f64>,
    /// The times of the scheduled events with the event numbers. Of events at the same time, the one that was scheduled
    /// first comes first.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// The scheduled events by event number.
    events: BTreeMap<u64, Scheduled>,
    /// The number of the event that was scheduled last.
    last_event: u64,
    request_states: BTreeMap<RequestId, RequestState>,
    /// Every attempt that was sent, in the order of sending.
    pub sent: Vec<SentAttempt>,
    /// Every request that arrived.
    pub requests: BTreeMap<RequestId, SimulatedRequest>,
}

impl FleetSimulation {
    /// Creates a fleet at time zero whose dispatchers know no hosts and get no requests yet.
    pub fn new(options: FleetOptions) -> Self {
        let new_dispatcher = |index: usize| {
            let config = deployment_config(index, options.dispatchers);
            Dispatcher::new(config, options.seed + index as u64)
        };
        FleetSimulation {
            options,
            dispatchers: (0..options.dispatchers).map(new_dispatcher).collect(),
            rng: oorandom::Rand64::new(u128::from(options.seed)),
            relative_sizes: Vec::new(),
            traffic_factors: vec![1.0; options.dispatchers],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            request_states: BTreeMap::new(),
            sent: Vec::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Schedules the delivery of an event to a dispatcher.
    pub fn deliver(&mut self, at: Duration, dispatcher: usize, event: Event) {
        self.schedule(at, dispatcher, ScheduledEvent::Deliver(event));
    }

    /// Schedules the requests at a dispatcher, from the given time until the simulation ends.
    pub fn start_requests(&mut self, at: Duration, dispatcher: usize) {
        self.schedule(at, dispatcher, ScheduledEvent::NextRequest);
    }

    /// Schedules the restart of a dispatcher, with the endpoint list that it restores.
    pub fn restart_dispatcher(&mut self, at: Duration, dispatcher: usize, restored: Vec<EndpointEntry>) {
        self.schedule(at, dispatcher, ScheduledEvent::Restart(restored));
    }

    /// Runs all events before the given time. `respond` determines how hosts respond to attempts.
    ///
    /// The simulation can't be continued: the first event at or after that time is lost.
    pub fn run(&mut self, until: Duration, mut respond: impl FnMut(&SentAttempt) -> HostResponse) {
        while let Some(Reverse((now, number))) = self.queue.pop() {
            if now >= until {
                return;
            }
            let Scheduled { dispatcher, event } =
                self.events.remove(&number).expect("every queued number has an event");
            let Some(event) = self.apply(now, dispatcher, event) else { continue };
            for action in self.dispatchers[dispatcher].handle(now, event) {
                self.perform(now, dispatcher, action, &mut respond);
            }
        }
    }

    /// The attempts that were sent to a host or named it as the source.
    pub fn attempts_using(&self, host: HostId) -> impl Iterator<Item = &SentAttempt> {
        let uses = move |attempt: &Attempt| attempt.host == host || attempt.source == Some(host);
        self.sent.iter().filter(move |sent| uses(&sent.attempt))
    }

    fn schedule(&mut self, at: Duration, dispatcher: usize, event: ScheduledEvent) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, Scheduled { dispatcher, event });
    }

    /// Applies a scheduled event, and returns the event that the dispatcher has to handle, if any.
    fn apply(&mut self, now: Duration, dispatcher: usize, event: ScheduledEvent) -> Option<Event> {
        match event {
            ScheduledEvent::Deliver(event) => Some(event),
            ScheduledEvent::Restart(restored) => {
                self.restart(now, dispatcher, restored);
                None
            }
            ScheduledEvent::NextRequest => {
                let interval = self.options.request_interval.div_f64(self.traffic_factors[dispatcher]);
                self.schedule(now + interval, dispatcher, ScheduledEvent::NextRequest);
                Some(Event::RequestArrived(self.make_request(now)))
            }
            ScheduledEvent::AttemptEnds(end) => {
                // In production, the caller of the decision logic passes a successful response on to the client itself.
                if end.request_finished {
                    self.record_answer(end.request, now, FinalAnswerKind::Succeeded);
                }
                Some(Event::AttemptEnded(end))
            }
        }
    }

    /// Replaces a dispatcher by a new one that knows only the restored endpoint list.
    fn restart(&mut self, now: Duration, index: usize, restored: Vec<EndpointEntry>) {
        let seed = self.options.seed + RESTART_SEED_OFFSET + index as u64;
        let mut dispatcher = Dispatcher::new(deployment_config(index, self.options.dispatchers), seed);
        dispatcher.start();
        dispatcher.handle(now, Event::EndpointsListed { scope: ListScope::Restored, entries: restored });
        self.dispatchers[index] = dispatcher;
    }

    /// Records a new request, and returns it for the dispatcher.
    fn make_request(&mut self, now: Duration) -> Request {
        let id = RequestId(self.requests.len() as u64);
        let draw = self.rng.rand_u64();
        let object = ObjectId(self.options.object_count.map_or(draw, |count| draw % count));
        let relative_size = if self.relative_sizes.is_empty() {
            1.0
        } else {
            let sizes = 0..self.relative_sizes.len() as u64;
            self.relative_sizes[self.rng.rand_range(sizes) as usize]
        };
        let size_kb = relative_size * self.options.mean_size_kb;
        self.requests.insert(id, SimulatedRequest { at: now, size_kb, final_answers: Vec::new() });
        self.request_states.insert(id, RequestState { object, attempts: 0 });
        Request {
            id,
            class: ClassId(0),
            object,
            part: 0,
            group: GroupId(0),
            time_left: DEADLINE,
            size_kb,
            previous_attempts: Vec::new(),
        }
    }

    /// Performs an action that the decision logic of a dispatcher ordered.
    fn perform(
        &mut self,
        now: Duration,
        dispatcher: usize,
        action: Action,
        respond: &mut impl FnMut(&SentAttempt) -> HostResponse,
    ) {
        match action {
            Action::SendAttempt { request, attempt } => {
                let state = &self.request_states[&request];
                let size_kb = self.requests[&request].size_kb;
                let sent = SentAttempt { at: now, dispatcher, object: state.object, size_kb, attempt };
                self.sent.push(sent);
                let response = respond(&sent);
                self.schedule_end(request, sent, response);
            }
            Action::Reject { request, .. } => self.record_answer(request, now, FinalAnswerKind::Rejected),
            Action::Fail { request } => self.record_answer(request, now, FinalAnswerKind::Failed),
            _ => {}
        }
    }

    /// Schedules the end of an attempt, at its response or at its timeout.
    fn schedule_end(&mut self, request: RequestId, sent: SentAttempt, response: HostResponse) {
        let state = self.request_states.get_mut(&request).expect("attempts belong to recorded requests");
        let attempt = AttemptNumber(state.attempts);
        state.attempts += 1;
        let (outcome, duration) = match sent.attempt.timeout {
            Some(timeout) if response.duration > timeout => (Outcome::TimedOut, timeout),
            _ => (response.outcome, response.duration),
        };
        let end = AttemptEnd {
            request,
            attempt,
            host: sent.attempt.host,
            outcome,
            duration,
            request_finished: outcome == Outcome::Succeeded,
            cache_status: response.cache_status,
            fill_wait: Duration::ZERO,
            first_byte_sent: true,
        };
        self.schedule(sent.at + duration, sent.dispatcher, ScheduledEvent::AttemptEnds(end));
    }

    fn record_answer(&mut self, request: RequestId, now: Duration, kind: FinalAnswerKind) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.final_answers.push(FinalAnswer { at: now, kind });
        }
    }
}
