//! Runs the soak with dispatchers that violate one rule each, and checks that it reports the violation.

use rockflow_benchmarks::soak::{self, Plan, Program, Rule};
use test_case::test_case;

const SEED: u64 = 1;

#[test_case("answers-twice", Rule::SecondAnswer)]
#[test_case("loses-requests", Rule::Lost)]
#[test_case("answers-late", Rule::Late)]
#[test_case("serves-wrong-bytes", Rule::WrongBody)]
#[test_case("rejects-as-malformed", Rule::WrongStatus)]
#[test_case("serves-purged", Rule::Purged)]
#[test_case("uses-drained-host", Rule::Drained)]
#[test_case("repeats-effects", Rule::RepeatedEffect)]
#[test_case("sends-after-leave", Rule::SentAfterLeave)]
#[test_case("exits-with-error", Rule::Exit)]
#[test_case("never-exits", Rule::Exit)]
#[test_case("panics", Rule::Panic)]
fn soak_reports_violation_of_wrong_dispatcher(fault: &str, rule: Rule) {
    let path = env!("CARGO_BIN_EXE_rockflow-benchmarks").into();
    let program = Program { path, arguments: vec!["wrong-dispatcher".to_string(), fault.to_string()] };
    let reports = soak::run_plans(&program, vec![Plan::without_faults(SEED)], 1);
    assert!(reports[0].has_violation(rule), "{:?}", reports[0].violations);
    assert!(!reports[0].timelines.is_empty());
}
