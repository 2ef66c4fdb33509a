//! Cluster membership: frames, bytes, time and memory of the state machines, in virtual time.

use super::measure::{heap, nanoseconds, processor};
use super::{Bench, Listed, Point};
use rockflow_cluster::{
    ClusterConfig, ClusterNode, Identity, Incarnation, MemberId, Membership, Message, Output, RequestId,
};
use rockflow_transport::cluster::frame;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::hint::black_box;
use std::time::Duration;

/// Series about cluster membership.
pub const SERIES: &[Listed] = &[
    (
        "membership",
        "members that know each other: idle, one restarted, a zone's share lost and back",
        settled,
    ),
    ("membership-start", "all members start at once and call on every other", starts),
    ("frame", "a datagram written and read, and the digest of the told members in each", frames),
    ("keepers", "who keeps a call's record", replicas),
    ("lost-after", "after how long a member is certainly taken for lost", lost_after),
];

const SIZES: [usize; 7] = [30, 60, 120, 225, 450, 900, 1800];
/// Round trips, in milliseconds: within a zone, and across the world.
const TRIPS: [u64; 2] = [4, 200];
/// Bytes of the IP and UDP heads of a datagram.
const HEADS: u64 = 28;
/// One way takes so much of the config round trip: from the first, and so much more by rng.
const WAY: (f64, f64) = (0.1, 0.3);
/// Calls of a member that starts that are delivered while a node is only being made ready.
const CALLS_DELIVERED: usize = 24;
/// Probe periods over which an idle node is counted, and those of one look whether it is idle yet.
const COUNTED: u32 = 60;
const LOOK: u32 = 16;
/// A node is idle when a look counts number less than this share of the bytes of the look before.
const IDLE: f64 = 0.97;
/// Zones among which the members are spread, as far as one of them is lost.
const ZONES: usize = 104;

fn config(members: usize, round_trip: Duration) -> ClusterConfig {
    ClusterConfig {
        members: (0..members).map(|n| format!("dispatcher-{n:05}")).collect(),
        replicas: 3,
        retention: Duration::from_secs(60),
        round_trip,
        max_records: 10_000,
        max_body_bytes: 64 * 1024,
    }
}

enum What {
    Datagram { from: Identity, to: usize, messages: Vec<Message>, bytes: u64 },
    Tick(usize),
}

struct Timer {
    at: Duration,
    number: u64,
    what: What,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Timer) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Timer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Timer) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What went over the links since it was set to nothing.
#[derive(Clone, Copy, Debug, Default)]
struct StatusReport {
    frames: u64,
    bytes: u64,
    /// Frames that a machine was given, and the time that machines took in all.
    frames_received: u64,
    spent: Duration,
}

struct World {
    config: ClusterConfig,
    /// The same without names: frames are as long, and their digest costs nothing.
    nameless: ClusterConfig,
    members: Vec<Option<ClusterNode>>,
    next_tick: Vec<Option<Duration>>,
    due: BinaryHeap<Reverse<Timer>>,
    next: u64,
    incarnations: u64,
    now: Duration,
    rng: oorandom::Rand64,
    status_report: StatusReport,
    /// Bytes into and out of each member.
    by_member: Vec<(u64, u64)>,
    /// Bytes that an idle node sends in a period.
    idle: f64,
    /// Members before and from this one don't reach each other.
    cut: Option<usize>,
}

/// What followed on something: bytes that a member sent over those of an idle one, those of the worst look a second,
/// the machine's time of the busiest look, and when all agreed.
#[derive(Default)]
struct After {
    over_idle: f64,
    worst: f64,
    busiest: f64,
    agreed: Duration,
}

/// The budget is used up.
struct OutOfTime;

impl World {
    fn new(seed: u64, members: usize, round_trip: Duration) -> World {
        let config = config(members, round_trip);
        World {
            nameless: ClusterConfig { members: Vec::new(), ..config.clone() },
            config,
            members: (0..members).map(|_| None).collect(),
            next_tick: vec![None; members],
            due: BinaryHeap::new(),
            next: 0,
            incarnations: 0,
            now: Duration::ZERO,
            rng: oorandom::Rand64::new(u128::from(seed)),
            status_report: StatusReport::default(),
            by_member: vec![(0, 0); members],
            idle: 0.0,
            cut: None,
        }
    }

    fn period(&self) -> Duration {
        Membership::period(&self.config)
    }

