//! What a dispatcher is told at its start, read from its configuration. Every fault names its key.

use rockflow_protocol::discovery::Snapshot;
use rockflow_settings::{DeploymentSettings, DottedSettings, NetworkSettings};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// What a running dispatcher keeps to, by key.
pub type Unchanging = BTreeMap<String, Value>;
const UNCHANGING: [&str; 4] = ["name", "listen", "limits", "settings"];

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub discovery_address: SocketAddr,
    pub snapshot: Snapshot,
    pub facts: DeploymentSettings,
    pub wiring: NetworkSettings,
    pub unchanging: Unchanging,
}

impl Config {
    pub fn parse(text: &str) -> Result<Config, String> {
        let value: Value = serde_json::from_str(text).map_err(|what| format!("not JSON: {what}"))?;
        let key = |path: &str| {
            let found = path.split('.').try_fold(&value, |value, name| value.get(name));
            found.ok_or_else(|| format!("{path} is missing"))
        };
        let word = |path: &str| key(path)?.as_str().ok_or_else(|| format!("{path} is no text"));
        let address = |path: &str| {
            word(path)?.parse::<SocketAddr>().map_err(|_| format!("{path} is no address with a port"))
        };
        let count = |path: &str| {
            let count = key(path)?.as_f64().filter(|count| *count >= 1.0);
            count.map(|count| count as usize).ok_or_else(|| format!("{path} is no count"))
        };
        let seed = u64::from_str_radix(word("seed")?, 16).map_err(|_| "seed is no hexadecimal number")?;
        let pairs = DottedSettings::from_json(key("settings")?);
        Ok(Config {
            name: word("name")?.to_string(),
            listen: address("listen")?,
            seed,
            limits: Limits { memory_mb: count("limits.memory_mb")?, sockets: count("limits.sockets")? },
            discovery_address: address("board")?,
            snapshot: serde_json::from_value(key("known")?.clone())
                .map_err(|what| format!("known: {what}"))?,
            facts: DeploymentSettings::parse(&pairs).map_err(|error| error.to_string())?,
            wiring: NetworkSettings::parse(&pairs).map_err(|error| error.to_string())?,
            unchanging: UNCHANGING
                .iter()
                .map(|name| Ok((name.to_string(), key(name)?.clone())))
                .collect::<Result<_, String>>()?,
        })
    }
}
