//! Why the optional parts can't run.

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
    /// The operator's file is not valid; each error is on a line of its own.
    #[error("{}", lines(.0))]
    Invalid(Vec<ConfigError>),
    /// The operator's file has sections of a part that is not built in.
    #[error("{files}: this program is built without {part} (cargo build --release --features {part})")]
    NotBuilt {
        /// The paths, with commas between them.
        files: String,
        /// The part, which is also its Cargo feature.
        part: &'static str,
    },
    /// Management can't be opened by the operator's file.
    #[cfg(feature = "management")]
    #[error("{0}")]
    Management(String),
    /// The thread of management can't be started.
    #[cfg(feature = "management")]
    #[error("management: {0}")]
    RunManagement(#[source] io::Error),
    /// Dissemination can't run by the operator's file, or can't be started.
    #[error("{0}")]
    Dissemination(String),
    /// The dispatcher can't start.
    #[error("start: {0}")]
    Start(#[source] io::Error),
}

fn lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
