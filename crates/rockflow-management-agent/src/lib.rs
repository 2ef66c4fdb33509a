//! The management side put together. `Agent::open` reads back what lasts and binds what listens, ahead of the
//! dispatcher; `run` starts the one thread in which all of it lives. Where the operator's file has no such
//! section there is no agent, and nothing of it is started.

use rockflow_dispatcher::{Clock, ServiceHandle};
use rockflow_endpoints::AdminOverrides;
use rockflow_management_service::SetLogLevel;
use rockflow_management_service::{ManagementService, OperatorConfig, RestoredState};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{error, info};

pub struct Agent {
    opened: RestoredState,
    #[cfg(feature = "netconf")]
    netconf: Option<rockflow_netconf::BoundServer>,
    #[cfg(feature = "gnmi")]
    gnmi: Option<rockflow_gnmi::BoundServer>,
}

/// Where the fronts listen; none: not told, or not built in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    pub ssh: Option<SocketAddr>,
    pub tls: Option<SocketAddr>,
    pub gnmi: Option<SocketAddr>,
}

impl Agent {
    /// None: the file asks for no management.
    pub fn open(clock: Clock, file: &OperatorConfig) -> Result<Option<Agent>, String> {
        let Some(part) = &file.management else { return Ok(None) };
        #[cfg(not(feature = "netconf"))]
        if file.netconf.is_some() {
            return Err("[netconf]: this program is built without it".to_string());
        }
        #[cfg(not(feature = "gnmi"))]
        if file.gnmi.is_some() {
            return Err("[gnmi]: this program is built without it".to_string());
        }
        Ok(Some(Agent {
            #[cfg(feature = "gnmi")]
            gnmi: file
                .gnmi
                .as_ref()
                .map(rockflow_gnmi::BoundServer::bind)
                .transpose()
                .map_err(|error| error.to_string())?,
            #[cfg(feature = "netconf")]
            netconf: file
                .netconf
                .as_ref()
                .map(rockflow_netconf::BoundServer::bind)
                .transpose()
                .map_err(|error| error.to_string())?,
            opened: RestoredState::open(clock, part).map_err(|error| error.to_string())?,
        }))
    }

    /// Whether all that the file names can be used, with nothing opened for good.
    pub fn check(file: &OperatorConfig) -> Result<(), String> {
        #[cfg(feature = "netconf")]
        if let Some(part) = &file.netconf {
            rockflow_netconf::BoundServer::check(part).map_err(|error| error.to_string())?;
        }
        #[cfg(feature = "gnmi")]
        if let Some(part) = &file.gnmi {
            rockflow_gnmi::BoundServer::check(part).map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// The marks that hold from the first request on.
    pub fn marks(&self) -> AdminOverrides {
        self.opened.administrative_overrides()
    }

    pub fn addresses(&self) -> Addresses {
        #[allow(unused_mut)]
        let mut all = Addresses::default();
        #[cfg(feature = "netconf")]
        if let Some(bound) = &self.netconf {
            let bound = bound.addresses();
            (all.ssh, all.tls) = (bound.ssh, bound.tls);
        }
        #[cfg(feature = "gnmi")]
        {
            all.gnmi = self.gnmi.as_ref().and_then(rockflow_gnmi::BoundServer::address);
        }
        all
    }

    /// Starts the thread. It ends with the program: what was acknowledged is durable already.
    pub fn run(self, link: ServiceHandle, set_level: SetLogLevel) -> std::io::Result<Arc<ManagementService>> {
        let addresses = self.addresses();
        let desk = self.opened.into_service(link, set_level);
        info!(?addresses, "management serves");
        let served = desk.clone();
        #[cfg(feature = "netconf")]
        let netconf = self.netconf;
        #[cfg(feature = "gnmi")]
        let gnmi = self.gnmi;
        std::thread::Builder::new().name("management".to_string()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(what) => return error!(%what, "management does not run"),
            };
            runtime.block_on(async move {
                #[cfg(feature = "netconf")]
                if let Some(bound) = netconf {
                    if let Err(error) = bound.serve(served.clone()) {
                        error!(%error, "netconf does not serve");
                    }
                }
                #[cfg(feature = "gnmi")]
                if let Some(bound) = gnmi {
                    if let Err(error) = bound.serve(served.clone()) {
                        error!(%error, "gnmi does not serve");
                    }
                }
                served.run().await;
            });
        })?;
        Ok(desk)
    }
}
