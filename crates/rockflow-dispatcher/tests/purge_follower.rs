//! Whoever follows a board for its purges alone takes none for older than it can be, whatever the board's clock says.

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
/// A board's times are cut to whole milliseconds.
const CUT: Duration = Duration::from_millis(1);
static SET_UP: Once = Once::new();

fn told(board: &TcpListener) -> Config {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    value["board"] = json!(board.local_addr().unwrap().to_string());
    Config::parse(&value.to_string()).unwrap()
}

struct TestDiscovery {
    stream: TcpStream,
    heard: Receiver<ObservedPurge>,
    rev: u64,
    behind: Duration,
}

impl TestDiscovery {
    /// A board whose clock is so far behind, and who follows it.
    fn start(behind: Duration, binds: Duration) -> TestDiscovery {
        SET_UP.call_once(Service::set_up);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let told = told(&listener);
        let (say, heard) = channel();
        PurgeFollower::start(Clock::start(), &told, binds, move |heard| say.send(heard).unwrap()).unwrap();
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE)).unwrap();
        let (mut stream, _) = listener.accept().expect("a call");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            call.push(byte[0]);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").unwrap();
        TestDiscovery { stream, heard, rev: told.snapshot.revision, behind }
    }

    /// Tells of a purge that is made just now, by its own clock, and returns what is heard of it.
    fn tells(&mut self) -> ObservedPurge {
        self.rev += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - self.behind;
        let event = json!({"rev": self.rev, "flush": {"asset": "7f", "ms": now.as_millis() as u64}});
        self.stream.write_all(format!("data: {event}\n\n").as_bytes()).unwrap();
        self.heard.recv_timeout(PATIENCE).expect("a purge")
    }
}

/// Also where it binds for no longer than a board takes to tell of it: whoever is told of one that is older than it binds
/// leaves it.
#[test_case(Duration::from_secs(8); "longer than a board takes to tell")]
#[test_case(MAX_DELIVERY_DELAY; "as long as a board takes to tell")]
#[test_case(MAX_DELIVERY_DELAY / 2; "shorter than a board takes to tell")]
fn a_board_whose_clock_is_behind_makes_no_news_older_than_they_are(binds: Duration) {
    let mut board = TestDiscovery::start(Duration::from_secs(10), binds);
    // The first is of what it said before; it is heard once that is whole, so that the next are news.
    assert!(board.tells().is_backlog);
    for _ in 0..3 {
        let made = Instant::now();
        let heard = board.tells();
        assert!(!heard.is_backlog);
        assert!(heard.age <= made.elapsed() + CUT && heard.age <= binds, "{:?}", heard.age);
    }
}

#[test]
fn a_clock_that_is_right_is_gone_by() {
    let mut board = TestDiscovery::start(Duration::ZERO, Duration::from_secs(8));
    assert!(board.tells().is_backlog);
    let made = Instant::now();
    assert!(board.tells().age <= made.elapsed() + CUT);
    let (made, before) = (Instant::now(), Duration::from_secs(2));
    board.behind = before;
    let age = board.tells().age;
    // Short by as long as the youngest took.
    assert!(age > before / 2 && age <= before + made.elapsed() + CUT, "{age:?}");
}
