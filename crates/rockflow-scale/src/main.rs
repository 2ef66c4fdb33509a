//! The capacity of a fleet of a given size: one subcommand for each kind of measurement.

use clap::{Parser, Subcommand};
use rockflow_scale::{page, run, slopes, virtual_fleet};
use std::process::ExitCode;

/// Measures how the program's costs grow, and makes the capacity page from what was measured
#[derive(Parser)]
#[command(name = "rockflow-scale")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// How costs grow with members, hosts, requests, objects and purges: a table, rows as JSON lines, plots
    Slopes(slopes::Options),
    /// Hollow dispatchers beside real processes on loopback, with faults between them
    Run(run::Options),
    /// The tables of the capacity page, from the rows and the target
    Page(page::Options),
    /// The whole fleet in virtual time: when purges and changes are in force everywhere, and what it costs
    Virtual(virtual_fleet::Options),
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Slopes(options) => slopes::run(&options),
        Command::Run(options) => run::run(&options),
        Command::Page(options) => page::run(&options),
        Command::Virtual(options) => virtual_fleet::run(&options),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("rockflow-scale: {fault}");
            ExitCode::FAILURE
        }
    }
}
