//! The description of a fleet.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A dispatcher's name and location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The dispatcher's name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its site.
    pub site: String,
    /// Its zone.
    pub zone: String,
}

/// What a fleet consists of.
pub struct Layout {
    /// The `rockflow` program.
    pub program: PathBuf,
    /// Where files and logs are written. It is left there.
    pub folder: PathBuf,
    /// How many control nodes there are.
    pub control: usize,
    /// The dispatchers.
    pub members: Vec<Place>,
    /// The discovery server of the control nodes.
    pub control_discovery: SocketAddr,
    /// The discovery server of the dispatchers.
    pub discovery: SocketAddr,
    /// By dispatcher, the hosts that it knows at its start, as the discovery protocol lists them. A dispatcher beyond the
    /// end knows those of the example configuration.
    pub hosts: Vec<Value>,
    /// The interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// How long purges are kept.
    pub purge_window: Duration,
    /// The rate limit of dissemination.
    pub bytes_per_second: u32,
    /// The seed of the proxy's random faults.
    pub seed: u64,
    /// The least severe level that dispatchers log.
    pub log_level: &'static str,
}
