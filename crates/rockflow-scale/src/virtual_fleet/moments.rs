//! The scenarios of the capacity page, each run on a fleet of its own, and their results.

use super::checker::Violation;
use super::layout::Shape;
use super::traffic::{Spread, TrafficDirection};
use super::world::{Faults, FleetConfig, World};
use crate::slopes::measure::heap;
use crate::target::Target;
use clap::ValueEnum;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The fleet starts and settles before figures are taken.
const SETTLE: u64 = 30;
/// Nothing is published any more, and what is on its way arrives.
const QUIET: u64 = 40;
/// Means are over so long, as the allowance is.
const MINUTE: u64 = 60;
/// Nodes whose memory is taken one by one.
const SAMPLED: usize = 40;
/// Frames lost on an ordinary day.
const LOST: f64 = 0.001;

/// A scenario of the capacity page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Scenario {
    /// An ordinary minute
    Ordinary,
    /// The worst minute of an ordinary day: all of its restarts and replacements in one wave
    Restart,
    /// A zone lost, and back cold a minute later
    Zone,
    /// The fleet in two halves by regions, each with half of control, that meet again
    Regions,
}

impl Scenario {
    /// All scenarios in the order of the page.
    pub const ALL: [Scenario; 4] = [Scenario::Ordinary, Scenario::Restart, Scenario::Zone, Scenario::Regions];

    /// As the command line and the series of rows name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Scenario::Ordinary => "ordinary",
            Scenario::Restart => "restart",
            Scenario::Zone => "zone",
            Scenario::Regions => "regions",
        }
    }
}

/// Figures of times, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Number of samples.
    pub count: usize,
    /// Median, in seconds.
    pub median: f64,
    /// 99th percentile, in seconds.
    pub p99: f64,
    /// Maximum, in seconds.
    pub worst: f64,
}

impl Times {
    /// Aggregates durations that are sorted in ascending order.
    pub fn of(sorted: &[Duration]) -> Times {
        let at = |share: f64| {
            let place = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
            sorted.get(place).map_or(0.0, Duration::as_secs_f64)
        };
        Times { count: sorted.len(), median: at(0.5), p99: at(0.99), worst: at(1.0) }
    }
}

/// Mean and maximum over nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MeanWorst {
    /// Mean over the nodes.
    pub mean: f64,
    /// Largest value of a node.
    pub worst: f64,
}

impl From<Spread> for MeanWorst {
    fn from(spread: Spread) -> MeanWorst {
        MeanWorst { mean: spread.mean, worst: spread.worst }
    }
}

/// What a moment came to. Bytes are a second, with all heads.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioResult {
    /// Scenario that was run.
    pub moment: Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// Number of members.
    pub members: usize,
    /// Seconds of virtual time over which figures are taken.
    pub seconds: u64,
    /// What was done at a smaller size or shorter than told.
    pub reduced: Option<String>,
    /// From being said to being in force at the last member that could hear it.
    pub purges: Times,
    /// From publication of a change to its application by the last member that could receive it.
    pub changes: Times,
    /// Purges of the time apart, from being said on the own side, and from the meeting on the other.
    pub apart: Option<Times>,
    /// From being said to control's knowing it; and how many it never knew of.
    pub purges_known: Times,
    /// Purges whose convergence control never reported.
    pub purges_unknown: usize,
    /// From publication of a change to control's report of convergence.
    pub changes_known: Times,
    /// From a start with nothing to going by all settings.
    pub begun: Times,
    /// Bytes a second received by members.
    pub bytes_in: MeanWorst,
    /// Bytes a second sent by members.
    pub bytes_out: MeanWorst,
    /// The greatest mean over a sliding minute.
    pub minute_in: MeanWorst,
    /// Largest mean over a sliding minute of bytes a second sent.
    pub minute_out: MeanWorst,
    /// Largest second of bytes received.
    pub second_in: MeanWorst,
    /// Largest second of bytes sent.
    pub second_out: MeanWorst,
    /// Frames a second, sent and received.
    pub frames: MeanWorst,
    /// Bytes a second received by control nodes.
    pub control_bytes_in: MeanWorst,
    /// Bytes a second sent by control nodes.
    pub control_bytes_out: MeanWorst,
    /// Of a core, in the machine alone.
    pub core: MeanWorst,
    /// Share of a core used by control nodes.
    pub control_core: MeanWorst,
    /// Held at the end.
    pub memory: MeanWorst,
    /// Heap bytes of control nodes at the end.
    pub control_memory: MeanWorst,
    /// Entries that a floor stood for at a member, floors given, and entries past their time at members that came back.
    pub covered: usize,
    /// Minimum accepted timestamps applied at members.
    pub floors: usize,
    /// Entries that had expired before a returning member applied them.
    pub expired: usize,
    /// Frames lost on their way, at cuts, at full sockets, and sent to nobody.
    pub lost: [u64; 4],
    /// Entries published in all.
    pub published: usize,
    /// The most that one node held, by table.
    pub most: BTreeMap<&'static str, usize>,
    /// Violations by kind.
    pub violations: BTreeMap<String, usize>,
    /// Descriptions of the first violations.
    pub words: Vec<String>,
}

