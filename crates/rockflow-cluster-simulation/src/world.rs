//! The simulated world of one schedule: the members, the scheduled events, and what hosts and clients have observed.

use crate::faults::Faults;
use rockflow_cluster::node::{HeldCounts, Permission};
use rockflow_cluster::{
    Answer, ClusterConfig, ClusterNode, Counts, EffectKind, Identity, Incarnation, MemberId, Message,
    Outcome, Output, RequestDescriptor, RequestId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt;
use std::time::Duration;
use thiserror::Error;

const ROUND_TRIP: Duration = Duration::from_millis(4);
const RETENTION: Duration = Duration::from_secs(20);
/// How long a client waits for its answer.
const CLIENT_PATIENCE: Duration = Duration::from_secs(3);
/// Faults and requests begin then.
const BUSY_FROM: Duration = Duration::from_millis(500);
/// Faults and requests end then; what is open has the rest to end.
const BUSY_UNTIL: Duration = Duration::from_secs(6);
const SCHEDULE_END: Duration = Duration::from_secs(50);
/// How long a process is paused, or stays dead, and a path is cut, at most.
const MAX_PAUSE: Duration = Duration::from_secs(4);
const MAX_DOWNTIME: Duration = Duration::from_secs(2);
const MAX_CUT: Duration = Duration::from_secs(3);
/// How late a late frame is at most.
const MAX_LATENESS: Duration = Duration::from_secs(1);
/// A client whose dispatcher was killed asks again within this time.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(800);

#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
enum SimulatedEvent {
    Frame { to: usize, from: Identity, message: Message },
    Tick(usize),
    SendRequest { at: usize, request: RequestId, is_retry: bool },
    HostAnswers { at: usize, incarnation: Incarnation, request: RequestId },
    Kill(usize),
    Start(usize),
    Pause { at: usize, until: Duration },
    Resume(usize),
    Cut { from: usize, to: usize, until: Duration },
}

impl SimulatedEvent {
    /// The process that handles the event, unless it is a fault.
    fn process(&self) -> Option<usize> {
        match self {
            SimulatedEvent::Frame { to, .. } => Some(*to),
            SimulatedEvent::Tick(at)
            | SimulatedEvent::SendRequest { at, .. }
            | SimulatedEvent::HostAnswers { at, .. } => Some(*at),
            _ => None,
        }
    }
}

/// A running process: its node, and the state of its dispatcher.
struct Process {
    node: ClusterNode,
    incarnation: Incarnation,
    is_paused: bool,
    /// Events that arrived while the process was paused.
    backlog: Vec<SimulatedEvent>,
    /// The requests of the clients that wait for an answer here.
    clients: BTreeSet<RequestId>,
    next_tick: Option<Duration>,
}

/// What hosts and clients have observed.
#[derive(Default, Debug)]
pub struct Observations {
    /// By request: the members that executed it, and when.
    pub runs: BTreeMap<RequestId, Vec<(usize, Duration)>>,
    /// By request: the answers that clients got, and when.
    pub answers: BTreeMap<RequestId, Vec<(Duration, Answer)>>,
    /// When each request was first sent.
    pub first_sent: BTreeMap<RequestId, Duration>,
    /// Requests whose client lost its dispatcher.
    pub lost_clients: BTreeSet<RequestId>,
    /// Requests that were sent again after their dispatcher was killed.
    pub retried: BTreeSet<RequestId>,
    /// Frames that were sent.
    pub frames: u64,
}

/// Something that must never happen.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// An at-most-once request was executed more than once.
    #[error("{request:?} ran {} times: {runs:?}", runs.len())]
    RunTwice {
        /// The request.
        request: RequestId,
        /// The members that executed it, and when.
        runs: Vec<(usize, Duration)>,
    },
    /// A request got two different answers.
    #[error("{request:?} was answered {answers:?}")]
    AnsweredTwice {
        /// The request.
        request: RequestId,
        /// Its answers.
        answers: BTreeSet<Answer>,
    },
    /// A record or a request that never ends.
    #[error("{identity:?} ends with {} records, {} open requests", held.records, held.open_requests)]
    NeverEnds {
        /// The member that holds it.
        identity: Identity,
        /// What it holds.
        held: HeldCounts,
    },
}

/// A cluster in virtual time.
pub struct World {
    config: ClusterConfig,
    processes: Vec<Option<Process>>,
    rng: oorandom::Rand64,
    faults: Faults,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulatedEvent>,
    events_scheduled: u64,
    cuts: BTreeMap<(usize, usize), Duration>,
    kinds: BTreeMap<RequestId, EffectKind>,
    incarnations: u64,
    /// What hosts and clients observed so far.
    pub observations: Observations,
}

