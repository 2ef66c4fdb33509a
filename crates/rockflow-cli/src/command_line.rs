//! The command line: the subcommands, and the files and options that configure a process.

use crate::error::SourceError;
use crate::extensions::{Extensions, ExtensionsError, OperatorFiles};
#[cfg(feature = "management")]
use crate::manage::ManageArguments;
use clap::{Parser, Subcommand};
use rockflow_dispatcher::Config;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Decides where objects are served, kept and filled from, and serves them.
#[derive(Parser)]
#[command(name = "rockflow")]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

// The doc comments of variants and fields are the help texts of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Run a dispatcher until SIGTERM or SIGINT; SIGHUP has it read its configuration again
    Serve {
        #[command(flatten)]
        source: Source,
        /// The least level of log lines: error, warn, info, debug
        #[arg(long, default_value = "info")]
        log: tracing::Level,
    },
    /// Run a control process until SIGTERM or SIGINT; SIGHUP has it read its directory and marks again
    #[cfg(feature = "dissemination")]
    Control {
        #[command(flatten)]
        source: Source,
        /// Say whether it can start, in place of starting
        #[arg(long)]
        check: bool,
        /// The least level of log lines: error, warn, info, debug
        #[arg(long, default_value = "info")]
        log: tracing::Level,
    },
    /// Print the version
    Version,
    /// Read a configuration and say whether a dispatcher can start with it
    Check {
        #[command(flatten)]
        source: Source,
    },
    /// Read and change a running dispatcher over NETCONF or gNMI
    #[cfg(feature = "management")]
    Manage(Box<ManageArguments>),
    /// Print what a shell needs to complete these commands
    Completion { shell: clap_complete::Shell },
}

/// The files that configure a process, and the options that override single settings of them.
#[derive(clap::Args)]
pub struct Source {
    /// The configuration, as JSON
    #[arg(long, env = "GW_CONFIG")]
    config: PathBuf,
    /// The address to listen on, in place of the configuration's
    #[arg(long, env = "GW_LISTEN")]
    listen: Option<SocketAddr>,
    /// The dispatcher's name, in place of the configuration's
    #[arg(long, env = "GW_NAME")]
    name: Option<String>,
    #[command(flatten)]
    files: OperatorFiles,
}

impl Source {
    /// Reads the configuration file, and replaces the settings that the command line overrides.
    ///
    /// # Errors
    /// The file can't be read, or is not valid.
    pub fn read(&self) -> Result<Config, SourceError> {
        let text = std::fs::read_to_string(&self.config)
            .map_err(|source| SourceError::Read { path: self.config.clone(), source })?;
        let mut config = Config::parse(&text)
            .map_err(|source| SourceError::Config { path: self.config.clone(), source })?;
        if let Some(listen) = self.listen {
            config.listen = listen;
        }
        if let Some(name) = &self.name {
            config.name.clone_from(name);
        }
        Ok(config)
    }

    /// Reads the operator's files. Without any, no optional part is configured.
    ///
    /// # Errors
    /// A file can't be read or is not valid, or configures an optional part that is not built in.
    pub fn read_extensions(&self) -> Result<Extensions, ExtensionsError> {
        Extensions::read(&self.files.operator)
    }
}
