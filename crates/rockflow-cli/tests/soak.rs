//! A short soak test of the program with fixed seeds; `rockflow-benchmarks soak` runs longer ones.

use rockflow_benchmarks::soak::{self, Plan, Program};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;
/// Number of runs at a time. It is low, so that the test harness keeps its schedule on a busy machine.
const PARALLEL: usize = 3;

/// Every rule holds as observed at the sockets, whatever signals, peers and clients do. A run in which the harness itself
/// was late proves nothing: its report is printed, but not judged.
#[test]
fn rules_hold_in_a_short_soak() {
    let program = Program { path: env!("CARGO_BIN_EXE_rockflow").into(), arguments: Vec::new() };
    let reports = soak::run_plans(&program, SEEDS.map(Plan::from_seed).collect(), PARALLEL);
    soak::print_table(&reports);
    let mut conclusive = reports.iter().filter(|report| !report.is_starved()).peekable();
    assert!(conclusive.peek().is_some(), "the harness was late in every run");
    let failed: Vec<_> = conclusive.filter(|report| !report.violations.is_empty()).collect();
    let violations: Vec<_> = failed.iter().map(|report| (report.seed, &report.violations)).collect();
    assert!(failed.is_empty(), "{violations:?}");
}
