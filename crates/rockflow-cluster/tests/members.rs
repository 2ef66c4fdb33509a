//! Which members are taken to be present, in virtual time: kills, restarts, pauses, partitions, and clocks set back.

use rockflow_cluster::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

const TRIP: Duration = Duration::from_millis(4);
const MEMBERS: usize = 10;

#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
enum SimulatedEvent {
    Frame(usize, Identity, Message),
    Tick(usize),
}

struct World {
    config: ClusterConfig,
    now: Duration,
    members: Vec<Option<ClusterNode>>,
    /// Frames and time stand still for these.
    stopped: BTreeSet<usize>,
    waiting: Vec<SimulatedEvent>,
    cut: BTreeSet<(usize, usize)>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulatedEvent>,
    next: u64,
    rng: oorandom::Rand64,
    changes: Vec<(usize, Change)>,
    superseded: Vec<(usize, Incarnation)>,
    frames: usize,
}

impl World {
    fn new(seed: u64, members: usize) -> World {
        let config = ClusterConfig {
            members: (0..members).map(|n| format!("n{n:03}")).collect(),
            replicas: 3,
            retention: Duration::from_secs(10),
            round_trip: TRIP,
            max_records: 1000,
            max_body_bytes: 64,
        };
        let mut world = World {
            config,
            now: Duration::ZERO,
            members: (0..members).map(|_| None).collect(),
            stopped: BTreeSet::new(),
            waiting: Vec::new(),
            cut: BTreeSet::new(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: oorandom::Rand64::new(u128::from(seed)),
            changes: Vec::new(),
            superseded: Vec::new(),
            frames: 0,
        };
        (0..members).for_each(|at| world.start(at, 100));
        world
    }

    fn start(&mut self, at: usize, incarnation: u64) {
        let identity = Identity { member: MemberId(at as u16), incarnation: Incarnation(incarnation) };
        let mut node = ClusterNode::new(
            self.config.clone(),
            identity,
            self.rng.rand_u64(),
            incarnation == 100,
            self.now,
        );
        let outputs = node.join(self.now);
        self.members[at] = Some(node);
        self.carry(at, outputs);
    }

    fn at(&mut self, at: Duration, what: SimulatedEvent) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, what);
    }

    fn carry(&mut self, at: usize, outputs: Vec<Output>) {
        let Some(node) = &self.members[at] else { return };
        let (identity, next) = (node.identity(), node.next_due());
        for out in outputs {
            match out {
                Output::Send { to, message } => {
                    self.frames += 1;
                    if !self.cut.contains(&(at, usize::from(to.0))) {
                        let delay = TRIP.mul_f64(0.1 + 0.3 * self.rng.rand_float());
                        self.at(
                            self.now + delay,
                            SimulatedEvent::Frame(usize::from(to.0), identity, message),
                        );
                    }
                }
                Output::MembershipChanged(change) => self.changes.push((at, change)),
                Output::IncarnationSuperseded { incarnation } => self.superseded.push((at, incarnation)),
                _ => {}
            }
        }
        if let Some(next) = next {
            self.at(next.max(self.now + Duration::from_micros(100)), SimulatedEvent::Tick(at));
        }
    }

    fn process_event(&mut self, what: SimulatedEvent) {
        let (SimulatedEvent::Frame(at, ..) | SimulatedEvent::Tick(at)) = &what;
        let at = *at;
        if self.stopped.contains(&at) {
            return self.waiting.push(what);
        }
        let Some(node) = &mut self.members[at] else { return };
        let outputs = match what {
            SimulatedEvent::Frame(_, from, message) => node.on_message(self.now, from, message),
            SimulatedEvent::Tick(_) if node.next_due().is_some_and(|due| due <= self.now) => {
                node.tick(self.now)
            }
            SimulatedEvent::Tick(_) => return,
        };
        self.carry(at, outputs);
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.due.peek().copied().filter(|Reverse((at, _))| *at < end)
        {
            self.due.pop();
            self.now = self.now.max(at);
            let what = self.events.remove(&number).expect("it is due");
            self.process_event(what);
        }
        self.now = end;
    }

    /// Resumes with everything that arrived meanwhile, timers first: the worst order.
    fn resume(&mut self, at: usize) {
        self.stopped.remove(&at);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|what| !matches!(what, SimulatedEvent::Tick(_)));
        waiting.into_iter().for_each(|what| self.process_event(what));
    }

    fn present_at(&self, at: usize) -> Vec<Identity> {
        self.members[at].as_ref().expect("alive").present().collect()
    }

    fn lost(&self) -> Vec<(usize, MemberId)> {
        let lost = self.changes.iter().filter_map(|(at, change)| match change {
            Change::Lost(identity) => Some((*at, identity.member)),
            _ => None,
        });
        lost.collect()
    }

    fn settle(&mut self) {
        self.pass(Membership::lost_after(&self.config));
        (0..self.members.len())
            .for_each(|at| assert_eq!(self.present_at(at).len(), self.members.len(), "n{at}"));
        self.changes.clear();
    }
}

