use std::io::{stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match rockflow_simulator_adapter::run(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("rockflow-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
