//! The subcommands `serve`, which runs a dispatcher, and `check`, which checks that one can start.

use crate::command_line::Source;
use crate::error::ProgramError;
use crate::extensions::{Extensions, SetLevel};
use crate::log::{self, LevelHandle};
use crate::signals;
use rockflow_dispatcher::{Clock, Service};
use signal_hook::consts::SIGHUP;
use tracing::{error, warn, Level};
use tracing_subscriber::filter::LevelFilter;

/// Reads and checks the configuration, the operator's file and the files that this one names, as `serve` does at its
/// start. Prints the address of each listener.
///
/// # Errors
/// A dispatcher can't start with these files.
pub fn check(source: &Source) -> Result<(), ProgramError> {
    let config = source.read()?;
    let listeners = source.read_extensions()?.check(&config)?;
    println!("{}: ready to serve at {}", config.name, config.listen);
    for listener in listeners {
        println!("{listener}");
    }
    Ok(())
}

/// Runs a dispatcher until a signal other than SIGHUP arrives.
///
/// # Errors
/// The dispatcher can't start.
pub fn serve(source: &Source, level: Level) -> Result<(), ProgramError> {
    // Signals are received before anything else, so that one that arrives during the start is handled after it.
    let mut signals = signals::receive()?;
    let (_log, level_handle) = log::init(level);
    let config = source.read()?;
    let extensions = source.read_extensions()?;
    let (mut service, _dissemination) =
        extensions.start(Clock::start(), config, level_setter(level_handle, level))?;
    for _ in signals.forever().take_while(|signal| *signal == SIGHUP) {
        reload(source, &extensions, &mut service);
    }
    service.stop_with(|service| {
        if signals.pending().any(|signal| signal == SIGHUP) {
            reload(source, &extensions, service);
        }
    });
    Ok(())
}

/// Returns a function that sets the log's level by name. Without a name, or with one that is not a level, it restores the
/// level given on the command line.
fn level_setter(handle: LevelHandle, initial: Level) -> SetLevel {
    Box::new(move |name| {
        let level = name.and_then(|name| name.parse().ok()).unwrap_or(initial);
        let _ = handle.modify(|filter| *filter = LevelFilter::from_level(level));
    })
}

/// Reads the configuration and the operator's file again. The configuration is applied if it is valid. Changes of the
/// operator's file need a restart, and are only logged.
fn reload(source: &Source, extensions: &Extensions, service: &mut Service) {
    match source.read() {
        Ok(config) => service.reload(&config),
        Err(error) => {
            error!(error = error.to_string(), "configuration rejected; the previous one stays in effect");
        }
    }
    match source.read_extensions() {
        Ok(new_extensions) if new_extensions == *extensions => {}
        Ok(_) => warn!("operator's file changed; restart to apply it"),
        Err(error) => {
            error!(error = error.to_string(), "operator's file rejected; the previous one stays in effect");
        }
    }
}
