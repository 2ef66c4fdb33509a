//! Benchmarks and the soak test of a dispatcher among test servers. Each prints a table; a benchmark also writes its
//! measurements as JSON lines to the file that `--rows` names.

mod cost;
mod drains;
mod process;

use clap::{Parser, Subcommand};
use rockflow_benchmarks::soak::wrong_dispatcher::{self, Fault};
use rockflow_benchmarks::soak::{self, Plan, Program};
use serde_json::Value;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "rockflow-benchmarks")]
struct CommandLine {
    /// The rockflow program to measure
    #[arg(long, default_value = "target/release/rockflow", global = true)]
    rockflow: PathBuf,
    /// File for the measurements, one JSON object on each line
    #[arg(long, global = true)]
    rows: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure how long after the reply to a drain the drained cache still receives attempts, over NETCONF and gNMI
    Drains {
        #[arg(long, default_value_t = 200)]
        drains: usize,
        #[arg(long, default_value_t = 40)]
        clients: usize,
    },
    /// Measure the cost of management: off, on and idle, on with subscribers
    Cost {
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        #[arg(long, default_value_t = 40)]
        clients: usize,
        #[arg(long, default_value_t = 50)]
        subscribers: usize,
        /// Earlier version of the program, measured without management for comparison
        #[arg(long)]
        before: Option<PathBuf>,
    },
    /// Stop and restart dispatchers among faulty peers and check each answer; fails if a rule is violated
    Soak {
        /// Seed of the first run; each further run has the next seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 50)]
        runs: u64,
        /// Number of runs in progress at the same time
        #[arg(long, default_value_t = 3)]
        parallel: usize,
    },
    /// Run a dispatcher that violates one rule, for the tests of the soak
    #[command(hide = true)]
    WrongDispatcher {
        #[arg(value_enum)]
        fault: Fault,
        #[command(subcommand)]
        command: WrongDispatcherCommand,
    },
}

#[derive(Subcommand)]
enum WrongDispatcherCommand {
    /// Serve like `rockflow serve`
    Serve {
        #[arg(long)]
        config: PathBuf,
    },
}

/// The output file for measurements, if the command line names one.
pub struct Rows {
    file: Option<std::fs::File>,
}

impl Rows {
    /// Writes a row as one line of JSON. Does nothing without a file, and ignores write errors.
    pub fn write(&mut self, row: &Value) {
        if let Some(file) = &mut self.file {
            let _ = writeln!(file, "{row}");
        }
    }
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let file =
        command_line.rows.as_ref().map(|path| std::fs::File::create(path).expect("a new file for rows"));
    let mut rows = Rows { file };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let has_passed = match command_line.command {
        Command::Drains { drains, clients } => {
            runtime.block_on(drains::run(&command_line.rockflow, drains, clients, &mut rows))
        }
        Command::Cost { rounds, seconds, clients, subscribers, before } => {
            let options = cost::CostOptions {
                program: command_line.rockflow,
                before,
                rounds,
                seconds,
                clients,
                subscribers,
            };
            runtime.block_on(cost::run(&options, &mut rows));
            true
        }
        Command::Soak { seed, runs, parallel } => {
            let program = Program { path: command_line.rockflow, arguments: Vec::new() };
            let reports =
                soak::run_plans(&program, (seed..seed + runs).map(Plan::from_seed).collect(), parallel);
            soak::print_table(&reports);
            reports.iter().all(|report| report.violations.is_empty())
        }
        Command::WrongDispatcher { fault, command: WrongDispatcherCommand::Serve { config } } => {
            return wrong_dispatcher::serve(fault, &config);
        }
    };
    if has_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
