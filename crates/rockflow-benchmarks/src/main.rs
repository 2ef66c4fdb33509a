//! Measurements against stand-ins, each by one command: a table, and rows as JSON lines where a file is named.

mod cost;
mod drains;
mod process;

use clap::{Parser, Subcommand};
use serde_json::Value;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "rockflow-benchmarks")]
struct Line {
    /// The program that is measured
    #[arg(long, default_value = "target/release/rockflow", global = true)]
    rockflow: PathBuf,
    /// Rows go here too, as JSON lines
    #[arg(long, global = true)]
    rows: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// How long after a drain's reply the last attempt goes to the drained cache, over NETCONF and gNMI
    Drains {
        #[arg(long, default_value_t = 200)]
        drains: usize,
        #[arg(long, default_value_t = 40)]
        clients: usize,
    },
    /// What management costs: off, on and idle, on with subscribers
    Cost {
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        #[arg(long, default_value_t = 40)]
        clients: usize,
        #[arg(long, default_value_t = 50)]
        subscribers: usize,
        /// An earlier program, measured beside this one without management
        #[arg(long)]
        before: Option<PathBuf>,
    },
}

/// Where rows go.
pub struct Rows(Option<std::fs::File>);

impl Rows {
    pub fn write(&mut self, row: &Value) {
        if let Some(file) = &mut self.0 {
            let _ = writeln!(file, "{row}");
        }
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let file = line.rows.as_ref().map(|path| std::fs::File::create(path).expect("a file for rows"));
    let mut rows = Rows(file);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let well = match line.command {
        Command::Drains { drains, clients } => {
            runtime.block_on(drains::run(&line.rockflow, drains, clients, &mut rows))
        }
        Command::Cost { rounds, seconds, clients, subscribers, before } => {
            let plan = cost::Plan { program: line.rockflow, before, rounds, seconds, clients, subscribers };
            runtime.block_on(cost::run(&plan, &mut rows))
        }
    };
    if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
