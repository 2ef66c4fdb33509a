//! Errors in the settings that are read.

use thiserror::Error;

/// A key whose value could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The key is required and missing.
    #[error("settings: {key} is missing")]
    Missing {
        /// The dotted key.
        key: String,
    },
    /// The value is not of the key's type or out of its range.
    #[error("settings: {key} does not parse")]
    Malformed {
        /// The dotted key.
        key: String,
    },
}

impl SettingsError {
    pub(crate) fn missing(key: &str) -> Self {
        SettingsError::Missing { key: key.to_string() }
    }

    pub(crate) fn malformed(key: &str) -> Self {
        SettingsError::Malformed { key: key.to_string() }
    }
}
