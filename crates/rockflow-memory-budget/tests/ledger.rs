//! The ledger under any order of charges, from one thread and from many.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rockflow_memory_budget::plan::purpose;
use rockflow_memory_budget::{AtCap, Budget, Charge, Declared, Growth, Heavy, Plan, PurposeId};
use std::time::Duration;
use test_case::test_case;

const LIMIT: usize = 1000;

fn declared() -> Vec<Declared> {
    vec![
        purpose("all", "", 1.0, 0.0, 0.0, AtCap::RefuseNew),
        purpose("clients", "all", 0.5, 0.2, 0.1, AtCap::CloseIdle),
        purpose("buffers", "clients", 0.3, 0.1, 0.1, AtCap::Shrink),
        purpose("queries", "clients", 0.3, 0.1, 0.0, AtCap::Dismiss),
        purpose("answers", "all", 0.4, 0.3, 0.2, AtCap::RefuseNew),
        purpose("log", "all", 0.1, 0.0, 0.0, AtCap::Drop),
    ]
}

fn budget() -> Budget {
    Budget::new(Plan::new(LIMIT, &declared()).unwrap())
}

#[test_case(vec![], "nothing is declared"; "empty")]
#[test_case(vec![purpose("a", "b", 1.0, 0.0, 0.0, AtCap::Drop)], "root"; "no root")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "c", 0.1, 0.0, 0.0, AtCap::Drop)], "not declared ahead"; "no parent")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("a", "a", 0.1, 0.0, 0.0, AtCap::Drop)], "twice"; "twice")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "a", 0.1, 0.2, 0.0, AtCap::Drop)], "floor is beyond"; "floor past its cap")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "a", 0.6, 0.6, 0.0, AtCap::Drop), purpose("c", "a", 0.6, 0.6, 0.0, AtCap::Drop)], "floors below"; "floors past the parent")]
#[test_case(vec![purpose("a", "", 1.0, 0.0, 0.0, AtCap::Drop), purpose("b", "a", 1.5, 0.0, 0.0, AtCap::Drop)], "from 0 to 1"; "part past the whole")]
fn a_plan_that_can_not_be_kept_is_refused(plan: Vec<Declared>, what: &str) {
    let fault = Plan::new(LIMIT, &plan).unwrap_err().to_string();
    assert!(fault.contains(what), "{fault}");
}

#[test]
fn caps_borrowing_and_floors() {
    let budget = budget();
    let id = |name: &str| budget.plan().id(name).unwrap();
    // Its cap and what it may borrow, and no more.
    let answers = budget.charge(id("answers"), 600).unwrap();
    assert_eq!(budget.charge(id("answers"), 1).unwrap_err().short, id("answers"));
    // The floor of clients is kept for them: 200 of the 400 left.
    let log = budget.charge(id("log"), 100).unwrap();
    let requests = budget.charge(id("queries"), 200).unwrap();
    let buffers = budget.charge(id("buffers"), 100).unwrap();
    let refused = budget.charge(id("buffers"), 1).unwrap_err();
    assert_eq!((refused.short, refused.at_cap), (id("all"), AtCap::Shrink));
    // What is given back can be had again, by another.
    drop((answers, log));
    let more = budget.charge(id("buffers"), 200).unwrap();
    assert_eq!(budget.charge(id("queries"), 101).unwrap_err().short, id("queries"));
    // Their parent's cap, and what it may borrow, hold them together.
    let rest = budget.charge(id("queries"), 100).unwrap();
    assert_eq!(budget.charge(id("buffers"), 1).unwrap_err().short, id("clients"));
    assert_eq!(budget.rows()[1].held, 600);
    drop((requests, buffers, more, rest));
    assert!(budget.rows().iter().all(|row| row.held == 0));
}

#[test]
fn a_charge_changes_its_size_or_stays_as_it_was() {
    let budget = budget();
    let log = budget.plan().id("log").unwrap();
    let mut charge = budget.charge(log, 10).unwrap();
    charge.resize(100).unwrap();
    assert!(charge.resize(101).is_err());
    assert_eq!((charge.bytes(), budget.held(log)), (100, 100));
    charge.resize(5).unwrap();
    assert_eq!(budget.held(log), 5);
    let row = &budget.rows()[usize::from(log.0)];
    assert_eq!((row.peak, row.refused), (100, 1));
}

#[derive(Clone, Debug)]
enum Step {
    Take(u16, usize),
    Give(usize),
    Resize(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..6u16, 0..400usize).prop_map(|(purpose, bytes)| Step::Take(purpose, bytes)),
        2 => (0..50usize).prop_map(Step::Give),
        1 => (0..50usize, 0..400usize).prop_map(|(charge, bytes)| Step::Resize(charge, bytes)),
    ]
}

