//! Reads each section and key of `deploy/rockflow.ini` from a literal text. Operators keep their files over
//! upgrades, so a renamed key must fail a test.

use rockflow_operator_config::{parse, ControlNode, Layer, OperatorConfig, RestartFrom};
use std::path::Path;
use std::time::Duration;

const EVERY_KEY: &str = "[management]
owner = root
store = /var/lib/rockflow
restart = startup
audit = /var/log/rockflow-audit.json

[netconf]
ssh = 127.0.0.1:830
host-key = /etc/rockflow/host_key
authorized-keys = /etc/rockflow/users
tls = 127.0.0.1:6513
certificate = /etc/rockflow/server.pem
key = /etc/rockflow/server.key
client-ca = /etc/rockflow/clients.pem
handshakes = 33
handshake-seconds = 11
message-kb = 1025

[gnmi]
listen = 127.0.0.1:9339
certificate = /etc/rockflow/gnmi.pem
key = /etc/rockflow/gnmi.key
client-ca = /etc/rockflow/gnmi-clients.pem
subscribers = 65
message-kb = 1026
least-interval-ms = 101

[dissemination]
fleet = shops
listen = 127.0.0.1:7501
control = c0@127.0.0.1:7500
seeds = 127.0.0.1:7502
purge-seconds = 8.7
bytes-per-second = 6145
pulse-ms = 501
trusted-network = yes

[control]
directory = /etc/rockflow/members.csv
marks = /etc/rockflow/marks
";

fn layer(text: &str) -> Layer {
    Layer { file: "rockflow.ini".to_string(), text: text.to_string() }
}

fn read_every_key() -> OperatorConfig {
    parse(&[layer(EVERY_KEY)]).unwrap()
}

fn path(text: &str) -> &Path {
    Path::new(text)
}

#[test]
fn reads_every_key_of_management() {
    let management = read_every_key().management.unwrap();
    assert_eq!(management.owner, "root");
    assert_eq!(management.store.as_deref(), Some(path("/var/lib/rockflow")));
    assert_eq!(management.restart_from, RestartFrom::Startup);
    assert_eq!(management.audit.as_deref(), Some(path("/var/log/rockflow-audit.json")));
}

#[test]
fn reads_every_key_of_netconf() {
    let netconf = read_every_key().netconf.unwrap();
    assert_eq!(netconf.ssh, Some("127.0.0.1:830".parse().unwrap()));
    assert_eq!(netconf.host_key.as_deref(), Some(path("/etc/rockflow/host_key")));
    assert_eq!(netconf.authorized_keys.as_deref(), Some(path("/etc/rockflow/users")));
    assert_eq!((netconf.handshakes, netconf.handshake_seconds, netconf.message_kb), (33, 11, 1025));
    let tls = netconf.tls.unwrap();
    assert_eq!(tls.listen, "127.0.0.1:6513".parse().unwrap());
    assert_eq!(tls.certificate, path("/etc/rockflow/server.pem"));
    assert_eq!(tls.key, path("/etc/rockflow/server.key"));
    assert_eq!(tls.client_ca, path("/etc/rockflow/clients.pem"));
}

#[test]
fn reads_every_key_of_gnmi() {
    let gnmi = read_every_key().gnmi.unwrap();
    assert_eq!(gnmi.tls.listen, "127.0.0.1:9339".parse().unwrap());
    assert_eq!(gnmi.tls.certificate, path("/etc/rockflow/gnmi.pem"));
    assert_eq!(gnmi.tls.key, path("/etc/rockflow/gnmi.key"));
    assert_eq!(gnmi.tls.client_ca, path("/etc/rockflow/gnmi-clients.pem"));
    assert_eq!((gnmi.subscribers, gnmi.message_kb, gnmi.least_interval_ms), (65, 1026, 101));
}

#[test]
fn reads_every_key_of_dissemination_and_control() {
    let config = read_every_key();
    let dissemination = config.dissemination.unwrap();
    assert_eq!(dissemination.fleet, "shops");
    assert_eq!(dissemination.listen, "127.0.0.1:7501".parse().unwrap());
    assert_eq!(
        dissemination.control,
        [ControlNode { name: "c0".to_string(), address: "127.0.0.1:7500".parse().unwrap() }]
    );
    assert_eq!(dissemination.seeds, ["127.0.0.1:7502".parse().unwrap()]);
    assert_eq!(dissemination.purge_window, Duration::from_millis(8700));
    assert_eq!(dissemination.bytes_per_second, 6145);
    assert_eq!(dissemination.heartbeat_interval, Duration::from_millis(501));
    assert!(dissemination.trusted_network);
    let control = config.control.unwrap();
    assert_eq!(control.directory, path("/etc/rockflow/members.csv"));
    assert_eq!(control.overrides.as_deref(), Some(path("/etc/rockflow/marks")));
}

/// The section and key of each setting in a text, in order. Settings that are commented out, as all of the
/// example's are, count too.
fn keys(text: &str) -> Vec<(String, String)> {
    let mut section = String::new();
    let mut keys = Vec::new();
    for line in text.lines().map(|line| line.trim_start_matches('#').trim()) {
        if let Some(name) = line.strip_prefix('[').and_then(|line| line.strip_suffix(']')) {
            section = name.to_string();
        } else if let Some((key, _)) = line.split_once(" = ").filter(|_| !line.starts_with(';')) {
            keys.push((section.clone(), key.to_string()));
        }
    }
    keys
}

#[test]
fn example_names_every_key() {
    assert_eq!(keys(include_str!("../../../deploy/rockflow.ini")), keys(EVERY_KEY));
}

#[test]
fn example_parses_when_uncommented() {
    let text: String = include_str!("../../../deploy/rockflow.ini")
        .lines()
        .skip_while(|line| *line != "# [management]")
        .map(|line| format!("{}\n", line.trim_start_matches('#').trim()))
        .collect();
    let config = parse(&[layer(&text)]).unwrap();
    assert_eq!(config.management.unwrap().restart_from, RestartFrom::Running);
    assert_eq!(config.netconf.unwrap().handshakes, 32);
    assert_eq!(config.gnmi.unwrap().least_interval_ms, 100);
    assert_eq!(config.dissemination.unwrap().bytes_per_second, 6144);
    assert!(config.control.unwrap().overrides.is_some());
}
