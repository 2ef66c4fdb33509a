//! A short soak of the program with fixed seeds; `rockflow-benchmarks soak` plays more.

use rockflow_benchmarks::soak::{self, Plan, Program};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;
/// Few, so that the rig itself is in time on a machine that others use.
const PARALLEL: usize = 3;

/// Every rule holds at the sockets, whatever signals, peers and clients do. A run whose rig was late itself is no
/// evidence either way: it is printed, and counted apart.
#[test]
fn rules_hold_in_a_short_soak() {
    let program = Program { path: env!("CARGO_BIN_EXE_rockflow").into(), arguments: Vec::new() };
    let reports = soak::run_plans(&program, SEEDS.map(Plan::from_seed).collect(), PARALLEL);
    soak::print_table(&reports);
    let mut judged = reports.iter().filter(|report| !report.is_starved()).peekable();
    assert!(judged.peek().is_some(), "the rig was late in every run");
    let broken: Vec<_> = judged.filter(|report| !report.violations.is_empty()).collect();
    let seeds: Vec<_> = broken.iter().map(|report| (report.seed, &report.violations)).collect();
    assert!(broken.is_empty(), "{seeds:?}");
}
