//! Reads the settings of a deployment: the configuration of the decisions ([`DeploymentSettings`]) and what a dispatcher
//! on sockets needs besides ([`NetworkSettings`]).
//!
//! Settings come as dotted `key=value` lines (from the simulator) or as nested JSON (from the platform).
//! [`DottedSettings`] reads both alike. Unknown keys are skipped; a required key that is missing or does not parse is named
//! by a [`SettingsError`].

mod deployment;
mod dotted;
mod error;
mod network;

pub use deployment::DeploymentSettings;
pub use dotted::{normalize_value, DottedSettings};
pub use error::SettingsError;
pub use network::NetworkSettings;
