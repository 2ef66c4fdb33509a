//! In place of dissemination where the program is built without it.

use rockflow_dispatcher::{Config, ServiceHandle};
use rockflow_operator_config::OperatorConfig;

pub const BUILT: bool = false;

pub struct Plan;
pub struct Carried;

pub fn check(_: &OperatorConfig, _: &Config) -> Result<Vec<String>, String> {
    Ok(Vec::new())
}

pub fn plan(_: &OperatorConfig, _: &Config) -> Result<Option<Plan>, String> {
    Ok(None)
}

pub fn serve(_: Plan, _: ServiceHandle) -> Result<Carried, String> {
    Ok(Carried)
}
