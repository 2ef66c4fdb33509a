//! Replaces the module `dissemination` in a program that is built without it. Sections of dissemination are rejected
//! when the operator's file is read, so these functions do nothing.

use rockflow_dispatcher::{Config, ServiceHandle};
use rockflow_operator_config::OperatorConfig;

/// Whether the program is built with dissemination.
pub const BUILT: bool = false;

/// The options of a node; never created in this build.
pub struct NodeOptions;
/// A running node; never created in this build.
pub struct RunningNode;

/// Returns no lines: there are no listeners of dissemination.
pub fn check(_: &OperatorConfig, _: &Config) -> Result<Vec<String>, String> {
    Ok(Vec::new())
}

/// Returns `None`: there is no node.
pub fn member_options(_: &OperatorConfig, _: &Config) -> Result<Option<NodeOptions>, String> {
    Ok(None)
}

/// Starts nothing; never called in this build.
pub fn start_node(_: NodeOptions, _: ServiceHandle) -> Result<RunningNode, String> {
    Ok(RunningNode)
}
