//! Who is taken to be there, in virtual time: kills, restarts, stops, cuts, and clocks set back.

use rockflow_cluster::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

const TRIP: Duration = Duration::from_millis(4);
const MEMBERS: usize = 10;

#[allow(clippy::large_enum_variant, reason = "the largest is the most frequent")]
enum Happens {
    Frame(usize, Seat, Message),
    Tick(usize),
}

struct World {
    told: Told,
    now: Duration,
    members: Vec<Option<Fleet>>,
    /// Frames and time stand still for these.
    stopped: BTreeSet<usize>,
    waiting: Vec<Happens>,
    cut: BTreeSet<(usize, usize)>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Happens>,
    next: u64,
    chance: oorandom::Rand64,
    changes: Vec<(usize, Change)>,
    outlived: Vec<(usize, Life)>,
    frames: usize,
}

impl World {
    fn new(seed: u64, members: usize) -> World {
        let told = Told {
            members: (0..members).map(|n| format!("n{n:03}")).collect(),
            keepers: 3,
            keep: Duration::from_secs(10),
            round_trip: TRIP,
            max_kept: 1000,
            max_body: 64,
        };
        let mut world = World {
            told,
            now: Duration::ZERO,
            members: (0..members).map(|_| None).collect(),
            stopped: BTreeSet::new(),
            waiting: Vec::new(),
            cut: BTreeSet::new(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
            changes: Vec::new(),
            outlived: Vec::new(),
            frames: 0,
        };
        (0..members).for_each(|at| world.start(at, 100));
        world
    }

    fn start(&mut self, at: usize, life: u64) {
        let seat = Seat { member: MemberId(at as u16), life: Life(life) };
        let mut fleet = Fleet::new(self.told.clone(), seat, self.chance.rand_u64(), life == 100, self.now);
        let outs = fleet.join(self.now);
        self.members[at] = Some(fleet);
        self.carry(at, outs);
    }

    fn at(&mut self, at: Duration, what: Happens) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, what);
    }

    fn carry(&mut self, at: usize, outs: Vec<Out>) {
        let Some(fleet) = &self.members[at] else { return };
        let (seat, next) = (fleet.seat(), fleet.next_due());
        for out in outs {
            match out {
                Out::Send { to, message } => {
                    self.frames += 1;
                    if !self.cut.contains(&(at, usize::from(to.0))) {
                        let delay = TRIP.mul_f64(0.1 + 0.3 * self.chance.rand_float());
                        self.at(self.now + delay, Happens::Frame(usize::from(to.0), seat, message));
                    }
                }
                Out::Changed(change) => self.changes.push((at, change)),
                Out::Outlived { life } => self.outlived.push((at, life)),
                _ => {}
            }
        }
        if let Some(next) = next {
            self.at(next.max(self.now + Duration::from_micros(100)), Happens::Tick(at));
        }
    }

    fn happens(&mut self, what: Happens) {
        let (Happens::Frame(at, ..) | Happens::Tick(at)) = &what;
        let at = *at;
        if self.stopped.contains(&at) {
            return self.waiting.push(what);
        }
        let Some(fleet) = &mut self.members[at] else { return };
        let outs = match what {
            Happens::Frame(_, from, message) => fleet.hear(self.now, from, message),
            Happens::Tick(_) if fleet.next_due().is_some_and(|due| due <= self.now) => fleet.tick(self.now),
            Happens::Tick(_) => return,
        };
        self.carry(at, outs);
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, no))) = self.due.peek().copied().filter(|Reverse((at, _))| *at < end) {
            self.due.pop();
            self.now = self.now.max(at);
            let what = self.events.remove(&no).expect("it is due");
            self.happens(what);
        }
        self.now = end;
    }

    /// Wakes with all at hand that came meanwhile, time first: the worst order.
    fn wake(&mut self, at: usize) {
        self.stopped.remove(&at);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|what| !matches!(what, Happens::Tick(_)));
        waiting.into_iter().for_each(|what| self.happens(what));
    }

    fn sees(&self, at: usize) -> Vec<Seat> {
        self.members[at].as_ref().expect("alive").present().collect()
    }

    fn lost(&self) -> Vec<(usize, MemberId)> {
        let lost = self.changes.iter().filter_map(|(at, change)| match change {
            Change::Lost(seat) => Some((*at, seat.member)),
            _ => None,
        });
        lost.collect()
    }

    fn settled(&mut self) {
        self.pass(Membership::lost_after(&self.told));
        (0..self.members.len()).for_each(|at| assert_eq!(self.sees(at).len(), self.members.len(), "n{at}"));
        self.changes.clear();
    }
}

