//! The description of a fleet.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The name and location of a dispatcher, as the directory lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The name, unique in the fleet, which the files of the dispatcher carry too.
    pub name: String,
    /// The region, which holds one or more sites.
    pub region: String,
    /// The site, which holds one or more zones.
    pub site: String,
    /// The zone, the smallest unit of location.
    pub zone: String,
}

/// The members, files and settings of a fleet.
pub struct Layout {
    /// The path of the `rockflow` program.
    pub program: PathBuf,
    /// The existing folder in which files and logs are written. The fleet does not remove it.
    pub folder: PathBuf,
    /// The number of control nodes.
    pub control: usize,
    /// The dispatchers. The index in this list identifies a dispatcher in all methods of the fleet.
    pub members: Vec<Place>,
    /// The address of the discovery server that the control nodes follow.
    pub control_discovery: SocketAddr,
    /// The address of the discovery server that the dispatchers follow.
    pub discovery: SocketAddr,
    /// For each dispatcher, the list of hosts in its configuration, in the format of the discovery protocol. A
    /// dispatcher past the end of this vector keeps the hosts of the example configuration.
    pub hosts: Vec<Value>,
    /// The interval between heartbeats of dissemination.
    pub heartbeat_interval: Duration,
    /// How long dissemination keeps a purge.
    pub purge_window: Duration,
    /// The rate limit of the dissemination traffic of one process.
    pub bytes_per_second: u32,
    /// The seed of the proxy's random faults.
    pub seed: u64,
    /// The log level of the dispatchers. Control nodes always log at `info`.
    pub log_level: &'static str,
}
