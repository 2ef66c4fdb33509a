//! The signals that reload and stop a process.

use crate::error::ProgramError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Installs handlers for SIGTERM, SIGINT and SIGHUP. Signals that arrive from now on are kept until the returned iterator
/// reads them.
///
/// # Errors
/// The handlers can't be installed.
pub fn receive() -> Result<Signals, ProgramError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ProgramError::Signals)
}
