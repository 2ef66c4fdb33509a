//! Seeded schedules of a fleet in virtual time: members that are killed, restarted with nothing, stopped and woken, cut
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
enum Happens {
    Frame { to: usize, from: Seat, message: Message },
    Tick(usize),
    Ask { at: usize, call: CallId, again: bool },
    HostAnswers { at: usize, life: Life, call: CallId },
    Kill(usize),
    Start(usize),
    Stop { at: usize, until: Duration },
    Wake(usize),
    Cut { from: usize, to: usize, until: Duration },
}

/// One process: its machine, and what its dispatcher does by it.
struct Process {
    fleet: Fleet,
    life: Life,
    stopped: bool,
    /// What comes while it is stopped.
    held_up: Vec<Happens>,
    /// Clients that wait here.
    clients: BTreeSet<CallId>,
    /// Let to write, when the process was stopped just then.
    next_tick: Option<Duration>,
}

/// What hosts and clients saw.
#[derive(Default, Debug)]
pub struct Seen {
    pub runs: BTreeMap<CallId, Vec<(usize, Duration)>>,
    pub answers: BTreeMap<CallId, Vec<(Duration, Answer)>>,
    pub asked: BTreeMap<CallId, Duration>,
    pub lost_clients: BTreeSet<CallId>,
    /// Asked again after its dispatcher was killed, and given the final answer.
    pub came_again: BTreeSet<CallId>,
    pub frames: u64,
}

/// One schedule: its members, what is on its way, and what was seen.
pub struct World {
    told: Told,
    processes: Vec<Option<Process>>,
    chance: oorandom::Rand64,
    pub faults: Faults,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Happens>,
    next: u64,
    cuts: BTreeMap<(usize, usize), Duration>,
    kinds: BTreeMap<CallId, Kind>,
    lives: u64,
    pub seen: Seen,
}

fn kind_of(n: u64) -> Kind {
    [Kind::Irreversible, Kind::Labelled, Kind::Redoable, Kind::Irreversible][(n % 4) as usize]
}

