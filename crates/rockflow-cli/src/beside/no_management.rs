//! In place of management where the program is built without it.

use super::SetLevel;
use rockflow_dispatcher::{Clock, Service};
use rockflow_endpoints::AdminOverrides;
use rockflow_operator_config::OperatorConfig;

pub const BUILT: bool = false;

pub struct Opened;

pub fn check(_: &OperatorConfig) -> Result<Vec<String>, String> {
    Ok(Vec::new())
}

pub fn open(_: Clock, _: &OperatorConfig) -> Result<Opened, String> {
    Ok(Opened)
}

impl Opened {
    pub fn marks(&self) -> Option<AdminOverrides> {
        None
    }

    pub fn run(self, _: &Service, _: SetLevel) -> Result<(), String> {
        Ok(())
    }
}
