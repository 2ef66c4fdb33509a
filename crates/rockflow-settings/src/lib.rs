//! Reads the settings of a deployment: the configuration of the decision logic ([`DeploymentSettings`]), and the names
//! and connection limits that a dispatcher with network connections needs in addition ([`NetworkSettings`]).
//!
//! The simulator sends settings as dotted `key=value` lines, the platform as nested JSON. [`DottedSettings`] reads both
//! formats into the same keys and values. Unknown keys are ignored. A [`SettingsError`] names a required key that is
//! missing or whose value is invalid.

mod deployment;
mod dotted;
mod error;
mod network;

pub use deployment::DeploymentSettings;
pub use dotted::{normalize_value, DottedSettings};
pub use error::SettingsError;
pub use network::NetworkSettings;
