//! Fleets of three to eighteen hundred in virtual time: a cold host gets no more from all of them together than it
//! bears, however uneven their traffic is, whenever each hears of the host, and also when most of them begin anew.

use rockflow::Role;
use rockflow_routing_simulation::cold::{play, Case, Course, GAP};
use std::time::Duration;
use test_case::test_case;

#[test_case(3)]
#[test_case(30)]
#[test_case(300)]
#[test_case(1800)]
fn a_cold_host_bears_what_a_fleet_sends(dispatchers: usize) {
    let mut broken = Vec::new();
    for cold in [Role::Cache, Role::Parent] {
        for size_kb in [50.0, 400.0] {
            for (uneven, told_ms, again) in [
                (false, 0, false),
                (true, 0, false),
                (true, 2500, false),
                (true, 0, true),
                (true, 2500, true),
            ] {
                let told_within = Duration::from_millis(told_ms);
                let case = Case { cold, size_kb, uneven, told_within, again, gap: GAP };
                for seed in 1..=2 {
                    let Course { sent, over, .. } = play(dispatchers, case, seed);
                    println!("{dispatchers} {case:?} seed {seed}: {} calls, {over:.1} over", sent.len());
                    if over > 0.0 || sent.is_empty() {
                        broken.push(format!("{case:?} seed {seed}: {over:.1} over, {} calls", sent.len()));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Ten requests a second at each dispatcher: traffic grows with the fleet, so that each finds its turn.
#[test_case(300, false)]
#[test_case(300, true)]
#[test_case(1800, false)]
#[test_case(1800, true)]
fn a_cold_host_bears_what_a_busy_fleet_sends(dispatchers: usize, again: bool) {
    let told_within = Duration::from_millis(if again { 2500 } else { 0 });
    let gap = Duration::from_millis(100) / dispatchers as u32;
    let case = Case { cold: Role::Cache, size_kb: 50.0, uneven: again, told_within, again, gap };
    let Course { sent, over, .. } = play(dispatchers, case, 1);
    println!("{dispatchers} {case:?}: {} calls, {over:.1} over", sent.len());
    assert!(over <= 0.0, "{over:.1} over");
    // It is warmed, too: at this size a fleet of any number gives it some fifty.
    assert!(sent.len() >= 30, "{} calls", sent.len());
}
