//! Fleets of 3 to 1,800 dispatchers in virtual time: the work that all of them together send to a host in slow start
//! stays within its limit with even and uneven traffic, also when dispatchers learn of the host at different times and
//! when most of them restart.

use rockflow::Role;
use rockflow_routing_simulation::warm_up::{simulate, Restarts, Traffic, WarmUpCase, REQUEST_INTERVAL};
use std::time::Duration;
use test_case::test_case;

#[test_case(3)]
#[test_case(30)]
#[test_case(300)]
#[test_case(1800)]
fn work_sent_to_host_in_slow_start_stays_within_limit(dispatchers: usize) {
    let mut failures = Vec::new();
    for role in [Role::Cache, Role::Parent] {
        for size_kb in [50.0, 400.0] {
            for (traffic, notice_spread_ms, restarts) in [
                (Traffic::Even, 0, Restarts::None),
                (Traffic::Uneven, 0, Restarts::None),
                (Traffic::Uneven, 2500, Restarts::None),
                (Traffic::Uneven, 0, Restarts::Most),
                (Traffic::Uneven, 2500, Restarts::Most),
            ] {
                let notice_spread = Duration::from_millis(notice_spread_ms);
                let request_interval = REQUEST_INTERVAL;
                let case = WarmUpCase { role, size_kb, traffic, notice_spread, restarts, request_interval };
                for seed in 1..=2 {
                    let result = simulate(dispatchers, case, seed);
                    let (attempts, excess) = (result.sent.len(), result.max_excess);
                    println!(
                        "{dispatchers} {case:?} seed {seed}: {attempts} attempts, {excess:.1} over the limit"
                    );
                    if excess > 0.0 || attempts == 0 {
                        failures.push(format!(
                            "{case:?} seed {seed}: {excess:.1} over the limit, {attempts} attempts"
                        ));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Traffic grows with the fleet, at ten requests a second for each dispatcher, so that each has a request to send in its
/// turn.
#[test_case(300, Restarts::None)]
#[test_case(300, Restarts::Most)]
#[test_case(1800, Restarts::None)]
#[test_case(1800, Restarts::Most)]
fn busy_fleet_warms_host_within_its_limit(dispatchers: usize, restarts: Restarts) {
    let has_restarts = restarts == Restarts::Most;
    let case = WarmUpCase {
        role: Role::Cache,
        size_kb: 50.0,
        traffic: if has_restarts { Traffic::Uneven } else { Traffic::Even },
        notice_spread: Duration::from_millis(if has_restarts { 2500 } else { 0 }),
        restarts,
        request_interval: Duration::from_millis(100) / dispatchers as u32,
    };
    let result = simulate(dispatchers, case, 1);
    let (attempts, excess) = (result.sent.len(), result.max_excess);
    println!("{dispatchers} {case:?}: {attempts} attempts, {excess:.1} over the limit");
    assert!(excess <= 0.0, "{excess:.1} over the limit");
    // The host also gets enough attempts to warm up: at this size, fleets of any number send it about fifty.
    assert!(attempts >= 30, "{attempts} attempts");
}