    fn at(&mut self, at: Duration, what: What) {
        self.next += 1;
        self.due.push(Reverse(Timer { at, number: self.next, what }));
    }

    /// Starts a member; of its first requests all are delivered, or a few that are drawn.
    fn start(&mut self, at: usize, first: bool, delivered: Option<usize>) {
        self.incarnations += 1;
        let identity = Identity { member: MemberId(at as u16), incarnation: Incarnation(self.incarnations) };
        let mut node = ClusterNode::new(self.config.clone(), identity, self.rng.rand_u64(), first, self.now);
        let mut outputs = node.join(self.now);
        if let Some(most) = delivered {
            let share = most as f64 / outputs.len().max(1) as f64;
            outputs.retain(|_| self.rng.rand_float() < share);
        }
        self.members[at] = Some(node);
        self.next_tick[at] = None;
        self.carry(at, outputs);
    }

    fn carry(&mut self, at: usize, outputs: Vec<Output>) {
        let Some(node) = &self.members[at] else { return };
        let (identity, next) = (node.identity(), node.next_due());
        let mut sends: BTreeMap<MemberId, Vec<Message>> = BTreeMap::new();
        for out in outputs {
            if let Output::Send { to, message } = out {
                sends.entry(to).or_default().push(message);
            }
        }
        for (to, messages) in sends {
            let (datagrams, _) = frame::encode(&self.nameless, identity, &messages);
            let bytes = datagrams.iter().map(|datagram| datagram.len() as u64 + HEADS).sum();
            self.status_report.frames += datagrams.len() as u64;
            self.status_report.bytes += bytes;
            self.by_member[at].1 += bytes;
            let trip = self.config.round_trip;
            let way = trip.mul_f64(WAY.0 + WAY.1 * self.rng.rand_float());
            let to = usize::from(to.0);
            if self.cut.is_some_and(|cut| (at < cut) != (to < cut)) {
                continue;
            }
            self.at(self.now + way, What::Datagram { from: identity, to, messages, bytes });
        }
        if next.is_some() && (self.next_tick[at].is_none() || next < self.next_tick[at]) {
            self.next_tick[at] = next;
            self.at(next.unwrap_or_default().max(self.now), What::Tick(at));
        }
    }

    /// Plays up to a virtual time, unless the budget is used up.
    fn play(&mut self, until: Duration, by: Duration) -> Result<(), OutOfTime> {
        let mut played = 0u32;
        while self.due.peek().is_some_and(|Reverse(due)| due.at <= until) {
            played = played.wrapping_add(1);
            if played.is_multiple_of(1024) && processor() > by {
                return Err(OutOfTime);
            }
            let Some(Reverse(due)) = self.due.pop() else { break };
            self.now = due.at;
            match due.what {
                What::Datagram { from, to, messages, bytes } => {
                    self.by_member[to].0 += bytes;
                    let Some(node) = &mut self.members[to] else { continue };
                    let (start, mut outputs) = (processor(), Vec::new());
                    for message in messages {
                        outputs.extend(node.on_message(due.at, from, message));
                    }
                    self.status_report.spent += processor() - start;
                    self.status_report.frames_received += 1;
                    self.carry(to, outputs);
                }
                What::Tick(at) => {
                    let Some(node) = &mut self.members[at] else { continue };
                    self.next_tick[at] = None;
                    let start = processor();
                    let outputs = node.tick(due.at);
                    self.status_report.spent += processor() - start;
                    self.carry(at, outputs);
                }
            }
        }
        self.now = until;
        Ok(())
    }

    /// Whether every member that is there knows of all that it can reach, and of number other.
    fn agreed(&self) -> bool {
        let halves = match self.cut {
            Some(cut) => vec![&self.members[..cut], &self.members[cut..]],
            None => vec![&self.members[..]],
        };
        halves.into_iter().all(|half| {
            let there = half.iter().flatten().count();
            half.iter().flatten().all(|node| node.present().count() == there)
        })
    }

    /// Plays until all agree; gives the virtual time that it took.
    fn agree(&mut self, by: Duration) -> Result<Duration, OutOfTime> {
        let started = self.now;
        loop {
            self.play(self.now + self.period(), by)?;
            if self.agreed() {
                return Ok(self.now - started);
            }
        }
    }

