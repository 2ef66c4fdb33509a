//! Errors of the operator's file and of the optional parts.

use rockflow_operator_config::ConfigError;
use std::io;
use std::path::PathBuf;

/// Why the operator's file can't be used, or the dispatcher and its optional parts can't start.
#[derive(Debug, thiserror::Error)]
pub enum ExtensionsError {
    /// An operator's file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file's path.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The operator's file is not valid. The text has one line for each error.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<ConfigError>),
    /// The operator's file has sections of a part that is not built in.
    #[error("{files}: this program is built without {part} (cargo build --release --features {part})")]
    NotBuilt {
        /// The paths of all operator's files, comma-separated.
        files: String,
        /// The name of the part and of its Cargo feature.
        part: &'static str,
    },
    /// The management agent can't be checked or opened: an address, key, certificate or store can't be used.
    #[cfg(feature = "management")]
    #[error("{0}")]
    Management(String),
    /// The thread of the management agent can't be started.
    #[cfg(feature = "management")]
    #[error("management: {0}")]
    RunManagement(#[source] io::Error),
    /// The section of dissemination does not fit the configuration, or its node can't be started.
    #[error("{0}")]
    Dissemination(String),
    /// The dispatcher can't start.
    #[error("start: {0}")]
    Start(#[source] io::Error),
}

fn join_lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
