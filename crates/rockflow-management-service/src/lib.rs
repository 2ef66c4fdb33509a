//! The layer between the management datastores and the servers of NETCONF and gNMI: the datastores beside a
//! running dispatcher, authentication of connections, credentials, and the audit log. A server decodes a request,
//! makes a call of a [`SessionHandle`], and encodes the result; it decides nothing.

pub mod audit;
pub mod authentication;
pub mod credentials;
mod event;
mod model_writer;
mod restore;
mod service;
mod session_handle;
mod state;
mod value_subscription;

pub use authentication::{AuthenticatedStream, UnauthenticatedConnection, UnauthenticatedConnections};
pub use event::ManagementEvent;
pub use restore::{OpenError, RestoredState};
pub use rockflow_operator_config as operator_config;
pub use rockflow_operator_config::{
    ConfigError, GnmiSection, ManagementSection, NetconfSection, OperatorConfig, TlsSection,
};
pub use service::{Datastores, ManagementService, SetLogLevel};
pub use session_handle::SessionHandle;
pub use value_subscription::ValueSubscription;
