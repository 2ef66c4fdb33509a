//! Tests of the memory budget: caps and floors under any order of charges from one thread and from many, and the
//! summaries of use in fixed space.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rockflow_memory_budget::plan::purpose;
use rockflow_memory_budget::{AtCap, Budget, Charge, Growth, HeavyHitters, Plan, PurposeId, PurposeSpec};
use std::time::Duration;
use test_case::test_case;

const LIMIT: usize = 1000;

fn purpose_specs() -> Vec<PurposeSpec> {
    vec![
        purpose("all", "", 1.0, 0.0, 0.0, AtCap::RefuseNew),
        purpose("clients", "all", 0.5, 0.2, 0.1, AtCap::CloseIdle),
        purpose("buffers", "clients", 0.3, 0.1, 0.1, AtCap::Shrink),
        purpose("queries", "clients", 0.3, 0.1, 0.0, AtCap::ShedRequests),
        purpose("answers", "all", 0.4, 0.3, 0.2, AtCap::RefuseNew),
        purpose("log", "all", 0.1, 0.0, 0.0, AtCap::Drop),
    ]
}

fn budget() -> Budget {
    Budget::new(Plan::new(LIMIT, &purpose_specs()).unwrap())
}

#[test_case(vec![], "nothing is declared"; "empty")]
#[test_case(vec![purpose("a", "b", 1.0, 0.0, 0.0, AtCap::Drop)], "root"; "no root")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "c", 0.1, 0.0, 0.0, AtCap::Drop)], "not declared ahead"; "no parent")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("a", "a", 0.1, 0.0, 0.0, AtCap::Drop)], "twice"; "twice")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "a", 0.1, 0.2, 0.0, AtCap::Drop)], "floor exceeds its cap"; "floor above its cap")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "a", 0.6, 0.6, 0.0, AtCap::Drop), purpose("c", "a", 0.6, 0.6, 0.0, AtCap::Drop)], "floors of its parent's children exceed"; "floors of children above the cap of the parent")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "a", 1.5, 0.0, 0.0, AtCap::Drop)], "from 0 to 1"; "share above 1")]
fn invalid_plan_is_rejected(specs: Vec<PurposeSpec>, expected: &str) {
    let error = Plan::new(LIMIT, &specs).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn charges_respect_caps_borrowing_and_floors() {
    let budget = budget();
    let id = |name: &str| budget.plan().id(name).unwrap();
    // A purpose may hold its cap and its borrowing, and no more.
    let answers = budget.charge(id("answers"), 600).unwrap();
    assert_eq!(budget.charge(id("answers"), 1).unwrap_err().limited_by, id("answers"));
    // Of the 400 bytes left, 200 are reserved by the floor of `clients`.
    let log = budget.charge(id("log"), 100).unwrap();
    let requests = budget.charge(id("queries"), 200).unwrap();
    let buffers = budget.charge(id("buffers"), 100).unwrap();
    let refused = budget.charge(id("buffers"), 1).unwrap_err();
    assert_eq!((refused.limited_by, refused.at_cap), (id("all"), AtCap::Shrink));
    // Released bytes can be charged to another purpose.
    drop((answers, log));
    let more = budget.charge(id("buffers"), 200).unwrap();
    assert_eq!(budget.charge(id("queries"), 101).unwrap_err().limited_by, id("queries"));
    // The children together are limited by the cap and the borrowing of their parent.
    let rest = budget.charge(id("queries"), 100).unwrap();
    assert_eq!(budget.charge(id("buffers"), 1).unwrap_err().limited_by, id("clients"));
    assert_eq!(budget.usage()[1].held, 600);
    drop((requests, buffers, more, rest));
    assert!(budget.usage().iter().all(|usage| usage.held == 0));
}

#[test]
fn refused_resize_leaves_the_charge_unchanged() {
    let budget = budget();
    let log = budget.plan().id("log").unwrap();
    let mut charge = budget.charge(log, 10).unwrap();
    charge.resize(100).unwrap();
    assert!(charge.resize(101).is_err());
    assert_eq!((charge.bytes(), budget.held(log)), (100, 100));
    charge.resize(5).unwrap();
    assert_eq!(budget.held(log), 5);
    let usage = &budget.usage()[usize::from(log.0)];
    assert_eq!((usage.peak, usage.refused), (100, 1));
}

#[derive(Clone, Debug)]
enum Step {
    Charge(u16, usize),
    Release(usize),
    Resize(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..6u16, 0..400usize).prop_map(|(purpose, bytes)| Step::Charge(purpose, bytes)),
        2 => (0..50usize).prop_map(Step::Release),
        1 => (0..50usize, 0..400usize).prop_map(|(charge, bytes)| Step::Resize(charge, bytes)),
    ]
}

