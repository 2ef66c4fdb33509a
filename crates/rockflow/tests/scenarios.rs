//! Routing decisions in text scenarios: each feeds events to a dispatcher and lists the actions that must follow.

mod scenario;

use test_case::test_case;

#[test_case("ordinary")]
#[test_case("stale_copies")]
#[test_case("sources")]
#[test_case("purges")]
#[test_case("draining")]
#[test_case("slow_start")]
#[test_case("effects")]
#[test_case("shutdown")]
#[test_case("timeouts")]
#[test_case("outlier_ejection")]
#[test_case("load")]
#[test_case("fill_limits")]
#[test_case("source_paths")]
#[test_case("final_answers")]
#[test_case("discovery")]
#[test_case("unexpected_events")]
fn actions_match_scenario(name: &str) {
    scenario::run_file(name);
}
