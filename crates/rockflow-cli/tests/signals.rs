//! The program under signals: SIGHUP has the configuration read again, SIGTERM ends it with 0.

use rockflow_process_harness::{Process, Signal, Start};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
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

fn serve(path: &Path) -> Process {
    Start::of(env!("CARGO_BIN_EXE_rockflow")).arg("serve").env("GW_CONFIG", path).start().unwrap()
}

#[test]
fn a_configuration_is_read_again_and_a_wrong_one_is_not_taken() {
    let path = std::env::temp_dir().join(format!("rockflow-signals-{}.json", std::process::id()));
    let first = configure(&path);
    let mut child = serve(&path);
    let kept = called(&first);
    std::fs::write(&path, "{\"board\":").unwrap();
    child.signal(Signal::SIGHUP).unwrap();
    let second = configure(&path);
    child.signal(Signal::SIGHUP).unwrap();
    let _kept = (kept, called(&second));
    child.signal(Signal::SIGTERM).unwrap();
    child.signal(Signal::SIGHUP).unwrap();
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// SIGHUP that moves the board while a tenth of the fleet is being stopped: it reaches those too, each asks the new
/// board from its last number, and each stop ends with 0.
#[test]
fn a_board_that_moves_during_a_planned_stop_is_followed_by_all() {
    let path = std::env::temp_dir().join(format!("rockflow-moved-{}.json", std::process::id()));
    let first = configure(&path);
    let mut fleet: Vec<_> = (0..10).map(|_| serve(&path)).collect();
    let kept: Vec<_> = fleet.iter().map(|_| called(&first)).collect();
    let second = configure(&path);
    fleet[0].signal(Signal::SIGTERM).unwrap();
    fleet.iter().for_each(|child| child.signal(Signal::SIGHUP).unwrap());
    let moved: Vec<_> = fleet.iter().map(|_| called(&second)).collect();
    fleet[1..].iter().for_each(|child| child.signal(Signal::SIGTERM).unwrap());
    assert!(fleet.iter_mut().all(|child| child.wait().unwrap().success()));
    drop((kept, moved));
    std::fs::remove_file(&path).unwrap();
}
