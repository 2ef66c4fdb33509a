//! The layer between the management datastores and the NETCONF and gNMI servers. It attaches the datastores
//! to a running dispatcher, and provides authentication of connections, credentials and the audit log. A
//! server only decodes a request, calls a method of [`SessionHandle`] and encodes the result; all rules are
//! applied here.

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
