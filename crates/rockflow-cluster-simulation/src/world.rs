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
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The start of the period in which requests are sent and faults injected.
const BUSY_FROM: Duration = Duration::from_millis(500);
/// The end of that period. Until [`SCHEDULE_END`], open requests end and records expire.
const BUSY_UNTIL: Duration = Duration::from_secs(6);
const SCHEDULE_END: Duration = Duration::from_secs(50);
/// The maximum time for which a process is paused.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// The maximum time between the kill and the restart of a process.
const MAX_DOWNTIME: Duration = Duration::from_secs(2);
/// The maximum time for which a path is cut.
const MAX_CUT: Duration = Duration::from_secs(3);
/// The maximum additional delay of a late frame.
const MAX_LATENESS: Duration = Duration::from_secs(1);
/// The maximum time after which a client whose dispatcher was killed retries.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(800);
/// The maximum time between the two sends of a request that is sent to two dispatchers.
const MAX_DUPLICATE_REQUEST_DELAY: Duration = Duration::from_millis(300);

#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
enum SimulatedEvent {
    Frame { to: usize, from: Identity, message: Message },
    Tick(usize),
    SendRequest { member: usize, request: RequestId, is_retry: bool },
    HostAnswers { member: usize, incarnation: Incarnation, request: RequestId },
    Kill(usize),
    Start(usize),
    Pause { member: usize, until: Duration },
    Resume(usize),
    Cut { from: usize, to: usize, until: Duration },
}

