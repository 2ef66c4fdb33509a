//! A fleet of decisions in virtual time: dispatchers, each of which sees only its own part, what is asked of them, and
//! hosts that answer as a test says. One seed, one course of events.

pub mod cold;

use rockflow::{
    Action, Attempt, AttemptEnd, AttemptNumber, CacheStatus, CacheStatusDetail, CellId, Class, ClassId,
    DeploymentConfig, Dispatcher, Effect, EndpointEntry, Event, GroupId, HostId, ListScope, LocationId,
    ObjectId, Outcome, Readiness, Request, RequestId, Role, SlowStart, WeightMeaning,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

pub const STREAM: f64 = 1000.0;
pub const COLD: SlowStart = SlowStart {
    initial_share: 0.1,
    ramp: Duration::from_secs(20),
    overload_multiple: 2.0,
    window: Duration::from_secs(2),
};
pub const LONGEST: Duration = Duration::from_secs(3);

pub fn deployment(number: usize, dispatchers: usize) -> DeploymentConfig {
    let class = Class {
        effect: Effect::Idempotent,
        latency_objective: Duration::from_millis(500),
        transfer_stretch: 2.0,
        deadline: LONGEST,
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        fresh_lifetime: Duration::from_secs(10),
        grace: Duration::from_secs(20),
        cacheable: true,
    };
    DeploymentConfig {
        location: LocationId(1),
        location_dispatchers: dispatchers,
        dispatcher_count: dispatchers,
        dispatcher_index: number,
        classes: vec![class],
        weight_meaning: WeightMeaning::LinkCapacity,
        cache_slow_start: COLD,
        parent_slow_start: COLD,
        purge_window: Duration::from_secs(6),
        stream_kb_per_s: STREAM,
        cache_status_detail: CacheStatusDetail::All,
        coalescing: true,
        direct_source_access: false,
        hedging: true,
        cancellation: true,
        health_checks: false,
        max_attempts: 6,
        max_tracked: 1000,
        max_retry_after: None,
        endpoint_list_max_age: None,
    }
}

pub fn listing(id: u64, role: Role, weight: f64, started: Option<Duration>) -> EndpointEntry {
    let (location, cell) = (LocationId(1), CellId(0));
    EndpointEntry { host: HostId(id), cell, location, role, readiness: Readiness::Ready, weight, started }
}

/// An attempt on its way, and who sent it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Duration,
    pub number: usize,
    pub object: ObjectId,
    pub size_kb: f64,
    pub attempt: Attempt,
}

impl Sent {
    /// It asks only for what is held.
    pub fn looks(&self) -> bool {
        self.attempt.cached_at_source_only || self.attempt.source.is_none()
    }
}

/// A request, and every final answer that it got.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Duration,
    pub size_kb: f64,
    pub finals: Vec<(Duration, Final)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Succeeded,
    Dismissed,
    Terminated,
}

enum Happens {
    Told(Event),
    /// Killed, and begun anew with what a restart remembers.
    Restart(Vec<EndpointEntry>),
    Ask,
    Ends(AttemptEnd),
}

/// What a host does with an attempt: how it ends, and after how long.
pub type Answer = (Outcome, CacheStatus, Duration);

pub struct World {
    seed: u64,
    fleet: Vec<Dispatcher>,
    gap: Duration,
    size_kb: f64,
    objects: Option<u64>,
    pub chance: oorandom::Rand64,
    /// Sizes over the mean, one as likely as the other; none: all are of the mean.
    pub sizes: Vec<f64>,
    /// By number: how many times the mean is asked of a dispatcher.
    pub shares: Vec<f64>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, (usize, Happens)>,
    next: u64,
    /// Objects asked for, by request, and attempts so far.
    open: BTreeMap<RequestId, (ObjectId, u16)>,
    pub sent: Vec<Sent>,
    pub asked: BTreeMap<RequestId, Asked>,
}

impl World {
    /// Each dispatcher is asked every `gap` for an object of `objects`, or one that is new each time.
    pub fn new(seed: u64, dispatchers: usize, gap: Duration, size_kb: f64, objects: Option<u64>) -> World {
        let begin = |number| Dispatcher::new(deployment(number, dispatchers), seed + number as u64);
        World {
            seed,
            fleet: (0..dispatchers).map(begin).collect(),
            gap,
            size_kb,
            objects,
            chance: oorandom::Rand64::new(u128::from(seed)),
            sizes: Vec::new(),
            shares: vec![1.0; dispatchers],
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            open: BTreeMap::new(),
            sent: Vec::new(),
            asked: BTreeMap::new(),
        }
    }

