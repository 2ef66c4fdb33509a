//! Guards against a fill limit that stays in effect after its cause has ended. A burst of late fills triggers the limit,
//! then parents are healthy: within three times the longest deadline after the last late fill, fills must be sent as
//! before, at any request rate and with any random draws.

use rockflow::{CacheStatus, Outcome, Role};
use rockflow_routing_simulation::{
    endpoint_entry, FinalAnswerKind, FleetOptions, FleetSimulation, HostResponse, DEADLINE,
};
use std::time::Duration;
use test_case::test_case;

/// How long fills are late, from the start.
const BURST: Duration = Duration::from_secs(10);
/// Duration of a late fill.
const LATE_FILL: Duration = Duration::from_millis(1500);
/// Duration of a timely fill.
const TIMELY_FILL: Duration = Duration::from_millis(60);
/// Duration of a cached-only attempt that misses.
const MISS_TIME: Duration = Duration::from_millis(1);

/// Share of rejected requests, from 0 to 1, in three periods.
struct RejectedShares {
    /// In the second half of the burst.
    while_limited: f64,
    /// From the end of the burst until the recovery must be complete.
    while_recovering: f64,
    /// After the time by which the recovery must be complete.
    after_recovery: f64,
}

/// All fills are late during the burst, and a random `late_share` of them after it.
fn simulate(request_interval: Duration, late_share: f64, seed: u64) -> RejectedShares {
    let mut fleet = FleetSimulation::new(FleetOptions {
        seed,
        dispatchers: 1,
        request_interval,
        mean_size_kb: 10.0,
        object_count: None,
    });
    let cache = endpoint_entry(1, Role::Cache, 1000.0, None);
    let parent = endpoint_entry(100, Role::Parent, 1000.0, None);
    fleet.restart_dispatcher(Duration::ZERO, 0, vec![cache, parent]);
    fleet.start_requests(Duration::ZERO, 0);
    let mut rng = oorandom::Rand64::new(u128::from(seed));
    fleet.run(BURST + 12 * DEADLINE, |sent| {
        let is_late = sent.at < BURST || rng.rand_float() < late_share;
        let (outcome, cache_status, duration) = match (sent.is_cached_only(), is_late) {
            (true, _) => (Outcome::Miss, CacheStatus::Unknown, MISS_TIME),
            (false, true) => (Outcome::Succeeded, CacheStatus::Filled, LATE_FILL),
            (false, false) => (Outcome::Succeeded, CacheStatus::Filled, TIMELY_FILL),
        };
        HostResponse { outcome, cache_status, duration }
    });
    // The last late fill of the burst ends this long after the burst.
    let last_late_end = BURST + LATE_FILL;
    let recovered = last_late_end + 3 * DEADLINE;
    RejectedShares {
        while_limited: rejected_share(&fleet, BURST / 2, BURST),
        while_recovering: rejected_share(&fleet, last_late_end, recovered),
        after_recovery: rejected_share(&fleet, recovered, last_late_end + 10 * DEADLINE),
    }
}

fn rejected_share(fleet: &FleetSimulation, from: Duration, to: Duration) -> f64 {
    let requests = || fleet.requests.values().filter(|request| (from..to).contains(&request.at));
    let rejected = requests().filter(|request| request.has_answer(FinalAnswerKind::Rejected));
    rejected.count() as f64 / requests().count().max(1) as f64
}

#[test_case(20, 0.0; "many requests")]
#[test_case(200, 0.0; "some requests")]
#[test_case(1000, 0.0; "few requests")]
#[test_case(20, 0.1; "many requests, a tenth of the responses still late")]
#[test_case(200, 0.1; "some requests, a tenth of the responses still late")]
fn fills_recover_within_three_deadlines_after_late_burst(request_interval_ms: u64, late_share: f64) {
    for seed in 1..=20 {
        let rejected = simulate(Duration::from_millis(request_interval_ms), late_share, seed);
        let RejectedShares { while_limited, while_recovering, after_recovery } = rejected;
        println!(
            "seed {seed}: {while_limited:.2} rejected while limited, {while_recovering:.3} while recovering, \
             {after_recovery:.3} after recovery"
        );
        assert!(while_limited > 0.8, "seed {seed}: fills were never limited");
        // A late fill itself ends in a rejection; hardly any other request must be rejected.
        assert!(after_recovery <= 3.0 * late_share, "seed {seed}: {after_recovery} still rejected");
    }
}
