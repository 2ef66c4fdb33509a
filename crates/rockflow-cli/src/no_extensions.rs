//! Replaces the module `extensions` in a program that is built without management and dissemination.
//!
//! It rejects any operator's file. Ignoring the file would leave the operator to believe that its sections apply.

use rockflow_dispatcher::{Clock, Config, Service};
use std::io;
use std::path::PathBuf;

/// Sets the level of the running log by name; `None` restores the level given on the command line.
pub type SetLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

/// Why the operator's file can't be used, or the dispatcher can't start.
#[derive(Debug, thiserror::Error)]
pub enum ExtensionsError {
    /// An operator's file is given; holds the path of the first one.
    #[error(
        "{}: this program is built without management and dissemination (cargo build --release --features \
         management,dissemination)",
        .0.display()
    )]
    NotBuilt(PathBuf),
    /// The dispatcher can't start.
    #[error("start: {0}")]
    Start(#[source] io::Error),
}

/// The optional parts that run in a dispatcher's process: none in this build.
#[derive(PartialEq)]
pub struct Extensions;

impl Extensions {
    /// Succeeds only without an operator's file.
    ///
    /// # Errors
    /// A file is given.
    pub fn read(paths: &[PathBuf]) -> Result<Extensions, ExtensionsError> {
        match paths.first() {
            None => Ok(Extensions),
            Some(path) => Err(ExtensionsError::NotBuilt(path.clone())),
        }
    }

    /// Returns no lines: without optional parts there are no further listeners.
    pub fn check(&self, _: &Config) -> Result<Vec<String>, ExtensionsError> {
        Ok(Vec::new())
    }

    /// Starts the dispatcher.
    ///
    /// # Errors
    /// The dispatcher can't start.
    pub fn start(&self, clock: Clock, config: Config, _: SetLevel) -> Result<(Service, ()), ExtensionsError> {
        Service::set_up();
        let service = Service::start_with_overrides(clock, config, None).map_err(ExtensionsError::Start)?;
        Ok((service, ()))
    }
}

/// The paths of the operator's file.
#[derive(clap::Args)]
pub struct OperatorFiles {
    /// The operator's own file, as INI; given again, a later one holds over an earlier one key by key
    #[arg(long, env = "ROCKFLOW_OPERATOR", value_delimiter = ':')]
    pub operator: Vec<PathBuf>,
}