#[test]
fn all_members_find_each_other_and_only_a_killed_one_is_lost() {
    for seed in 0..10 {
        let mut world = World::new(seed, MEMBERS);
        world.settle();
        world.members[3] = None;
        world.pass(Membership::lost_after(&world.config) * 2);
        let lost: BTreeSet<_> = world.lost().into_iter().collect();
        let wanted: BTreeSet<_> = (0..MEMBERS).filter(|at| *at != 3).map(|at| (at, MemberId(3))).collect();
        assert_eq!(lost, wanted, "seed {seed}");
    }
}

#[test]
fn restart_is_a_new_incarnation_and_one_with_its_clock_set_back_is_superseded() {
    let mut world = World::new(1, MEMBERS);
    world.settle();
    world.members[3] = None;
    world.start(3, 200);
    world.pass(Membership::lost_after(&world.config));
    for at in (0..MEMBERS).filter(|at| *at != 3) {
        assert!(
            world.present_at(at).contains(&Identity { member: MemberId(3), incarnation: Incarnation(200) }),
            "n{at}"
        );
    }
    let restarted = |(_, change): &(usize, Change)| matches!(change, Change::Restarted { to, .. } if to.incarnation == Incarnation(200));
    assert!(world.changes.iter().filter(|change| restarted(change)).count() >= MEMBERS - 1);
    world.members[3] = None;
    world.start(3, 150);
    world.pass(TRIP * 4);
    assert_eq!(world.superseded.first(), Some(&(3, Incarnation(200))));
    world.start(3, 201);
    world.pass(Membership::lost_after(&world.config));
    assert!((0..MEMBERS).all(|at| world
        .present_at(at)
        .contains(&Identity { member: MemberId(3), incarnation: Incarnation(201) })));
}

/// Guards against a process that was paused itself and takes everybody else for lost.
#[test]
fn paused_process_suspects_nobody_and_returns_with_its_memory() {
    for seed in 0..10 {
        let mut world = World::new(seed, MEMBERS);
        world.settle();
        world.stopped.insert(3);
        world.pass(Duration::from_secs(60));
        let by_others = world.lost();
        assert_eq!(by_others.len(), MEMBERS - 1, "seed {seed}: {by_others:?}");
        world.changes.clear();
        world.resume(3);
        world.pass(Membership::lost_after(&world.config) * 3);
        let others: Vec<_> = world.lost().into_iter().filter(|(_, whom)| *whom != MemberId(3)).collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
        for at in 0..MEMBERS {
            assert!(
                world
                    .present_at(at)
                    .contains(&Identity { member: MemberId(3), incarnation: Incarnation(100) }),
                "seed {seed}, n{at}"
            );
        }
    }
}

#[test]
fn partitioned_member_knows_that_it_may_be_partitioned() {
    let mut world = World::new(5, MEMBERS);
    world.settle();
    let all = |world: &mut World, cut: bool| {
        for other in (0..MEMBERS).filter(|other| *other != 3) {
            for pair in [(3, other), (other, 3)] {
                if cut {
                    world.cut.insert(pair);
                } else {
                    world.cut.remove(&pair);
                }
            }
        }
    };
    all(&mut world, true);
    world.pass(Membership::lost_after(&world.config) * 3);
    let status = |world: &World, at: usize| world.members[at].as_ref().unwrap().status(world.now);
    println!("{:?}", status(&world, 3));
    assert!(status(&world, 3).possibly_partitioned, "{:?}", status(&world, 3));
    (0..MEMBERS)
        .filter(|at| *at != 3)
        .for_each(|at| assert!(!status(&world, at).possibly_partitioned, "n{at} {:?}", status(&world, at)));
    all(&mut world, false);
    world.pass(Membership::lost_after(&world.config) * 3);
    assert!(!status(&world, 3).possibly_partitioned);
    (0..MEMBERS).for_each(|at| assert_eq!(world.present_at(at).len(), MEMBERS, "n{at}"));
}

/// What an idle cluster costs: each member's frames in a probe period do not grow with the cluster.
#[test]
fn idle_frames_do_not_grow_with_the_cluster() {
    let rate = |members: usize| {
        let mut world = World::new(9, members);
        world.settle();
        let (before, span) = (world.frames, Membership::period(&world.config) * 20);
        world.pass(span);
        (world.frames - before) as f64 / members as f64 / 20.0
    };
    let (small, large) = (rate(10), rate(60));
    println!("frames a member in a probe period: {small:.1} of 10, {large:.1} of 60");
    assert!(large < 1.5 * small, "{small} {large}");
}
