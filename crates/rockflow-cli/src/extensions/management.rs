//! The management agent of a dispatcher, which serves NETCONF and gNMI.

use super::{ExtensionsError, SetLevel};
use rockflow_dispatcher::{Clock, Service};
use rockflow_endpoints::AdminOverrides;
use rockflow_management_agent::Agent;
use rockflow_operator_config::{NetconfSection, OperatorConfig};

/// Whether the program is built with management.
pub const BUILT: bool = true;

/// An agent that is bound to its addresses and does not serve yet; `None` if the operator's file has no section of
/// management.
pub struct OpenedAgent(Option<Agent>);

/// Checks that the agent can start with the operator's file. Returns a line of text for each listener.
///
/// # Errors
/// A key or certificate can't be used.
pub fn check(file: &OperatorConfig) -> Result<Vec<String>, ExtensionsError> {
    Agent::check(file).map_err(management_error)?;
    let mut listeners = file.netconf.as_ref().map(netconf_listeners).unwrap_or_default();
    listeners.extend(file.gnmi.as_ref().map(|section| format!("gnmi: at {}", section.tls.listen)));
    Ok(listeners)
}

/// Binds the agent to its addresses and opens its store.
///
/// # Errors
/// An address, key, certificate or the store can't be used.
pub fn open(clock: Clock, file: &OperatorConfig) -> Result<OpenedAgent, ExtensionsError> {
    Agent::open(clock, file).map(OpenedAgent).map_err(management_error)
}

impl OpenedAgent {
    /// The administrative overrides that apply from the first request on; `None` without an agent.
    pub fn overrides(&self) -> Option<AdminOverrides> {
        self.0.as_ref().map(Agent::administrative_overrides)
    }

    /// Starts the agent's thread, which serves its clients. Does nothing without an agent.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn run(self, service: &Service, set_level: SetLevel) -> Result<(), ExtensionsError> {
        let Some(agent) = self.0 else { return Ok(()) };
        agent.run(service.handle(), set_level).map_err(ExtensionsError::RunManagement)?;
        Ok(())
    }
}

fn netconf_listeners(section: &NetconfSection) -> Vec<String> {
    let addresses = section.ssh.into_iter().chain(section.tls.as_ref().map(|tls| tls.listen));
    addresses.map(|address| format!("netconf: at {address}")).collect()
}

fn management_error(error: impl ToString) -> ExtensionsError {
    ExtensionsError::Management(error.to_string())
}
