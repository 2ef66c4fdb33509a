//! The capacity page agrees with its rows and its target; one that differs is found.

use rockflow_scale::page::reckon::Reckoned;
use rockflow_scale::page::{self, first_difference, put_in};
use rockflow_scale::rows::{Found, How, Row, Size};
use rockflow_scale::target::Target;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use test_case::test_case;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow-scale"));
    command.arg("page").args(arguments).current_dir(root()).output().expect("it runs")
}

/// What CI asks: the same as `rockflow-scale page --check` at the root of the repository.
#[test]
fn the_page_agrees_with_rows_and_target() {
    let ran = page(&["--check"]);
    assert!(ran.status.success(), "{}", String::from_utf8_lossy(&ran.stderr));
}

#[test]
fn a_page_that_differs_is_shown_where_it_does() {
    let copy = std::env::temp_dir().join(format!("rockflow-scale-page-{}.md", std::process::id()));
    let text = std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page");
    std::fs::write(&copy, text.replace("| dispatchers | 1,800 |", "| dispatchers | 1,900 |"))
        .expect("written");
    let name = copy.to_string_lossy().to_string();
    let ran = page(&["--check", "--page", &name]);
    let said = String::from_utf8_lossy(&ran.stderr).to_string();
    assert_eq!(ran.status.code(), Some(1));
    assert!(said.contains("1,900") && said.contains("should be: | dispatchers | 1,800 |"), "{said}");
    // Written anew it agrees again.
    assert!(page(&["--write", "--page", &name]).status.success());
    assert!(page(&["--check", "--page", &name]).status.success());
    assert_eq!(std::fs::read_to_string(&copy).expect("read"), text);
    std::fs::remove_file(&copy).expect("removed");
}

#[test]
fn another_target_makes_another_page() {
    let path = std::env::temp_dir().join(format!("rockflow-scale-other-{}.toml", std::process::id()));
    let text = std::fs::read_to_string(root().join("docs/capacity/target.toml")).expect("the target");
    std::fs::write(&path, text.replace("dispatchers = 1800", "dispatchers = 600")).expect("written");
    let ran = page(&["--check", "--target", &path.to_string_lossy()]);
    std::fs::remove_file(&path).expect("removed");
    assert_eq!(ran.status.code(), Some(1));
}

fn tables() -> BTreeMap<String, String> {
    BTreeMap::from([("one".to_string(), "| a |\n".to_string()), ("two".to_string(), "| b |\n".to_string())])
}

#[test]
fn tables_are_put_between_their_markers_and_all_else_stays() {
    let held =
        "# Page\n<!-- table one -->\nold\n<!-- end -->\nwords\n<!-- table two -->\n<!-- end -->\nlast\n";
    let made = put_in(held, &tables()).expect("put in");
    assert_eq!(
        made,
        "# Page\n<!-- table one -->\n| a |\n<!-- end -->\nwords\n<!-- table two -->\n| b |\n<!-- end -->\nlast\n"
    );
    assert_eq!(put_in(&made, &tables()).expect("put in"), made);
}

#[test_case("<!-- table one -->\n<!-- end -->\n", "table two stands nowhere"; "one left out")]
#[test_case("<!-- table one -->\n<!-- table two -->\n<!-- end -->\n", "table one has no end before table two"; "no end")]
#[test_case("<!-- table two -->\n<!-- end -->\n<!-- table one -->\n", "table one has no end"; "no last end")]
#[test_case("<!-- table three -->\n<!-- end -->\n", "there is no table three"; "unknown")]
#[test_case("<!-- end -->\n", "an end of a table that did not begin"; "no begin")]
fn bad_markers_are_faults(held: &str, says: &str) {
    let fault = put_in(held, &tables()).expect_err("a fault");
    assert!(fault.to_string().contains(says), "{fault}");
}

#[test]
fn the_first_difference_is_named_by_its_line() {
    assert_eq!(first_difference("a\nb\n", "a\nb\n"), None);
    let what = first_difference("a\nb\n", "a\nc\n").expect("a difference");
    assert!(
        what.contains("line 2") && what.contains("holds:     b") && what.contains("should be: c"),
        "{what}"
    );
    let what = first_difference("a\n", "a\nb\n").expect("a difference");
    assert!(what.contains("line 2") && what.contains("(nothing)"), "{what}");
}

fn target() -> Target {
    Target::read(&root().join("docs/capacity/target.toml")).expect("a target")
}

fn rows(sizes: &[f64]) -> Vec<Row> {
    let row = |x: &f64| Row {
        series: "membership".to_string(),
        x: Size { name: "members".to_string(), value: *x },
        y: Found { name: "bytes".to_string(), value: Some(2.0 * x), unit: "B/s".to_string() },
        seed: 1,
        parameters: BTreeMap::new(),
        command: "rockflow-scale slopes --series membership".to_string(),
        how: How::Measured,
        note: None,
    };
    sizes.iter().map(row).collect()
}

const SLOPE: &str =
    "[[slope]]\nname = \"idle\"\nseries = \"membership\"\nfigure = \"bytes\"\nat = \"dispatchers\"\n";
