//! A follower takes no purge for older than it can be, whatever discovery's clock says.

use rockflow_dispatcher::purge_backlog::MAX_DELIVERY_DELAY;
use rockflow_dispatcher::{Clock, Config, ObservedPurge, PurgeFollower, Service};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Once;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(10);
/// Timestamps are cut to whole milliseconds.
const CUT: Duration = Duration::from_millis(1);
static SET_UP: Once = Once::new();

fn config(discovery: &TcpListener) -> Config {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    value["board"] = json!(discovery.local_addr().unwrap().to_string());
    Config::parse(&value.to_string()).unwrap()
}

struct TestDiscovery {
    stream: TcpStream,
    observed: Receiver<ObservedPurge>,
    revision: u64,
    behind: Duration,
}

impl TestDiscovery {
    /// A discovery service whose clock is so far behind, and its follower.
    fn start(behind: Duration, purge_window: Duration) -> TestDiscovery {
        SET_UP.call_once(Service::set_up);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(&listener);
        let (say, observed) = channel();
        PurgeFollower::start(Clock::start(), &config, purge_window, move |observed| {
            say.send(observed).unwrap()
        })
        .unwrap();
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE)).unwrap();
        let (mut stream, _) = listener.accept().expect("a call");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            call.push(byte[0]);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").unwrap();
        TestDiscovery { stream, observed, revision: config.snapshot.revision, behind }
    }

    /// Sends a purge that is made just now, by its own clock, and returns what the follower observes.
    fn send_purge(&mut self) -> ObservedPurge {
        self.revision += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - self.behind;
        let event = json!({"rev": self.revision, "flush": {"asset": "7f", "ms": now.as_millis() as u64}});
        self.stream.write_all(format!("data: {event}\n\n").as_bytes()).unwrap();
        self.observed.recv_timeout(PATIENCE).expect("a purge")
    }
}

/// Also where a purge is in effect for no longer than it may take to arrive: one that arrives later is left out.
#[test_case(Duration::from_secs(8); "longer than the delivery delay")]
#[test_case(MAX_DELIVERY_DELAY; "as long as the delivery delay")]
#[test_case(MAX_DELIVERY_DELAY / 2; "shorter than the delivery delay")]
fn clock_behind_makes_no_purge_older_than_it_is(purge_window: Duration) {
    let mut discovery = TestDiscovery::start(Duration::from_secs(10), purge_window);
    // The first is of the backlog; it is observed once that is complete, so that the next are recent.
    assert!(discovery.send_purge().is_backlog);
    for _ in 0..3 {
        let made = Instant::now();
        let observed = discovery.send_purge();
        assert!(!observed.is_backlog);
        assert!(observed.age <= made.elapsed() + CUT && observed.age <= purge_window, "{:?}", observed.age);
    }
}

#[test]
fn right_clock_is_followed() {
    let mut discovery = TestDiscovery::start(Duration::ZERO, Duration::from_secs(8));
    assert!(discovery.send_purge().is_backlog);
    let made = Instant::now();
    assert!(discovery.send_purge().age <= made.elapsed() + CUT);
    let (made, before) = (Instant::now(), Duration::from_secs(2));
    discovery.behind = before;
    let age = discovery.send_purge().age;
    // Short by as long as the youngest took.
    assert!(age > before / 2 && age <= before + made.elapsed() + CUT, "{age:?}");
}
