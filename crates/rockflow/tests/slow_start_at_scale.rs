//! Fleets of 3 to 1,800 dispatchers in virtual time: a host in slow start gets no more from all of them together than it
//! tolerates, however uneven their traffic is, whenever each learns of the host, and also when most of them restart.

use rockflow::Role;
use rockflow_routing_simulation::warm_up::{simulate, Restarts, Traffic, WarmUpCase, REQUEST_INTERVAL};
use std::time::Duration;
use test_case::test_case;

#[test_case(3)]
#[test_case(30)]
#[test_case(300)]
#[test_case(1800)]
fn host_in_slow_start_gets_no_more_than_it_tolerates(dispatchers: usize) {
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
                    println!("{dispatchers} {case:?} seed {seed}: {attempts} attempts, {excess:.1} over");
                    if excess > 0.0 || attempts == 0 {
                        failures.push(format!("{case:?} seed {seed}: {excess:.1} over, {attempts} attempts"));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Ten requests a second at each dispatcher: traffic grows with the fleet, so that each gets its turn.
#[test_case(300, Restarts::None)]
#[test_case(300, Restarts::Most)]
#[test_case(1800, Restarts::None)]
#[test_case(1800, Restarts::Most)]
fn host_in_slow_start_of_a_busy_fleet_is_warmed_within_its_limit(dispatchers: usize, restarts: Restarts) {
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
    println!("{dispatchers} {case:?}: {attempts} attempts, {excess:.1} over");
    assert!(excess <= 0.0, "{excess:.1} over");
    // It is warmed, too: at this size a fleet of any number gives it some fifty.
    assert!(attempts >= 30, "{attempts} attempts");
}
