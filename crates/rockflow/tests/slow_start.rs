//! Guards against overloading a host in slow start: each of fifty dispatchers sees only its own part of the load, so
//! that limits kept by each could add up to too much. Runs in virtual time with one host of a role in slow start, and
//! checks that the sum of what all dispatchers send there stays within the configured limit.

use rockflow::{CacheStatus, EndpointEntry, HostId, Outcome, Role};
use rockflow_routing_simulation::{
    endpoint_entry, FleetOptions, FleetSimulation, HostResponse, SentAttempt, SlowStartHost, SLOW_START,
    STREAM_KB_PER_S,
};
use std::time::Duration;
use test_case::test_case;

const DISPATCHERS: usize = 50;
/// Mean size of a response.
const MEAN_SIZE_KB: f64 = 50.0;
/// Capacity of each link, in transfers at full rate.
const LINK_WEIGHT: f64 = 8.0;
const CACHES: u64 = 4;
const PARENTS: u64 = 4;
const NEW_PARENT: HostId = HostId(100);
const NEW_CACHE: HostId = HostId(0);
/// When the dispatchers and the new host start.
const BEGIN: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(25);
/// Time between two requests at the same dispatcher.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const RESPONSE_TIME: Duration = Duration::from_millis(60);

/// When the dispatchers send their first requests.
#[derive(Clone, Copy, PartialEq)]
enum Start {
    /// Each dispatcher at its own random time within one request interval.
    Staggered,
    /// All dispatchers at the same time.
    Simultaneous,
    /// All at the same time; seven in ten restart five seconds later without their state.
    WithRestarts,
}

fn hosts(new_host: HostId) -> Vec<EndpointEntry> {
    let started = |id: u64| (HostId(id) == new_host).then_some(BEGIN);
    let caches = (0..CACHES).map(|id| endpoint_entry(id, Role::Cache, LINK_WEIGHT, started(id)));
    let parents = (100..100 + PARENTS).map(|id| endpoint_entry(id, Role::Parent, LINK_WEIGHT, started(id)));
    caches.chain(parents).collect()
}

/// Nothing is cached: a cached-only attempt misses, and any other attempt is filled.
fn respond(sent: &SentAttempt) -> HostResponse {
    let (outcome, cache_status) = if sent.is_cached_only() {
        (Outcome::Miss, CacheStatus::Unknown)
    } else {
        (Outcome::Succeeded, CacheStatus::Filled)
    };
    HostResponse { outcome, cache_status, duration: RESPONSE_TIME }
}

fn simulate(start: Start, new_host: HostId, seed: u64) -> FleetSimulation {
    let mut fleet = FleetSimulation::new(FleetOptions {
        seed,
        dispatchers: DISPATCHERS,
        request_interval: REQUEST_INTERVAL,
        mean_size_kb: MEAN_SIZE_KB,
        object_count: None,
    });
    for dispatcher in 0..DISPATCHERS {
        fleet.restart_dispatcher(BEGIN, dispatcher, hosts(new_host));
        let phase = if start == Start::Staggered { fleet.rng.rand_float() } else { 0.0 };
        fleet.start_requests(BEGIN + REQUEST_INTERVAL.mul_f64(phase), dispatcher);
        if start == Start::WithRestarts && dispatcher % 10 < 7 {
            fleet.restart_dispatcher(BEGIN + Duration::from_secs(5), dispatcher, hosts(new_host));
        }
    }
    fleet.run(END, respond);
    fleet
}

#[test_case(Start::Staggered, NEW_PARENT; "staggered, a parent")]
#[test_case(Start::Simultaneous, NEW_PARENT; "simultaneous, a parent")]
#[test_case(Start::WithRestarts, NEW_PARENT; "seven in ten restarted, a parent")]
#[test_case(Start::Staggered, NEW_CACHE; "staggered, a cache")]
#[test_case(Start::Simultaneous, NEW_CACHE; "simultaneous, a cache")]
#[test_case(Start::WithRestarts, NEW_CACHE; "seven in ten restarted, a cache")]
fn work_sent_to_host_in_slow_start_stays_within_limit(start: Start, new_host: HostId) {
    for seed in 1..=5 {
        let fleet = simulate(start, new_host, seed);
        let sent: Vec<Duration> = fleet.attempts_using(new_host).map(|sent| sent.at).collect();
        let attempt_s = MEAN_SIZE_KB / STREAM_KB_PER_S;
        let host = SlowStartHost { started: BEGIN, weight: LINK_WEIGHT, attempt_s };
        let relative_work = host.max_relative_work(&sent);
        // Checks that the test offers enough load: a quarter of all requests, the even share of one of four hosts, is
        // several times what the host tolerates when it starts.
        let offered_load = fleet.requests.len() as f64 / 4.0 * attempt_s / (END - BEGIN).as_secs_f64();
        assert!(
            offered_load > 2.0 * SLOW_START.overload_multiple * SLOW_START.initial_share * LINK_WEIGHT,
            "the offered load of {offered_load} transfers is too low to test the limit"
        );
        assert!(relative_work <= 1.0, "seed {seed}: {relative_work:.2} times the limit");
        assert!(relative_work > 0.05, "seed {seed}: {relative_work:.2} of the limit, too little to warm up");
        println!("seed {seed}: {relative_work:.2} of the limit, {} attempts", sent.len());
    }
}
