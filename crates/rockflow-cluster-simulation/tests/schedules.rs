//! A short row of each kind, the same on every machine.

use rockflow_cluster_simulation::{Row, World, CALM, ROUGH};
use test_case::test_case;

#[test]
fn a_calm_fleet_answers_all() {
    for seed in 0..20 {
        let mut world = World::new(seed, 5, 3, CALM);
        world.play(60);
        world.verdict().unwrap_or_else(|what| panic!("seed {seed}: {what}"));
        let unanswered = |request: &&_| !world.seen.answers.contains_key(*request);
        let unanswered: Vec<_> = world.seen.asked.keys().filter(unanswered).collect();
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}");
        assert!(world.seen.runs.values().all(|runs| runs.len() <= 2), "seed {seed}");
    }
}

#[test_case(3, 3, 40, 0)]
#[test_case(5, 3, 40, 80)]
#[test_case(7, 5, 30, 80)]
#[test_case(9, 3, 30, 80)]
#[test_case(1, 1, 20, 0; "one alone, which has forgotten all when it restarts")]
#[test_case(2, 3, 30, 0; "two, of whom both must be there")]
fn no_schedule_runs_twice_or_answers_twice(members: usize, replicas: usize, schedules: u64, answered: u64) {
    let sum = Row { members, replicas, requests: 40, faults: ROUGH }.play(0, schedules, 2);
    assert!(sum.violations.is_empty(), "{:?}", sum.violations);
    assert!(sum.answered * 100 >= sum.asked * answered, "{sum:?}");
}
