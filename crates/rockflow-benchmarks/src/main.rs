//! Benchmarks of a dispatcher among test servers. Each prints a table, and writes its rows to a file as JSON lines if one
//! is named.

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
    /// Stops and restarts of a dispatcher among faulty peers, each answer checked; fails on a broken rule
    Soak {
        /// The first seed; each run has the next one
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 50)]
        runs: u64,
        /// Runs at once
        #[arg(long, default_value_t = 3)]
        parallel: usize,
    },
    /// A dispatcher that breaks one rule, for the tests of the soak
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
    /// Serves as `rockflow serve` does
    Serve {
        #[arg(long)]
        config: PathBuf,
    },
}

/// The file for rows, if there is one.
pub struct Rows {
    file: Option<std::fs::File>,
}

impl Rows {
    /// Writes a row as a line of JSON. Errors are ignored.
    pub fn write(&mut self, row: &Value) {
        if let Some(file) = &mut self.file {
            let _ = writeln!(file, "{row}");
        }
    }
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let file = command_line.rows.as_ref().map(|path| std::fs::File::create(path).expect("a file for rows"));
    let mut rows = Rows { file };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let is_within_limits = match command_line.command {
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
    if is_within_limits {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
