//! The command `rockflow`: runs a dispatcher or a control process, checks their files, and manages a running dispatcher.

mod command_line;
#[cfg(feature = "dissemination")]
mod control;
mod error;
#[cfg_attr(not(any(feature = "dissemination", feature = "management")), path = "no_extensions.rs")]
mod extensions;
mod log;
#[cfg(feature = "management")]
mod manage;
mod serve;
mod signals;

use clap::{CommandFactory, Parser};
#[cfg(feature = "dissemination")]
use command_line::Source;
use command_line::{Command, CommandLine};
use error::ProgramError;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Serve { source, log } => serve::serve(&source, log),
        Command::Check { source } => serve::check(&source),
        #[cfg(feature = "dissemination")]
        Command::Control { source, check: true, .. } => check_control(&source),
        #[cfg(feature = "dissemination")]
        Command::Control { source, check: false, log } => run_control(&source, log),
        #[cfg(feature = "management")]
        Command::Manage(arguments) => return manage::run(&arguments),
        Command::Completion { shell } => {
            clap_complete::generate(shell, &mut CommandLine::command(), "rockflow", &mut std::io::stdout());
            Ok(())
        }
        Command::Version => {
            println!("rockflow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    exit_code(result)
}

fn exit_code(result: Result<(), ProgramError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rockflow: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(feature = "dissemination")]
fn check_control(source: &Source) -> Result<(), ProgramError> {
    let inputs = control::ControlInputs::read(source)?;
    for line in inputs.summary() {
        println!("{line}");
    }
    Ok(())
}

#[cfg(feature = "dissemination")]
fn run_control(source: &Source, level: tracing::Level) -> Result<(), ProgramError> {
    let mut signals = signals::receive()?;
    let _log = log::init(level);
    Ok(control::run(source, &mut signals)?)
}
