//! Membership of a simulated cluster in virtual time: which members count as present after kills, restarts, pauses,
//! partitions, and a restart with the clock set back.

use rockflow_cluster::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

const ROUND_TRIP: Duration = Duration::from_millis(4);
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(100);
const MEMBERS: usize = 10;
/// The incarnation with which every member of a new cluster starts.
const FIRST_INCARNATION: u64 = 100;

#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
enum SimulatedEvent {
    Frame { to: usize, from: Identity, message: Message },
    Tick(usize),
}

struct World {
    config: ClusterConfig,
    now: Duration,
    members: Vec<Option<ClusterNode>>,
    /// Members that handle no events until they are resumed.
    paused: BTreeSet<usize>,
    /// Events that arrived for paused members.
    backlog: Vec<SimulatedEvent>,
    /// Paths, from one member to another, on which all frames are lost.
    cuts: BTreeSet<(usize, usize)>,
    /// The times of the scheduled events, with their numbers.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulatedEvent>,
    events_scheduled: u64,
    rng: oorandom::Rand64,
    /// The membership changes that members have observed, with the observer.
    changes: Vec<(usize, Change)>,
    /// The members that were told of a later incarnation of their own.
    superseded: Vec<(usize, Incarnation)>,
    frames_sent: usize,
}

impl World {
    fn new(seed: u64, members: usize) -> World {
        let config = ClusterConfig {
            members: (0..members).map(|n| format!("n{n:03}")).collect(),
            replicas: 3,
            retention: Duration::from_secs(10),
            round_trip: ROUND_TRIP,
            max_records: 1000,
            max_body_bytes: 64,
        };
        let mut world = World {
            config,
            now: Duration::ZERO,
            members: (0..members).map(|_| None).collect(),
            paused: BTreeSet::new(),
            backlog: Vec::new(),
            cuts: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            events_scheduled: 0,
            rng: oorandom::Rand64::new(u128::from(seed)),
            changes: Vec::new(),
            superseded: Vec::new(),
            frames_sent: 0,
        };
        (0..members).for_each(|member| world.start(member, FIRST_INCARNATION));
        world
    }

    fn start(&mut self, member: usize, incarnation: u64) {
        let identity = Identity { member: MemberId(member as u16), incarnation: Incarnation(incarnation) };
        let mut node = ClusterNode::new(
            self.config.clone(),
            identity,
            self.rng.rand_u64(),
            incarnation == FIRST_INCARNATION,
            self.now,
        );
        let outputs = node.join(self.now);
        self.members[member] = Some(node);
        self.apply_outputs(member, outputs);
    }

    fn schedule(&mut self, time: Duration, event: SimulatedEvent) {
        self.events_scheduled += 1;
        self.queue.push(Reverse((time, self.events_scheduled)));
        self.events.insert(self.events_scheduled, event);
    }

    fn apply_outputs(&mut self, member: usize, outputs: Vec<Output>) {
        let Some(node) = &self.members[member] else { return };
        let (identity, next_due) = (node.identity(), node.next_due());
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    self.frames_sent += 1;
                    let to = usize::from(to.0);
                    if !self.cuts.contains(&(member, to)) {
                        let delay = ROUND_TRIP.mul_f64(0.1 + 0.3 * self.rng.rand_float());
                        let frame = SimulatedEvent::Frame { to, from: identity, message };
                        self.schedule(self.now + delay, frame);
                    }
                }
                Output::MembershipChanged(change) => self.changes.push((member, change)),
                Output::IncarnationSuperseded { incarnation } => self.superseded.push((member, incarnation)),
                _ => {}
            }
        }
        if let Some(next_due) = next_due {
            self.schedule(next_due.max(self.now + MIN_TICK_INTERVAL), SimulatedEvent::Tick(member));
        }
    }

    fn process_event(&mut self, event: SimulatedEvent) {
        let (SimulatedEvent::Frame { to: member, .. } | SimulatedEvent::Tick(member)) = &event;
        let member = *member;
        if self.paused.contains(&member) {
            return self.backlog.push(event);
        }
        let Some(node) = &mut self.members[member] else { return };
        let outputs = match event {
            SimulatedEvent::Frame { from, message, .. } => node.on_message(self.now, from, message),
            SimulatedEvent::Tick(_) if node.next_due().is_some_and(|due| due <= self.now) => {
                node.tick(self.now)
            }
            SimulatedEvent::Tick(_) => return,
        };
        self.apply_outputs(member, outputs);
    }

    /// Advances the clock by this span and handles all events in it.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((time, number))) =
            self.queue.peek().copied().filter(|Reverse((time, _))| *time < end)
        {
            self.queue.pop();
            self.now = self.now.max(time);
            let event = self.events.remove(&number).expect("a queued event is held");
            self.process_event(event);
        }
        self.now = end;
    }

    /// Resumes a paused member, which handles its backlog with timers before frames. This is the worst order: probes
    /// time out before the member sees the replies that have arrived.
    fn resume(&mut self, member: usize) {
        self.paused.remove(&member);
        let mut backlog = std::mem::take(&mut self.backlog);
        backlog.sort_by_key(|event| !matches!(event, SimulatedEvent::Tick(_)));
        backlog.into_iter().for_each(|event| self.process_event(event));
    }

    fn present_at(&self, member: usize) -> Vec<Identity> {
        self.members[member].as_ref().expect("alive").present().collect()
    }

    /// The members that were declared lost, each with the member that did so.
    fn lost(&self) -> Vec<(usize, MemberId)> {
        let lost = self.changes.iter().filter_map(|(observer, change)| match change {
            Change::Lost(identity) => Some((*observer, identity.member)),
            _ => None,
        });
        lost.collect()
    }

    /// Lets the cluster form, asserts that every member sees all others, and forgets the changes so far.
    fn settle(&mut self) {
        self.advance(Membership::lost_after(&self.config));
        (0..self.members.len())
            .for_each(|member| assert_eq!(self.present_at(member).len(), self.members.len(), "n{member}"));
        self.changes.clear();
    }
}