#[test]
fn whatever_is_charged_every_cap_holds_and_every_floor_is_there() {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let ran = runner.run(&prop::collection::vec(step(), 1..80), |steps| {
        let budget = budget();
        let mut charges: Vec<Charge> = Vec::new();
        for step in steps {
            match step {
                Step::Take(purpose, bytes) => {
                    let id = PurposeId(purpose);
                    let node = &budget.plan().nodes()[usize::from(purpose)];
                    // Room within the floors on the way up can never be refused.
                    let leaf = !matches!(node.name, "clients");
                    let within = leaf && budget.held(id) + bytes <= node.floor;
                    match budget.charge(id, bytes) {
                        Ok(charge) => charges.push(charge),
                        Err(refused) => prop_assert!(!within, "{} within its floor: {refused}", node.name),
                    }
                }
                Step::Give(at) if at < charges.len() => drop(charges.swap_remove(at)),
                Step::Resize(at, bytes) if at < charges.len() => drop(charges[at].resize(bytes)),
                _ => {}
            }
            let rows = budget.rows();
            prop_assert!(rows[0].held <= LIMIT, "{rows:?}");
            for (row, node) in rows.iter().zip(budget.plan().nodes()).skip(1) {
                prop_assert!(row.held <= node.cap + node.borrow, "{row:?}");
            }
            let sum: usize = charges.iter().map(Charge::bytes).sum();
            prop_assert_eq!(rows[0].held, sum);
        }
        drop(charges);
        prop_assert!(budget.rows().iter().all(|row| row.held == 0));
        // With nothing held, all that the root has beside the floors of others can be had.
        let answers = budget.plan().id("answers").unwrap();
        prop_assert!(budget.charge(answers, 600).is_ok());
        Ok(())
    });
    ran.unwrap_or_else(|what| panic!("{what}"));
}

#[test]
fn many_threads_leave_nothing_behind_and_never_pass_a_cap() {
    let budget = budget();
    std::thread::scope(|scope| {
        for seed in 0..8u64 {
            let budget = budget.clone();
            scope.spawn(move || {
                let mut chance = oorandom::Rand32::new(seed);
                let mut charges = Vec::new();
                for _ in 0..20_000 {
                    let purpose = PurposeId(chance.rand_range(1..6) as u16);
                    if let Ok(charge) = budget.charge(purpose, chance.rand_range(0..80) as usize) {
                        charges.push(charge);
                    }
                    if charges.len() > 6 || chance.rand_range(0..3) == 0 {
                        charges.pop();
                    }
                    let held = budget.held(purpose);
                    let node = &budget.plan().nodes()[usize::from(purpose.0)];
                    assert!(held <= node.cap + node.borrow);
                }
            });
        }
    });
    assert!(budget.rows().iter().all(|row| row.held == 0));
    let answers = budget.plan().id("answers").unwrap();
    drop(budget.charge(answers, 600).unwrap());
}

#[test]
fn the_heaviest_are_found_in_fixed_space() {
    let mut heavy = Heavy::new(8);
    let mut chance = oorandom::Rand32::new(5);
    for _ in 0..20_000 {
        // Two of them are behind half of it, among thousands.
        let key = match chance.rand_range(0..10) {
            0..=2 => 1,
            3 | 4 => 2,
            _ => 100 + chance.rand_range(0..5000),
        };
        heavy.add(key, 1);
    }
    let top = heavy.top(2);
    assert_eq!((top[0].0, top[1].0), (1, 2));
    assert!(top[0].1 >= 5_500 && top[0].1 - top[0].2 <= 6_500, "{top:?}");
    (0..20).for_each(|_| heavy.fade());
    assert!(heavy.top(8).is_empty());
}

#[test]
fn growth_is_seen_long_after_in_fixed_bytes() {
    let mut growth = Growth::new(2);
    let second = Duration::from_secs(1);
    // One stays; the other grows from the sixth hour on, for two days.
    for at in (0..172_800u64).step_by(2) {
        let grown = at.saturating_sub(21_600) / 10;
        growth.see(second * at as u32, &[500, 1000 + grown]);
    }
    let now = second * 172_800;
    let found = growth.grown(now, second * 172_800, 100);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].purpose, 1);
    let since = found[0].since.as_secs();
    assert!((19_000..=23_500).contains(&since), "{since}");
    assert!(found[0].to - found[0].from > 14_000);
    // The last minutes are finer than the first day.
    let series = growth.series(1);
    let steps: Vec<_> = series.windows(2).map(|pair| (pair[1].0 - pair[0].0).as_secs()).collect();
    assert_eq!((steps[0], steps[steps.len() - 1]), (1800, 5));
    assert!(growth.bound() < 32 * 1024, "{}", growth.bound());
}
