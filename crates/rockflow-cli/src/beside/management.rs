//! Management beside a dispatcher.

use super::SetLevel;
use rockflow_dispatcher::{Clock, Service};
use rockflow_endpoints::AdminOverrides;
use rockflow_management_agent::Agent;
use rockflow_operator_config::OperatorConfig;

pub const BUILT: bool = true;

/// None: the operator's file names no front.
pub struct Opened(Option<Agent>);

pub fn check(file: &OperatorConfig) -> Result<Vec<String>, String> {
    Agent::check(file).map_err(|error| error.to_string())?;
    let netconf = file.netconf.iter();
    let netconf =
        netconf.flat_map(|part| part.ssh.into_iter().chain(part.tls.as_ref().map(|tls| tls.listen)));
    let gnmi = file.gnmi.iter().map(|part| format!("gnmi: at {}", part.tls.listen));
    Ok(netconf.map(|at| format!("netconf: at {at}")).chain(gnmi).collect())
}

pub fn open(clock: Clock, file: &OperatorConfig) -> Result<Opened, String> {
    Agent::open(clock, file).map(Opened).map_err(|error| error.to_string())
}

impl Opened {
    pub fn marks(&self) -> Option<AdminOverrides> {
        self.0.as_ref().map(Agent::administrative_overrides)
    }

    pub fn run(self, service: &Service, set_level: SetLevel) -> Result<(), String> {
        let Some(agent) = self.0 else { return Ok(()) };
        agent.run(service.handle(), set_level).map(|_| ()).map_err(|what| format!("management: {what}"))
    }
}