impl ScenarioResult {
    /// Total number of violations.
    pub fn broken(&self) -> usize {
        self.violations.values().sum()
    }
}

/// The fleet that a target names.
pub fn shape(target: &Target) -> Shape {
    let whole = |name: &str| target.get(name).unwrap_or_default() as usize;
    let way = |name: &str| Duration::from_secs_f64(target.get(name).unwrap_or_default() / 2000.0);
    let (regions, zones) = (whole("regions"), whole("zones"));
    let members = target.dispatchers();
    Shape {
        members,
        sites: whole("sites").max(1),
        zones: zones.max(1),
        regions: regions.max(1),
        control: whole("control_machines").min(16),
        even: false,
        near: way("round_trip_near_ms"),
        far: way("round_trip_far_ms"),
    }
}

/// A fleet under the target's load, with frames lost as on any day.
pub fn play(target: &Target, seed: u64) -> FleetConfig {
    let shape = shape(target);
    FleetConfig {
        shape,
        hosts: target.cache_hosts(),
        purges_per_second: target.get("purges_per_second").unwrap_or_default(),
        window: Duration::from_secs_f64(target.get("purge_done_seconds").unwrap_or(8.7)),
        change_window: Duration::from_secs_f64(target.get("change_in_force_seconds").unwrap_or(4.0)),
        bytes_per_second: (target.get("kb_per_second").unwrap_or(6.0) * 1024.0) as u32,
        faults: Faults { lost: LOST, duplicated: LOST / 10.0, late: LOST / 10.0 },
        ..FleetConfig::new(shape.members, seed)
    }
}

/// Members that are restarted or replaced on a day, of a fleet of this size.
fn replaced(target: &Target, members: usize) -> usize {
    let all = target.get("machines_replaced_per_day").unwrap_or_default();
    (all * members as f64 / target.dispatchers() as f64).round() as usize
}

/// Plays one moment.
pub fn run_scenario(target: &Target, play: FleetConfig, moment: Scenario, minutes: u64) -> ScenarioResult {
    let restarts = replaced(target, play.shape.members);
    let play =
        FleetConfig { spare: if moment == Scenario::Restart { restarts.div_ceil(2) } else { 0 }, ..play };
    let play = match moment {
        // As many changes as the day brings; in the other moments more, so that there is something to count.
        Scenario::Regions => FleetConfig {
            changes_per_second: target.get("changes_per_day").unwrap_or_default() / 86_400.0,
            ..play
        },
        _ => play,
    };
    let mut world = World::new(play);
    world.play_to(Duration::from_secs(SETTLE));
    world.moment = 1;
    let from = world.now;
    let spent = world.spent.clone();
    let mut reduced = None;
    let until = match moment {
        Scenario::Ordinary => {
            let until = from + Duration::from_secs(minutes * MINUTE);
            world.busy(until);
            until
        }
        Scenario::Restart => {
            let until = from + Duration::from_secs(MINUTE.max(minutes * MINUTE));
            world.busy(until + Duration::from_secs(10));
            wave(&mut world, restarts, Duration::from_secs(MINUTE));
            until + Duration::from_secs(10)
        }
        Scenario::Zone => {
            let until = from + Duration::from_secs(MINUTE * 2 + 30);
            world.busy(until);
            world.play_for(Duration::from_secs(10));
            let largest = (0..world.layout.shape.zones).max_by_key(|zone| world.layout.zone(*zone).len());
            for at in world.layout.zone(largest.unwrap_or_default()) {
                let after = Duration::from_secs(MINUTE) + world.within(Duration::from_secs(2));
                world.restart(at, after);
            }
            until
        }
        Scenario::Regions => {
            let told = target.get("region_apart_seconds").unwrap_or(3600.0);
            let apart = Duration::from_secs_f64(told.min(minutes.max(1) as f64 * 60.0));
            if apart.as_secs_f64() < told {
                reduced = Some(format!("apart for {} s of {told} s", apart.as_secs()));
            }
            let meet = from + apart;
            let half = world.layout.shape.regions / 2;
            let one = world.layout.pick(|_, place| place.region < half);
            world.part(&one, meet);
            world.busy(meet + Duration::from_secs(2 * MINUTE));
            world.play_to(meet);
            world.moment = 2;
            meet + Duration::from_secs(2 * MINUTE)
        }
    };
    world.play_to(until);
    let took = (world.now - from).as_secs();
    let seconds = (from.as_secs(), world.now.as_secs());
    let core = |nodes: &[usize], world: &World| {
        let share = |at: usize| (world.spent[at] - spent[at]).as_secs_f64() / took as f64;
        MeanWorst::from(Spread::of(nodes.iter().map(|at| (*at, share(*at)))))
    };
    let members: Vec<_> = (0..world.layout.shape.members).collect();
    let control: Vec<_> = world.layout.pick(|at, _| world.layout.is_control(at));
    let (core, control_core) = (core(&members, &world), core(&control, &world));
    world.play_for(Duration::from_secs(QUIET));
    let now = world.now;
    world.checker.ends_quiet(now, true);
    let (memory, control_memory) = (held(&mut world, &members, seconds), held(&mut world, &control, seconds));
    let after = if moment == Scenario::Regions { 2 } else { 1 };
    let (known, unknown) = world.checker.known(Some(after), true);
    let traffic = &world.traffic;
    let rate = |nodes: &[usize], way| traffic.rate(nodes, seconds.0, seconds.1, way).into();
    let sliding = |way| traffic.sliding(&members, seconds.0, seconds.1, MINUTE, way).into();
    let second = |way| traffic.worst_second(&members, seconds.0, seconds.1, way).into();
    let mut begun = world.checker.caught_up.clone();
    begun.sort();
    ScenarioResult {
        moment,
        seed: world.play.seed,
        members: members.len(),
        seconds: took,
        reduced,
        purges: Times::of(&world.checker.times(Some(after), true)),
        changes: Times::of(&world.checker.times(Some(after), false)),
        apart: (moment == Scenario::Regions).then(|| Times::of(&world.checker.times(Some(1), true))),
        purges_known: Times::of(&known),
        purges_unknown: unknown,
        changes_known: Times::of(&world.checker.known(Some(after), false).0),
        begun: Times::of(&begun),
        bytes_in: rate(&members, TrafficDirection::In),
        bytes_out: rate(&members, TrafficDirection::Out),
        minute_in: sliding(TrafficDirection::In),
        minute_out: sliding(TrafficDirection::Out),
        second_in: second(TrafficDirection::In),
        second_out: second(TrafficDirection::Out),
        frames: traffic.frames(&members, seconds.0, seconds.1).into(),
        control_bytes_in: rate(&control, TrafficDirection::In),
        control_bytes_out: rate(&control, TrafficDirection::Out),
        core,
        control_core,
        memory,
        control_memory,
        covered: world.checker.covered,
        floors: world.checker.floors,
        expired: world.checker.expired,
        lost: world.lost,
        published: world.checker.entries.len(),
        most: world.most.clone(),
        violations: world.checker.broken.iter().map(|(what, count)| (format!("{what:?}"), *count)).collect(),
        words: world.checker.words.clone(),
    }
}

