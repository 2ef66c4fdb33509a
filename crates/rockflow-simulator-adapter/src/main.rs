//! Processes the simulator's batches from standard input and writes the replies to standard output.

use std::io::{stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match rockflow_simulator_adapter::run(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rockflow-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
