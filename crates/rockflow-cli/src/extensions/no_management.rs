//! Replaces the module `management` in a program that is built without it. Sections of management are rejected when the
//! operator's file is read, so these functions do nothing.

use super::{ExtensionsError, SetLevel};
use rockflow_dispatcher::{Clock, Service};
use rockflow_endpoints::AdminOverrides;
use rockflow_operator_config::OperatorConfig;

/// Whether the program is built with management.
pub const BUILT: bool = false;

/// Stands for the agent, which is not built in.
pub struct OpenedAgent;

/// Returns no lines: there are no listeners of management.
pub fn check(_: &OperatorConfig) -> Result<Vec<String>, ExtensionsError> {
    Ok(Vec::new())
}

/// Opens nothing.
pub fn open(_: Clock, _: &OperatorConfig) -> Result<OpenedAgent, ExtensionsError> {
    Ok(OpenedAgent)
}

impl OpenedAgent {
    /// Returns `None`: there is no agent that could hold overrides.
    pub fn overrides(&self) -> Option<AdminOverrides> {
        None
    }

    /// Serves nothing.
    pub fn run(self, _: &Service, _: SetLevel) -> Result<(), ExtensionsError> {
        Ok(())
    }
}
