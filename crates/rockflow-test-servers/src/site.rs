//! A small site: hosts, a board, and a dispatcher among them.

use crate::discovery::DiscoveryServer;
use crate::host::Host;
use rockflow_dispatcher::Config;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Site {
    pub discovery: DiscoveryServer,
    pub hosts: BTreeMap<String, Host>,
    roles: BTreeMap<String, &'static str>,
    rev: u64,
}

impl Site {
    /// So many caches c1, c2 ... and parents p1, p2 ..., and the origin o1, which answer after so long.
    pub fn start(caches: usize, parents: usize, delay: Duration) -> Site {
        let (mut hosts, mut roles) = (BTreeMap::new(), BTreeMap::new());
        for (letter, role, count) in [("c", "cache", caches), ("p", "parent", parents), ("o", "origin", 1)] {
            for number in 1..=count {
                let name = format!("{letter}{number}");
                hosts.insert(name.clone(), Host::start(&name, delay));
                roles.insert(name, role);
            }
        }
        Site { discovery: DiscoveryServer::start(), hosts, roles, rev: 1 }
    }

    fn instance(&self, name: &str, lifecycle: &str) -> Value {
        let role = self.roles[name];
        let (zone, kind) = match role {
            "cache" => ("shop", "box"),
            role => ("hub", role),
        };
        json!({"instanceId": name, "hostPort": self.hosts[name].address.to_string(), "zone": zone,
            "machineType": kind, "cell": 0, "lifecycle": lifecycle, "weight": 16, "startedAtMs": 0})
    }

    /// The configuration of a dispatcher at a port of its own, made from an example.
    pub fn configuration_json(&self, example: &str) -> Value {
        let mut value: Value = serde_json::from_str(example).expect("an example");
        value["board"] = json!(self.discovery.address.to_string());
        value["listen"] = json!("127.0.0.1:0");
        let instances: Vec<_> = self.roles.keys().map(|name| self.instance(name, "active")).collect();
        value["known"]["notices"][0]["pool"]["instances"] = json!(instances);
        value
    }

    pub fn dispatcher_config(&self, example: &str) -> Config {
        Config::parse(&self.configuration_json(example).to_string()).expect("a configuration")
    }

    /// The board says of a host: active, leaving or left.
    pub fn announce(&mut self, name: &str, lifecycle: &str) {
        self.rev += 1;
        let instances = [self.instance(name, lifecycle)];
        self.discovery.publish(json!({"rev": self.rev, "pool": {"instances": instances}}));
    }

    /// The board says that a host started then, in Unix milliseconds.
    pub fn announce_started(&mut self, name: &str, unix_ms: u64) {
        self.rev += 1;
        let mut instance = self.instance(name, "active");
        instance["startedAtMs"] = json!(unix_ms);
        self.discovery.publish(json!({"rev": self.rev, "pool": {"instances": [instance]}}));
    }

    /// The board sends the whole list anew.
    pub fn announce_all(&mut self) {
        self.rev += 1;
        let instances: Vec<_> = self.roles.keys().map(|name| self.instance(name, "active")).collect();
        self.discovery.publish(json!({"rev": self.rev, "pool": {"reset": true, "instances": instances}}));
    }

    pub fn revision(&self) -> u64 {
        self.rev
    }
}
