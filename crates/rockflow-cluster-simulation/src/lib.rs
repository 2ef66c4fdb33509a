//! Seeded schedules of a node in virtual time: members that are killed, restarted with nothing, stopped and woken, cut
//! off one way or both, frames that are lost, late, doubled and overtaken, clients that ask again elsewhere under the same
//! id. The machine under test is the one that runs; what may never happen is counted by what hosts and clients saw.

use rockflow_cluster::*;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

const TRIP: Duration = Duration::from_millis(4);
const KEEP: Duration = Duration::from_secs(20);
const PATIENCE: Duration = Duration::from_secs(3);
/// Faults and questions end then; what is open has the rest to end.
const BUSY: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(50);

/// What goes wrong in the busy part of a schedule; shares are of frames.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub kills: usize,
    /// So many are killed at the same instant.
    pub at_once: usize,
    pub stops: usize,
    pub cuts: usize,
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
}

#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
enum SimulatedEvent {
    Frame { to: usize, from: Identity, message: Message },
    Tick(usize),
    Ask { at: usize, request: RequestId, again: bool },
    HostAnswers { at: usize, incarnation: Incarnation, request: RequestId },
    Kill(usize),
    Start(usize),
    Stop { at: usize, until: Duration },
    Wake(usize),
    Cut { from: usize, to: usize, until: Duration },
}

/// One process: its machine, and what its dispatcher does by it.
struct Process {
    node: ClusterNode,
    incarnation: Incarnation,
    stopped: bool,
    /// What comes while it is stopped.
    held_up: Vec<SimulatedEvent>,
    /// Clients that wait here.
    clients: BTreeSet<RequestId>,
    /// Let to write, when the process was stopped just then.
    next_tick: Option<Duration>,
}

/// What hosts and clients saw.
#[derive(Default, Debug)]
pub struct Seen {
    pub runs: BTreeMap<RequestId, Vec<(usize, Duration)>>,
    pub answers: BTreeMap<RequestId, Vec<(Duration, Answer)>>,
    pub asked: BTreeMap<RequestId, Duration>,
    pub lost_clients: BTreeSet<RequestId>,
    /// Asked again after its dispatcher was killed, and given the final answer.
    pub came_again: BTreeSet<RequestId>,
    pub frames: u64,
}

/// One schedule: its members, what is on its way, and what was seen.
pub struct World {
    config: ClusterConfig,
    processes: Vec<Option<Process>>,
    rng: oorandom::Rand64,
    pub faults: Faults,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulatedEvent>,
    next: u64,
    cuts: BTreeMap<(usize, usize), Duration>,
    kinds: BTreeMap<RequestId, EffectKind>,
    incarnations: u64,
    pub seen: Seen,
}

fn kind_of(n: u64) -> EffectKind {
    [EffectKind::AtMostOnce, EffectKind::IdempotencyKey, EffectKind::Idempotent, EffectKind::AtMostOnce]
        [(n % 4) as usize]
}

