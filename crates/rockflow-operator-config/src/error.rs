//! Errors in the operator's file.

use std::fmt;

/// One error in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The file's name.
    pub file: String,
    /// The line, from 1; 0 where there is none.
    pub line: usize,
    /// The section; empty where there is none.
    pub section: String,
    /// The key; empty where there is none.
    pub key: String,
    /// What is wrong, and what is allowed.
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
