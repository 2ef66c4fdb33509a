//! A small site for one dispatcher: hosts, and a discovery server that announces them.

use crate::discovery::DiscoveryServer;
use crate::host::Host;
use rockflow_dispatcher::Config;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// The hosts of a site and their discovery server. All stop when the site is dropped.
pub struct Site {
    /// The discovery server that announces the hosts to the dispatcher.
    pub discovery: DiscoveryServer,
    /// The hosts by name: caches `c1`, `c2`, ..., parents `p1`, `p2`, ..., and the origin `o1`.
    pub hosts: BTreeMap<String, Host>,
    /// The role of each host by its name: `cache`, `parent` or `origin`.
    roles: BTreeMap<String, &'static str>,
    revision: u64,
}

impl Site {
    /// Starts the given number of caches and parents, and one origin. Each host answers after `delay`.
    ///
    /// # Panics
    /// If a server can't be started.
    pub fn start(caches: usize, parents: usize, delay: Duration) -> Site {
        let mut hosts = BTreeMap::new();
        let mut roles = BTreeMap::new();
        for (prefix, role, count) in [("c", "cache", caches), ("p", "parent", parents), ("o", "origin", 1)] {
            for number in 1..=count {
                let name = format!("{prefix}{number}");
                hosts.insert(name.clone(), Host::start(&name, delay));
                roles.insert(name, role);
            }
        }
        Site { discovery: DiscoveryServer::start(), hosts, roles, revision: 1 }
    }

    /// Makes the JSON configuration of a dispatcher of this site from an example. The dispatcher listens at a port that
    /// the system chooses, and knows all hosts of the site.
    ///
    /// # Panics
    /// If the example is not valid JSON.
    pub fn configuration_json(&self, example: &str) -> Value {
        let mut value: Value = serde_json::from_str(example).expect("an example in JSON");
        value["board"] = json!(self.discovery.address.to_string());
        value["listen"] = json!("127.0.0.1:0");
        value["known"]["notices"][0]["pool"]["instances"] = json!(self.all_instances());
        value
    }

    /// Makes the configuration of [`Site::configuration_json`] and parses it.
    ///
    /// # Panics
    /// If the example is not a valid configuration.
    pub fn dispatcher_config(&self, example: &str) -> Config {
        Config::parse(&self.configuration_json(example).to_string()).expect("a configuration")
    }

    /// Announces the lifecycle of a host, which is `active`, `leaving` or `left` in the discovery protocol.
    pub fn announce(&mut self, name: &str, lifecycle: &str) {
        let instances = [self.instance(name, lifecycle)];
        self.publish_pool(json!({"instances": instances}));
    }

    /// Announces an active host that started at `unix_ms`, in milliseconds since the Unix epoch.
    pub fn announce_started(&mut self, name: &str, unix_ms: u64) {
        let mut instance = self.instance(name, "active");
        instance["startedAtMs"] = json!(unix_ms);
        self.publish_pool(json!({"instances": [instance]}));
    }

    /// Announces the complete list of hosts, all active, which replaces all earlier announcements.
    pub fn announce_all(&mut self) {
        let instances = self.all_instances();
        self.publish_pool(json!({"reset": true, "instances": instances}));
    }

    /// The revision of the last announcement; 1, that of the example configuration, before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Publishes a change of the hosts under the next revision.
    fn publish_pool(&mut self, pool: Value) {
        self.revision += 1;
        self.discovery.publish(json!({"rev": self.revision, "pool": pool}));
    }

    /// The entries of all hosts, as active.
    fn all_instances(&self) -> Vec<Value> {
        self.roles.keys().map(|name| self.instance(name, "active")).collect()
    }

    /// The entry of a host in the format of the discovery protocol.
    fn instance(&self, name: &str, lifecycle: &str) -> Value {
        let role = self.roles[name];
        let (zone, machine_type) = match role {
            "cache" => ("shop", "box"),
            role => ("hub", role),
        };
        json!({"instanceId": name, "hostPort": self.hosts[name].address.to_string(), "zone": zone,
            "machineType": machine_type, "cell": 0, "lifecycle": lifecycle, "weight": 16, "startedAtMs": 0})
    }
}
