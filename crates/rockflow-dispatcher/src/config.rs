//! The configuration of a dispatcher, parsed from JSON.

use rockflow_protocol::discovery::Snapshot;
use rockflow_settings::{DeploymentSettings, DottedSettings, NetworkSettings};
use serde_json::Value;
use std::collections::BTreeMap;
use std::error::Error as StdError;
use std::net::SocketAddr;
use thiserror::Error;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory in MiB.
    pub memory_mb: usize,
    /// Number of open file descriptors.
    pub sockets: usize,
}

/// Configuration values that take effect only after a restart, by top-level key.
pub type RestartOnlyValues = BTreeMap<String, Value>;
const RESTART_ONLY_KEYS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// The configuration of a dispatcher.
pub struct Config {
    /// Name of the dispatcher, for logs and reports.
    pub name: String,
    /// Address at which client connections are accepted.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Endpoints and purges known at startup; discovery continues from its revision.
    pub snapshot: Snapshot,
    /// Settings of the routing decisions.
    pub deployment_settings: DeploymentSettings,
    /// Settings of the network I/O.
    pub network_settings: NetworkSettings,
    /// The values that [`Service::reload`](crate::Service::reload) can't change, for comparison.
    pub restart_only: RestartOnlyValues,
}

/// Why a configuration is rejected. The message names the key.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A required key is missing.
    #[error("{0} is missing")]
    Missing(String),
    /// A value is not a string.
    #[error("{0} is not a string")]
    NotText(String),
    /// A value is not an IP address with a port.
    #[error("{0} is not an IP address with a port")]
    NotAddress(String),
    /// A value is not a number of at least 1.
    #[error("{0} is not a number of at least 1")]
    NotCount(String),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed is not a hexadecimal number of at most 64 bits")]
    InvalidSeed,
    /// The snapshot under `known` is invalid.
    #[error("known: {0}")]
    InvalidSnapshot(#[source] serde_json::Error),
    /// A setting is missing or invalid.
    #[error("{0}")]
    InvalidSetting(#[source] Box<dyn StdError + Send + Sync>),
}

impl Config {
    /// Parses a configuration from JSON text.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let root: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let document = Document { root: &root };
        let seed = u64::from_str_radix(document.text("seed")?, 16).map_err(|_| ConfigError::InvalidSeed)?;
        let settings = DottedSettings::from_json(document.value("settings")?);
        Ok(Config {
            name: document.text("name")?.to_string(),
            listen: document.address("listen")?,
            seed,
            limits: Limits {
                memory_mb: document.count("limits.memory_mb")?,
                sockets: document.count("limits.sockets")?,
            },
            discovery_address: document.address("board")?,
            snapshot: serde_json::from_value(document.value("known")?.clone())
                .map_err(ConfigError::InvalidSnapshot)?,
            deployment_settings: DeploymentSettings::parse(&settings)
                .map_err(|error| ConfigError::InvalidSetting(error.into()))?,
            network_settings: NetworkSettings::parse(&settings)
                .map_err(|error| ConfigError::InvalidSetting(error.into()))?,
            restart_only: document.restart_only()?,
        })
    }
}

/// Typed access to the values of a JSON document.
struct Document<'a> {
    root: &'a Value,
}

impl<'a> Document<'a> {
    /// Returns the value at a path of keys separated by dots.
    fn value(&self, path: &str) -> Result<&'a Value, ConfigError> {
        let found = path.split('.').try_fold(self.root, |value, name| value.get(name));
        found.ok_or_else(|| ConfigError::Missing(path.to_string()))
    }

    fn text(&self, path: &str) -> Result<&'a str, ConfigError> {
        self.value(path)?.as_str().ok_or_else(|| ConfigError::NotText(path.to_string()))
    }

    fn address(&self, path: &str) -> Result<SocketAddr, ConfigError> {
        self.text(path)?.parse().map_err(|_| ConfigError::NotAddress(path.to_string()))
    }

    fn count(&self, path: &str) -> Result<usize, ConfigError> {
        let count = self.value(path)?.as_f64().filter(|count| *count >= 1.0);
        count.map(|count| count as usize).ok_or_else(|| ConfigError::NotCount(path.to_string()))
    }

    fn restart_only(&self) -> Result<RestartOnlyValues, ConfigError> {
        RESTART_ONLY_KEYS.iter().map(|key| Ok((key.to_string(), self.value(key)?.clone()))).collect()
    }
}
