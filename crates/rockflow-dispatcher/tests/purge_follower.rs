//! A follower never reports a purge as older than it is, whatever the offset of discovery's clock.

use rockflow_dispatcher::purge_backlog::MAX_DELIVERY_DELAY;
use rockflow_dispatcher::{Clock, Config, ObservedPurge, PurgeFollower, Service};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Once;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Timestamps are truncated to whole milliseconds.
const TIMESTAMP_PRECISION: Duration = Duration::from_millis(1);
static SET_UP: Once = Once::new();

fn config(discovery: &TcpListener) -> Config {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    value["board"] = json!(discovery.local_addr().unwrap().to_string());
    Config::parse(&value.to_string()).unwrap()
}

/// A discovery service with a connected follower.
struct TestDiscovery {
    stream: TcpStream,
    /// What the follower observes.
    observed: Receiver<ObservedPurge>,
    revision: u64,
    /// How far the clock of the service is behind.
    behind: Duration,
}

impl TestDiscovery {
    /// Starts a discovery service whose clock is `behind`, and a follower.
    fn start(behind: Duration, purge_window: Duration) -> TestDiscovery {
        SET_UP.call_once(Service::set_up);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(&listener);
        let (sender, observed) = channel();
        PurgeFollower::start(Clock::start(), &config, purge_window, move |observed| {
            sender.send(observed).unwrap()
        })
        .unwrap();
        socket2::SockRef::from(&listener).set_read_timeout(Some(TIMEOUT)).unwrap();
        let (mut stream, _) = listener.accept().expect("no connection in time");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").unwrap();
        TestDiscovery { stream, observed, revision: config.snapshot.revision, behind }
    }

    /// Sends a purge with the current time of the service's clock, and returns what the follower observes.
    fn send_purge(&mut self) -> ObservedPurge {
        self.revision += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - self.behind;
        let event = json!({"rev": self.revision, "flush": {"asset": "7f", "ms": now.as_millis() as u64}});
        self.stream.write_all(format!("data: {event}\n\n").as_bytes()).unwrap();
        self.observed.recv_timeout(TIMEOUT).expect("no purge observed in time")
    }
}

/// Includes windows in which a purge is in effect for no longer than its maximum delivery delay; a purge that
/// arrives later than that is left out.
#[test_case(Duration::from_secs(8); "longer than the delivery delay")]
#[test_case(MAX_DELIVERY_DELAY; "as long as the delivery delay")]
#[test_case(MAX_DELIVERY_DELAY / 2; "shorter than the delivery delay")]
fn clock_behind_does_not_make_purges_older(purge_window: Duration) {
    let mut discovery = TestDiscovery::start(Duration::from_secs(10), purge_window);
    // The first purge belongs to the backlog. It is observed once the backlog is complete, so the next ones
    // are recent.
    assert!(discovery.send_purge().is_backlog);
    for _ in 0..3 {
        let sent_at = Instant::now();
        let observed = discovery.send_purge();
        assert!(!observed.is_backlog);
        assert!(
            observed.age <= sent_at.elapsed() + TIMESTAMP_PRECISION && observed.age <= purge_window,
            "{:?}",
            observed.age
        );
    }
}

#[test]
fn synchronized_clock_gives_true_ages() {
    let mut discovery = TestDiscovery::start(Duration::ZERO, Duration::from_secs(8));
    assert!(discovery.send_purge().is_backlog);
    let sent_at = Instant::now();
    assert!(discovery.send_purge().age <= sent_at.elapsed() + TIMESTAMP_PRECISION);
    let (sent_at, true_age) = (Instant::now(), Duration::from_secs(2));
    discovery.behind = true_age;
    let age = discovery.send_purge().age;
    // The age is reduced by the delivery time of the youngest purge.
    assert!(age > true_age / 2 && age <= true_age + sent_at.elapsed() + TIMESTAMP_PRECISION, "{age:?}");
}