const GIVEN: &str = "[[given]]\nname = \"half\"\nvalue = \"1 / 2\"\nhow = \"read\"\nfrom = \"the code\"\n";

fn need(needed: &str) -> String {
    format!(
        "[[need]]\nrole = \"dispatcher\"\nmoment = \"an ordinary minute\"\nquantity = \"bytes out, a second\"\n\
         needed = \"{needed}\"\nallowed = \"kb_per_second * 1000\"\nmechanism = \"none\"\n"
    )
}

#[test]
fn a_need_is_reckoned_over_slopes_and_target() {
    let text = format!("{GIVEN}{SLOPE}{}{}", need("idle"), need("idle * half + purges_per_second"));
    let reckoned = Reckoned::parse(&text, &target(), &rows(&[30.0, 60.0, 90.0, 120.0])).expect("reckoned");
    let [alone, both] = &reckoned.needs[..] else { panic!("two needs") };
    assert!((alone.needed.expect("a value") - 3600.0).abs() < 1e-6);
    assert!((alone.ratio().expect("a ratio") - 0.6).abs() < 1e-9);
    assert_eq!((alone.how, both.how), (How::Measured, How::Reckoned));
    assert!((both.needed.expect("a value") - 1849.0).abs() < 1e-6);
    assert!(both.commands.contains("rockflow-scale slopes --series membership"));
}

#[test_case("idle", 3, "slope idle: no slope is fitted to 3 sizes"; "too few sizes")]
#[test_case("idle + other", 4, "other is neither in the target nor named before"; "unknown name")]
#[test_case("idle / 0", 4, "is no number"; "no number")]
#[test_case("idle +", 4, "idle +"; "no formula")]
fn bad_reckoning_is_named(needed: &str, sizes: usize, says: &str) {
    let text = format!("{GIVEN}{SLOPE}{}", need(needed));
    let fault =
        Reckoned::parse(&text, &target(), &rows(&[30.0, 60.0, 90.0, 120.0][..sizes])).expect_err("a fault");
    assert!(fault.to_string().contains(says), "{fault}");
}

#[test]
fn a_slope_without_rows_is_a_fault_unless_it_is_awaited() {
    let text = format!("{GIVEN}{SLOPE}{}", need("idle * 2"));
    let fault = Reckoned::parse(&text, &target(), &[]).expect_err("no rows");
    assert!(fault.to_string().contains("no rows of membership / bytes"), "{fault}");
    let text = format!("{GIVEN}{SLOPE}awaited = true\n{}", need("idle * 2"));
    let reckoned = Reckoned::parse(&text, &target(), &[]).expect("awaited");
    assert_eq!((reckoned.needs[0].needed, reckoned.needs[0].ratio()), (None, None));
}

#[test]
fn all_four_moments_and_all_six_roles_stand_in_the_page() {
    let options = page::Options {
        page: root().join("docs/CAPACITY.md"),
        target: root().join("docs/capacity/target.toml"),
        rows: root().join("docs/capacity/rows"),
        reckoned: root().join("docs/capacity/reckoned.toml"),
        check: false,
        write: false,
    };
    let tables = page::tables(&options).expect("tables");
    for role in page::reckon::Role::ALL {
        let table = &tables[role.as_str()];
        for moment in page::reckon::Scenario::ALL {
            assert!(
                table.contains(&format!("| {} |", moment.as_str())),
                "{} at {}",
                role.as_str(),
                moment.as_str()
            );
        }
    }
}

#[test]
fn a_run_at_just_this_size_needs_no_slope_but_that_size() {
    let text = format!("{GIVEN}{SLOPE}played = true\n{}", need("idle"));
    let reckoned = Reckoned::parse(&text, &target(), &rows(&[1800.0])).expect("the run is there");
    assert_eq!(reckoned.needs[0].needed, Some(3600.0));
    let fault = Reckoned::parse(&text, &target(), &rows(&[900.0])).expect_err("another size");
    assert!(fault.to_string().contains("was not played at 1800"), "{fault}");
}

const RUNS: &str = "[runs]\nseries = \"dissemination\"\nat = \"dispatchers\"\n\
    parameters = { \"purges a second\" = \"purges_per_second\" }\ndesign = \"dissemination\"\n\
    mechanism = \"numbered dissemination\"\nneed = [\n\
    { role = \"dispatcher\", quantity = \"bytes out, a second\", figure = \"out\", allowed = \"kb_per_second * 1000\" },\n\
    { role = \"dispatcher\", quantity = \"what was missed in force at all, seconds\", figure = \"missed\", \
    moment = \"two regions meet again\" },\n]\n";

fn run(moment: &str, seed: u64, figure: &str, value: f64) -> Row {
    Row {
        series: format!("dissemination-{moment}"),
        x: Size { name: "members".to_string(), value: 1800.0 },
        y: Found { name: figure.to_string(), value: Some(value), unit: "B/s".to_string() },
        seed,
        parameters: BTreeMap::from([("purges a second".to_string(), 49.0)]),
        command: format!("rockflow-scale virtual --seed {seed} --moment {moment} --minutes 2"),
        how: How::Measured,
        note: None,
    }
}

