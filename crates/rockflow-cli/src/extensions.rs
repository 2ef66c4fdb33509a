//! The optional parts of the program, which the operator's file configures: management and dissemination.
//!
//! A program that is built without a part rejects a file with sections of that part. Ignoring them would leave the
//! operator to believe that they apply.

#[cfg_attr(not(feature = "dissemination"), path = "extensions/no_dissemination.rs")]
pub mod dissemination;
mod error;
#[cfg_attr(not(feature = "management"), path = "extensions/no_management.rs")]
mod management;

use dissemination::RunningNode;
pub use error::ExtensionsError;
use rockflow_dispatcher::{Clock, Config, Service};
use rockflow_operator_config::{self as operator_config, Layer, OperatorConfig};
use std::path::{Path, PathBuf};

/// Sets the level of the running log by name; `None` restores the level given on the command line.
pub type SetLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

/// The optional parts that run in a dispatcher's process, as the operator's file configures them.
#[derive(PartialEq)]
pub struct Extensions(OperatorConfig);

impl Extensions {
    /// Reads the operator's files as layers of one: a key in a later file overrides the same key in an earlier one.
    ///
    /// # Errors
    /// A file can't be read, the result is not valid, or it has sections of a part that is not built in.
    pub fn read(paths: &[PathBuf]) -> Result<Extensions, ExtensionsError> {
        let layers = paths.iter().map(|path| read_layer(path)).collect::<Result<Vec<_>, _>>()?;
        let config = operator_config::parse(&layers).map_err(ExtensionsError::Invalid)?;
        if let Some(part) = missing_part(&config) {
            let files: Vec<String> = paths.iter().map(|path| path.display().to_string()).collect();
            return Err(ExtensionsError::NotBuilt { files: files.join(", "), part });
        }
        Ok(Extensions(config))
    }

    /// The content of the operator's file, with all layers merged.
    #[cfg(feature = "dissemination")]
    pub fn file(&self) -> &OperatorConfig {
        &self.0
    }

    /// Checks that the parts can start with this configuration. Returns a line of text for each of their listeners.
    ///
    /// # Errors
    /// A part can't start: a setting, key, certificate or file that the operator's file names can't be used.
    pub fn check(&self, config: &Config) -> Result<Vec<String>, ExtensionsError> {
        let mut listeners = management::check(&self.0)?;
        let dissemination = dissemination::check(&self.0, config).map_err(dissemination_error)?;
        listeners.extend(dissemination);
        Ok(listeners)
    }

    /// Starts the dispatcher and its optional parts. Returns `None` for the node if dissemination is not configured.
    ///
    /// # Errors
    /// The dispatcher or a part can't start.
    pub fn start(
        &self,
        clock: Clock,
        config: Config,
        set_level: SetLevel,
    ) -> Result<(Service, Option<RunningNode>), ExtensionsError> {
        let node_options = dissemination::member_options(&self.0, &config).map_err(dissemination_error)?;
        let agent = management::open(clock, &self.0)?;
        Service::set_up();
        // Management and dissemination can override endpoints. The dispatcher supports that only if it starts with a set
        // of overrides, which may be empty.
        let overrides = agent.overrides().or_else(|| node_options.is_some().then(Default::default));
        let service =
            Service::start_with_overrides(clock, config, overrides).map_err(ExtensionsError::Start)?;
        agent.run(&service, set_level)?;
        let node = node_options.map(|options| dissemination::start_node(options, service.handle()));
        let node = node.transpose().map_err(dissemination_error)?;
        Ok((service, node))
    }
}

/// The paths of the operator's file.
#[derive(clap::Args)]
pub struct OperatorFiles {
    /// The operator's own file, as INI; given again, a later one holds over an earlier one key by key
    #[arg(long, env = "ROCKFLOW_OPERATOR", value_delimiter = ':')]
    pub operator: Vec<PathBuf>,
}

fn read_layer(path: &Path) -> Result<Layer, ExtensionsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ExtensionsError::Read { path: path.to_path_buf(), source })?;
    Ok(Layer { file: path.display().to_string(), text })
}

/// Returns the name of a part that has a section and is not built in.
fn missing_part(config: &OperatorConfig) -> Option<&'static str> {
    let uses_management = config.management.is_some() || config.netconf.is_some() || config.gnmi.is_some();
    if uses_management && !management::BUILT {
        return Some("management");
    }
    if config.dissemination.is_some() && !dissemination::BUILT {
        return Some("dissemination");
    }
    None
}

fn dissemination_error(error: impl ToString) -> ExtensionsError {
    ExtensionsError::Dissemination(error.to_string())
}