#[test]
fn all_find_each_other_and_a_killed_one_is_lost_by_all_and_nobody_else_is() {
    for seed in 0..10 {
        let mut world = World::new(seed, MEMBERS);
        world.settled();
        world.members[3] = None;
        world.pass(Membership::lost_after(&world.told) * 2);
        let lost: BTreeSet<_> = world.lost().into_iter().collect();
        let wanted: BTreeSet<_> = (0..MEMBERS).filter(|at| *at != 3).map(|at| (at, MemberId(3))).collect();
        assert_eq!(lost, wanted, "seed {seed}");
    }
}

#[test]
fn a_restart_is_another_life_and_one_with_its_clock_set_back_begins_again_above() {
    let mut world = World::new(1, MEMBERS);
    world.settled();
    world.members[3] = None;
    world.start(3, 200);
    world.pass(Membership::lost_after(&world.told));
    for at in (0..MEMBERS).filter(|at| *at != 3) {
        assert!(world.sees(at).contains(&Seat { member: MemberId(3), life: Life(200) }), "n{at}");
    }
    let restarted = |(_, change): &(usize, Change)| matches!(change, Change::Restarted { to, .. } if to.life == Life(200));
    assert!(world.changes.iter().filter(|change| restarted(change)).count() >= MEMBERS - 1);
    world.members[3] = None;
    world.start(3, 150);
    world.pass(TRIP * 4);
    assert_eq!(world.outlived.first(), Some(&(3, Life(200))));
    world.start(3, 201);
    world.pass(Membership::lost_after(&world.told));
    assert!((0..MEMBERS).all(|at| world.sees(at).contains(&Seat { member: MemberId(3), life: Life(201) })));
}

/// Guards against one that was away itself and takes everybody else for lost.
#[test]
fn a_process_that_was_stopped_suspects_nobody_and_comes_back_with_its_memory() {
    for seed in 0..10 {
        let mut world = World::new(seed, MEMBERS);
        world.settled();
        world.stopped.insert(3);
        world.pass(Duration::from_secs(60));
        let by_others = world.lost();
        assert_eq!(by_others.len(), MEMBERS - 1, "seed {seed}: {by_others:?}");
        world.changes.clear();
        world.wake(3);
        world.pass(Membership::lost_after(&world.told) * 3);
        let others: Vec<_> = world.lost().into_iter().filter(|(_, whom)| *whom != MemberId(3)).collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
        for at in 0..MEMBERS {
            assert!(
                world.sees(at).contains(&Seat { member: MemberId(3), life: Life(100) }),
                "seed {seed}, n{at}"
            );
        }
    }
}

#[test]
fn one_that_is_cut_off_knows_that_it_may_be_it() {
    let mut world = World::new(5, MEMBERS);
    world.settled();
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
    world.pass(Membership::lost_after(&world.told) * 3);
    let standing = |world: &World, at: usize| world.members[at].as_ref().unwrap().standing(world.now);
    println!("{:?}", standing(&world, 3));
    assert!(standing(&world, 3).maybe_cut_off, "{:?}", standing(&world, 3));
    (0..MEMBERS)
        .filter(|at| *at != 3)
        .for_each(|at| assert!(!standing(&world, at).maybe_cut_off, "n{at} {:?}", standing(&world, at)));
    all(&mut world, false);
    world.pass(Membership::lost_after(&world.told) * 3);
    assert!(!standing(&world, 3).maybe_cut_off);
    (0..MEMBERS).for_each(|at| assert_eq!(world.sees(at).len(), MEMBERS, "n{at}"));
}

/// What an idle fleet costs: each member's frames in a probe period do not grow with the fleet.
#[test]
fn idle_frames_do_not_grow_with_the_fleet() {
    let rate = |members: usize| {
        let mut world = World::new(9, members);
        world.settled();
        let (before, span) = (world.frames, Membership::period(&world.told) * 20);
        world.pass(span);
        (world.frames - before) as f64 / members as f64 / 20.0
    };
    let (small, large) = (rate(10), rate(60));
    println!("frames a member in a probe period: {small:.1} of 10, {large:.1} of 60");
    assert!(large < 1.5 * small, "{small} {large}");
}
