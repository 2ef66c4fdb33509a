//! In place of management where the program is built without it.

use super::{ExtensionsError, SetLevel};
use rockflow_dispatcher::{Clock, Service};
use rockflow_endpoints::AdminOverrides;
use rockflow_operator_config::OperatorConfig;

/// Whether the program is built with management.
pub const BUILT: bool = false;

/// No agent.
pub struct OpenedAgent;

/// The listeners of management: none.
pub fn check(_: &OperatorConfig) -> Result<Vec<String>, ExtensionsError> {
    Ok(Vec::new())
}

/// Opens nothing.
pub fn open(_: Clock, _: &OperatorConfig) -> Result<OpenedAgent, ExtensionsError> {
    Ok(OpenedAgent)
}

impl OpenedAgent {
    /// The overrides of management: none.
    pub fn overrides(&self) -> Option<AdminOverrides> {
        None
    }

    /// Serves nothing.
    pub fn run(self, _: &Service, _: SetLevel) -> Result<(), ExtensionsError> {
        Ok(())
    }
}