    /// Plays until nothing is config any more but what an idle node says.
    fn become_idle(&mut self, by: Duration) -> Result<(), OutOfTime> {
        let mut before = u64::MAX;
        loop {
            self.status_report = StatusReport::default();
            self.play(self.now + self.period() * LOOK, by)?;
            if self.status_report.bytes as f64 >= IDLE * before as f64 {
                return Ok(());
            }
            before = self.status_report.bytes;
        }
    }

    /// Plays until all agree and a look counts number more than an idle node says.
    fn until_idle(&mut self, by: Duration) -> Result<After, OutOfTime> {
        let (started, each) = (self.now, self.members.iter().flatten().count() as f64);
        let seconds = (self.period() * LOOK).as_secs_f64();
        let mut after = After::default();
        loop {
            self.status_report = StatusReport::default();
            let look = self.now + self.period() * LOOK;
            while self.now < look {
                self.play(self.now + self.period(), by)?;
                if after.agreed.is_zero() && self.agreed() {
                    after.agreed = self.now - started;
                }
            }
            let bytes = self.status_report.bytes as f64;
            after.over_idle += (bytes - self.idle * f64::from(LOOK)) / each;
            after.worst = after.worst.max(bytes / seconds / each);
            after.busiest = after.busiest.max(self.status_report.spent.as_nanos() as f64 / seconds / each);
            if !after.agreed.is_zero() && bytes <= (2.0 - IDLE) * self.idle * f64::from(LOOK) {
                return Ok(after);
            }
        }
    }

    /// A node whose members know each other, started over some periods.
    fn ready(seed: u64, members: usize, trip: u64, by: Duration) -> Result<World, OutOfTime> {
        let mut world = World::new(seed, members, Duration::from_millis(trip));
        let span = world.period() * 4;
        for at in 0..members {
            world.play(span.mul_f64(at as f64 / members as f64), by)?;
            world.start(at, true, Some(CALLS_DELIVERED));
        }
        world.agree(by)?;
        world.become_idle(by)?;
        Ok(world)
    }
}

fn settled(bench: &mut Bench) {
    for trip in TRIPS {
        for members in SIZES {
            let before = heap();
            let others = [("round_trip_ms", trip as f64)];
            let mut point = bench.at(("members", members as f64), &others);
            let (seed, by) = (point.bench.seed, point.by());
            let Ok(mut world) = World::ready(seed, members, trip, by) else {
                point.unfinished("idle: bytes out", "B/s", "not idle");
                continue;
            };
            point.found("heap a member", (heap() - before) / members as f64, "B");
            let parts: [(&str, &str, Part); 4] = [
                ("idle: bytes out", "B/s", idle),
                ("restarted: bytes in", "B", restarted),
                ("zone lost: bytes over idle", "B", zone),
                ("met again: bytes over idle", "B", apart),
            ];
            for (figure, unit, part) in parts {
                let by = point.by();
                if part(&mut point, &mut world, by).is_err() {
                    point.unfinished(figure, unit, "not played");
                    break;
                }
            }
        }
    }
}

/// A part of what is played with a node that has become idle.
type Part = fn(&mut Point, &mut World, Duration) -> Result<(), OutOfTime>;

fn idle(point: &mut Point, world: &mut World, by: Duration) -> Result<(), OutOfTime> {
    world.status_report = StatusReport::default();
    let (each, seconds) = (world.members.len() as f64, (world.period() * COUNTED).as_secs_f64());
    world.play(world.now + world.period() * COUNTED, by)?;
    let (status_report, spent) = (world.status_report, world.status_report.spent.as_nanos() as f64);
    world.idle = status_report.bytes as f64 / f64::from(COUNTED);
    point.found("idle: frames out", status_report.frames as f64 / seconds / each, "1/s");
    point.found("idle: bytes out", status_report.bytes as f64 / seconds / each, "B/s");
    point.found("idle: time a frame", spent / status_report.frames_received as f64, "ns");
    point.found("idle: time a second", spent / seconds / each, "ns/s");
    Ok(())
}

/// One member is killed and begins anew at once, with nothing.
fn restarted(point: &mut Point, world: &mut World, by: Duration) -> Result<(), OutOfTime> {
    world.by_member.fill((0, 0));
    world.members[0] = None;
    world.start(0, false, None);
    let started = world.now;
    loop {
        world.play(world.now + world.period(), by)?;
        if world.members[0].as_ref().is_some_and(ClusterNode::is_synchronized) && world.agreed() {
            break;
        }
    }
    let (into, out) = world.by_member[0];
    let took = (world.now - started).as_secs_f64();
    point.found("restarted: bytes in", into as f64, "B");
    point.found("restarted: bytes out", out as f64, "B");
    point.found("restarted: till it knows all", took, "s");
    let after = world.until_idle(by)?;
    point.found("restarted: bytes over idle, the others", after.over_idle, "B");
    Ok(())
}