fn with_runs(more: Vec<Row>) -> Result<Reckoned, rockflow_scale::Fault> {
    let text = format!("{RUNS}{GIVEN}{SLOPE}{}", need("idle"));
    let rows: Vec<_> = rows(&[30.0, 60.0, 90.0, 120.0]).into_iter().chain(more).collect();
    Reckoned::parse(&text, &target(), &rows)
}

fn needs_of(reckoned: &Reckoned, moment: page::reckon::Scenario) -> Vec<&page::reckon::Need> {
    let design = page::reckon::Design::Dissemination;
    reckoned.needs.iter().filter(|need| need.moment == moment && need.design == design).collect()
}

#[test]
fn each_moment_of_runs_is_a_need_by_the_worst_of_its_seeds() {
    use page::reckon::Scenario;
    let mut other = run("restart", 4, "out", 9e9);
    other.x.value = 900.0;
    let mut even = run("restart", 5, "out", 9e9);
    even.parameters.insert("even".to_string(), 1.0);
    let mut reduced = run("regions", 1, "out", 10.0);
    reduced.note = Some("apart for 60 s of 3600 s".to_string());
    let missed = Row { note: reduced.note.clone(), ..run("regions", 1, "missed", 5.0) };
    let restarts =
        [run("restart", 1, "out", 3000.0), run("restart", 3, "out", 6600.0), run("restart", 2, "out", 5.0)];
    let more = restarts.into_iter().chain([other, even, reduced, missed]).collect();
    let reckoned = with_runs(more).expect("reckoned");

    let [restart] = needs_of(&reckoned, Scenario::Restart)[..] else { panic!("one need") };
    assert_eq!((restart.needed, restart.ratio()), (Some(6600.0), Some(1.1)));
    assert_eq!(restart.runs.as_deref(), Some("run at its own size, worst of 3 seeds"));
    let command = "rockflow-scale virtual --seeds 1,2,3 --moment restart --minutes 2".to_string();
    assert_eq!(restart.commands.iter().collect::<Vec<_>>(), [&command]);

    let [out, missed] = needs_of(&reckoned, Scenario::Regions)[..] else { panic!("two needs") };
    assert_eq!((out.needed, missed.needed), (Some(10.0), Some(5.0)));
    let words = "run at its own size, 1 seed; **reduced**: apart for 60 s of 3600 s";
    assert_eq!(missed.runs.as_deref(), Some(words));

    // A moment that was not played stands there as not measured.
    let [zone] = needs_of(&reckoned, Scenario::Zone)[..] else { panic!("one need") };
    assert_eq!((zone.needed, zone.ratio(), zone.formula.is_some()), (None, None, true));

    let tables = page::tables::all(&target(), &[], &reckoned);
    let line = "| dispatcher | a rolling restart | dissemination | bytes out, a second | 6,600 | 6,000 | **1.10** | \
                measured, run at its own size, worst of 3 seeds | numbered dissemination | 3 |";
    assert!(tables["allowed"].contains(line), "{}", tables["allowed"]);
    assert!(tables["runs"]
        .contains("| a rolling restart | 1,800 members, run at its own size | 1, 2, 3 | - | 3 |"));
    assert!(tables["figures of the runs"].contains("| out, B/s | 6,600 (**1.10**) | 10.0 (0.00167) |"));
}

#[test]
fn seeds_of_which_some_were_reduced_are_said_apart() {
    let mut reduced = run("zone", 2, "out", 1.0);
    reduced.note = Some("shorter".to_string());
    let reckoned = with_runs(vec![run("zone", 1, "out", 2.0), reduced]).expect("reckoned");
    let words = "run at its own size, worst of 2 seeds; **reduced**: shorter (1 of 2 seeds)";
    assert_eq!(reckoned.runs[0].words(), words);
}

#[test]
fn of_a_slope_and_a_run_of_the_same_figure_the_larger_stands() {
    for (of_run, stands) in [(1.0, 3600.0), (4000.0, 4000.0)] {
        let text = format!(
            "{RUNS}{GIVEN}{SLOPE}{}",
            need("idle").replace("quantity", "design = \"dissemination\"\nquantity")
        );
        let rows: Vec<_> =
            rows(&[30.0, 60.0, 90.0, 120.0]).into_iter().chain([run("ordinary", 1, "out", of_run)]).collect();
        let reckoned = Reckoned::parse(&text, &target(), &rows).expect("reckoned");
        let [one] = needs_of(&reckoned, page::reckon::Scenario::Ordinary)[..] else { panic!("one need") };
        assert!((one.needed.expect("a value") - stands).abs() < 1e-6);
        assert_eq!(one.runs.is_some(), of_run > 3600.0);
    }
}

#[test]
fn a_figure_that_no_run_of_a_moment_has_is_a_fault() {
    let fault = with_runs(vec![run("zone", 1, "other", 2.0)]).expect_err("no figure");
    assert!(
        fault.to_string().contains("runs dissemination: no figure \"out\" at a zone lost and back"),
        "{fault}"
    );
}
