//! Why the management side can't be opened.

use rockflow_management_service::OpenError;
use thiserror::Error;

/// Why the management side can't be opened.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The operator's file names a protocol that the program is built without.
    #[error("[{section}]: this program is built without it")]
    NotBuilt {
        /// The file's section.
        section: &'static str,
    },
    /// The NETCONF server can't start.
    #[cfg(feature = "netconf")]
    #[error(transparent)]
    Netconf(#[from] rockflow_netconf::StartError),
    /// The gNMI server can't start.
    #[cfg(feature = "gnmi")]
    #[error(transparent)]
    Gnmi(#[from] rockflow_gnmi::StartError),
    /// What is stored can't be restored.
    #[error(transparent)]
    Open(#[from] OpenError),
}
