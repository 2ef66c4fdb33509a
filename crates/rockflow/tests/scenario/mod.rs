//! Runs text scenarios of routing decisions.
//!
//! - `config KEY=VALUE ..` starts a dispatcher with a configuration; keys left out have defaults.
//! - `at TIME EVENT` feeds an event to the dispatcher; timers that are due by then fire first. `wait` is no event.
//! - `-> ACTION` after either of them is an expected action. All actions must be listed, in order; `-> ignore` accepts
//!   all that remain.
//! - `Nx LINE` repeats a line N times, `times N` repeats the lines up to `done`. `%` is replaced by the index of the
//!   iteration, from 0.
//! - `#` starts a comment, and a line of `---` separates scenarios.
//!
//! A host is a name (`c` for a cache, `p` for a parent, `o` for the origin, followed by a number). An expected action may
//! also have `any` for any host, `$x` for the host that `$x` matched first, and `!$x` for any host but that.

mod notation;
mod runner;

use notation::unroll;
use runner::ScenarioRunner;

/// Runs the scenarios of `tests/scenarios/NAME.txt`.
///
/// # Panics
/// At the first line whose actions differ from the expected ones, with the line.
pub fn run_file(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the scenario file is readable");
    for scenario in text.split("\n---\n") {
        run_scenario(name, scenario);
    }
}

fn run_scenario(name: &str, scenario: &str) {
    let mut runner = ScenarioRunner::default();
    for line in unroll(scenario) {
        let (number, text) = (line.number, &line.text);
        let fail =
            |error: String| panic!("{name}, {:?}, line {number} ({text}): {error}", scenario.lines().next());
        let mut steps = text.split("->").map(|step| step.split_whitespace().collect::<Vec<&str>>());
        runner.run_step(&steps.next().expect("split returns at least one step")).unwrap_or_else(fail);
        for step in steps {
            runner.expect_action(&step).unwrap_or_else(fail);
        }
        if !runner.unexpected_actions().is_empty() {
            fail(format!("unexpected actions: {:?}", runner.unexpected_actions()));
        }
    }
}