/// All of a day's restarts within a span: half come back under their names, half are replaced by others.
fn wave(world: &mut World, count: usize, span: Duration) {
    let begun = world.now;
    let members = world.layout.shape.members;
    let step = span / count.max(1) as u32;
    let mut picked = std::collections::BTreeSet::new();
    let mut replaced = Vec::new();
    for n in 0..count {
        world.play_to(begun + step * n as u32);
        let at = loop {
            let at = world.below(members);
            if picked.insert(at) {
                break at;
            }
        };
        if n % 2 == 0 {
            let after = Duration::from_secs(2) + world.within(Duration::from_secs(6));
            world.restart(at, after);
        } else {
            replaced.push(at);
            if replaced.len() >= count.div_ceil(6) || n + 1 >= count {
                world.replace(&std::mem::take(&mut replaced));
            }
        }
    }
}

/// What nodes hold on the heap, by dropping them: the mean over all, and the most of some, the busiest among them. (To ask
/// the allocator takes as long as its free lists are.)
fn held(world: &mut World, nodes: &[usize], seconds: (u64, u64)) -> MeanWorst {
    let busy = |at: &usize| {
        let out = world.traffic.rate(&[*at], seconds.0, seconds.1, TrafficDirection::Out).worst;
        std::cmp::Reverse(out as u64)
    };
    let mut order = nodes.to_vec();
    order.sort_by_key(busy);
    let spread = nodes.len().div_ceil(SAMPLED / 2);
    let busiest = order.iter().take(SAMPLED / 2);
    let alone: Vec<usize> = busiest.chain(order.iter().skip(SAMPLED / 2).step_by(spread)).copied().collect();
    let all = heap();
    let mut worst = 0.0;
    for at in &alone {
        let before = heap();
        world.drop_node(*at);
        worst = f64::max(worst, before - heap());
    }
    nodes.iter().for_each(|at| world.drop_node(*at));
    MeanWorst { mean: (all - heap()) / nodes.len().max(1) as f64, worst }
}

/// Words for what is broken, most grave first.
pub fn gravest(came: &ScenarioResult) -> Option<String> {
    let order = [Violation::Twice, Violation::PassedOver, Violation::Laxer, Violation::EverywhereTooEarly];
    order.iter().map(|what| format!("{what:?}")).find(|what| came.violations.contains_key(what))
}
