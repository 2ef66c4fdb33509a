//! Growth of the program's costs (`slopes`): each series measures the program's own code at several sizes within a time
//! budget.

pub mod cold;
pub mod decisions;
pub mod list;
pub mod measure;
pub mod membership;
pub mod plot;
pub mod purges;
pub mod records;

use crate::rows::{self, Fit, Found, How, Row, Size};
use crate::Fault;
use clap::Args;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// What `slopes` is asked for.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Series to play, by name; all where none is named
    #[arg(long, value_delimiter = ',')]
    pub series: Vec<String>,
    /// Where rows are written, as JSON lines; what was measured of other series before stays
    #[arg(long)]
    pub rows: Option<PathBuf>,
    /// A folder for a plot of each series
    #[arg(long)]
    pub svg: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of processor time that one size of a series, or one part of it, may take; what was not played by then is said and recorded
    #[arg(long, default_value_t = 20.0, value_parser = seconds)]
    pub budget: f64,
    /// Prints the names of the series and what each measures
    #[arg(long)]
    pub list: bool,
}

fn seconds(text: &str) -> Result<f64, String> {
    let within = |seconds: &f64| (0.1..=3600.0).contains(seconds);
    text.parse().ok().filter(within).ok_or_else(|| "from 0.1 to 3600 seconds".to_string())
}

/// A series: its name, what it measures, and how.
pub struct Series {
    /// Name of the series.
    pub name: &'static str,
    /// Description of the series.
    pub what: &'static str,
    /// Measures the series.
    pub play: fn(&mut Bench),
}

/// All series, in the order of the table.
pub fn all() -> Vec<Series> {
    [membership::SERIES, list::SERIES, purges::SERIES, decisions::SERIES, records::SERIES, cold::SERIES]
        .into_iter()
        .flatten()
        .map(|(name, what, play)| Series { name, what, play: *play })
        .collect()
}

/// A name, what is measured, and how, as each module lists its own.
pub type Listed = (&'static str, &'static str, fn(&mut Bench));

/// Where a series puts its rows.
pub struct Bench {
    /// Seed of the measurements.
    pub seed: u64,
    /// What one size may take.
    pub budget: Duration,
    series: &'static str,
    rows: Vec<Row>,
}

/// A size that was varied, or another choice: its name and its number.
pub type Named = (&'static str, f64);

impl Bench {
    /// Creates a collector of the rows of one series.
    pub fn new(seed: u64, budget: Duration, series: &'static str) -> Bench {
        Bench { seed, budget, series, rows: Vec::new() }
    }

    /// Records one figure: its name, what was found, and its unit.
    pub fn found(&mut self, x: Named, y: (&str, f64, &str), others: &[Named]) {
        self.record(x, (y.0, Some(y.1), y.2), others, How::Measured, None);
    }

    /// Records what the code says without a run.
    pub fn read(&mut self, x: Named, y: (&str, f64, &str), others: &[Named]) {
        self.record(x, (y.0, Some(y.1), y.2), others, How::Read, None);
    }

    /// Records that a size was not played to its end.
    pub fn unfinished(&mut self, x: Named, y: (&str, &str), others: &[Named], note: String) {
        self.record(x, (y.0, None, y.1), others, How::Measured, Some(note));
    }

    /// Records one figure with all that is to be known of it, and prints it.
    pub fn record(
        &mut self,
        x: Named,
        y: (&str, Option<f64>, &str),
        others: &[Named],
        how: How,
        note: Option<String>,
    ) {
        let found = y.1.map_or("not finished".to_string(), rows::short);
        let chosen: Vec<_> = others.iter().map(|(name, value)| format!(", {name} {value}")).collect();
        let said = note.as_ref().map(|note| format!(" ({note})")).unwrap_or_default();
        println!("  {} {}{}: {} {found} {}{said}", x.0, x.1, chosen.concat(), y.0, y.2);
        let budget = match self.budget.as_secs_f64() {
            20.0 => String::new(),
            seconds => format!(" --budget {seconds}"),
        };
        self.rows.push(Row {
            series: self.series.to_string(),
            x: Size { name: x.0.to_string(), value: x.1 },
            y: Found { name: y.0.to_string(), value: y.1, unit: y.2.to_string() },
            seed: self.seed,
            parameters: others.iter().map(|(name, value)| (name.to_string(), *value)).collect(),
            command: format!("rockflow-scale slopes --series {} --seed {}{budget}", self.series, self.seed),
            how,
            note,
        });
    }
}

/// One size of a series with what else was chosen: where its figures are put.
pub struct Point<'a> {
    bench: &'a mut Bench,
    x: Named,
    others: &'a [Named],
}

