//! Plays schedules of a node in virtual time and prints what they came to, as a table and as lines of JSON.

use clap::Parser;
use rockflow_cluster_simulation::{Faults, Row, Sum, ROUGH};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Seeded schedules of a node in virtual time: kills, stops, cuts, lost, doubled and late frames
#[derive(Parser)]
struct Line {
    /// Members and replicas of each row, as 5:3
    #[arg(long, value_delimiter = ',', default_value = "3:3,5:3,7:5,9:3", value_parser = row)]
    rows: Vec<(usize, usize)>,
    /// Schedules of each row
    #[arg(long, default_value_t = 1000)]
    schedules: u64,
    /// The first seed
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Calls asked in each schedule
    #[arg(long, default_value_t = 40)]
    requests: u64,
    /// The share of the members that are killed at the same instant
    #[arg(long, default_value_t = 0.0)]
    at_once: f64,
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get() as u64))]
    threads: u64,
    /// Where a line of JSON for each row is appended
    #[arg(long)]
    json: Option<PathBuf>,
}

fn row(text: &str) -> Result<(usize, usize), String> {
    let (members, replicas) = text.split_once(':').ok_or("two numbers, as 5:3")?;
    let number = |text: &str| text.parse().ok().filter(|n| (1..=1000).contains(n)).ok_or("from 1 to 1000");
    Ok((number(members)?, number(replicas)?))
}

fn main() -> ExitCode {
    let line = Line::parse();
    println!("members keepers schedules  answered   of calls  again served  claims run again      frames  violations");
    let mut clean = true;
    for (members, replicas) in &line.rows {
        let at_once = (*members as f64 * line.at_once) as usize;
        let faults = Faults { at_once, ..ROUGH };
        let row = Row { members: *members, replicas: *replicas, requests: line.requests, faults };
        let sum = row.play(line.seed, line.schedules, line.threads.max(1));
        print(&sum);
        clean &= sum.violations.is_empty();
        if let Err(what) = line.json.as_ref().map_or(Ok(()), |path| append(path, &sum)) {
            eprintln!("not written: {what}");
            return ExitCode::FAILURE;
        }
    }
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print(sum: &Sum) {
    println!(
        "{:>7} {:>7} {:>9} {:>9} {:>10} {:>6} {:>6} {:>7} {:>9} {:>11} {:>11}",
        sum.members,
        sum.replicas,
        sum.schedules,
        sum.answered,
        sum.asked,
        sum.came_again,
        sum.served_again,
        sum.claims,
        sum.run_again,
        sum.frames,
        sum.violations.len()
    );
    sum.violations.iter().for_each(|(seed, what)| println!("  seed {seed}: {what}"));
}

fn append(path: &PathBuf, sum: &Sum) -> std::io::Result<()> {
    let mut file = std::fs::File::options().create(true).append(true).open(path)?;
    writeln!(file, "{}", serde_json::to_string(sum)?)
}
