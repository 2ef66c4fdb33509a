//! Fifty dispatchers in virtual time, each of which sees only its own part, and one cold host among those of its role:
//! what all of them together send there stays within the told limit, whatever their phases.

use rockflow::{CacheStatus, EndpointEntry, HostId, Outcome, Role};
use rockflow_routing_simulation::{fullest, listing, World, COLD, STREAM};
use std::time::Duration;
use test_case::test_case;

const DISPATCHERS: usize = 50;
const SIZE_KB: f64 = 50.0;
const LINK: f64 = 8.0;
const CACHES: u64 = 4;
const PARENTS: u64 = 4;
const COLD_PARENT: HostId = HostId(100);
const COLD_CACHE: HostId = HostId(0);
const BEGIN: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(25);
const GAP: Duration = Duration::from_millis(100);
const TOOK: Duration = Duration::from_millis(60);

#[derive(Clone, Copy, PartialEq)]
enum Start {
    Phases,
    AtOnce,
    /// Seven in ten are killed midway and come back with empty views.
    Again,
}

fn hosts(cold: HostId) -> Vec<EndpointEntry> {
    let started = |id: u64| (HostId(id) == cold).then_some(BEGIN);
    let caches = (0..CACHES).map(|id| listing(id, Role::Cache, LINK, started(id)));
    caches.chain((100..100 + PARENTS).map(|id| listing(id, Role::Parent, LINK, started(id)))).collect()
}

/// Plays a fleet and returns when something was sent to the cold host, and how much was asked for in all.
fn play(start: Start, cold: HostId, seed: u64) -> (Vec<Duration>, usize) {
    let mut world = World::new(seed, DISPATCHERS, GAP, SIZE_KB, None);
    for number in 0..DISPATCHERS {
        world.restart(BEGIN, number, hosts(cold));
        let phase = if start == Start::Phases { world.chance.rand_float() } else { 0.0 };
        world.ask_from(BEGIN + GAP.mul_f64(phase), number);
        if start == Start::Again && number % 10 < 7 {
            world.restart(BEGIN + Duration::from_secs(5), number, hosts(cold));
        }
    }
    // A look misses; whatever may fill does.
    world.play(END, |sent| match sent.looks() {
        true => (Outcome::Miss, CacheStatus::Unknown, TOOK),
        false => (Outcome::Succeeded, CacheStatus::Filled, TOOK),
    });
    let there =
        world.sent.iter().filter(|sent| sent.attempt.host == cold || sent.attempt.source == Some(cold));
    (there.map(|sent| sent.at).collect(), world.asked.len())
}

#[test_case(Start::Phases, COLD_PARENT; "phases, a parent")]
#[test_case(Start::AtOnce, COLD_PARENT; "at once, a parent")]
#[test_case(Start::Again, COLD_PARENT; "seven in ten again, a parent")]
#[test_case(Start::Phases, COLD_CACHE; "phases, a cache")]
#[test_case(Start::AtOnce, COLD_CACHE; "at once, a cache")]
#[test_case(Start::Again, COLD_CACHE; "seven in ten again, a cache")]
fn a_cold_host_gets_no_more_than_it_bears_from_all_together(start: Start, cold: HostId) {
    for seed in 1..=5 {
        let (sent, asked) = play(start, cold, seed);
        let work = SIZE_KB / STREAM;
        let fullest = fullest(&sent, BEGIN, LINK, work);
        // A quarter of all would fall to it: several times what it bears when it is cold.
        let wanted = asked as f64 / 4.0 * work / (END - BEGIN).as_secs_f64();
        assert!(
            wanted > 2.0 * COLD.overload_multiple * COLD.initial_share * LINK,
            "{wanted} offers too little"
        );
        assert!(fullest <= 1.0, "seed {seed}: {fullest:.2} of what it bears");
        assert!(fullest > 0.05, "seed {seed}: {fullest:.2}: it never warms up");
        println!("seed {seed}: {fullest:.2}, {} legs", sent.len());
    }
}