impl Bench {
    /// Where the figures of one size are put.
    pub fn at<'a>(&'a mut self, x: Named, others: &'a [Named]) -> Point<'a> {
        Point { bench: self, x, others }
    }
}

impl Point<'_> {
    /// The processor time at which the budget of what begins now is used up.
    pub fn by(&self) -> Duration {
        measure::processor() + self.bench.budget
    }

    /// As a bench's.
    pub fn found(&mut self, name: &str, value: f64, unit: &str) {
        self.bench.found(self.x, (name, value, unit), self.others);
    }

    /// As a bench's; the note says what was not done within the budget.
    pub fn unfinished(&mut self, name: &str, unit: &str, what: &str) {
        let note = format!("{what} within {} s of processor time", self.bench.budget.as_secs_f64());
        self.bench.unfinished(self.x, (name, unit), self.others, note);
    }
}

/// Plays the series that were asked for.
pub fn run(options: &Options) -> Result<(), Fault> {
    let series = all();
    if options.list {
        series.iter().for_each(|series| println!("{:<24} {}", series.name, series.what));
        return Ok(());
    }
    if let Some(other) = options.series.iter().find(|name| !series.iter().any(|series| series.name == **name))
    {
        let known: Vec<_> = series.iter().map(|series| series.name).collect();
        return Err(Fault(format!("no series {other}; there are {}", known.join(", "))));
    }
    let wanted =
        |series: &&Series| options.series.is_empty() || options.series.iter().any(|name| name == series.name);
    let mut kept = match &options.rows {
        Some(path) if path.exists() => rows::read(path)?,
        _ => Vec::new(),
    };
    println!("seed {}, {} s a size", options.seed, options.budget);
    let mut played = Vec::new();
    for series in series.iter().filter(wanted) {
        println!("{}: {}", series.name, series.what);
        let mut bench = Bench::new(options.seed, Duration::from_secs_f64(options.budget), series.name);
        (series.play)(&mut bench);
        // Rows of one series are replaced together, so that a fit never mixes two runs.
        kept.retain(|row| row.series != series.name);
        kept.extend(bench.rows.iter().cloned());
        played.extend(bench.rows);
        if let Some(path) = &options.rows {
            rows::write(path, &kept)?;
        }
    }
    println!("{}", table(&played));
    if let Some(folder) = &options.svg {
        std::fs::create_dir_all(folder).map_err(|what| Fault(format!("{}: {what}", folder.display())))?;
        plot::plot(folder, &played)?;
    }
    Ok(())
}

/// The fits of all curves, a line each; a curve of too few sizes says so.
pub fn table(rows: &[Row]) -> String {
    let mut lines = vec![format!("{:<70} {:>5} {:>34} {:>8}", "curve", "sizes", "fit", "left")];
    let units: BTreeMap<_, _> = rows.iter().map(|row| (row.curve(), row.y.unit.clone())).collect();
    for (curve, points) in rows::curves(rows) {
        let name = format!("{curve} ({})", units[&curve]);
        lines.push(match Fit::of(&points) {
            Ok(fit) => {
                format!("{name:<70} {:>5} {:>34} {:>7.1}%", fit.sizes, fit.to_string(), 100.0 * fit.left)
            }
            Err(fault) => format!("{name:<70} {fault}"),
        });
    }
    let unfinished = rows.iter().filter(|row| row.y.value.is_none());
    lines.extend(unfinished.map(|row| {
        let note = row.note.as_deref().unwrap_or("not finished");
        format!("{} at {} {}: {note}", row.curve(), row.x.name, row.x.value)
    }));
    lines.join("\n")
}
