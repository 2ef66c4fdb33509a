//! Errors of the subcommands other than `manage`.

#[cfg(feature = "dissemination")]
use crate::control::ControlError;
use crate::extensions::ExtensionsError;
use rockflow_dispatcher::ConfigError;
use std::io;
use std::path::PathBuf;

/// Why a subcommand other than `manage` fails. The program prints it and exits with 1.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The configuration or the operator's file can't be used.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The dispatcher or one of its optional parts can't start.
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    /// A control process can't start, or has ended.
    #[cfg(feature = "dissemination")]
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Why the files that configure a process can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The configuration can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The configuration's path.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The configuration is not valid.
    #[error("{}: {source}", path.display())]
    Config {
        /// The configuration's path.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The operator's file can't be read or is not valid, or configures an optional part that is not built in.
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
}