impl World {
    /// Starts a new cluster at time zero.
    pub fn new(seed: u64, members: usize, replicas: usize, faults: Faults) -> World {
        let config = ClusterConfig {
            members: (0..members).map(|n| format!("n{n:03}")).collect(),
            replicas,
            retention: RETENTION,
            round_trip: ROUND_TRIP,
            max_records: 10_000,
            max_body_bytes: 64,
        };
        let mut world = World {
            config,
            processes: (0..members).map(|_| None).collect(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            faults,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            events_scheduled: 0,
            cuts: BTreeMap::new(),
            kinds: BTreeMap::new(),
            incarnations: 0,
            observations: Observations::default(),
        };
        for at in 0..members {
            world.start(Duration::ZERO, at, true);
        }
        world
    }

    /// Sends so many requests under the faults, and lets all of it come to its end.
    pub fn play(&mut self, requests: u64) {
        self.schedule_requests(requests);
        self.schedule_faults();
        while let Some(Reverse((now, number))) =
            self.queue.pop().filter(|Reverse((now, _))| *now < SCHEDULE_END)
        {
            let event = self.events.remove(&number).expect("a queued event is held");
            self.process_event(now, event);
        }
    }

    /// What must never happen: a second execution, a second answer, a record or a request that never ends.
    pub fn verdict(&self) -> Result<(), Violation> {
        for (request, runs) in &self.observations.runs {
            if self.kinds[request] == EffectKind::AtMostOnce && runs.len() > 1 {
                return Err(Violation::RunTwice { request: *request, runs: runs.clone() });
            }
        }
        for (request, answers) in &self.observations.answers {
            let answers: BTreeSet<_> = answers.iter().map(|(_, answer)| answer.clone()).collect();
            if self.kinds[request].requires_quorum() && answers.len() > 1 {
                return Err(Violation::AnsweredTwice { request: *request, answers });
            }
        }
        for process in self.processes.iter().flatten() {
            let held = process.node.held();
            if held.records + held.open_requests > 0 {
                return Err(Violation::NeverEnds { identity: process.node.identity(), held });
            }
        }
        Ok(())
    }

    /// The counters of all running processes.
    pub fn counts(&self) -> impl Iterator<Item = Counts> + '_ {
        self.processes.iter().flatten().map(|process| process.node.counts())
    }

    fn schedule_requests(&mut self, requests: u64) {
        for n in 0..requests {
            let request = RequestId(u128::from(n) * 7919 + 1);
            self.kinds.insert(request, kind_of(n));
            let when = self.busy_time();
            let at = self.any_member();
            self.schedule(when, SimulatedEvent::SendRequest { at, request, is_retry: false });
            // Some ids are sent to two dispatchers at once, or again a little later.
            if n % 5 == 0 {
                let other = self.any_member();
                let later = self.within(Duration::from_millis(300));
                let later = if n % 10 == 0 { Duration::ZERO } else { later };
                self.schedule(
                    when + later,
                    SimulatedEvent::SendRequest { at: other, request, is_retry: false },
                );
            }
        }
    }

    fn schedule_faults(&mut self) {
        let Faults { kills, simultaneous_kills, pauses, cuts, .. } = self.faults;
        for _ in 0..kills {
            let when = self.busy_time();
            let at = self.any_member();
            self.schedule(when, SimulatedEvent::Kill(at));
        }
        for at in 0..simultaneous_kills {
            self.schedule(BUSY_UNTIL / 2, SimulatedEvent::Kill(at));
        }
        for _ in 0..pauses {
            let when = self.busy_time();
            let at = self.any_member();
            let until = when + self.within(MAX_PAUSE);
            self.schedule(when, SimulatedEvent::Pause { at, until });
        }
        for _ in 0..cuts {
            let from = self.any_member();
            let to = self.any_member();
            let when = self.busy_time();
            let until = when + self.within(MAX_CUT);
            self.schedule(when, SimulatedEvent::Cut { from, to, until });
            if self.below(2) == 0 {
                self.schedule(when, SimulatedEvent::Cut { from: to, to: from, until });
            }
        }
    }

