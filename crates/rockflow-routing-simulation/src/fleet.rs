//! The simulation: a queue of events in virtual time over many dispatchers.

use crate::deployment::{deployment_config, DEADLINE};
use rockflow::{
    Action, Attempt, AttemptEnd, AttemptNumber, CacheStatus, ClassId, Dispatcher, EndpointEntry, Event,
    GroupId, HostId, ListScope, ObjectId, Outcome, Request, RequestId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// What is added to the seed of a dispatcher that restarts.
const RESTART_SEED_OFFSET: u64 = 1000;

/// The size of a fleet and of its traffic.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Determines every random draw.
    pub seed: u64,
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The time between two requests at one dispatcher of mean traffic.
    pub request_interval: Duration,
    /// The mean size of a response, in kB.
    pub mean_size_kb: f64,
    /// The number of objects that are requested. None: each request is for a new one.
    pub object_count: Option<u64>,
}

/// An attempt that a dispatcher sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// When it was sent.
    pub at: Duration,
    /// The index of the dispatcher.
    pub dispatcher: usize,
    /// The object of its request.
    pub object: ObjectId,
    /// The size of the response, in kB.
    pub size_kb: f64,
    /// What was sent.
    pub attempt: Attempt,
}

impl SentAttempt {
    /// Whether it asks only for what is cached.
    pub fn is_cached_only(&self) -> bool {
        self.attempt.cached_at_source_only || self.attempt.source.is_none()
    }
}

/// The kinds of final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswerKind {
    /// The request succeeded.
    Succeeded,
    /// It was shed.
    Rejected,
    /// It failed.
    Failed,
}

/// A final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// When it was given.
    pub at: Duration,
    /// What it was.
    pub kind: FinalAnswerKind,
}

/// A request, and every final answer that it got.
#[derive(Clone, Debug)]
pub struct SimulatedRequest {
    /// When it arrived.
    pub at: Duration,
    /// The size of its response, in kB.
    pub size_kb: f64,
    /// Its final answers; one is right.
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
    /// How the attempt ends.
    pub outcome: Outcome,
    /// What the response reports.
    pub cache_status: CacheStatus,
    /// The time until it ends.
    pub duration: Duration,
}

enum ScheduledEvent {
    Deliver(Event),
    /// The dispatcher is killed, and starts with what a restart remembers.
    Restart(Vec<EndpointEntry>),
    NextRequest,
    AttemptEnds(AttemptEnd),
}

struct Scheduled {
    dispatcher: usize,
    event: ScheduledEvent,
}

struct OpenRequest {
    object: ObjectId,
    attempts: u16,
}

/// A fleet of dispatchers in virtual time.
pub struct FleetSimulation {
    options: FleetOptions,
    dispatchers: Vec<Dispatcher>,
    /// Random draws of the traffic; a test may draw from it too.
    pub rng: oorandom::Rand64,
    /// Sizes in relation to the mean, each as likely as the other. Empty: all are of the mean.
    pub relative_sizes: Vec<f64>,
    /// By dispatcher: its traffic in relation to the mean.
    pub traffic_factors: Vec<f64>,
    /// The times of the events with their numbers; among equal times the first scheduled comes first.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Scheduled>,
    last_event: u64,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Every attempt that was sent, in order.
    pub sent: Vec<SentAttempt>,
    /// Every request that arrived.
    pub requests: BTreeMap<RequestId, SimulatedRequest>,
}

impl FleetSimulation {
    /// A fleet at time zero. Its dispatchers know no hosts and get no requests yet.
    pub fn new(options: FleetOptions) -> Self {
        let start = |index: usize| {
            let config = deployment_config(index, options.dispatchers);
            Dispatcher::new(config, options.seed + index as u64)
        };
        FleetSimulation {
            options,
            dispatchers: (0..options.dispatchers).map(start).collect(),
            rng: oorandom::Rand64::new(u128::from(options.seed)),
            relative_sizes: Vec::new(),
            traffic_factors: vec![1.0; options.dispatchers],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            open: BTreeMap::new(),
            sent: Vec::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Delivers an event to a dispatcher at a time.
    pub fn deliver(&mut self, at: Duration, dispatcher: usize, event: Event) {
        self.schedule(at, dispatcher, ScheduledEvent::Deliver(event));
    }

    /// Lets a dispatcher get requests from a time on.
    pub fn start_requests(&mut self, at: Duration, dispatcher: usize) {
        self.schedule(at, dispatcher, ScheduledEvent::NextRequest);
    }

    /// Restarts a dispatcher at a time, with the endpoint list that it restores.
    pub fn restart_dispatcher(&mut self, at: Duration, dispatcher: usize, restored: Vec<EndpointEntry>) {
        self.schedule(at, dispatcher, ScheduledEvent::Restart(restored));
    }

    /// Runs until a time. `respond` says how hosts respond.
    pub fn run(&mut self, until: Duration, mut respond: impl FnMut(&SentAttempt) -> HostResponse) {
        while let Some(Reverse((now, number))) = self.queue.pop() {
            if now >= until {
                return;
            }
            let Scheduled { dispatcher, event } = self.events.remove(&number).expect("a scheduled event");
            let Some(event) = self.occur(now, dispatcher, event) else { continue };
            for action in self.dispatchers[dispatcher].handle(now, event) {
                self.carry_out(now, dispatcher, action, &mut respond);
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

    /// Lets a scheduled event occur, and returns what the dispatcher is informed of.
    fn occur(&mut self, now: Duration, dispatcher: usize, event: ScheduledEvent) -> Option<Event> {
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
                // A caller hands on a response that serves as the final answer.
                if end.request_finished {
                    self.answer(end.request, now, FinalAnswerKind::Succeeded);
                }
                Some(Event::AttemptEnded(end))
            }
        }
    }

    fn restart(&mut self, now: Duration, index: usize, restored: Vec<EndpointEntry>) {
        let seed = self.options.seed + RESTART_SEED_OFFSET + index as u64;
        let mut dispatcher = Dispatcher::new(deployment_config(index, self.options.dispatchers), seed);
        dispatcher.start();
        dispatcher.handle(now, Event::EndpointsListed { scope: ListScope::Restored, entries: restored });
        self.dispatchers[index] = dispatcher;
    }

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
        self.open.insert(id, OpenRequest { object, attempts: 0 });
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

    fn carry_out(
        &mut self,
        now: Duration,
        dispatcher: usize,
        action: Action,
        respond: &mut impl FnMut(&SentAttempt) -> HostResponse,
    ) {
        match action {
            Action::SendAttempt { request, attempt } => {
                let open = &self.open[&request];
                let size_kb = self.requests[&request].size_kb;
                let sent = SentAttempt { at: now, dispatcher, object: open.object, size_kb, attempt };
                self.sent.push(sent);
                let response = respond(&sent);
                self.schedule_end(request, sent, response);
            }
            Action::Reject { request, .. } => self.answer(request, now, FinalAnswerKind::Rejected),
            Action::Fail { request } => self.answer(request, now, FinalAnswerKind::Failed),
            _ => {}
        }
    }

    fn schedule_end(&mut self, request: RequestId, sent: SentAttempt, response: HostResponse) {
        let open = self.open.get_mut(&request).expect("a request that arrived");
        let attempt = AttemptNumber(open.attempts);
        open.attempts += 1;
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

    fn answer(&mut self, request: RequestId, now: Duration, kind: FinalAnswerKind) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.final_answers.push(FinalAnswer { at: now, kind });
        }
    }
}
