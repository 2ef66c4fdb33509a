//! Plays text scenarios of the decisions.
//!
//! A line is `config ..` or `at TIME EVENT`, each with `-> ACTION` for every action that must come of it, in order
//! (`-> ignore` takes any that are left), or `Nx` before a line, or `times N` .. `done`; `#` is a comment. Timers fire by
//! themselves. A host is a name (c cache, p parent, o origin, then a number), `$x` (bound when first seen, the same from
//! then on), `!$x` (another one) or `any`; `%` in an id is the round of the loop.

mod notation;
mod player;

use notation::unroll;
use player::Player;

/// Plays the scenarios of a file, which are separated by `---`.
///
/// # Panics
/// With the line that failed.
pub fn play_file(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a scenario file");
    for scenario in text.split("\n---\n") {
        play_scenario(name, scenario);
    }
}

fn play_scenario(name: &str, scenario: &str) {
    let mut player = Player::default();
    for line in unroll(scenario) {
        let (number, text) = (line.number, &line.text);
        let fail =
            |error: String| panic!("{name}, {:?}, line {number} ({text}): {error}", scenario.lines().next());
        let mut steps = text.split("->").map(|step| step.split_whitespace().collect::<Vec<&str>>());
        player.play(&steps.next().expect("an event")).unwrap_or_else(fail);
        for step in steps {
            player.expect_action(&step).unwrap_or_else(fail);
        }
        if !player.unexpected_actions().is_empty() {
            fail(format!("not expected: {:?}", player.unexpected_actions()));
        }
    }
}