    fn below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n as u64) as usize
    }

    fn any_member(&mut self) -> usize {
        self.below(self.config.members.len())
    }

    fn within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.rand_float())
    }

    fn busy_time(&mut self) -> Duration {
        BUSY_FROM + self.within(BUSY_UNTIL - BUSY_FROM)
    }

    fn schedule(&mut self, at: Duration, event: SimulatedEvent) {
        self.events_scheduled += 1;
        self.queue.push(Reverse((at, self.events_scheduled)));
        self.events.insert(self.events_scheduled, event);
    }

    fn start(&mut self, now: Duration, at: usize, is_new_cluster: bool) {
        if self.processes[at].is_some() {
            return;
        }
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let identity = Identity { member: MemberId(at as u16), incarnation };
        let seed = self.rng.rand_u64();
        let mut node = ClusterNode::new(self.config.clone(), identity, seed, is_new_cluster, now);
        let outputs = node.join(now);
        self.processes[at] = Some(Process {
            node,
            incarnation,
            is_paused: false,
            backlog: Vec::new(),
            clients: BTreeSet::new(),
            next_tick: None,
        });
        self.apply_outputs(now, at, outputs);
    }

    fn process_event(&mut self, now: Duration, event: SimulatedEvent) {
        // A paused process handles the event when it resumes.
        let process = event.process().and_then(|at| self.processes[at].as_mut());
        if let Some(process) = process.filter(|process| process.is_paused) {
            process.backlog.push(event);
            return;
        }
        match event {
            SimulatedEvent::Frame { to, from, message } => {
                self.trace(now, to, "receives", &(from, &message));
                let Some(process) = &mut self.processes[to] else { return };
                let outputs = process.node.on_message(now, from, message);
                self.apply_outputs(now, to, outputs);
            }
            SimulatedEvent::Tick(at) => {
                let Some(process) = &mut self.processes[at] else { return };
                process.next_tick = None;
                let outputs = process.node.tick(now);
                self.apply_outputs(now, at, outputs);
            }
            SimulatedEvent::SendRequest { at, request, is_retry } => {
                self.send_request(now, at, request, is_retry)
            }
            SimulatedEvent::HostAnswers { at, incarnation, request } => {
                self.on_host_answer(now, at, incarnation, request);
            }
            SimulatedEvent::Kill(at) => self.kill(now, at),
            SimulatedEvent::Start(at) => self.start(now, at, false),
            SimulatedEvent::Pause { at, until } => {
                if let Some(process) = &mut self.processes[at] {
                    process.is_paused = true;
                    self.schedule(until, SimulatedEvent::Resume(at));
                }
            }
            SimulatedEvent::Resume(at) => self.resume(now, at),
            SimulatedEvent::Cut { from, to, until } => {
                self.cuts.insert((from, to), until);
            }
        }
    }

    /// Does what a node wants done, as its dispatcher would.
    fn apply_outputs(&mut self, now: Duration, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.trace(now, at, "does", &output);
            let Some(process) = &mut self.processes[at] else { return };
            let identity = process.node.identity();
            let incarnation = process.incarnation;
            match output {
                Output::Send { to, message } => self.send(now, at, identity, usize::from(to.0), message),
                Output::MaySend { request, .. } => self.run(now, at, incarnation, request),
                Output::FinalAnswer { request, answer } => {
                    if process.clients.remove(&request) {
                        self.observations.answers.entry(request).or_default().push((now, answer));
                    }
                }
                Output::QuorumUnavailable { request } | Output::IdInUse { request } => {
                    // The client's request is rejected.
                    process.clients.remove(&request);
                }
                Output::TakeOver { request, started_attempts, .. } => {
                    let attempt = started_attempts.len() as u16;
                    let host = u64::from(attempt);
                    let (_, outputs) = process.node.propose_attempt(now, request, attempt, host);
                    self.apply_outputs(now, at, outputs);
                }
                Output::OwnedElsewhere { .. }
                | Output::MembershipChanged(_)
                | Output::IncarnationSuperseded { .. } => {}
            }
        }
        self.schedule_tick(now, at);
    }

    fn schedule_tick(&mut self, now: Duration, at: usize) {
        let Some(process) = &mut self.processes[at] else { return };
        let Some(next) = process.node.next_due() else { return };
        if process.next_tick.is_none_or(|scheduled| next < scheduled) {
            process.next_tick = Some(next);
            self.schedule(next.max(now), SimulatedEvent::Tick(at));
        }
    }

    fn send(&mut self, now: Duration, at: usize, from: Identity, to: usize, message: Message) {
        self.observations.frames += 1;
        let is_cut = self.cuts.get(&(at, to)).is_some_and(|until| now < *until);
        if is_cut || self.rng.rand_float() < self.faults.lost {
            return;
        }
        let copies = 1 + usize::from(self.rng.rand_float() < self.faults.duplicated);
        for _ in 0..copies {
            let mut delay = ROUND_TRIP.mul_f64(0.1) + self.within(ROUND_TRIP.mul_f64(0.3));
            if self.rng.rand_float() < self.faults.late {
                delay += self.within(MAX_LATENESS);
            }
            self.schedule(now + delay, SimulatedEvent::Frame { to, from, message: message.clone() });
        }
    }

    /// An attempt reaches its host, which executes it and answers some time later.
    fn run(&mut self, now: Duration, at: usize, incarnation: Incarnation, request: RequestId) {
        self.observations.runs.entry(request).or_default().push((at, now));
        let duration = Duration::from_millis(5) + self.within(Duration::from_millis(60));
        self.schedule(now + duration, SimulatedEvent::HostAnswers { at, incarnation, request });
    }

    fn send_request(&mut self, now: Duration, at: usize, request: RequestId, is_retry: bool) {
        self.trace(now, at, "receives a request", &(request, is_retry));
        let kind = self.kinds[&request];
        let Some(process) = &mut self.processes[at] else { return };
        if !process.clients.insert(request) {
            return;
        }
        self.observations.first_sent.entry(request).or_insert(now);
        if is_retry {
            self.observations.retried.insert(request);
        }
        let descriptor = RequestDescriptor { kind, class: 0, object: 1, part: 0, group: 0, size: 0 };
        let mut outputs = process.node.on_request(now, request, descriptor, now + CLIENT_PATIENCE);
        let is_known = outputs.iter().any(|output| {
            matches!(
                output,
                Output::FinalAnswer { .. } | Output::OwnedElsewhere { .. } | Output::IdInUse { .. }
            )
        });
        if !is_known {
            let (permission, more) = process.node.propose_attempt(now, request, 0, 0);
            outputs.extend(more);
            if permission == Permission::Immediate {
                let incarnation = process.incarnation;
                self.run(now, at, incarnation, request);
            }
        }
        self.apply_outputs(now, at, outputs);
    }

    fn on_host_answer(&mut self, now: Duration, at: usize, incarnation: Incarnation, request: RequestId) {
        self.trace(now, at, "has its host's answer", &(request, incarnation));
        let process = self.processes[at].as_mut();
        let Some(process) = process.filter(|process| process.incarnation == incarnation) else { return };
        let kind = self.kinds[&request];
        let body = Some(format!("{at} {}", incarnation.0).into_bytes());
        let answer = Answer { outcome: Outcome::Succeeded, tag: None, body };
        let (permission, outputs) = process.node.on_request_ended(now, request, kind, answer.clone());
        if permission == Permission::Immediate && process.clients.remove(&request) {
            self.observations.answers.entry(request).or_default().push((now, answer));
        }
        self.apply_outputs(now, at, outputs);
    }

    fn kill(&mut self, now: Duration, at: usize) {
        self.trace(now, at, "fault", &"killed");
        if let Some(process) = self.processes[at].take() {
            self.observations.lost_clients.extend(process.clients.iter().copied());
            // Its clients ask again under their ids, elsewhere.
            let members = self.config.members.len();
            for request in process.clients {
                let elsewhere = (at + 1 + self.below((members - 1).max(1))) % members;
                let wait = self.within(MAX_RETRY_WAIT);
                let retry = SimulatedEvent::SendRequest { at: elsewhere, request, is_retry: true };
                self.schedule(now + wait, retry);
            }
        }
        let downtime = self.within(MAX_DOWNTIME);
        self.schedule(now + downtime, SimulatedEvent::Start(at));
    }

    fn resume(&mut self, now: Duration, at: usize) {
        let Some(process) = &mut self.processes[at] else { return };
        process.is_paused = false;
        // In what order a process takes up its backlog is not its to choose.
        let mut backlog = std::mem::take(&mut process.backlog);
        while !backlog.is_empty() {
            let next = self.below(backlog.len());
            let event = backlog.swap_remove(next);
            self.process_event(now, event);
        }
    }

    /// With `ROCKFLOW_TRACE=REQUEST`: prints all that concerns that request, for a schedule that failed.
    fn trace(&self, now: Duration, at: usize, verb: &str, what: &impl fmt::Debug) {
        let Ok(request) = std::env::var("ROCKFLOW_TRACE") else { return };
        let text = format!("{what:?}");
        let is_request = text.contains(&format!("RequestId({request})"));
        if is_request || text.contains("Changed") || verb == "fault" {
            println!("{:.4} n{at} {verb} {text}", now.as_secs_f64());
        }
    }
}

/// The effects of requests, in turn.
fn kind_of(n: u64) -> EffectKind {
    match n % 4 {
        0 | 3 => EffectKind::AtMostOnce,
        1 => EffectKind::IdempotencyKey,
        _ => EffectKind::Idempotent,
    }
}
