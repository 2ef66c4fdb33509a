//! The schedule of faults, determined by the seed.

use rockflow_process_harness::Place;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The first share of a run is ordinary, the last one is left for what was missed.
const QUIET_BEFORE: f64 = 0.2;
const QUIET_AFTER: f64 = 0.2;
/// Between two faults, in the mean, for a run of ten minutes.
const EVERY: f64 = 8.0;
/// Members that a wave restarts, as a share of all, and over how long.
const WAVE: f64 = 0.1;
const WAVE_SECONDS: f64 = 20.0;

/// One step of a fault schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Datagrams from these members to those are lost, late or cut till the step of the same number that mends it.
    Path {
        /// Identifies the path until it is mended.
        id: usize,
        /// Members whose frames are affected.
        from: Vec<usize>,
        /// Members to which the frames are sent.
        to: Vec<usize>,
        /// What happens to the frames.
        fault: PathFault,
    },
    Mend {
        /// Path whose fault ends.
        id: usize,
    },
    /// Kills the process.
    Kill(Node),
    /// Suspends the process.
    Stop(Node),
    /// Resumes the process.
    Wake(Node),
    /// Starts the process again.
    Start(Node),
    /// A planned stop; the start follows.
    End(Node),
}

/// Fault of a network path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathFault {
    /// No frame arrives.
    Cut,
    Lossy {
        lost: f64,
        doubled: f64,
    },
    Late {
        late: Duration,
        jitter: Duration,
    },
}

/// A process of the run, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A control node.
    Control(usize),
    /// A dispatcher.
    Member(usize),
}

/// A step and when it is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct At {
    /// Time since the start of the schedule.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Path { id, from, to, fault } => {
                write!(f, "path {id}: {} members to {}: {fault:?}", from.len(), to.len())
            }
            Step::Mend { id } => write!(f, "path {id} mended"),
            Step::Kill(node) => write!(f, "SIGKILL {node:?}"),
            Step::Stop(node) => write!(f, "SIGSTOP {node:?}"),
            Step::Wake(node) => write!(f, "SIGCONT {node:?}"),
            Step::Start(node) => write!(f, "start {node:?}"),
            Step::End(node) => write!(f, "SIGTERM {node:?}"),
        }
    }
}

