//! Short scenarios with and without faults. The seeds are fixed, so the results are the same on every machine.

use rockflow_cluster_simulation::{Scenario, Summary, World, MIXED_FAULTS, NO_FAULTS};
use test_case::test_case;

#[test]
fn cluster_without_faults_answers_every_request() {
    for seed in 0..20 {
        let mut world = World::new(seed, 5, 3, NO_FAULTS);
        world.run(60);
        world.check_invariants().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let observed = &world.observations;
        let unanswered: Vec<_> =
            observed.first_sent.keys().filter(|request| !observed.answers.contains_key(*request)).collect();
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}");
        assert!(observed.executions.values().all(|executions| executions.len() <= 2), "seed {seed}");
    }
}

#[test_case(3, 3, 40, 0)]
#[test_case(5, 3, 40, 80)]
#[test_case(7, 5, 30, 80)]
#[test_case(9, 3, 30, 80)]
#[test_case(1, 1, 20, 0; "a single member, which loses its memory when it restarts")]
#[test_case(2, 3, 30, 0; "two members, both of which must be present")]
fn faults_cause_no_second_execution_or_second_answer(
    members: usize,
    replicas: usize,
    schedules: u64,
    answered_percent: u64,
) {
    let scenario = Scenario { members, replicas, requests: 40, faults: MIXED_FAULTS };
    let summary = scenario.run(0, schedules, 2);
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.answered * 100 >= summary.requests * answered_percent, "{summary:?}");
}

#[test]
fn summary_json_keeps_its_field_names() {
    let summary = Summary {
        members: 5,
        replicas: 3,
        schedules: 2,
        requests: 40,
        answered: 39,
        retried: 4,
        retries_answered: 3,
        takeovers: 6,
        run_again: 1,
        frames: 700,
        violations: vec![(9, "what".to_string())],
    };
    let line = r#"{"members":5,"keepers":3,"schedules":2,"asked":40,"answered":39,"came_again":4,"served_again":3,"claims":6,"run_again":1,"frames":700,"violations":[[9,"what"]]}"#;
    assert_eq!(serde_json::to_string(&summary).unwrap(), line);
}
