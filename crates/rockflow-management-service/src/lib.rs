//! What stands between the management datastores and the fronts that serve them: the operator's file, the desk
//! that holds the datastores beside a running dispatcher, and the audit log. A front decodes, asks the desk, and
//! encodes; it decides nothing.

pub mod audit;
pub mod authentication;
pub mod desk;
pub mod secrets;
pub mod state;

pub use authentication::{UnauthenticatedConnection, UnauthenticatedConnections};
pub use desk::{
    ManagementEvent, ManagementService, RestoredState, SessionHandle, SetLogLevel, ValueSubscription,
};
pub use rockflow_operator_config as operator_config;
pub use rockflow_operator_config::{
    ConfigError, GnmiSection, ManagementSection, NetconfSection, OperatorConfig, TlsSection,
};