impl World {
    pub fn new(seed: u64, members: usize, replicas: usize, faults: Faults) -> World {
        let config = ClusterConfig {
            members: (0..members).map(|n| format!("n{n:03}")).collect(),
            replicas,
            retention: KEEP,
            round_trip: TRIP,
            max_records: 10_000,
            max_body_bytes: 64,
        };
        let mut world = World {
            config,
            processes: (0..members).map(|_| None).collect(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            faults,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            cuts: BTreeMap::new(),
            kinds: BTreeMap::new(),
            incarnations: 0,
            seen: Seen::default(),
        };
        (0..members).for_each(|at| world.start(Duration::ZERO, at, true));
        world
    }

    fn below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n as u64) as usize
    }

    fn within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.rand_float())
    }

    fn at(&mut self, at: Duration, what: SimulatedEvent) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, what);
    }

    fn start(&mut self, now: Duration, at: usize, first: bool) {
        if self.processes[at].is_some() {
            return;
        }
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let identity = Identity { member: MemberId(at as u16), incarnation };
        let seed = self.rng.rand_u64();
        let mut node = ClusterNode::new(self.config.clone(), identity, seed, first, now);
        let outputs = node.join(now);
        self.processes[at] = Some(Process {
            node,
            incarnation,
            stopped: false,
            held_up: Vec::new(),
            clients: BTreeSet::new(),
            next_tick: None,
        });
        self.carry(now, at, outputs);
    }

    fn send(&mut self, now: Duration, at: usize, from: Identity, to: usize, message: Message) {
        self.seen.frames += 1;
        let cut = self.cuts.get(&(at, to)).is_some_and(|until| now < *until);
        if cut || self.rng.rand_float() < self.faults.lost {
            return;
        }
        let copies = 1 + usize::from(self.rng.rand_float() < self.faults.doubled);
        for _ in 0..copies {
            let mut delay = TRIP.mul_f64(0.1) + self.within(TRIP.mul_f64(0.3));
            if self.rng.rand_float() < self.faults.late {
                delay += self.within(Duration::from_secs(1));
            }
            self.at(now + delay, SimulatedEvent::Frame { to, from, message: message.clone() });
        }
    }

    /// Does what the machine goal, as a dispatcher would.
    fn carry(&mut self, now: Duration, at: usize, outputs: Vec<Output>) {
        for out in outputs {
            self.trace(now, at, "does", &out);
            let Some(process) = &mut self.processes[at] else { return };
            let (identity, incarnation) = (process.node.identity(), process.incarnation);
            match out {
                Output::Send { to, message } => self.send(now, at, identity, usize::from(to.0), message),
                Output::MaySend { request, .. } => self.write(now, at, incarnation, request),
                Output::FinalAnswer { request, answer } => {
                    if process.clients.remove(&request) {
                        self.seen.answers.entry(request).or_default().push((now, answer));
                    }
                }
                Output::QuorumUnavailable { request } | Output::IdInUse { request } => {
                    // Rejected: nothing was sent.
                    process.clients.remove(&request);
                }
                Output::TakeOver { request, started, .. } => {
                    let attempt = started.len() as u16;
                    let (_, outputs) =
                        process.node.propose_attempt(now, request, attempt, u64::from(attempt));
                    self.carry(now, at, outputs);
                }
                Output::OwnedElsewhere { .. }
                | Output::MembershipChanged(_)
                | Output::IncarnationSuperseded { .. } => {}
            }
        }
        let Some(process) = &mut self.processes[at] else { return };
        let next = process.node.next_due();
        if next.is_some() && (process.next_tick.is_none() || next < process.next_tick) {
            process.next_tick = next;
            self.at(next.unwrap_or_default().max(now), SimulatedEvent::Tick(at));
        }
    }

    /// The attempt reaches its host, which runs it and answers some time later.
    fn write(&mut self, now: Duration, at: usize, incarnation: Incarnation, request: RequestId) {
        self.seen.runs.entry(request).or_default().push((at, now));
        let took = Duration::from_millis(5) + self.within(Duration::from_millis(60));
        self.at(now + took, SimulatedEvent::HostAnswers { at, incarnation, request });
    }

    /// With `ROCKFLOW_TRACE=REQUEST`: all that concerns it, for a schedule that failed.
    fn trace(&self, now: Duration, at: usize, verb: &str, what: &impl std::fmt::Debug) {
        if let Ok(request) = std::env::var("ROCKFLOW_TRACE") {
            let text = format!("{what:?}");
            if text.contains(&format!("CallId({request})")) || text.contains("Changed") || verb == "fault" {
                println!("{:.4} n{at} {verb} {text}", now.as_secs_f64());
            }
        }
    }

    fn process_event(&mut self, now: Duration, what: SimulatedEvent) {
        let at = match &what {
            SimulatedEvent::Frame { to, .. } => Some(*to),
            SimulatedEvent::Tick(at)
            | SimulatedEvent::Ask { at, .. }
            | SimulatedEvent::HostAnswers { at, .. } => Some(*at),
            _ => None,
        };
        // A process that is stopped finds on waking what came meanwhile.
        if let Some(process) = at.and_then(|at| self.processes[at].as_mut()).filter(|process| process.stopped)
        {
            process.held_up.push(what);
            return;
        }
        match what {
            SimulatedEvent::Frame { to, from, message } => {
                self.trace(now, to, "hears", &(from, &message));
                let Some(process) = &mut self.processes[to] else { return };
                let outputs = process.node.on_message(now, from, message);
                self.carry(now, to, outputs);
            }
            SimulatedEvent::Tick(at) => {
                let Some(process) = &mut self.processes[at] else { return };
                process.next_tick = None;
                let outputs = process.node.tick(now);
                self.carry(now, at, outputs);
            }
            SimulatedEvent::Ask { at, request, again } => {
                self.trace(now, at, "is asked", &(request, again));
                self.ask(now, at, request, again);
            }
            SimulatedEvent::HostAnswers { at, incarnation, request } => {
                self.trace(now, at, "has its host's answer", &(request, incarnation));
                let Some(process) =
                    self.processes[at].as_mut().filter(|process| process.incarnation == incarnation)
                else {
                    return;
                };
                let (body, kind) =
                    (Some(format!("{at} {}", incarnation.0).into_bytes()), self.kinds[&request]);
                let answer = Answer { outcome: Outcome::Succeeded, tag: None, body };
                let (at_once, outputs) = process.node.on_request_ended(now, request, kind, answer.clone());
                if at_once && process.clients.remove(&request) {
                    self.seen.answers.entry(request).or_default().push((now, answer));
                }
                self.carry(now, at, outputs);
            }
            SimulatedEvent::Kill(at) => {
                self.trace(now, at, "fault", &"killed");
                if let Some(process) = self.processes[at].take() {
                    self.seen.lost_clients.extend(process.clients.iter().copied());
                    // Its clients come again under their ids, elsewhere.
                    for request in process.clients {
                        let elsewhere = (at + 1 + self.below((self.config.members.len() - 1).max(1)))
                            % self.config.members.len();
                        let wait = self.within(Duration::from_millis(800));
                        self.at(now + wait, SimulatedEvent::Ask { at: elsewhere, request, again: true });
                    }
                }
                let pause = self.within(Duration::from_secs(2));
                self.at(now + pause, SimulatedEvent::Start(at));
            }
            SimulatedEvent::Start(at) => self.start(now, at, false),
            SimulatedEvent::Stop { at, until } => {
                if let Some(process) = &mut self.processes[at] {
                    process.stopped = true;
                    self.at(until, SimulatedEvent::Wake(at));
                }
            }
            SimulatedEvent::Wake(at) => {
                if let Some(process) = &mut self.processes[at] {
                    process.stopped = false;
                    // In what order a process takes up what waited is not its to choose.
                    let mut held_up = std::mem::take(&mut process.held_up);
                    while !held_up.is_empty() {
                        let next = self.below(held_up.len());
                        let what = held_up.swap_remove(next);
                        self.process_event(now, what);
                    }
                }
            }
            SimulatedEvent::Cut { from, to, until } => {
                self.cuts.insert((from, to), until);
            }
        }
    }

    fn ask(&mut self, now: Duration, at: usize, request: RequestId, again: bool) {
        let kind = self.kinds[&request];
        let Some(process) = &mut self.processes[at] else { return };
        if process.clients.contains(&request) {
            return;
        }
        let descriptor = RequestDescriptor { kind, class: 0, object: 1, part: 0, group: 0, size: 0 };
        process.clients.insert(request);
        self.seen.asked.entry(request).or_insert(now);
        if again {
            self.seen.came_again.insert(request);
        }
        let mut outputs = process.node.on_request(now, request, descriptor, now + PATIENCE);
        let known = outputs.iter().any(|out| {
            matches!(out, Output::FinalAnswer { .. } | Output::OwnedElsewhere { .. } | Output::IdInUse { .. })
        });
        if !known {
            let (at_once, more) = process.node.propose_attempt(now, request, 0, 0);
            outputs.extend(more);
            if at_once {
                let incarnation = process.incarnation;
                self.write(now, at, incarnation, request);
            }
        }
        self.carry(now, at, outputs);
    }

    /// Asks so many requests, under the faults, and lets all of it come to its end.
    pub fn play(&mut self, requests: u64) {
        let members = self.config.members.len();
        let Faults { kills, stops, cuts, .. } = self.faults;
        let begin = Duration::from_millis(500);
        for n in 0..requests {
            let request = RequestId(u128::from(n) * 7919 + 1);
            self.kinds.insert(request, kind_of(n));
            let (when, at) = (begin + self.within(BUSY - begin), self.below(members));
            self.at(when, SimulatedEvent::Ask { at, request, again: false });
            // Some ids are asked at two dispatchers at once, or again a little later.
            if n % 5 == 0 {
                let (other, later) = (self.below(members), self.within(Duration::from_millis(300)));
                let later = if n % 10 == 0 { Duration::ZERO } else { later };
                self.at(when + later, SimulatedEvent::Ask { at: other, request, again: false });
            }
        }
        for _ in 0..kills {
            let (when, at) = (begin + self.within(BUSY - begin), self.below(members));
            self.at(when, SimulatedEvent::Kill(at));
        }
        for at in 0..self.faults.at_once {
            self.at(BUSY / 2, SimulatedEvent::Kill(at));
        }
        for _ in 0..stops {
            let (when, at) = (begin + self.within(BUSY - begin), self.below(members));
            let span = self.within(Duration::from_secs(4));
            self.at(when, SimulatedEvent::Stop { at, until: when + span });
        }
        for _ in 0..cuts {
            let (from, to) = (self.below(members), self.below(members));
            let (when, span) = (begin + self.within(BUSY - begin), self.within(Duration::from_secs(3)));
            self.at(when, SimulatedEvent::Cut { from, to, until: when + span });
            if self.below(2) == 0 {
                self.at(when, SimulatedEvent::Cut { from: to, to: from, until: when + span });
            }
        }
        while let Some(Reverse((now, number))) = self.due.pop().filter(|Reverse((now, _))| *now < END) {
            let what = self.events.remove(&number).expect("it is due");
            self.process_event(now, what);
        }
    }

    /// What must never be: a second run, a second answer, a record or a request that never ends.
    pub fn verdict(&self) -> Result<(), String> {
        for (request, runs) in &self.seen.runs {
            if self.kinds[request] == EffectKind::AtMostOnce && runs.len() > 1 {
                return Err(format!("{request:?} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (request, answers) in &self.seen.answers {
            let answers: BTreeSet<_> = answers.iter().map(|(_, answer)| answer).collect();
            if self.kinds[request].requires_quorum() && answers.len() > 1 {
                return Err(format!("{request:?} was answered {answers:?}"));
            }
        }
        for process in self.processes.iter().flatten() {
            let (kept, in_hand) = process.node.held();
            if kept + in_hand > 0 {
                return Err(format!(
                    "{:?} ends with {kept} kept, {in_hand} in hand",
                    process.node.identity()
                ));
            }
        }
        Ok(())
    }
}

impl World {
    /// Takeovers over all members that are alive at the end: claims, and requests run again.
    pub fn takeovers(&self) -> (u64, u64) {
        let counts = self.processes.iter().flatten().map(|process| process.node.counts());
        counts.fold((0, 0), |sum, counts| (sum.0 + counts.claims, sum.1 + counts.run_again))
    }
}

pub const CALM: Faults =
    Faults { kills: 0, at_once: 0, stops: 0, cuts: 0, lost: 0.0, doubled: 0.0, late: 0.0 };
pub const ROUGH: Faults =
    Faults { kills: 4, at_once: 0, stops: 3, cuts: 4, lost: 0.05, doubled: 0.05, late: 0.03 };

/// What a row of schedules came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sum {
    pub members: usize,
    pub replicas: usize,
    pub schedules: u64,
    pub asked: u64,
    pub answered: u64,
    /// Clients that asked again under their id after their dispatcher was killed, and those of them that were answered.
    pub came_again: u64,
    pub served_again: u64,
    pub claims: u64,
    pub run_again: u64,
    pub frames: u64,
    /// Seeds of schedules in which something happened that never may, with what.
    pub violations: Vec<(u64, String)>,
}

impl Sum {
    pub fn add(&mut self, seed: u64, world: &World) {
        let seen = &world.seen;
        self.schedules += 1;
        self.asked += seen.asked.len() as u64;
        self.answered += seen.answers.len() as u64;
        self.came_again += seen.came_again.len() as u64;
        self.served_again +=
            seen.came_again.iter().filter(|request| seen.answers.contains_key(request)).count() as u64;
        let (claims, run_again) = world.takeovers();
        (self.claims, self.run_again) = (self.claims + claims, self.run_again + run_again);
        self.frames += seen.frames;
        if let Err(what) = world.verdict() {
            self.violations.push((seed, what));
        }
    }

    pub fn merge(&mut self, other: Sum) {
        self.schedules += other.schedules;
        self.asked += other.asked;
        self.answered += other.answered;
        self.came_again += other.came_again;
        self.served_again += other.served_again;
        self.claims += other.claims;
        self.run_again += other.run_again;
        self.frames += other.frames;
        self.violations.extend(other.violations);
    }
}

/// A row of schedules to be played.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub members: usize,
    pub replicas: usize,
    pub requests: u64,
    pub faults: Faults,
}

impl Row {
    /// Plays schedules from one seed on, shared out over threads by turns; the same sum whatever their number.
    pub fn play(&self, first: u64, schedules: u64, threads: u64) -> Sum {
        let sum = || Sum { members: self.members, replicas: self.replicas, ..Sum::default() };
        let one = |thread: u64| {
            let mut part = sum();
            for seed in (first..first + schedules).skip(thread as usize).step_by(threads as usize) {
                let mut world = World::new(seed, self.members, self.replicas, self.faults);
                world.play(self.requests);
                part.add(seed, &world);
            }
            part
        };
        let mut whole = sum();
        std::thread::scope(|scope| {
            let parts: Vec<_> = (0..threads).map(|thread| scope.spawn(move || one(thread))).collect();
            parts.into_iter().for_each(|part| whole.merge(part.join().expect("a schedule that ends")));
        });
        whole.violations.sort();
        whole
    }
}