#[test]
fn members_find_each_other_and_declare_only_a_killed_one_lost() {
    for seed in 0..10 {
        let mut world = World::new(seed, MEMBERS);
        world.settle();
        world.members[3] = None;
        world.advance(Membership::lost_after(&world.config) * 2);
        let lost: BTreeSet<_> = world.lost().into_iter().collect();
        let expected: BTreeSet<_> =
            (0..MEMBERS).filter(|member| *member != 3).map(|member| (member, MemberId(3))).collect();
        assert_eq!(lost, expected, "seed {seed}");
    }
}

#[test]
fn restarted_member_is_a_new_incarnation_and_a_lower_incarnation_is_superseded() {
    let mut world = World::new(1, MEMBERS);
    world.settle();
    world.members[3] = None;
    world.start(3, 200);
    world.advance(Membership::lost_after(&world.config));
    for member in (0..MEMBERS).filter(|member| *member != 3) {
        assert!(
            world
                .present_at(member)
                .contains(&Identity { member: MemberId(3), incarnation: Incarnation(200) }),
            "n{member}"
        );
    }
    let is_restart = |change: &Change| match change {
        Change::Restarted { to, .. } => to.incarnation == Incarnation(200),
        _ => false,
    };
    assert!(world.changes.iter().filter(|(_, change)| is_restart(change)).count() >= MEMBERS - 1);
    world.members[3] = None;
    world.start(3, 150);
    world.advance(ROUND_TRIP * 4);
    assert_eq!(world.superseded.first(), Some(&(3, Incarnation(200))));
    world.start(3, 201);
    world.advance(Membership::lost_after(&world.config));
    assert!((0..MEMBERS).all(|member| world
        .present_at(member)
        .contains(&Identity { member: MemberId(3), incarnation: Incarnation(201) })));
}

/// Guards against a process that, after a pause of its own, declares all other members lost.
#[test]
fn paused_process_declares_nobody_lost_and_returns_as_the_same_incarnation() {
    for seed in 0..10 {
        let mut world = World::new(seed, MEMBERS);
        world.settle();
        world.paused.insert(3);
        world.advance(Duration::from_secs(60));
        let lost_during_pause = world.lost();
        assert_eq!(lost_during_pause.len(), MEMBERS - 1, "seed {seed}: {lost_during_pause:?}");
        world.changes.clear();
        world.resume(3);
        world.advance(Membership::lost_after(&world.config) * 3);
        let others_lost: Vec<_> =
            world.lost().into_iter().filter(|(_, member)| *member != MemberId(3)).collect();
        assert!(others_lost.is_empty(), "seed {seed}: {others_lost:?}");
        for member in 0..MEMBERS {
            assert!(
                world
                    .present_at(member)
                    .contains(&Identity { member: MemberId(3), incarnation: Incarnation(FIRST_INCARNATION) }),
                "seed {seed}, n{member}"
            );
        }
    }
}

#[test]
fn only_the_partitioned_member_reports_a_possible_partition() {
    let mut world = World::new(5, MEMBERS);
    world.settle();
    let set_partitioned = |world: &mut World, is_partitioned: bool| {
        for other in (0..MEMBERS).filter(|other| *other != 3) {
            for path in [(3, other), (other, 3)] {
                if is_partitioned {
                    world.cuts.insert(path);
                } else {
                    world.cuts.remove(&path);
                }
            }
        }
    };
    set_partitioned(&mut world, true);
    world.advance(Membership::lost_after(&world.config) * 3);
    let status = |world: &World, member: usize| world.members[member].as_ref().unwrap().status(world.now);
    println!("{:?}", status(&world, 3));
    assert!(status(&world, 3).possibly_partitioned, "{:?}", status(&world, 3));
    (0..MEMBERS).filter(|member| *member != 3).for_each(|member| {
        assert!(!status(&world, member).possibly_partitioned, "n{member} {:?}", status(&world, member))
    });
    set_partitioned(&mut world, false);
    world.advance(Membership::lost_after(&world.config) * 3);
    assert!(!status(&world, 3).possibly_partitioned);
    (0..MEMBERS).for_each(|member| assert_eq!(world.present_at(member).len(), MEMBERS, "n{member}"));
}

/// In an idle cluster, the number of frames that each member sends per probe period must not grow with the cluster.
#[test]
fn idle_frames_per_member_do_not_grow_with_the_cluster() {
    let periods = 20;
    let frames_per_member_and_period = |members: usize| {
        let mut world = World::new(9, members);
        world.settle();
        let frames_before = world.frames_sent;
        world.advance(Membership::period(&world.config) * periods);
        (world.frames_sent - frames_before) as f64 / members as f64 / f64::from(periods)
    };
    let (small, large) = (frames_per_member_and_period(10), frames_per_member_and_period(60));
    println!("frames per member and probe period: {small:.1} with 10 members, {large:.1} with 60");
    assert!(large < 1.5 * small, "{small} {large}");
}
