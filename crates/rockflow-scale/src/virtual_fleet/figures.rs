//! Rows of a scenario: one series a scenario, all figures at one size.

use super::moments::{MeanWorst, Scenario, ScenarioResult, Times};
use crate::rows::{Found, How, Row, Size};
use std::collections::BTreeMap;

/// Of the mechanism; with the moment's word behind it, the series.
pub const SERIES: &str = "dissemination";

/// Under which name the rows of a moment stand.
pub fn series(moment: Scenario) -> String {
    format!("{SERIES}-{}", moment.as_str())
}

/// All figures of a moment as rows. What else was chosen stands in `parameters`, what gives them again in `command`.
pub fn rows(came: &ScenarioResult, parameters: &BTreeMap<String, f64>, command: &str) -> Vec<Row> {
    let row = |(name, value, unit): (String, f64, &str)| Row {
        series: series(came.moment),
        x: Size { name: "members".to_string(), value: came.members as f64 },
        y: Found { name, value: Some(value), unit: unit.to_string() },
        seed: came.seed,
        parameters: parameters.clone(),
        command: command.to_string(),
        how: How::Measured,
        note: came.reduced.clone(),
    };
    figures(came).into_iter().map(row).collect()
}

fn figures(came: &ScenarioResult) -> Vec<(String, f64, &'static str)> {
    let times = |name: &str, times: &Times| {
        let each = [("median", times.median), ("99th", times.p99), ("worst", times.worst)];
        each.map(|(which, value)| (format!("{name}, {which}"), value, "s"))
    };
    let spread = |name: &str, found: &MeanWorst, unit| {
        [(format!("{name}, mean"), found.mean, unit), (format!("{name}, worst member"), found.worst, unit)]
    };
    let mut all = Vec::new();
    all.extend(times("purge in force everywhere", &came.purges));
    all.extend(times("change in force everywhere", &came.changes));
    all.extend(
        came.apart.iter().flat_map(|apart| times("purge of the time apart in force everywhere", apart)),
    );
    all.extend(times("purge known everywhere", &came.purges_known));
    all.extend(times("change known everywhere", &came.changes_known));
    all.extend(times("new life goes by all settings", &came.begun));
    all.extend(spread("bytes a second in", &came.bytes_in, "B/s"));
    all.extend(spread("bytes a second out", &came.bytes_out, "B/s"));
    all.extend(spread("bytes a second in, greatest minute", &came.minute_in, "B/s"));
    all.extend(spread("bytes a second out, greatest minute", &came.minute_out, "B/s"));
    all.extend(spread("bytes a second in, greatest second", &came.second_in, "B/s"));
    all.extend(spread("bytes a second out, greatest second", &came.second_out, "B/s"));
    all.extend(spread("frames a second in and out", &came.frames, "frames/s"));
    all.extend(spread("core", &came.core, "of a core"));
    all.extend(spread("heap", &came.memory, "B"));
    let count = |name: &str, count: usize, unit| (name.to_string(), count as f64, unit);
    all.extend([
        ("control: bytes a second in, worst".to_string(), came.control_bytes_in.worst, "B/s"),
        ("control: bytes a second out, worst".to_string(), came.control_bytes_out.worst, "B/s"),
        ("control: core, worst".to_string(), came.control_core.worst, "of a core"),
        ("control: heap, worst".to_string(), came.control_memory.worst, "B"),
        count("purges and changes published", came.published, "entries"),
        count("purges never known everywhere", came.purges_unknown, "purges"),
        count("floors", came.floors, "floors"),
        count("entries that a floor stood for, over all members", came.covered, "entries"),
        count("violations", came.broken(), "violations"),
    ]);
    all.extend(
        came.most.iter().map(|(table, most)| count(&format!("most at one node: {table}"), *most, "entries")),
    );
    all
}
