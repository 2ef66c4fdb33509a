//! How the program handles signals: SIGHUP reloads the configuration, SIGTERM ends the program with exit code 0.

use rockflow_process_harness::{Process, Signal, Start};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a discovery service and writes a configuration with its address. Returns the service.
fn configure(path: &Path) -> TcpListener {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    value["listen"] = json!("127.0.0.1:0");
    value["board"] = json!(discovery.local_addr().unwrap().to_string());
    std::fs::write(path, value.to_string()).unwrap();
    discovery
}

/// Accepts a dispatcher's subscription at a discovery service and checks that it resumes from revision 1. Returns the
/// connection.
fn accept_subscription(discovery: &TcpListener) -> BufReader<TcpStream> {
    socket2::SockRef::from(discovery).set_read_timeout(Some(TIMEOUT)).unwrap();
    let (stream, _) = discovery.accept().expect("a subscription in time");
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream);
    let head: Vec<_> =
        reader.by_ref().lines().map(Result::unwrap).take_while(|line| !line.is_empty()).collect();
    assert!(head.contains(&"Last-Event-ID: 1".to_string()), "{head:?}");
    reader
}

fn serve(path: &Path) -> Process {
    Start::of(env!("CARGO_BIN_EXE_rockflow")).arg("serve").env("GW_CONFIG", path).start().unwrap()
}

#[test]
fn reloads_configuration_and_rejects_invalid_one() {
    let path = std::env::temp_dir().join(format!("rockflow-signals-{}.json", std::process::id()));
    let first_discovery = configure(&path);
    let mut child = serve(&path);
    let connections = accept_subscription(&first_discovery);
    std::fs::write(&path, "{\"board\":").unwrap();
    child.signal(Signal::SIGHUP).unwrap();
    let second_discovery = configure(&path);
    child.signal(Signal::SIGHUP).unwrap();
    let _connections = (connections, accept_subscription(&second_discovery));
    child.signal(Signal::SIGTERM).unwrap();
    child.signal(Signal::SIGHUP).unwrap();
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// SIGHUP moves the discovery service while one of ten dispatchers shuts down gracefully. That one, too, has to subscribe
/// at the new address from its last revision, and all have to exit with 0.
#[test]
fn follows_moved_discovery_service_during_graceful_shutdown() {
    let path = std::env::temp_dir().join(format!("rockflow-moved-{}.json", std::process::id()));
    let first_discovery = configure(&path);
    let mut fleet: Vec<_> = (0..10).map(|_| serve(&path)).collect();
    let connections: Vec<_> = fleet.iter().map(|_| accept_subscription(&first_discovery)).collect();
    let second_discovery = configure(&path);
    fleet[0].signal(Signal::SIGTERM).unwrap();
    fleet.iter().for_each(|child| child.signal(Signal::SIGHUP).unwrap());
    let moved: Vec<_> = fleet.iter().map(|_| accept_subscription(&second_discovery)).collect();
    fleet[1..].iter().for_each(|child| child.signal(Signal::SIGTERM).unwrap());
    assert!(fleet.iter_mut().all(|child| child.wait().unwrap().success()));
    drop((connections, moved));
    std::fs::remove_file(&path).unwrap();
}
