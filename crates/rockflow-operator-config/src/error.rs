//! The error type for the operator's configuration file and the file of administrative overrides.

use std::fmt;

/// An error in the operator's configuration file or in the file of administrative overrides.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The name of the file that has the error.
    pub file: String,
    /// The line number, counted from 1; 0 if the error has no known line.
    pub line: usize,
    /// The section's name; empty if the error is outside any section.
    pub section: String,
    /// The key's name; empty if the error is not about one key.
    pub key: String,
    /// A description of the fault and of the allowed values.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for ConfigError {}
