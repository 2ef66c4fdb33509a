//! The subcommands `serve` and `check`: a dispatcher from its start to its stop, and whether one could start.

use crate::command_line::Source;
use crate::error::ProgramError;
use crate::extensions::{Extensions, SetLevel};
use crate::log::{self, LevelHandle};
use crate::signals;
use rockflow_dispatcher::{Clock, Service};
use signal_hook::consts::SIGHUP;
use tracing::{error, warn, Level};
use tracing_subscriber::filter::LevelFilter;

/// Reads both files, and all that the operator's file names, as a start would, and prints what would listen.
///
/// # Errors
/// A dispatcher could not start.
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
    // Before anything else: a stop that arrives during the start waits until the start is done.
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

/// Sets the log's level by name. No name, or one that is not a level, restores the level of the command line.
fn level_setter(handle: LevelHandle, initial: Level) -> SetLevel {
    Box::new(move |name| {
        let level = name.and_then(|name| name.parse().ok()).unwrap_or(initial);
        let _ = handle.modify(|filter| *filter = LevelFilter::from_level(level));
    })
}

/// Reads both files anew. One that is not valid changes nothing.
fn reload(source: &Source, extensions: &Extensions, service: &mut Service) {
    match source.read() {
        Ok(config) => service.reload(&config),
        Err(error) => {
            error!(error = error.to_string(), "configuration rejected; the previous one stays in effect");
        }
    }
    match source.read_extensions() {
        Ok(read) if read == *extensions => {}
        Ok(_) => warn!("operator's file changed; restart to apply it"),
        Err(error) => {
            error!(error = error.to_string(), "operator's file rejected; the previous one stays in effect");
        }
    }
}
