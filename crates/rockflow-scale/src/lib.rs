//! Measures how the program's costs grow with the size of a fleet, and generates the capacity page from the measurements.
//! Each subcommand has a module.

pub mod page;
pub mod rows;
pub mod run;
pub mod slopes;
pub mod target;
pub mod virtual_fleet;

use std::fmt;

/// Why a command did not do what it was asked for, in words for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(pub String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

impl From<String> for Fault {
    fn from(what: String) -> Fault {
        Fault(what)
    }
}
