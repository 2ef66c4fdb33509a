//! Simulates hosts whose links are shared by their transfers, with requests of very different sizes, in virtual time.
//!
//! Guards against starvation of the largest requests, which are the first to be late and to be shed. At light load
//! their success rate must be at least two thirds of the overall rate, at higher load at least half. The success rate
//! must not collapse in any third of the run.

use rockflow::{CacheStatus, EndpointEntry, Event, HostId, ListScope, Outcome, Readiness, Role};
use rockflow_routing_simulation::{
    endpoint_entry, FinalAnswerKind, FleetOptions, FleetSimulation, HostResponse, SentAttempt,
    SimulatedRequest, STREAM_KB_PER_S,
};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const DISPATCHERS: usize = 6;
const CACHES: u64 = 4;
const LINK_WEIGHT: f64 = 8.0;
const BEGIN: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(61);
/// How long the simulation goes on after `END`, so that the last requests can finish.
const TAIL: Duration = Duration::from_secs(10);
/// Request sizes relative to the mean, in ascending order, all equally likely. Their sum is 10, so their mean is 1.
const RELATIVE_SIZES: [f64; 10] = [0.15, 0.25, 0.35, 0.5, 0.6, 0.8, 1.0, 1.3, 1.8, 3.25];
const MEAN_KB: f64 = 200.0;
const CACHED_SHARE: f64 = 0.75;
const MISS_TIME: Duration = Duration::from_millis(2);
const FILL_TIME: Duration = Duration::from_millis(15);

#[derive(Clone, Copy, PartialEq)]
enum Replacement {
    None,
    /// One cache is replaced in the middle of the run.
    OneCache,
}

/// The success rates in one simulation run, from 0 to 1.
struct SuccessRates {
    all: f64,
    largest_tenth: f64,
    next_fifth: f64,
    thirds_of_day: [f64; 3],
}

/// The simulated hosts. The transfers in flight at a host share its link equally.
struct SharedLinks {
    /// For each host, when the transfers in flight end.
    in_flight: BTreeMap<HostId, Vec<Duration>>,
    rng: oorandom::Rand64,
}

impl SharedLinks {
    fn respond(&mut self, sent: &SentAttempt) -> HostResponse {
        let in_flight = self.in_flight.entry(sent.attempt.host).or_default();
        in_flight.retain(|end| *end > sent.at);
        let crowding = ((in_flight.len() + 1) as f64 / LINK_WEIGHT).max(1.0);
        let transfer = Duration::from_secs_f64(sent.size_kb / STREAM_KB_PER_S * crowding);
        let is_cached = self.rng.rand_float() < CACHED_SHARE;
        let (outcome, cache_status, duration) = match (is_cached, sent.is_cached_only()) {
            (true, _) => (Outcome::Succeeded, CacheStatus::Hit, transfer),
            (false, true) => (Outcome::Miss, CacheStatus::Unknown, MISS_TIME),
            (false, false) => (Outcome::Succeeded, CacheStatus::Filled, transfer + FILL_TIME),
        };
        in_flight.push(sent.at + duration);
        HostResponse { outcome, cache_status, duration }
    }
}

fn hosts() -> Vec<EndpointEntry> {
    let caches = (0..CACHES).map(|id| endpoint_entry(id, Role::Cache, LINK_WEIGHT, None));
    let parents = (100..102).map(|id| endpoint_entry(id, Role::Parent, 4.0 * LINK_WEIGHT, None));
    let origin = endpoint_entry(200, Role::Origin, LINK_WEIGHT, None);
    caches.chain(parents).chain([origin]).collect()
}

/// The change of the endpoint list by which a new cache replaces the first one.
fn replacement(at: Duration) -> Event {
    let gone = EndpointEntry { readiness: Readiness::Gone, ..hosts()[0].clone() };
    let new = endpoint_entry(50, Role::Cache, LINK_WEIGHT, Some(at));
    Event::EndpointsListed { scope: ListScope::Changes, entries: vec![gone, new] }
}

