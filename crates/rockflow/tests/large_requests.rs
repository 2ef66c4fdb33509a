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
/// The capacity of a cache's link, in transfers at full rate.
const LINK_WEIGHT: f64 = 8.0;
const REQUESTS_START: Duration = Duration::from_secs(1);
const REQUESTS_END: Duration = Duration::from_secs(61);
/// How long the simulation goes on after `REQUESTS_END`, so that the last requests can finish.
const COMPLETION_TIME: Duration = Duration::from_secs(10);
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
    thirds_of_run: [f64; 3],
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
        let slowdown = ((in_flight.len() + 1) as f64 / LINK_WEIGHT).max(1.0);
        let transfer = Duration::from_secs_f64(sent.size_kb / STREAM_KB_PER_S * slowdown);
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
fn simulate(load: f64, replacement_kind: Replacement, seed: u64) -> SuccessRates {
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
        fleet.start_requests(REQUESTS_START + interval * dispatcher as u32, dispatcher);
        if replacement_kind == Replacement::OneCache {
            let at = REQUESTS_START + (REQUESTS_END - REQUESTS_START).mul_f64(0.5);
            fleet.deliver(at, dispatcher, replacement(at));
        }
    }
    let rng = oorandom::Rand64::new(u128::from(seed) + 99);
    let mut links = SharedLinks { in_flight: BTreeMap::new(), rng };
    fleet.run(REQUESTS_END + COMPLETION_TIME, |sent| links.respond(sent));
    success_rates(&fleet)
}

fn success_rates(fleet: &FleetSimulation) -> SuccessRates {
    let largest_tenth_min_kb = RELATIVE_SIZES[9] * MEAN_KB;
    let next_fifth_min_kb = RELATIVE_SIZES[7] * MEAN_KB;
    let third = |index: u32| {
        let from = REQUESTS_START + (REQUESTS_END - REQUESTS_START) * index / 3;
        let to = REQUESTS_START + (REQUESTS_END - REQUESTS_START) * (index + 1) / 3;
        success_rate(fleet, |request| request.at >= from && request.at < to)
    };
    SuccessRates {
        all: success_rate(fleet, |_| true),
        largest_tenth: success_rate(fleet, |request| request.size_kb >= largest_tenth_min_kb),
        next_fifth: success_rate(fleet, |request| {
            request.size_kb >= next_fifth_min_kb && request.size_kb < largest_tenth_min_kb
        }),
        thirds_of_run: [third(0), third(1), third(2)],
    }
}

/// The share of the chosen requests that succeeded, out of those that arrived before `REQUESTS_END`.
fn success_rate(fleet: &FleetSimulation, is_chosen: impl Fn(&SimulatedRequest) -> bool) -> f64 {
    let arrivals = fleet.requests.values().filter(|request| request.at < REQUESTS_END);
    let chosen: Vec<&SimulatedRequest> = arrivals.filter(|request| is_chosen(request)).collect();
    assert!(chosen.len() > 100, "{}", chosen.len());
    let succeeded = chosen.iter().filter(|request| request.has_answer(FinalAnswerKind::Succeeded));
    succeeded.count() as f64 / chosen.len() as f64
}

#[test_case(0.5, Replacement::None, 0.9, 2.0 / 3.0; "light load")]
#[test_case(0.7, Replacement::OneCache, 0.6, 0.5; "high load while a cache is replaced")]
#[test_case(1.0, Replacement::None, 0.4, 0.5; "load equal to link capacity")]
#[test_case(1.3, Replacement::None, 0.4, 0.5; "overload")]
fn large_requests_are_not_starved(
    load: f64,
    replacement_kind: Replacement,
    min_success_rate: f64,
    min_share_of_rate: f64,
) {
    for seed in 1..=3 {
        let SuccessRates { all, largest_tenth, next_fifth, thirds_of_run } =
            simulate(load, replacement_kind, seed);
        println!(
            "seed {seed}: all {all:.3}, largest tenth {largest_tenth:.3}, next fifth {next_fifth:.3}, \
             thirds {thirds_of_run:.3?}"
        );
        assert!(all >= min_success_rate, "{all:.3} of all requests succeeded");
        assert!(
            largest_tenth >= min_share_of_rate * all,
            "{largest_tenth:.3} of the largest tenth, {all:.3} of all"
        );
        assert!(next_fifth >= min_share_of_rate * all, "{next_fifth:.3} of the next fifth, {all:.3} of all");
        assert!(thirds_of_run.iter().all(|third| *third >= 0.6 * all), "{thirds_of_run:.3?}");
    }
}
