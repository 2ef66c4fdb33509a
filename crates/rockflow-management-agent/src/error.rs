//! The error type for opening the management service.

use rockflow_management_service::OpenError;
use thiserror::Error;

/// The management service can't be opened.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The operator's file configures a protocol that this program was built without.
    #[error("[{section}]: this program is built without this protocol")]
    NotBuilt {
        /// The section of the operator's file that configures the protocol.
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
    /// The stored datastores can't be restored.
    #[error(transparent)]
    Open(#[from] OpenError),
}