/// Runs a simulation. `load` is the requested transfer rate relative to the capacity of all caches' links.
fn simulate(load: f64, replacing: Replacement, seed: u64) -> SuccessRates {
    let interval = Duration::from_secs_f64(MEAN_KB / STREAM_KB_PER_S / (load * LINK_WEIGHT * CACHES as f64));
    let mut fleet = FleetSimulation::new(FleetOptions {
        seed,
        dispatchers: DISPATCHERS,
        request_interval: interval * DISPATCHERS as u32,
        mean_size_kb: MEAN_KB,
        object_count: Some(400),
    });
    fleet.relative_sizes = RELATIVE_SIZES.to_vec();
    for dispatcher in 0..DISPATCHERS {
        fleet.restart_dispatcher(Duration::ZERO, dispatcher, hosts());
        fleet.start_requests(BEGIN + interval * dispatcher as u32, dispatcher);
        if replacing == Replacement::OneCache {
            let at = BEGIN + (END - BEGIN).mul_f64(0.5);
            fleet.deliver(at, dispatcher, replacement(at));
        }
    }
    let rng = oorandom::Rand64::new(u128::from(seed) + 99);
    let mut links = SharedLinks { in_flight: BTreeMap::new(), rng };
    fleet.run(END + TAIL, |sent| links.respond(sent));
    success_rates(&fleet)
}

fn success_rates(fleet: &FleetSimulation) -> SuccessRates {
    let largest_kb = RELATIVE_SIZES[9] * MEAN_KB;
    let next_kb = RELATIVE_SIZES[7] * MEAN_KB;
    let third = |index: u32| {
        let from = BEGIN + (END - BEGIN) * index / 3;
        let to = BEGIN + (END - BEGIN) * (index + 1) / 3;
        success_rate(fleet, |request| request.at >= from && request.at < to)
    };
    SuccessRates {
        all: success_rate(fleet, |_| true),
        largest_tenth: success_rate(fleet, |request| request.size_kb >= largest_kb),
        next_fifth: success_rate(fleet, |request| request.size_kb >= next_kb && request.size_kb < largest_kb),
        thirds_of_day: [third(0), third(1), third(2)],
    }
}

/// The share of the chosen requests that succeeded, out of those that arrived before `END`.
fn success_rate(fleet: &FleetSimulation, is_chosen: impl Fn(&SimulatedRequest) -> bool) -> f64 {
    let of_day = fleet.requests.values().filter(|request| request.at < END);
    let chosen: Vec<&SimulatedRequest> = of_day.filter(|request| is_chosen(request)).collect();
    assert!(chosen.len() > 100, "{}", chosen.len());
    let succeeded = chosen.iter().filter(|request| request.has_answer(FinalAnswerKind::Succeeded));
    succeeded.count() as f64 / chosen.len() as f64
}

#[test_case(0.5, Replacement::None, 0.9, 2.0 / 3.0; "a quiet day")]
#[test_case(0.7, Replacement::OneCache, 0.6, 0.5; "a busy day on which a cache is replaced")]
#[test_case(1.0, Replacement::None, 0.4, 0.5; "as much as the links carry")]
#[test_case(1.3, Replacement::None, 0.4, 0.5; "overload")]
fn large_requests_succeed_too(load: f64, replacing: Replacement, min_rate: f64, min_part: f64) {
    for seed in 1..=3 {
        let SuccessRates { all, largest_tenth, next_fifth, thirds_of_day } = simulate(load, replacing, seed);
        println!(
            "seed {seed}: all {all:.3}, largest {largest_tenth:.3}, next {next_fifth:.3}, \
             thirds {thirds_of_day:.3?}"
        );
        assert!(all >= min_rate, "{all:.3} of all");
        assert!(largest_tenth >= min_part * all, "{largest_tenth:.3} of the largest tenth, {all:.3} of all");
        assert!(next_fifth >= min_part * all, "{next_fifth:.3} of the next fifth, {all:.3} of all");
        assert!(thirds_of_day.iter().all(|third| *third >= 0.6 * all), "{thirds_of_day:.3?}");
    }
}