    fn at(&mut self, at: Duration, number: usize, what: Happens) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, (number, what));
    }

    pub fn tell(&mut self, at: Duration, number: usize, event: Event) {
        self.at(at, number, Happens::Told(event));
    }

    pub fn ask_from(&mut self, at: Duration, number: usize) {
        self.at(at, number, Happens::Ask);
    }

    pub fn restart(&mut self, at: Duration, number: usize, remembered: Vec<EndpointEntry>) {
        self.at(at, number, Happens::Restart(remembered));
    }

    pub fn play(&mut self, until: Duration, mut answer: impl FnMut(&Sent) -> Answer) {
        while let Some(Reverse((now, at))) = self.due.pop().filter(|Reverse((now, _))| *now < until) {
            let (number, what) = self.events.remove(&at).expect("it is due");
            let event = match what {
                Happens::Told(event) => event,
                Happens::Restart(hosts) => {
                    let seed = self.seed + 1000 + number as u64;
                    let mut anew = Dispatcher::new(deployment(number, self.fleet.len()), seed);
                    anew.start();
                    anew.handle(now, Event::EndpointsListed { scope: ListScope::Restored, entries: hosts });
                    self.fleet[number] = anew;
                    continue;
                }
                Happens::Ask => {
                    self.at(now + self.gap.div_f64(self.shares[number]), number, Happens::Ask);
                    Event::RequestArrived(self.request(now))
                }
                Happens::Ends(end) => {
                    // What the caller does at an answer that serves: it is the request's final one.
                    if end.request_finished {
                        self.end(end.request, now, Final::Succeeded);
                    }
                    Event::AttemptEnded(end)
                }
            };
            for action in self.fleet[number].handle(now, event) {
                match action {
                    Action::SendAttempt { request, attempt } => {
                        self.send(now, number, request, attempt, &mut answer)
                    }
                    Action::Reject { request, .. } => self.end(request, now, Final::Dismissed),
                    Action::Fail { request } => self.end(request, now, Final::Terminated),
                    _ => {}
                }
            }
        }
    }

    fn request(&mut self, now: Duration) -> Request {
        let id = RequestId(self.asked.len() as u64);
        let any = self.chance.rand_u64();
        let object = ObjectId(self.objects.map_or(any, |objects| any % objects));
        let size = match self.sizes.len() as u64 {
            0 => 1.0,
            sizes => self.sizes[self.chance.rand_range(0..sizes) as usize],
        };
        let size_kb = size * self.size_kb;
        self.asked.insert(id, Asked { at: now, size_kb, finals: Vec::new() });
        self.open.insert(id, (object, 0));
        let (class, group) = (ClassId(0), GroupId(0));
        Request {
            id,
            class,
            object,
            part: 0,
            group,
            time_left: LONGEST,
            size_kb,
            previous_attempts: Vec::new(),
        }
    }

    fn end(&mut self, request: RequestId, now: Duration, how: Final) {
        self.asked.entry(request).and_modify(|asked| asked.finals.push((now, how)));
    }

    fn send(
        &mut self,
        now: Duration,
        number: usize,
        request: RequestId,
        attempt: Attempt,
        answer: &mut impl FnMut(&Sent) -> Answer,
    ) {
        let (object, attempts) = self.open.get_mut(&request).expect("a query that was asked");
        let size_kb = self.asked[&request].size_kb;
        let sent = Sent { at: now, number, object: *object, size_kb, attempt };
        let no = AttemptNumber(std::mem::replace(attempts, *attempts + 1));
        self.sent.push(sent);
        let (outcome, note, took) = answer(&sent);
        let (outcome, took) = match attempt.timeout {
            Some(limit) if took > limit => (Outcome::TimedOut, limit),
            _ => (outcome, took),
        };
        let (host, over) = (attempt.host, outcome == Outcome::Succeeded);
        let (fill_wait, begun) = (Duration::ZERO, true);
        let end = AttemptEnd {
            request,
            attempt: no,
            host,
            outcome,
            duration: took,
            request_finished: over,
            cache_status: note,
            fill_wait,
            first_byte_sent: begun,
        };
        self.at(now + took, number, Happens::Ends(end));
    }
}

/// By how many calls a cold host got more than it bears in any of its spans, chance included: N calls of `work` seconds
/// each, N by what it gives when the span begins, and two roots of N and two more.
pub fn excess(sent: &[Duration], started: Duration, weight: f64, work: f64) -> f64 {
    let mut most = f64::MIN;
    for (n, at) in sent.iter().enumerate() {
        let calls = sent[n..].iter().take_while(|later| **later < *at + COLD.window).count() as f64;
        let bears = bears(at.saturating_sub(started), weight, work);
        most = most.max(calls - bears - 2.0 * bears.sqrt() - 2.0);
    }
    most
}

/// The calls of the worst span over what a cold host bears in it with chance: N and two roots of N and two more, as in
/// `excess`. Up to 1 the bound holds.
pub fn worst_share(sent: &[Duration], started: Duration, weight: f64, work: f64) -> f64 {
    let mut most: f64 = 0.0;
    for (n, at) in sent.iter().enumerate() {
        let calls = sent[n..].iter().take_while(|later| **later < *at + COLD.window).count() as f64;
        let bears = bears(at.saturating_sub(started), weight, work);
        most = most.max(calls / (bears + 2.0 * bears.sqrt() + 2.0));
    }
    most
}

/// Calls of so much work that a cold host bears in a span that begins at this age.
fn bears(age: Duration, weight: f64, work: f64) -> f64 {
    let age = age.as_secs_f64() / COLD.ramp.as_secs_f64();
    let share = (COLD.initial_share + (1.0 - COLD.initial_share) * age).min(1.0);
    COLD.overload_multiple * share * weight * COLD.window.as_secs_f64() / work
}

/// How full a cold host got at its fullest, beside what it bears: attempts of `work` seconds each, from all together.
pub fn fullest(sent: &[Duration], started: Duration, weight: f64, work: f64) -> f64 {
    let mut fullest: f64 = 0.0;
    for (n, at) in sent.iter().enumerate() {
        let within = sent[n..].iter().take_while(|later| **later < *at + COLD.window).count() as f64;
        // By what it bears at the start of the span, when that is least.
        let age = (*at - started).as_secs_f64() / COLD.ramp.as_secs_f64();
        let share = (COLD.initial_share + (1.0 - COLD.initial_share) * age).min(1.0);
        fullest = fullest
            .max(within * work / (COLD.overload_multiple * share * weight * COLD.window.as_secs_f64()));
    }
    fullest
}
