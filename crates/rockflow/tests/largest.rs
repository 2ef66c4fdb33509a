//! The largest requests of a class, and each third of a day, in virtual time: hosts whose links are shared by what is under
//! way on them, requests of very different sizes. On a quiet day the largest are answered nearly as often as the rest, on
//! one with too much to do at least half as often.

use rockflow::{CacheStatus, EndpointEntry, Event, HostId, ListScope, Outcome, Readiness, Role};
use rockflow_routing_simulation::{listing, World, STREAM};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const DISPATCHERS: usize = 6;
const CACHES: u64 = 4;
const LINK: f64 = 8.0;
const BEGIN: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(61);
/// In the middle of the day, one in twenty; the sum of each row of ten is ten times the mean.
const SIZES: [f64; 10] = [0.15, 0.25, 0.35, 0.5, 0.6, 0.8, 1.0, 1.3, 1.8, 3.25];
const MEAN_KB: f64 = 200.0;

struct Share {
    all: f64,
    largest: f64,
    next: f64,
    thirds: [f64; 3],
}

/// A day at so much of what the caches' links carry; `cold`: one cache is replaced in the middle.
fn play(load: f64, cold: bool, seed: u64) -> Share {
    let every = Duration::from_secs_f64(MEAN_KB / STREAM / (load * LINK * CACHES as f64));
    let mut world = World::new(seed, DISPATCHERS, every * DISPATCHERS as u32, MEAN_KB, Some(400));
    world.sizes = SIZES.to_vec();
    let hosts: Vec<_> = (0..CACHES)
        .map(|id| listing(id, Role::Cache, LINK, None))
        .chain((100..102).map(|id| listing(id, Role::Parent, 4.0 * LINK, None)))
        .chain([listing(200, Role::Origin, LINK, None)])
        .collect();
    for number in 0..DISPATCHERS {
        world.restart(Duration::ZERO, number, hosts.clone());
        world.ask_from(BEGIN + every * number as u32, number);
        if cold {
            let at = BEGIN + (END - BEGIN).mul_f64(0.5);
            let gone = EndpointEntry { readiness: Readiness::Gone, ..hosts[0].clone() };
            let new = listing(50, Role::Cache, LINK, Some(at));
            let news = Event::EndpointsListed { scope: ListScope::Changes, entries: vec![gone, new] };
            world.tell(at, number, news);
        }
    }
    // What is under way at each host, by when it ends; three of four are held.
    let mut busy: BTreeMap<HostId, Vec<Duration>> = BTreeMap::new();
    let mut chance = oorandom::Rand64::new(u128::from(seed) + 99);
    world.play(END + Duration::from_secs(10), |sent| {
        let under_way = busy.entry(sent.attempt.host).or_default();
        under_way.retain(|ends| *ends > sent.at);
        let crowd = ((under_way.len() + 1) as f64 / LINK).max(1.0);
        let took = Duration::from_secs_f64(sent.size_kb / STREAM * crowd);
        let held = chance.rand_float() < 0.75;
        let (outcome, note, took) = match (held, sent.looks()) {
            (true, _) => (Outcome::Succeeded, CacheStatus::Hit, took),
            (false, true) => (Outcome::Miss, CacheStatus::Unknown, Duration::from_millis(2)),
            (false, false) => (Outcome::Succeeded, CacheStatus::Filled, took + Duration::from_millis(15)),
        };
        under_way.push(sent.at + took);
        (outcome, note, took)
    });
    let day: Vec<_> = world.asked.values().filter(|asked| asked.at < END).collect();
    let share = |which: &dyn Fn(&&&rockflow_routing_simulation::Asked) -> bool| {
        let those: Vec<_> = day.iter().filter(which).collect();
        let served = |asked: &&&&rockflow_routing_simulation::Asked| {
            asked.finals.iter().any(|(_, how)| *how == rockflow_routing_simulation::Final::Succeeded)
        };
        assert!(those.len() > 100, "{}", those.len());
        those.iter().filter(|asked| served(asked)).count() as f64 / those.len() as f64
    };
    let (top, below) = (SIZES[9] * MEAN_KB, SIZES[7] * MEAN_KB);
    let third = |n: u32| {
        let (from, to) = (BEGIN + (END - BEGIN) * n / 3, BEGIN + (END - BEGIN) * (n + 1) / 3);
        share(&move |asked| asked.at >= from && asked.at < to)
    };
    Share {
        all: share(&|_| true),
        largest: share(&|asked| asked.size_kb >= top),
        next: share(&|asked| asked.size_kb >= below && asked.size_kb < top),
        thirds: [third(0), third(1), third(2)],
    }
}

#[test_case(0.5, false, 0.9, 2.0 / 3.0; "a quiet day")]
#[test_case(0.7, true, 0.6, 0.5; "a busy day on which a cache is replaced")]
#[test_case(1.0, false, 0.4, 0.5; "as much as the links carry")]
#[test_case(1.3, false, 0.4, 0.5; "too much to do")]
fn the_largest_are_served_too(load: f64, cold: bool, floor: f64, part: f64) {
    for seed in 1..=3 {
        let share = play(load, cold, seed);
        let Share { all, largest, next, thirds } = share;
        println!("seed {seed}: all {all:.3}, largest {largest:.3}, next {next:.3}, thirds {thirds:.3?}");
        assert!(all >= floor, "{all:.3} of all");
        assert!(largest >= part * all, "{largest:.3} of the largest tenth, {all:.3} of all");
        assert!(next >= part * all, "{next:.3} of the next fifth, {all:.3} of all");
        assert!(thirds.iter().all(|third| *third >= 0.6 * all), "{thirds:.3?}");
    }
}
