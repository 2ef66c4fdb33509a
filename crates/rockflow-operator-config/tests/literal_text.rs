//! Each section and key of `deploy/rockflow.ini`, by a literal text: operators' files outlive the program.

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
    let part = read_every_key().management.unwrap();
    assert_eq!(part.owner, "root");
    assert_eq!(part.store.as_deref(), Some(path("/var/lib/rockflow")));
    assert_eq!(part.restart_from, RestartFrom::Startup);
    assert_eq!(part.audit.as_deref(), Some(path("/var/log/rockflow-audit.json")));
}

#[test]
fn reads_every_key_of_netconf() {
    let part = read_every_key().netconf.unwrap();
    assert_eq!(part.ssh, Some("127.0.0.1:830".parse().unwrap()));
    assert_eq!(part.host_key.as_deref(), Some(path("/etc/rockflow/host_key")));
    assert_eq!(part.authorized_keys.as_deref(), Some(path("/etc/rockflow/users")));
    assert_eq!((part.handshakes, part.handshake_seconds, part.message_kb), (33, 11, 1025));
    let tls = part.tls.unwrap();
    assert_eq!(tls.listen, "127.0.0.1:6513".parse().unwrap());
    assert_eq!(tls.certificate, path("/etc/rockflow/server.pem"));
    assert_eq!(tls.key, path("/etc/rockflow/server.key"));
    assert_eq!(tls.client_ca, path("/etc/rockflow/clients.pem"));
}

#[test]
fn reads_every_key_of_gnmi() {
    let part = read_every_key().gnmi.unwrap();
    assert_eq!(part.tls.listen, "127.0.0.1:9339".parse().unwrap());
    assert_eq!(part.tls.certificate, path("/etc/rockflow/gnmi.pem"));
    assert_eq!(part.tls.key, path("/etc/rockflow/gnmi.key"));
    assert_eq!(part.tls.client_ca, path("/etc/rockflow/gnmi-clients.pem"));
    assert_eq!((part.subscribers, part.message_kb, part.least_interval_ms), (65, 1026, 101));
}

#[test]
fn reads_every_key_of_dissemination_and_control() {
    let file = read_every_key();
    let part = file.dissemination.unwrap();
    assert_eq!(part.fleet, "shops");
    assert_eq!(part.listen, "127.0.0.1:7501".parse().unwrap());
    assert_eq!(
        part.control,
        [ControlNode { name: "c0".to_string(), address: "127.0.0.1:7500".parse().unwrap() }]
    );
    assert_eq!(part.seeds, ["127.0.0.1:7502".parse().unwrap()]);
    assert_eq!(part.purge_window, Duration::from_millis(8700));
    assert_eq!(part.bytes_per_second, 6145);
    assert_eq!(part.heartbeat_interval, Duration::from_millis(501));
    assert!(part.trusted_network);
    let control = file.control.unwrap();
    assert_eq!(control.directory, path("/etc/rockflow/members.csv"));
    assert_eq!(control.overrides.as_deref(), Some(path("/etc/rockflow/marks")));
}

/// The sections and keys of a text, in its order; lines of the example are commented out.
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
fn example_reads_as_it_stands_without_its_comment_signs() {
    let text: String = include_str!("../../../deploy/rockflow.ini")
        .lines()
        .skip_while(|line| *line != "# [management]")
        .map(|line| format!("{}\n", line.trim_start_matches('#').trim()))
        .collect();
    let file = parse(&[layer(&text)]).unwrap();
    assert_eq!(file.management.unwrap().restart_from, RestartFrom::Running);
    assert_eq!(file.netconf.unwrap().handshakes, 32);
    assert_eq!(file.gnmi.unwrap().least_interval_ms, 100);
    assert_eq!(file.dissemination.unwrap().bytes_per_second, 6144);
    assert!(file.control.unwrap().overrides.is_some());
}
