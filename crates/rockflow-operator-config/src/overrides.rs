//! Parses the file of administrative overrides, which a control node reads (`marks` in `[control]`).

use crate::error::ConfigError;
use crate::MAX_NAME_BYTES;
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum number of overrides in a file.
pub const MAX_OVERRIDES: usize = 4096;

/// The state that an administrative override sets for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdministrativeState {
    /// The endpoint gets no new requests.
    Draining,
    /// The endpoint is treated as if it had been removed from the endpoint list.
    Gone,
}

#[derive(Debug, Error)]
enum OverrideError {
    #[error("no line of the form HOST = draining|gone")]
    Syntax,
    #[error("{0:?} is no host's name: 1 to {MAX_NAME_BYTES} bytes are allowed")]
    Name(String),
    #[error("{0:?} is neither draining nor gone")]
    State(String),
    #[error("more than {MAX_OVERRIDES} marks")]
    TooMany,
    #[error("{0:?} is listed twice")]
    Duplicate(String),
}

/// Parses a file of overrides: each line is `HOST = draining` or `HOST = gone`; `#` starts a comment. The
/// result maps the host's name to its state.
///
/// # Errors
/// Returns one error for each invalid line.
pub fn parse_overrides(
    file: &str,
    text: &str,
) -> Result<BTreeMap<String, AdministrativeState>, Vec<ConfigError>> {
    let mut overrides = BTreeMap::new();
    let mut errors = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        if let Err(error) = add_line(line, &mut overrides) {
            errors.push(ConfigError {
                file: file.to_string(),
                line: index + 1,
                section: String::new(),
                key: String::new(),
                message: error.to_string(),
            });
        }
    }
    if errors.is_empty() {
        Ok(overrides)
    } else {
        Err(errors)
    }
}

fn add_line(line: &str, overrides: &mut BTreeMap<String, AdministrativeState>) -> Result<(), OverrideError> {
    let (host, state) = line.split_once('=').ok_or(OverrideError::Syntax)?;
    let host = host.trim();
    if !(1..=MAX_NAME_BYTES).contains(&host.len()) {
        return Err(OverrideError::Name(host.to_string()));
    }
    let state = match state.trim() {
        "draining" => AdministrativeState::Draining,
        "gone" => AdministrativeState::Gone,
        other => return Err(OverrideError::State(other.to_string())),
    };
    if overrides.len() >= MAX_OVERRIDES {
        return Err(OverrideError::TooMany);
    }
    match overrides.insert(host.to_string(), state) {
        Some(_) => Err(OverrideError::Duplicate(host.to_string())),
        None => Ok(()),
    }
}