#[test]
fn random_charges_never_exceed_caps_and_never_lose_floors() {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let result = runner.run(&prop::collection::vec(step(), 1..80), |steps| {
        let budget = budget();
        let mut charges: Vec<Charge> = Vec::new();
        for step in steps {
            match step {
                Step::Charge(purpose, bytes) => {
                    let id = PurposeId(purpose);
                    let node = &budget.plan().nodes()[usize::from(purpose)];
                    // A charge within the floor of a purpose without children is never refused.
                    let leaf = !matches!(node.name, "clients");
                    let within_floor = leaf && budget.held(id) + bytes <= node.floor;
                    match budget.charge(id, bytes) {
                        Ok(charge) => charges.push(charge),
                        Err(refused) => {
                            prop_assert!(!within_floor, "{} within its floor: {refused}", node.name)
                        }
                    }
                }
                Step::Release(index) if index < charges.len() => drop(charges.swap_remove(index)),
                Step::Resize(index, bytes) if index < charges.len() => drop(charges[index].resize(bytes)),
                _ => {}
            }
            let usage = budget.usage();
            prop_assert!(usage[0].held <= LIMIT, "{usage:?}");
            for (purpose, node) in usage.iter().zip(budget.plan().nodes()).skip(1) {
                prop_assert!(purpose.held <= node.cap + node.borrow, "{purpose:?}");
            }
            let sum: usize = charges.iter().map(Charge::bytes).sum();
            prop_assert_eq!(usage[0].held, sum);
        }
        drop(charges);
        prop_assert!(budget.usage().iter().all(|usage| usage.held == 0));
        // With nothing held, `answers` can be charged up to its cap and its borrowing: the floors of others leave
        // that much room.
        let answers = budget.plan().id("answers").unwrap();
        prop_assert!(budget.charge(answers, 600).is_ok());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn concurrent_charges_never_exceed_a_cap_and_release_everything() {
    let budget = budget();
    std::thread::scope(|scope| {
        for seed in 0..8u64 {
            let budget = budget.clone();
            scope.spawn(move || {
                let mut rng = oorandom::Rand32::new(seed);
                let mut charges = Vec::new();
                for _ in 0..20_000 {
                    let purpose = PurposeId(rng.rand_range(1..6) as u16);
                    if let Ok(charge) = budget.charge(purpose, rng.rand_range(0..80) as usize) {
                        charges.push(charge);
                    }
                    if charges.len() > 6 || rng.rand_range(0..3) == 0 {
                        charges.pop();
                    }
                    let held = budget.held(purpose);
                    let node = &budget.plan().nodes()[usize::from(purpose.0)];
                    assert!(held <= node.cap + node.borrow);
                }
            });
        }
    });
    assert!(budget.usage().iter().all(|usage| usage.held == 0));
    let answers = budget.plan().id("answers").unwrap();
    drop(budget.charge(answers, 600).unwrap());
}

#[test]
fn heaviest_keys_are_found_in_fixed_space() {
    let mut heavy = HeavyHitters::new(8);
    let mut rng = oorandom::Rand32::new(5);
    for _ in 0..20_000 {
        // Two keys carry half of the weight, among thousands.
        let key = match rng.rand_range(0..10) {
            0..=2 => 1,
            3 | 4 => 2,
            _ => 100 + rng.rand_range(0..5000),
        };
        heavy.add(key, 1);
    }
    let top = heavy.top(2);
    assert_eq!((top[0].key, top[1].key), (1, 2));
    assert!(top[0].weight >= 5_500 && top[0].weight - top[0].error <= 6_500, "{top:?}");
    (0..20).for_each(|_| heavy.decay());
    assert!(heavy.top(8).is_empty());
}

#[test]
fn growth_over_days_is_found_in_fixed_bytes() {
    let mut growth = Growth::new(2);
    let second = Duration::from_secs(1);
    // The use of the first purpose is constant; that of the second grows from the sixth hour on until two days are over.
    for at in (0..172_800u64).step_by(2) {
        let grown = at.saturating_sub(21_600) / 10;
        growth.record(second * at as u32, &[500, 1000 + grown]);
    }
    let now = second * 172_800;
    let found = growth.grown(now, second * 172_800, 100);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].purpose, 1);
    let since = found[0].since.as_secs();
    assert!((19_000..=23_500).contains(&since), "{since}");
    assert!(found[0].to - found[0].from > 14_000);
    // The last minutes have shorter steps than the first day.
    let series = growth.series(1);
    let steps: Vec<_> = series.windows(2).map(|pair| (pair[1].at - pair[0].at).as_secs()).collect();
    assert_eq!((steps[0], steps[steps.len() - 1]), (1800, 5));
    assert!(growth.max_bytes() < 32 * 1024, "{}", growth.max_bytes());
}
