//! In place of dissemination where the program is built without it.

use rockflow_dispatcher::{Config, ServiceHandle};
use rockflow_operator_config::OperatorConfig;

pub const BUILT: bool = false;

pub struct NodeOptions;
pub struct RunningNode;

pub fn check(_: &OperatorConfig, _: &Config) -> Result<Vec<String>, String> {
    Ok(Vec::new())
}

pub fn member_options(_: &OperatorConfig, _: &Config) -> Result<Option<NodeOptions>, String> {
    Ok(None)
}

pub fn start_node(_: NodeOptions, _: ServiceHandle) -> Result<RunningNode, String> {
    Ok(RunningNode)
}
