//! The management side of a dispatcher put together.
//!
//! [`Agent::open`] restores what is stored and binds the listeners, ahead of the dispatcher; [`Agent::run`] starts the one
//! thread in which all of it lives. Without a `[management]` section in the operator's file there is no agent, and nothing of
//! it is started.

mod error;

pub use error::AgentError;

use rockflow_dispatcher::{Clock, ServiceHandle};
use rockflow_endpoints::AdminOverrides;
use rockflow_management_service::{ManagementService, OperatorConfig, RestoredState, SetLogLevel};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{error, info};

/// The management side, restored and bound, that does not run yet.
pub struct Agent {
    restored: RestoredState,
    fronts: Fronts,
}

/// The protocols' servers, as far as they are built in and the operator's file names them.
struct Fronts {
    #[cfg(feature = "netconf")]
    netconf: Option<rockflow_netconf::BoundServer>,
    #[cfg(feature = "gnmi")]
    gnmi: Option<rockflow_gnmi::BoundServer>,
}

/// Where the protocols' servers listen; none: not configured, or not built in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    /// NETCONF over SSH.
    pub ssh: Option<SocketAddr>,
    /// NETCONF over TLS.
    pub tls: Option<SocketAddr>,
    /// gNMI.
    pub gnmi: Option<SocketAddr>,
}

impl Agent {
    /// Restores the state and binds the listeners. None: the operator's file has no management.
    pub fn open(clock: Clock, config: &OperatorConfig) -> Result<Option<Agent>, AgentError> {
        let Some(section) = &config.management else { return Ok(None) };
        let fronts = Fronts::bind(config)?;
        let restored = RestoredState::open(clock, section)?;
        Ok(Some(Agent { restored, fronts }))
    }

    /// Checks that all keys and certificates that the operator's file names can be used, and opens nothing for good.
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

    /// The administrative overrides that apply from the first request on.
    pub fn administrative_overrides(&self) -> AdminOverrides {
        self.restored.administrative_overrides()
    }

    /// Where the protocols' servers listen.
    pub fn addresses(&self) -> Addresses {
        self.fronts.addresses()
    }

    /// Starts the management thread. It ends with the program: what was acknowledged is durable already.
    pub fn run(self, link: ServiceHandle, set_level: SetLogLevel) -> std::io::Result<Arc<ManagementService>> {
        let addresses = self.addresses();
        let service = self.restored.into_service(link, set_level);
        info!(?addresses, "management started");
        let (fronts, served) = (self.fronts, service.clone());
        std::thread::Builder::new().name("management".to_string()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => runtime.block_on(async move {
                    fronts.serve(&served);
                    served.run().await;
                }),
                Err(error) => error!(%error, "management not started"),
            }
        })?;
        Ok(service)
    }
}

impl Fronts {
    fn bind(config: &OperatorConfig) -> Result<Fronts, AgentError> {
        #[cfg(not(feature = "netconf"))]
        if config.netconf.is_some() {
            return Err(AgentError::NotBuilt { section: "netconf" });
        }
        #[cfg(not(feature = "gnmi"))]
        if config.gnmi.is_some() {
            return Err(AgentError::NotBuilt { section: "gnmi" });
        }
        Ok(Fronts {
            #[cfg(feature = "gnmi")]
            gnmi: config.gnmi.as_ref().map(rockflow_gnmi::BoundServer::bind).transpose()?,
            #[cfg(feature = "netconf")]
            netconf: config.netconf.as_ref().map(rockflow_netconf::BoundServer::bind).transpose()?,
        })
    }

    fn addresses(&self) -> Addresses {
        #[allow(unused_mut, reason = "nothing is filled in without the features")]
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

    /// Starts the servers in the runtime that this is called in. One that does not start leaves the others be.
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