/// Faults of a run of that length over these members and control nodes, in the order of their times. Each has its end
/// within the run, and no node has two at once.
pub fn plan(seed: u64, length: Duration, members: &[Place], control: usize) -> Vec<At> {
    let mut plan = Plan {
        rng: oorandom::Rand64::new(u128::from(seed) ^ 0x5c4e_d01e),
        steps: Vec::new(),
        busy: BTreeMap::new(),
        paths: 0,
        all: members.len(),
        control,
    };
    let seconds = length.as_secs_f64();
    let (begin, end) = (seconds * QUIET_BEFORE, seconds * (1.0 - QUIET_AFTER));
    let (mut sites, mut regions) = (BTreeMap::new(), BTreeMap::new());
    for (at, place) in members.iter().enumerate() {
        sites.entry(&place.site).or_insert_with(Vec::new).push(at);
        regions.entry(&place.region).or_insert_with(Vec::new).push(at);
    }
    let sites: Vec<_> = sites.into_values().collect();
    let regions: Vec<_> = regions.into_values().collect();
    let mut at = begin;
    let mut wave = begin + (end - begin) * 0.5;
    // Short runs have their faults nearer to each other.
    let every = EVERY.min((end - begin) / 12.0);
    while at < end {
        let most = (end - at).max(1.0);
        let lasts = plan.between(2.0, 30.0).min(most);
        match plan.below(10) {
            0 => {
                let site = plan.one(&sites);
                let others = plan.others(&site);
                let (lost, doubled) = (0.05, 0.05);
                plan.path(at, lasts, site.clone(), others.clone(), PathFault::Lossy { lost, doubled });
                plan.path(at, lasts, others, site, PathFault::Lossy { lost, doubled });
            }
            1 => {
                let site = plan.one(&sites);
                let others = plan.others(&site);
                // One way: it is heard and does not hear, or the other way round.
                let (from, to) = if plan.below(2) == 0 { (site, others) } else { (others, site) };
                plan.path(at, lasts, from, to, PathFault::Cut);
            }
            2 => {
                let (one, other) = (plan.one(&regions), plan.one(&regions));
                if one != other {
                    plan.path(at, lasts, one.clone(), other.clone(), PathFault::Cut);
                    plan.path(at, lasts, other, one, PathFault::Cut);
                }
            }
            3 => {
                let region = plan.one(&regions);
                let others = plan.others(&region);
                let (late, jitter) = (Duration::from_millis(100), Duration::from_millis(900));
                plan.path(at, lasts, others, region, PathFault::Late { late, jitter });
            }
            4 => {
                let node = Node::Control(plan.below(control));
                plan.pair(at, lasts, node, Step::Kill(node), Step::Start(node));
            }
            5 => {
                let node = Node::Control(plan.below(control));
                plan.pair(at, lasts, node, Step::Stop(node), Step::Wake(node));
            }
            6 | 7 => {
                let node = Node::Member(plan.below(members.len()));
                plan.pair(at, lasts, node, Step::Stop(node), Step::Wake(node));
            }
            _ => {
                let node = Node::Member(plan.below(members.len()));
                let down = lasts.min(5.0);
                plan.pair(at, down, node, Step::Kill(node), Step::Start(node));
            }
        }
        at += plan.between(0.0, 2.0 * every);
        if at >= wave {
            plan.wave(wave, WAVE_SECONDS.min(end - wave));
            wave = f64::INFINITY;
        }
    }
    plan.steps.sort_by_key(|step| step.at);
    plan.steps
}

struct Plan {
    rng: oorandom::Rand64,
    steps: Vec<At>,
    /// Till when a node has a fault.
    busy: BTreeMap<Node, f64>,
    paths: usize,
    all: usize,
    control: usize,
}

impl Plan {
    fn below(&mut self, most: usize) -> usize {
        self.rng.rand_range(0..most.max(1) as u64) as usize
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + self.rng.rand_float() * (most - least)
    }

    fn one(&mut self, groups: &[Vec<usize>]) -> Vec<usize> {
        groups[self.below(groups.len())].clone()
    }

    /// All other members. Control nodes stand behind the members' numbers here.
    fn others(&self, group: &[usize]) -> Vec<usize> {
        (0..self.all + self.control).filter(|member| !group.contains(member)).collect()
    }

    fn step(&mut self, at: f64, step: Step) {
        self.steps.push(At { at: Duration::from_secs_f64(at), step });
    }

    fn path(&mut self, at: f64, lasts: f64, from: Vec<usize>, to: Vec<usize>, fault: PathFault) {
        let id = self.paths;
        self.paths += 1;
        self.step(at, Step::Path { id, from, to, fault });
        self.step(at + lasts, Step::Mend { id });
    }

    fn pair(&mut self, at: f64, lasts: f64, node: Node, first: Step, then: Step) {
        if self.busy.get(&node).is_some_and(|till| at < *till + 1.0) {
            return;
        }
        self.busy.insert(node, at + lasts);
        self.step(at, first);
        self.step(at + lasts, then);
    }

    /// A tenth of the members, one after the other, is ended and started again.
    fn wave(&mut self, at: f64, lasts: f64) {
        let count = ((self.all as f64 * WAVE) as usize).max(1);
        let first = self.below(self.all);
        for number in 0..count {
            let node = Node::Member((first + number) % self.all);
            let begins = at + lasts * number as f64 / count as f64;
            self.pair(begins, 1.0, node, Step::End(node), Step::Start(node));
        }
    }
}