impl World {
    pub fn new(seed: u64, members: usize, keepers: usize, faults: Faults) -> World {
        let told = Told {
            members: (0..members).map(|n| format!("n{n:03}")).collect(),
            keepers,
            keep: KEEP,
            round_trip: TRIP,
            max_kept: 10_000,
            max_body: 64,
        };
        let mut world = World {
            told,
            processes: (0..members).map(|_| None).collect(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            faults,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            cuts: BTreeMap::new(),
            kinds: BTreeMap::new(),
            lives: 0,
            seen: Seen::default(),
        };
        (0..members).for_each(|at| world.start(Duration::ZERO, at, true));
        world
    }

    fn below(&mut self, n: usize) -> usize {
        self.chance.rand_range(0..n as u64) as usize
    }

    fn within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.chance.rand_float())
    }

    fn at(&mut self, at: Duration, what: Happens) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, what);
    }

    fn start(&mut self, now: Duration, at: usize, first: bool) {
        if self.processes[at].is_some() {
            return;
        }
        self.lives += 1;
        let life = Life(self.lives);
        let seat = Seat { member: MemberId(at as u16), life };
        let seed = self.chance.rand_u64();
        let mut fleet = Fleet::new(self.told.clone(), seat, seed, first, now);
        let outs = fleet.join(now);
        self.processes[at] = Some(Process {
            fleet,
            life,
            stopped: false,
            held_up: Vec::new(),
            clients: BTreeSet::new(),
            next_tick: None,
        });
        self.carry(now, at, outs);
    }

    fn send(&mut self, now: Duration, at: usize, from: Seat, to: usize, message: Message) {
        self.seen.frames += 1;
        let cut = self.cuts.get(&(at, to)).is_some_and(|until| now < *until);
        if cut || self.chance.rand_float() < self.faults.lost {
            return;
        }
        let copies = 1 + usize::from(self.chance.rand_float() < self.faults.doubled);
        for _ in 0..copies {
            let mut delay = TRIP.mul_f64(0.1) + self.within(TRIP.mul_f64(0.3));
            if self.chance.rand_float() < self.faults.late {
                delay += self.within(Duration::from_secs(1));
            }
            self.at(now + delay, Happens::Frame { to, from, message: message.clone() });
        }
    }

    /// Does what the machine wants, as a dispatcher would.
    fn carry(&mut self, now: Duration, at: usize, outs: Vec<Out>) {
        for out in outs {
            self.trace(now, at, "does", &out);
            let Some(process) = &mut self.processes[at] else { return };
            let (seat, life) = (process.fleet.seat(), process.life);
            match out {
                Out::Send { to, message } => self.send(now, at, seat, usize::from(to.0), message),
                Out::MayBegin { call, .. } => self.write(now, at, life, call),
                Out::Final { call, answer } => {
                    if process.clients.remove(&call) {
                        self.seen.answers.entry(call).or_default().push((now, answer));
                    }
                }
                Out::Uncovered { call } | Out::InUse { call } => {
                    // Dismissed: nothing was sent.
                    process.clients.remove(&call);
                }
                Out::TakeOver { call, begun, .. } => {
                    let attempt = begun.len() as u16;
                    let (_, outs) = process.fleet.begin(now, call, attempt, u64::from(attempt));
                    self.carry(now, at, outs);
                }
                Out::Joined { .. } | Out::Changed(_) | Out::Outlived { .. } => {}
            }
        }
        let Some(process) = &mut self.processes[at] else { return };
        let next = process.fleet.next_due();
        if next.is_some() && (process.next_tick.is_none() || next < process.next_tick) {
            process.next_tick = next;
            self.at(next.unwrap_or_default().max(now), Happens::Tick(at));
        }
    }

    /// The attempt reaches its host, which runs it and answers some time later.
    fn write(&mut self, now: Duration, at: usize, life: Life, call: CallId) {
        self.seen.runs.entry(call).or_default().push((at, now));
        let took = Duration::from_millis(5) + self.within(Duration::from_millis(60));
        self.at(now + took, Happens::HostAnswers { at, life, call });
    }

    /// With `ROCKFLOW_TRACE=CALL`: all that concerns it, for a schedule that failed.
    fn trace(&self, now: Duration, at: usize, verb: &str, what: &impl std::fmt::Debug) {
        if let Ok(call) = std::env::var("ROCKFLOW_TRACE") {
            let text = format!("{what:?}");
            if text.contains(&format!("CallId({call})")) || text.contains("Changed") || verb == "fault" {
                println!("{:.4} n{at} {verb} {text}", now.as_secs_f64());
            }
        }
    }

    fn happens(&mut self, now: Duration, what: Happens) {
        let at = match &what {
            Happens::Frame { to, .. } => Some(*to),
            Happens::Tick(at) | Happens::Ask { at, .. } | Happens::HostAnswers { at, .. } => Some(*at),
            _ => None,
        };
        // A process that is stopped finds on waking what came meanwhile.
        if let Some(process) = at.and_then(|at| self.processes[at].as_mut()).filter(|process| process.stopped)
        {
            process.held_up.push(what);
            return;
        }
        match what {
            Happens::Frame { to, from, message } => {
                self.trace(now, to, "hears", &(from, &message));
                let Some(process) = &mut self.processes[to] else { return };
                let outs = process.fleet.hear(now, from, message);
                self.carry(now, to, outs);
            }
            Happens::Tick(at) => {
                let Some(process) = &mut self.processes[at] else { return };
                process.next_tick = None;
                let outs = process.fleet.tick(now);
                self.carry(now, at, outs);
            }
            Happens::Ask { at, call, again } => {
                self.trace(now, at, "is asked", &(call, again));
                self.ask(now, at, call, again);
            }
            Happens::HostAnswers { at, life, call } => {
                self.trace(now, at, "has its host's answer", &(call, life));
                let Some(process) = self.processes[at].as_mut().filter(|process| process.life == life) else {
                    return;
                };
                let (body, kind) = (Some(format!("{at} {}", life.0).into_bytes()), self.kinds[&call]);
                let answer = Answer { ended: Ended::Succeeded, tag: None, body };
                let (at_once, outs) = process.fleet.ended(now, call, kind, answer.clone());
                if at_once && process.clients.remove(&call) {
                    self.seen.answers.entry(call).or_default().push((now, answer));
                }
                self.carry(now, at, outs);
            }
            Happens::Kill(at) => {
                self.trace(now, at, "fault", &"killed");
                if let Some(process) = self.processes[at].take() {
                    self.seen.lost_clients.extend(process.clients.iter().copied());
                    // Its clients come again under their ids, elsewhere.
                    for call in process.clients {
                        let elsewhere = (at + 1 + self.below((self.told.members.len() - 1).max(1)))
                            % self.told.members.len();
                        let wait = self.within(Duration::from_millis(800));
                        self.at(now + wait, Happens::Ask { at: elsewhere, call, again: true });
                    }
                }
                let pause = self.within(Duration::from_secs(2));
                self.at(now + pause, Happens::Start(at));
            }
            Happens::Start(at) => self.start(now, at, false),
            Happens::Stop { at, until } => {
                if let Some(process) = &mut self.processes[at] {
                    process.stopped = true;
                    self.at(until, Happens::Wake(at));
                }
            }
            Happens::Wake(at) => {
                if let Some(process) = &mut self.processes[at] {
                    process.stopped = false;
                    // In what order a process takes up what waited is not its to choose.
                    let mut held_up = std::mem::take(&mut process.held_up);
                    while !held_up.is_empty() {
                        let next = self.below(held_up.len());
                        let what = held_up.swap_remove(next);
                        self.happens(now, what);
                    }
                }
            }
            Happens::Cut { from, to, until } => {
                self.cuts.insert((from, to), until);
            }
        }
    }

    fn ask(&mut self, now: Duration, at: usize, call: CallId, again: bool) {
        let kind = self.kinds[&call];
        let Some(process) = &mut self.processes[at] else { return };
        if process.clients.contains(&call) {
            return;
        }
        let subject = Subject { kind, class: 0, object: 1, part: 0, group: 0, size: 0 };
        process.clients.insert(call);
        self.seen.asked.entry(call).or_insert(now);
        if again {
            self.seen.came_again.insert(call);
        }
        let mut outs = process.fleet.taken(now, call, subject, now + PATIENCE);
        let known =
            outs.iter().any(|out| matches!(out, Out::Final { .. } | Out::Joined { .. } | Out::InUse { .. }));
        if !known {
            let (at_once, more) = process.fleet.begin(now, call, 0, 0);
            outs.extend(more);
            if at_once {
                let life = process.life;
                self.write(now, at, life, call);
            }
        }
        self.carry(now, at, outs);
    }

    /// Asks so many calls, under the faults, and lets all of it come to its end.
    pub fn play(&mut self, calls: u64) {
        let members = self.told.members.len();
        let Faults { kills, stops, cuts, .. } = self.faults;
        let begin = Duration::from_millis(500);
        for n in 0..calls {
            let call = CallId(u128::from(n) * 7919 + 1);
            self.kinds.insert(call, kind_of(n));
            let (when, at) = (begin + self.within(BUSY - begin), self.below(members));
            self.at(when, Happens::Ask { at, call, again: false });
            // Some ids are asked at two dispatchers at once, or again a little later.
            if n % 5 == 0 {
                let (other, later) = (self.below(members), self.within(Duration::from_millis(300)));
                let later = if n % 10 == 0 { Duration::ZERO } else { later };
                self.at(when + later, Happens::Ask { at: other, call, again: false });
            }
        }
        for _ in 0..kills {
            let (when, at) = (begin + self.within(BUSY - begin), self.below(members));
            self.at(when, Happens::Kill(at));
        }
        for at in 0..self.faults.at_once {
            self.at(BUSY / 2, Happens::Kill(at));
        }
        for _ in 0..stops {
            let (when, at) = (begin + self.within(BUSY - begin), self.below(members));
            let span = self.within(Duration::from_secs(4));
            self.at(when, Happens::Stop { at, until: when + span });
        }
        for _ in 0..cuts {
            let (from, to) = (self.below(members), self.below(members));
            let (when, span) = (begin + self.within(BUSY - begin), self.within(Duration::from_secs(3)));
            self.at(when, Happens::Cut { from, to, until: when + span });
            if self.below(2) == 0 {
                self.at(when, Happens::Cut { from: to, to: from, until: when + span });
            }
        }
        while let Some(Reverse((now, no))) = self.due.pop().filter(|Reverse((now, _))| *now < END) {
            let what = self.events.remove(&no).expect("it is due");
            self.happens(now, what);
        }
    }

    /// What must never be: a second run, a second answer, a record or a call that never ends.
    pub fn verdict(&self) -> Result<(), String> {
        for (call, runs) in &self.seen.runs {
            if self.kinds[call] == Kind::Irreversible && runs.len() > 1 {
                return Err(format!("{call:?} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (call, answers) in &self.seen.answers {
            let answers: BTreeSet<_> = answers.iter().map(|(_, answer)| answer).collect();
            if self.kinds[call].covered() && answers.len() > 1 {
                return Err(format!("{call:?} was answered {answers:?}"));
            }
        }
        for process in self.processes.iter().flatten() {
            let (kept, in_hand) = process.fleet.held();
            if kept + in_hand > 0 {
                return Err(format!("{:?} ends with {kept} kept, {in_hand} in hand", process.fleet.seat()));
            }
        }
        Ok(())
    }
}

impl World {
    /// Takeovers over all members that are alive at the end: claims, and calls run again.
    pub fn takeovers(&self) -> (u64, u64) {
        let counts = self.processes.iter().flatten().map(|process| process.fleet.counts());
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
    pub keepers: usize,
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
            seen.came_again.iter().filter(|call| seen.answers.contains_key(call)).count() as u64;
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
    pub keepers: usize,
    pub calls: u64,
    pub faults: Faults,
}

impl Row {
    /// Plays schedules from one seed on, shared out over threads by turns; the same sum whatever their number.
    pub fn play(&self, first: u64, schedules: u64, threads: u64) -> Sum {
        let sum = || Sum { members: self.members, keepers: self.keepers, ..Sum::default() };
        let one = |thread: u64| {
            let mut part = sum();
            for seed in (first..first + schedules).skip(thread as usize).step_by(threads as usize) {
                let mut world = World::new(seed, self.members, self.keepers, self.faults);
                world.play(self.calls);
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
