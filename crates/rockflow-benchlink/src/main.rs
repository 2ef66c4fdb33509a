use std::io::{stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match rockflow_benchlink::run(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("rockflow-benchlink: {what}");
            ExitCode::FAILURE
        }
    }
}