/// A zone's share of the members is lost at once, and comes back at once with nothing.
fn zone(point: &mut Point, world: &mut World, by: Duration) -> Result<(), OutOfTime> {
    let lost = world.members.len().div_ceil(ZONES);
    for name in ["zone lost", "zone back"] {
        for at in 0..lost {
            world.members[at] = None;
        }
        if name == "zone back" {
            (0..lost).for_each(|at| world.start(at, false, None));
        }
        event(point, world, name, by)?;
    }
    Ok(())
}

/// Two halves lose each other until neither knows the other any more, and meet again.
fn apart(point: &mut Point, world: &mut World, by: Duration) -> Result<(), OutOfTime> {
    world.cut = Some(world.members.len() / 2);
    world.agree(by)?;
    world.until_idle(by)?;
    world.cut = None;
    event(point, world, "met again", by)
}

/// Plays until all agree and nothing is config any more, and records what that took.
fn event(point: &mut Point, world: &mut World, name: &str, by: Duration) -> Result<(), OutOfTime> {
    let after = world.until_idle(by)?;
    point.found(&format!("{name}: bytes over idle"), after.over_idle, "B");
    point.found(&format!("{name}: bytes out, worst"), after.worst, "B/s");
    point.found(&format!("{name}: till all agree"), after.agreed.as_secs_f64(), "s");
    point.found(&format!("{name}: time a second, worst"), after.busiest, "ns/s");
    Ok(())
}

fn starts(bench: &mut Bench) {
    for members in SIZES {
        let (x, others) = (("members", members as f64), [("round_trip_ms", 4.0)]);
        let mut point = bench.at(x, &others);
        let by = point.by();
        let mut world = World::new(point.bench.seed, members, Duration::from_millis(4));
        (0..members).for_each(|at| world.start(at, true, None));
        match world.agree(by) {
            Ok(took) => {
                let each = members as f64;
                point.found("frames till all agree", world.status_report.frames as f64, "frames");
                point.found("bytes out a member", world.status_report.bytes as f64 / each, "B");
                point.found("till all agree", took.as_secs_f64(), "s");
                point.found("time a member", world.status_report.spent.as_nanos() as f64 / each, "ns");
            }
            Err(OutOfTime) => {
                let (frames, played) = (world.status_report.frames, world.now.as_secs_f64());
                let what = format!("{frames} frames and {played:.3} s of virtual time, not all agreed,");
                point.unfinished("frames till all agree", "frames", &what);
            }
        }
    }
}

fn frames(bench: &mut Bench) {
    for members in SIZES {
        let config = config(members, Duration::from_millis(4));
        let x = ("members", members as f64);
        let from = Identity { member: MemberId(1), incarnation: Incarnation(1_764_576_000_123) };
        let messages = [Message::Swim(vec![7; 32])];
        let (datagrams, _) = frame::encode(&config, from, &messages);
        bench.found(x, ("digest", nanoseconds(|| config.digest()), "ns"), &[]);
        bench.found(x, ("written", nanoseconds(|| frame::encode(&config, from, &messages)), "ns"), &[]);
        bench.found(x, ("read", nanoseconds(|| frame::decode(&config, &datagrams[0])), "ns"), &[]);
        bench.found(x, ("bytes", (datagrams[0].len() as u64 + HEADS) as f64, "B"), &[]);
    }
}

fn replicas(bench: &mut Bench) {
    for members in SIZES {
        let config = config(members, Duration::from_millis(4));
        let mut request = u128::from(bench.seed);
        let took = nanoseconds(|| {
            request += 1;
            config.replicas_of(RequestId(black_box(request)))
        });
        bench.found(("members", members as f64), ("time", took, "ns"), &[]);
    }
}

fn lost_after(bench: &mut Bench) {
    for trip in TRIPS {
        for members in SIZES {
            let config = config(members, Duration::from_millis(trip));
            let after = Membership::lost_after(&config).as_secs_f64();
            bench.read(("members", members as f64), ("time", after, "s"), &[("round_trip_ms", trip as f64)]);
        }
    }
}