impl SimulatedEvent {
    /// The process that handles the event, unless it is a fault.
    fn process(&self) -> Option<usize> {
        match self {
            SimulatedEvent::Frame { to, .. } => Some(*to),
            SimulatedEvent::Tick(member)
            | SimulatedEvent::SendRequest { member, .. }
            | SimulatedEvent::HostAnswers { member, .. } => Some(*member),
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
    /// The executions of each request by hosts: the member that sent the attempt, and the time.
    pub executions: BTreeMap<RequestId, Vec<(usize, Duration)>>,
    /// The answers that clients got to each request, with their times.
    pub answers: BTreeMap<RequestId, Vec<(Duration, Answer)>>,
    /// The time at which each request first reached a dispatcher.
    pub first_sent: BTreeMap<RequestId, Duration>,
    /// Requests whose dispatcher was killed while a client waited there.
    pub lost_clients: BTreeSet<RequestId>,
    /// Requests that were sent again after their dispatcher was killed.
    pub retried: BTreeSet<RequestId>,
    /// The number of frames that members sent, including lost ones.
    pub frames: u64,
}

/// A violation of an invariant of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// An at-most-once request was executed more than once.
    #[error("{request:?} was executed {} times: {executions:?}", executions.len())]
    ExecutedTwice {
        /// The at-most-once request.
        request: RequestId,
        /// The members that sent the attempts, and the times of execution.
        executions: Vec<(usize, Duration)>,
    },
    /// A request that is not idempotent got two different answers.
    #[error("{request:?} got different answers: {answers:?}")]
    AnsweredTwice {
        /// The request that was answered.
        request: RequestId,
        /// The different answers.
        answers: BTreeSet<Answer>,
    },
    /// A member still holds records or open requests at the end of the schedule.
    #[error("{identity:?} still holds {} records and {} open requests", held.records, held.open_requests)]
    NeverEnds {
        /// The member that holds them.
        identity: Identity,
        /// The numbers of records and open requests.
        held: HeldCounts,
    },
}

/// A cluster in virtual time.
pub struct World {
    config: ClusterConfig,
    /// The processes by member; `None` while a member is down.
    processes: Vec<Option<Process>>,
    rng: oorandom::Rand64,
    faults: Faults,
    /// The times of the scheduled events, with their numbers.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulatedEvent>,
    events_scheduled: u64,
    /// The paths, from one member to another, that are cut, with the end of the cut.
    cuts: BTreeMap<(usize, usize), Duration>,
    effect_kinds: BTreeMap<RequestId, EffectKind>,
    incarnations_started: u64,
    /// What hosts and clients have observed so far.
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
            effect_kinds: BTreeMap::new(),
            incarnations_started: 0,
            observations: Observations::default(),
        };
        for member in 0..members {
            world.start(Duration::ZERO, member, true);
        }
        world
    }

    /// Runs the whole schedule: sends this number of requests, injects the faults, and then lets open requests end.
    pub fn run(&mut self, requests: u64) {
        self.schedule_requests(requests);
        self.schedule_faults();
        while let Some(Reverse((now, number))) =
            self.queue.pop().filter(|Reverse((now, _))| *now < SCHEDULE_END)
        {
            let event = self.events.remove(&number).expect("a queued event is held");
            self.process_event(now, event);
        }
    }

    /// Checks the results of a schedule that has run to its end.
    ///
    /// # Errors
    /// The first violation found: an at-most-once request was executed twice, a request that is not idempotent got two
    /// different answers, or a member still holds a record or an open request.
    pub fn check_invariants(&self) -> Result<(), Violation> {
        for (request, executions) in &self.observations.executions {
            if self.effect_kinds[request] == EffectKind::AtMostOnce && executions.len() > 1 {
                return Err(Violation::ExecutedTwice { request: *request, executions: executions.clone() });
            }
        }
        for (request, answers) in &self.observations.answers {
            let answers: BTreeSet<_> = answers.iter().map(|(_, answer)| answer.clone()).collect();
            if self.effect_kinds[request].requires_quorum() && answers.len() > 1 {
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
            self.effect_kinds.insert(request, effect_kind_of(n));
            let time = self.random_busy_time();
            let member = self.random_member();
            self.schedule(time, SimulatedEvent::SendRequest { member, request, is_retry: false });
            // Some requests are sent to two dispatchers, at the same time or shortly after each other.
            if n % 5 == 0 {
                let other = self.random_member();
                let random_delay = self.random_duration(MAX_DUPLICATE_REQUEST_DELAY);
                let delay = if n % 10 == 0 { Duration::ZERO } else { random_delay };
                let duplicate = SimulatedEvent::SendRequest { member: other, request, is_retry: false };
                self.schedule(time + delay, duplicate);
            }
        }
    }

    fn schedule_faults(&mut self) {
        let Faults { kills, simultaneous_kills, pauses, cuts, .. } = self.faults;
        for _ in 0..kills {
            let time = self.random_busy_time();
            let member = self.random_member();
            self.schedule(time, SimulatedEvent::Kill(member));
        }
        for member in 0..simultaneous_kills {
            self.schedule(BUSY_UNTIL / 2, SimulatedEvent::Kill(member));
        }
        for _ in 0..pauses {
            let time = self.random_busy_time();
            let member = self.random_member();
            let until = time + self.random_duration(MAX_PAUSE);
            self.schedule(time, SimulatedEvent::Pause { member, until });
        }
        for _ in 0..cuts {
            let from = self.random_member();
            let to = self.random_member();
            let time = self.random_busy_time();
            let until = time + self.random_duration(MAX_CUT);
            self.schedule(time, SimulatedEvent::Cut { from, to, until });
            let is_cut_both_ways = self.random_index(2) == 0;
            if is_cut_both_ways {
                self.schedule(time, SimulatedEvent::Cut { from: to, to: from, until });
            }
        }
    }

    /// A random number below `count`.
    fn random_index(&mut self, count: usize) -> usize {
        self.rng.rand_range(0..count as u64) as usize
    }

    fn random_member(&mut self) -> usize {
        self.random_index(self.config.members.len())
    }

    fn random_duration(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.rand_float())
    }

    fn random_busy_time(&mut self) -> Duration {
        BUSY_FROM + self.random_duration(BUSY_UNTIL - BUSY_FROM)
    }

    fn schedule(&mut self, time: Duration, event: SimulatedEvent) {
        self.events_scheduled += 1;
        self.queue.push(Reverse((time, self.events_scheduled)));
        self.events.insert(self.events_scheduled, event);
    }

    fn start(&mut self, now: Duration, member: usize, is_new_cluster: bool) {
        if self.processes[member].is_some() {
            return;
        }
        self.incarnations_started += 1;
        let incarnation = Incarnation(self.incarnations_started);
        let identity = Identity { member: MemberId(member as u16), incarnation };
        let seed = self.rng.rand_u64();
        let mut node = ClusterNode::new(self.config.clone(), identity, seed, is_new_cluster, now);
        let outputs = node.join(now);
        self.processes[member] = Some(Process {
            node,
            incarnation,
            is_paused: false,
            backlog: Vec::new(),
            clients: BTreeSet::new(),
            next_tick: None,
        });
        self.apply_outputs(now, member, outputs);
    }

    fn process_event(&mut self, now: Duration, event: SimulatedEvent) {
        // A paused process handles the event when it resumes.
        let process = event.process().and_then(|member| self.processes[member].as_mut());
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
            SimulatedEvent::Tick(member) => {
                let Some(process) = &mut self.processes[member] else { return };
                process.next_tick = None;
                let outputs = process.node.tick(now);
                self.apply_outputs(now, member, outputs);
            }
            SimulatedEvent::SendRequest { member, request, is_retry } => {
                self.send_request(now, member, request, is_retry)
            }
            SimulatedEvent::HostAnswers { member, incarnation, request } => {
                self.on_host_answer(now, member, incarnation, request);
            }
            SimulatedEvent::Kill(member) => self.kill(now, member),
            SimulatedEvent::Start(member) => self.start(now, member, false),
            SimulatedEvent::Pause { member, until } => {
                if let Some(process) = &mut self.processes[member] {
                    process.is_paused = true;
                    self.schedule(until, SimulatedEvent::Resume(member));
                }
            }
            SimulatedEvent::Resume(member) => self.resume(now, member),
            SimulatedEvent::Cut { from, to, until } => {
                self.cuts.insert((from, to), until);
            }
        }
    }

    /// Carries out the outputs of a node, as its dispatcher would.
    fn apply_outputs(&mut self, now: Duration, member: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.trace(now, member, "outputs", &output);
            let Some(process) = &mut self.processes[member] else { return };
            let identity = process.node.identity();
            let incarnation = process.incarnation;
            match output {
                Output::Send { to, message } => self.send(now, member, identity, usize::from(to.0), message),
                Output::MaySend { request, .. } => self.execute(now, member, incarnation, request),
                Output::FinalAnswer { request, answer } => {
                    if process.clients.remove(&request) {
                        self.observations.answers.entry(request).or_default().push((now, answer));
                    }
                }
                Output::QuorumUnavailable { request } | Output::IdInUse { request } => {
                    // The client's request is rejected, and no attempt was sent.
                    process.clients.remove(&request);
                }
                Output::TakeOver { request, started_attempts, .. } => {
                    let attempt = started_attempts.len() as u16;
                    let host = u64::from(attempt);
                    let (_, outputs) = process.node.propose_attempt(now, request, attempt, host);
                    self.apply_outputs(now, member, outputs);
                }
                Output::OwnedElsewhere { .. }
                | Output::MembershipChanged(_)
                | Output::IncarnationSuperseded { .. } => {}
            }
        }
        self.schedule_tick(now, member);
    }

    fn schedule_tick(&mut self, now: Duration, member: usize) {
        let Some(process) = &mut self.processes[member] else { return };
        let Some(next_due) = process.node.next_due() else { return };
        if process.next_tick.is_none_or(|scheduled| next_due < scheduled) {
            process.next_tick = Some(next_due);
            self.schedule(next_due.max(now), SimulatedEvent::Tick(member));
        }
    }

    fn send(&mut self, now: Duration, member: usize, from: Identity, to: usize, message: Message) {
        self.observations.frames += 1;
        let is_cut = self.cuts.get(&(member, to)).is_some_and(|until| now < *until);
        if is_cut || self.rng.rand_float() < self.faults.lost {
            return;
        }
        let copies = 1 + usize::from(self.rng.rand_float() < self.faults.duplicated);
        for _ in 0..copies {
            let mut delay = ROUND_TRIP.mul_f64(0.1) + self.random_duration(ROUND_TRIP.mul_f64(0.3));
            if self.rng.rand_float() < self.faults.late {
                delay += self.random_duration(MAX_LATENESS);
            }
            self.schedule(now + delay, SimulatedEvent::Frame { to, from, message: message.clone() });
        }
    }

    /// Executes an attempt of this member at a host, which answers some time later.
    fn execute(&mut self, now: Duration, member: usize, incarnation: Incarnation, request: RequestId) {
        self.observations.executions.entry(request).or_default().push((member, now));
        let duration = Duration::from_millis(5) + self.random_duration(Duration::from_millis(60));
        self.schedule(now + duration, SimulatedEvent::HostAnswers { member, incarnation, request });
    }

    fn send_request(&mut self, now: Duration, member: usize, request: RequestId, is_retry: bool) {
        self.trace(now, member, "receives a request", &(request, is_retry));
        let kind = self.effect_kinds[&request];
        let Some(process) = &mut self.processes[member] else { return };
        if !process.clients.insert(request) {
            return;
        }
        self.observations.first_sent.entry(request).or_insert(now);
        if is_retry {
            self.observations.retried.insert(request);
        }
        let descriptor = RequestDescriptor { kind, class: 0, object: 1, part: 0, group: 0, size: 0 };
        let mut outputs = process.node.on_request(now, request, descriptor, now + CLIENT_TIMEOUT);
        let is_decided = outputs.iter().any(|output| {
            matches!(
                output,
                Output::FinalAnswer { .. } | Output::OwnedElsewhere { .. } | Output::IdInUse { .. }
            )
        });
        if !is_decided {
            let (permission, attempt_outputs) = process.node.propose_attempt(now, request, 0, 0);
            outputs.extend(attempt_outputs);
            if permission == Permission::Immediate {
                let incarnation = process.incarnation;
                self.execute(now, member, incarnation, request);
            }
        }
        self.apply_outputs(now, member, outputs);
    }

    fn on_host_answer(&mut self, now: Duration, member: usize, incarnation: Incarnation, request: RequestId) {
        self.trace(now, member, "receives its host's answer", &(request, incarnation));
        let process = self.processes[member].as_mut();
        let Some(process) = process.filter(|process| process.incarnation == incarnation) else { return };
        let kind = self.effect_kinds[&request];
        let body = Some(format!("{member} {}", incarnation.0).into_bytes());
        let answer = Answer { outcome: Outcome::Succeeded, tag: None, body };
        let (permission, outputs) = process.node.on_request_ended(now, request, kind, answer.clone());
        if permission == Permission::Immediate && process.clients.remove(&request) {
            self.observations.answers.entry(request).or_default().push((now, answer));
        }
        self.apply_outputs(now, member, outputs);
    }

    fn kill(&mut self, now: Duration, member: usize) {
        self.trace(now, member, "fault", &"killed");
        if let Some(process) = self.processes[member].take() {
            self.observations.lost_clients.extend(process.clients.iter().copied());
            // Its clients retry at another dispatcher, under the same request ids.
            let members = self.config.members.len();
            for request in process.clients {
                let other = (member + 1 + self.random_index((members - 1).max(1))) % members;
                let wait = self.random_duration(MAX_RETRY_WAIT);
                let retry = SimulatedEvent::SendRequest { member: other, request, is_retry: true };
                self.schedule(now + wait, retry);
            }
        }
        let downtime = self.random_duration(MAX_DOWNTIME);
        self.schedule(now + downtime, SimulatedEvent::Start(member));
    }

    fn resume(&mut self, now: Duration, member: usize) {
        let Some(process) = &mut self.processes[member] else { return };
        process.is_paused = false;
        // A process cannot choose the order in which it reads its backlog, so the order is random.
        let mut backlog = std::mem::take(&mut process.backlog);
        while !backlog.is_empty() {
            let index = self.random_index(backlog.len());
            let event = backlog.swap_remove(index);
            self.process_event(now, event);
        }
    }

    /// If the environment variable `ROCKFLOW_TRACE` is set to the number of a request, prints the events that mention
    /// that request, membership changes, and kills. Serves to investigate a schedule that failed.
    fn trace(&self, now: Duration, member: usize, verb: &str, details: &impl fmt::Debug) {
        let Ok(request) = std::env::var("ROCKFLOW_TRACE") else { return };
        let text = format!("{details:?}");
        let is_request = text.contains(&format!("RequestId({request})"));
        if is_request || text.contains("Changed") || verb == "fault" {
            println!("{:.4} n{member} {verb} {text}", now.as_secs_f64());
        }
    }
}

/// The effect of the request with this number: half of the requests are at-most-once, a quarter have an idempotency
/// key, and a quarter are idempotent.
fn effect_kind_of(number: u64) -> EffectKind {
    match number % 4 {
        0 | 3 => EffectKind::AtMostOnce,
        1 => EffectKind::IdempotencyKey,
        _ => EffectKind::Idempotent,
    }
}
