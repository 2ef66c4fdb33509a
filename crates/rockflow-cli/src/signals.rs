//! The signals by which a process is reloaded and stopped.

use crate::error::ProgramError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Receives SIGTERM, SIGINT and SIGHUP from now on; those that arrive wait until they are looked at.
///
/// # Errors
/// The handlers can't be installed.
pub fn receive() -> Result<Signals, ProgramError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ProgramError::Signals)
}
