//! Combines the management datastores with the NETCONF and gNMI servers of a dispatcher.
//!
//! [`Agent::open`] restores the stored datastores and binds the listeners, before the dispatcher starts.
//! [`Agent::run`] starts the one thread in which all management code runs. Without a `[management]` section
//! in the operator's file there is no agent, and no management code runs.

mod error;

pub use error::AgentError;

use rockflow_dispatcher::{Clock, ServiceHandle};
use rockflow_endpoints::AdminOverrides;
use rockflow_management_service::{ManagementService, OperatorConfig, RestoredState, SetLogLevel};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{error, info};

/// Restored datastores and bound listeners that do not serve yet.
pub struct Agent {
    restored: RestoredState,
    servers: ProtocolServers,
}

/// The bound servers of the protocols that are both built in and configured in the operator's file.
struct ProtocolServers {
    #[cfg(feature = "netconf")]
    netconf: Option<rockflow_netconf::BoundServer>,
    #[cfg(feature = "gnmi")]
    gnmi: Option<rockflow_gnmi::BoundServer>,
}

/// The addresses on which the protocol servers listen. `None` means that the protocol is not configured or
/// not built in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    /// The listener for NETCONF over SSH.
    pub ssh: Option<SocketAddr>,
    /// The listener for NETCONF over TLS.
    pub tls: Option<SocketAddr>,
    /// The listener for gNMI over TLS.
    pub gnmi: Option<SocketAddr>,
}

impl Agent {
    /// Binds the listeners and restores the datastores. `Ok(None)` if the operator's file has no
    /// `[management]` section.
    pub fn open(clock: Clock, config: &OperatorConfig) -> Result<Option<Agent>, AgentError> {
        let Some(section) = &config.management else { return Ok(None) };
        let servers = ProtocolServers::bind(config)?;
        let restored = RestoredState::open(clock, section)?;
        Ok(Some(Agent { restored, servers }))
    }

    /// Checks that all keys and certificates that the operator's file names can be used. Nothing stays open.
    pub fn check(config: &OperatorConfig) -> Result<(), AgentError> {
        #[cfg(feature = "netconf")]
        if let Some(section) = &config.netconf {
            rockflow_netconf::BoundServer::check(section)?;
        }
        #[cfg(feature = "gnmi")]
        if let Some(section) = &config.gnmi {
            rockflow_gnmi::BoundServer::check(section)?;
        }
        #[cfg(not(any(feature = "netconf", feature = "gnmi")))]
        let _ = config;
        Ok(())
    }

    /// The administrative overrides that the dispatcher must apply from its first request on.
    pub fn administrative_overrides(&self) -> AdminOverrides {
        self.restored.administrative_overrides()
    }

    /// The addresses on which the protocol servers listen.
    pub fn addresses(&self) -> Addresses {
        self.servers.addresses()
    }

    /// Starts the management thread. It runs until the process ends and needs no shutdown, because every
    /// acknowledged commit is already durable. `set_level` is called when the configured log level changes.
    pub fn run(
        self,
        dispatcher: ServiceHandle,
        set_level: SetLogLevel,
    ) -> std::io::Result<Arc<ManagementService>> {
        let addresses = self.addresses();
        let service = self.restored.into_service(dispatcher, set_level);
        info!(?addresses, "management started");
        let (servers, thread_service) = (self.servers, service.clone());
        std::thread::Builder::new().name("management".to_string()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => runtime.block_on(async move {
                    servers.serve(&thread_service);
                    thread_service.run().await;
                }),
                Err(error) => error!(%error, "management not started"),
            }
        })?;
        Ok(service)
    }
}

impl ProtocolServers {
    fn bind(config: &OperatorConfig) -> Result<ProtocolServers, AgentError> {
        #[cfg(not(feature = "netconf"))]
        if config.netconf.is_some() {
            return Err(AgentError::NotBuilt { section: "netconf" });
        }
        #[cfg(not(feature = "gnmi"))]
        if config.gnmi.is_some() {
            return Err(AgentError::NotBuilt { section: "gnmi" });
        }
        Ok(ProtocolServers {
            #[cfg(feature = "gnmi")]
            gnmi: config.gnmi.as_ref().map(rockflow_gnmi::BoundServer::bind).transpose()?,
            #[cfg(feature = "netconf")]
            netconf: config.netconf.as_ref().map(rockflow_netconf::BoundServer::bind).transpose()?,
        })
    }

    fn addresses(&self) -> Addresses {
        #[allow(unused_mut, reason = "no field is set if neither protocol is built in")]
        let mut addresses = Addresses::default();
        #[cfg(feature = "netconf")]
        if let Some(netconf) = &self.netconf {
            let bound = netconf.addresses();
            addresses.ssh = bound.ssh;
            addresses.tls = bound.tls;
        }
        #[cfg(feature = "gnmi")]
        if let Some(gnmi) = &self.gnmi {
            addresses.gnmi = gnmi.address();
        }
        addresses
    }

    /// Starts the servers in the current async runtime. If one fails to start, the failure is logged and the
    /// other still starts.
    fn serve(self, service: &Arc<ManagementService>) {
        #[cfg(feature = "netconf")]
        if let Some(netconf) = self.netconf {
            if let Err(error) = netconf.serve(service.clone()) {
                error!(%error, "NETCONF server not started");
            }
        }
        #[cfg(feature = "gnmi")]
        if let Some(gnmi) = self.gnmi {
            if let Err(error) = gnmi.serve(service.clone()) {
                error!(%error, "gNMI server not started");
            }
        }
        #[cfg(not(any(feature = "netconf", feature = "gnmi")))]
        let _ = service;
    }
}
