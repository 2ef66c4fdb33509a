//! Simulates schedules of a cluster in virtual time and prints a summary for each cluster size, as a table and as lines
//! of JSON.

use clap::Parser;
use rockflow_cluster_simulation::{Faults, Scenario, Summary, MIXED_FAULTS};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Simulates a cluster in virtual time under kills, pauses, cut paths, and lost, duplicated and late frames
#[derive(Parser)]
struct Arguments {
    /// Cluster sizes to simulate, each as MEMBERS:REPLICAS, for example 5:3
    #[arg(long, value_delimiter = ',', default_value = "3:3,5:3,7:5,9:3", value_parser = parse_size)]
    rows: Vec<ClusterSize>,
    /// Number of schedules for each cluster size
    #[arg(long, default_value_t = 1000)]
    schedules: u64,
    /// Seed of the first schedule; each further schedule uses the next seed
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Number of requests sent in each schedule
    #[arg(long = "calls", default_value_t = 40)]
    requests: u64,
    /// Fraction of the members that are killed at the same time, from 0 to 1
    #[arg(long = "at-once", default_value_t = 0.0)]
    killed_at_once: f64,
    /// Number of threads that run schedules
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get() as u64))]
    threads: u64,
    /// File to which a line of JSON is appended for each cluster size
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug)]
struct ClusterSize {
    members: usize,
    replicas: usize,
}

fn parse_size(text: &str) -> Result<ClusterSize, &'static str> {
    let (members, replicas) = text.split_once(':').ok_or("expected MEMBERS:REPLICAS, for example 5:3")?;
    let number = |text: &str| {
        text.parse().ok().filter(|n| (1..=1000).contains(n)).ok_or("each number must be from 1 to 1000")
    };
    Ok(ClusterSize { members: number(members)?, replicas: number(replicas)? })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    println!("members keepers schedules  answered   of calls  again served  claims run again      frames  violations");
    let mut has_violations = false;
    for size in &arguments.rows {
        let summary = simulate(&arguments, *size);
        print_summary(&summary);
        has_violations |= !summary.violations.is_empty();
        if let Some(path) = &arguments.json {
            if let Err(error) = append_json_line(path, &summary) {
                eprintln!("cannot write {}: {error}", path.display());
                return ExitCode::FAILURE;
            }
        }
    }
    if has_violations {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn simulate(arguments: &Arguments, size: ClusterSize) -> Summary {
    let simultaneous_kills = (size.members as f64 * arguments.killed_at_once) as usize;
    let faults = Faults { simultaneous_kills, ..MIXED_FAULTS };
    let ClusterSize { members, replicas } = size;
    let scenario = Scenario { members, replicas, requests: arguments.requests, faults };
    scenario.run(arguments.seed, arguments.schedules, arguments.threads.max(1))
}

fn print_summary(summary: &Summary) {
    println!(
        "{:>7} {:>7} {:>9} {:>9} {:>10} {:>6} {:>6} {:>7} {:>9} {:>11} {:>11}",
        summary.members,
        summary.replicas,
        summary.schedules,
        summary.answered,
        summary.requests,
        summary.retried,
        summary.retries_answered,
        summary.takeovers,
        summary.run_again,
        summary.frames,
        summary.violations.len()
    );
    for (seed, violation) in &summary.violations {
        println!("  seed {seed}: {violation}");
    }
}

fn append_json_line(path: &Path, summary: &Summary) -> io::Result<()> {
    let mut file = std::fs::File::options().create(true).append(true).open(path)?;
    writeln!(file, "{}", serde_json::to_string(summary)?)
}
