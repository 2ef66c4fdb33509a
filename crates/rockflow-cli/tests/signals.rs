//! The program under signals: SIGHUP has the configuration read again, SIGTERM ends it with 0.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);

/// Writes a configuration with a board of its own.
fn configure(path: &Path) -> TcpListener {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    let board = TcpListener::bind("127.0.0.1:0").unwrap();
    value["listen"] = json!("127.0.0.1:0");
    value["board"] = json!(board.local_addr().unwrap().to_string());
    std::fs::write(path, value.to_string()).unwrap();
    board
}

/// The call that a board gets, and the connection that it keeps.
fn called(board: &TcpListener) -> BufReader<TcpStream> {
    socket2::SockRef::from(board).set_read_timeout(Some(PATIENCE)).unwrap();
    let (stream, _) = board.accept().expect("a call in time");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut reader = BufReader::new(stream);
    let head: Vec<_> =
        reader.by_ref().lines().map(Result::unwrap).take_while(|line| !line.is_empty()).collect();
    assert!(head.contains(&"Last-Event-ID: 1".to_string()), "{head:?}");
    reader
}

fn signal(child: &Child, name: &str) {
    let done = Command::new("kill").args(["-s", name, &child.id().to_string()]).status().unwrap();
    assert!(done.success());
}

#[test]
fn a_configuration_is_read_again_and_a_wrong_one_is_not_taken() {
    let path = std::env::temp_dir().join(format!("rockflow-signals-{}.json", std::process::id()));
    let first = configure(&path);
    let mut serve = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    let mut child = serve.arg("serve").env("GW_CONFIG", &path).spawn().unwrap();
    let kept = called(&first);
    std::fs::write(&path, "{\"board\":").unwrap();
    signal(&child, "HUP");
    let second = configure(&path);
    signal(&child, "HUP");
    let _kept = (kept, called(&second));
    signal(&child, "TERM");
    signal(&child, "HUP");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// SIGHUP that moves the board while a tenth of the fleet is being stopped: it reaches those too, each asks the new
/// board from its last number, and each stop ends with 0.
#[test]
fn a_board_that_moves_during_a_planned_stop_is_followed_by_all() {
    let path = std::env::temp_dir().join(format!("rockflow-moved-{}.json", std::process::id()));
    let first = configure(&path);
    let start = |_| Command::new(env!("CARGO_BIN_EXE_rockflow")).arg("serve").env("GW_CONFIG", &path).spawn();
    let mut fleet: Vec<Child> = (0..10).map(start).map(Result::unwrap).collect();
    let kept: Vec<_> = fleet.iter().map(|_| called(&first)).collect();
    let second = configure(&path);
    signal(&fleet[0], "TERM");
    fleet.iter().for_each(|child| signal(child, "HUP"));
    let moved: Vec<_> = fleet.iter().map(|_| called(&second)).collect();
    fleet[1..].iter().for_each(|child| signal(child, "TERM"));
    assert!(fleet.iter_mut().all(|child| child.wait().unwrap().success()));
    drop((kept, moved));
    std::fs::remove_file(&path).unwrap();
}
