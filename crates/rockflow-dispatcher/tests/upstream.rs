//! One connection to a host, with a scripted peer at its other end: what crosses there is held back until both are here.

#[path = "common/worker.rs"]
mod worker;

use rockflow::{AttemptNumber, Outcome, RequestId};
use rockflow_dispatcher::attempt::{AttemptKey, OutgoingAttempt};
use rockflow_dispatcher::connection_pool::{AttemptQueue, ConnectionPool, UpstreamConnection};
use rockflow_dispatcher::decision::message::DecisionMessage;
use rockflow_dispatcher::host::message::HostMessage;
use rockflow_dispatcher::mailbox::Mailbox;
use rockflow_dispatcher::send_permit::SendPermit;
use rockflow_dispatcher::upstream;
use rockflow_dispatcher::{Clock, Service};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, Once, PoisonError};
use std::time::{Duration, Instant};
use worker::WorkerGate;

const PATIENCE: Duration = Duration::from_secs(5);
/// More than the system takes from a writer before somebody reads.
const MUCH: usize = 64 << 20;
static SET_UP: Once = Once::new();
/// One at a time: the gate stops every connection of the process.
static ALONE: Mutex<()> = Mutex::new(());

struct Fixture {
    clock: Clock,
    decisions: Arc<Mailbox<DecisionMessage>>,
    host: Arc<Mailbox<HostMessage>>,
    queue: Arc<AttemptQueue>,
    pool: Arc<ConnectionPool>,
    connection: Arc<UpstreamConnection>,
    peer: BufReader<TcpStream>,
}

fn await_some<T>(what: &str, mut there: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(there) = there() {
            return there;
        }
        assert!(Instant::now() < end, "{what}");
        std::thread::yield_now();
    }
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::idle_for(Duration::from_secs(30))
    }

    fn idle_for(idle_timeout: Duration) -> Fixture {
        SET_UP.call_once(Service::set_up);
        let (clock, decisions, host) = (Clock::start(), Mailbox::new(), Mailbox::new());
        let pool = Arc::new(ConnectionPool {
            clock,
            decisions: decisions.clone(),
            connect_timeout: Duration::from_secs(1),
            idle_timeout,
            max_concurrent_attempts: 100,
            max_request_time: PATIENCE,
            max_unsent_bytes: 2 * MUCH,
            connections: Mutex::new(BTreeMap::new()),
            next_connection: AtomicU64::new(0),
            max_connections: 10,
            buffered_bytes: Arc::new(AtomicUsize::new(0)),
            max_buffered_bytes: 1 << 20,
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let queue = Arc::new(AttemptQueue::default());
        let connection = upstream::start("c1".to_string(), at, pool.clone(), host.clone(), queue.clone());
        let (peer, _) = listener.accept().unwrap();
        peer.set_read_timeout(Some(PATIENCE)).unwrap();
        await_some("the line is up", || connection.is_open().then_some(()));
        Fixture { clock, decisions, host, queue, pool, connection, peer: BufReader::new(peer) }
    }

    fn attempt(&self, number: u64, line: Vec<u8>) -> OutgoingAttempt {
        let permit = SendPermit::new(self.clock.now() + PATIENCE, Mailbox::new());
        OutgoingAttempt {
            key: AttemptKey { request: RequestId(number), attempt: AttemptNumber(0) },
            id: format!("{number:016x}"),
            line,
            names_cached_copy: false,
            permit,
        }
    }

    fn small_attempt(&self, number: u64) -> OutgoingAttempt {
        self.attempt(number, format!("want {number:016x} - 0\r\n\r\n").into_bytes())
    }

    fn hand_over(&self, attempt: &OutgoingAttempt) {
        self.connection.send_attempt(attempt.clone(), &self.pool);
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.peer.read_line(&mut line).expect("a line in time");
        line
    }

    /// Responds to an attempt, and waits until the decisions have the response.
    fn respond(&mut self, attempt: &OutgoingAttempt) {
        assert!(self.read_line().contains(&attempt.id));
        assert_eq!(self.read_line(), "\r\n");
        let answer = format!("{} data ver=t 2\r\nok\r\n", attempt.id);
        self.peer.get_mut().write_all(answer.as_bytes()).unwrap();
        assert_eq!(self.await_response(), attempt.key);
    }

    fn await_response(&self) -> AttemptKey {
        match await_some("a word to the module", || self.decisions.take()) {
            DecisionMessage::ResponseReceived { key, .. } => key,
            _ => panic!("another word"),
        }
    }

    fn await_failure(&self) -> (AttemptKey, Outcome) {
        match await_some("a word to the module", || self.decisions.take()) {
            DecisionMessage::AttemptFailed { key, outcome } => (key, outcome),
            _ => panic!("another word"),
        }
    }
}

fn alone() -> impl Drop {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn connection_closed_as_it_gets_an_attempt_leaves_it_unsent() {
    let _alone = alone();
    let mut fixture = Fixture::new();
    let first = fixture.small_attempt(1);
    fixture.hand_over(&first);
    fixture.respond(&first);
    let gate = WorkerGate::close();
    let second = fixture.small_attempt(2);
    fixture.hand_over(&second);
    fixture.peer.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    drop(gate);
    let over = await_some("the line is over", || fixture.host.take());
    let HostMessage::ConnectionEnded { ended, resend, never_established } = over else {
        panic!("another order")
    };
    assert!(!second.permit.is_sent() && !never_established);
    assert_eq!(resend.iter().map(|attempt| attempt.key).collect::<Vec<_>>(), [second.key]);
    assert!(ended.iter().all(|ended| ended.attempts.is_empty()), "{ended:?}");
}

/// A host that accepts connections and closes them at once is not tried without end.
#[test]
fn unsent_attempt_of_silent_connection_is_not_resent() {
    let _alone = alone();
    let fixture = Fixture::new();
    let gate = WorkerGate::close();
    let attempt = fixture.small_attempt(1);
    fixture.hand_over(&attempt);
    fixture.peer.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    drop(gate);
    let over = await_some("the line is over", || fixture.host.take());
    let HostMessage::ConnectionEnded { ended, resend, .. } = over else { panic!("another order") };
    assert!(!attempt.permit.is_sent() && resend.is_empty());
    let last = ended.last().unwrap();
    assert_eq!((&last.attempts[..], last.outcome_if_alive), (&[attempt.key][..], Outcome::NotSent));
}

#[test]
fn attempt_withdrawn_before_its_first_byte_is_never_sent() {
    let _alone = alone();
    let mut fixture = Fixture::new();
    let gate = WorkerGate::close();
    let (gone, client_left, late, next) = (
        fixture.small_attempt(1),
        fixture.small_attempt(2),
        fixture.small_attempt(3),
        fixture.small_attempt(4),
    );
    let client = Mailbox::new();
    let client_left = OutgoingAttempt {
        permit: SendPermit::new(fixture.clock.now() + PATIENCE, client.clone()),
        ..client_left
    };
    let late = OutgoingAttempt { permit: SendPermit::new(fixture.clock.now(), Mailbox::new()), ..late };
    [&gone, &client_left, &late, &next].into_iter().for_each(|attempt| fixture.hand_over(attempt));
    assert!(gone.permit.withdraw());
    client.close();
    drop(gate);
    for attempt in [&gone, &client_left, &late] {
        assert_eq!(fixture.await_failure(), (attempt.key, Outcome::NotSent));
    }
    fixture.respond(&next);
}

/// The host reads nothing, so that an attempt waits behind what is half sent: it is withdrawn, and when the host reads again
/// it never sees it.
#[test]
fn attempt_behind_a_host_that_does_not_read_can_be_withdrawn() {
    let _alone = alone();
    let mut fixture = Fixture::new();
    let (much, taken_back, next) =
        (fixture.attempt(1, vec![b'x'; MUCH]), fixture.small_attempt(2), fixture.small_attempt(3));
    fixture.hand_over(&much);
    await_some("the first is half out", || much.permit.is_sent().then_some(()));
    fixture.hand_over(&taken_back);
    fixture.hand_over(&next);
    assert!(taken_back.permit.withdraw(), "it has begun");
    assert!(!much.permit.withdraw());
    let mut rest = vec![0; MUCH];
    fixture.peer.read_exact(&mut rest).unwrap();
    assert_eq!(fixture.await_failure(), (taken_back.key, Outcome::NotSent));
    fixture.respond(&next);
}

/// What waits for a connection goes on the first that is free, and not where its id has been.
#[test]
fn queued_attempt_goes_on_the_first_free_connection() {
    let _alone = alone();
    let mut fixture = Fixture::new();
    let (first, again, other) =
        (fixture.small_attempt(1), fixture.small_attempt(1), fixture.small_attempt(2));
    fixture.hand_over(&first);
    assert!(fixture.read_line().contains(&first.id));
    assert_eq!(fixture.read_line(), "\r\n");
    fixture.queue.push(again);
    fixture.queue.push(other.clone());
    let answer = format!("{} absent - 0\r\n\r\n", first.id);
    fixture.peer.get_mut().write_all(answer.as_bytes()).unwrap();
    assert_eq!(fixture.await_response(), first.key);
    fixture.respond(&other);
    assert_eq!(fixture.queue.len(), 1);
}

/// Its host may be closing it just then.
#[test]
fn connection_idle_for_most_of_its_timeout_accepts_nothing() {
    let _alone = alone();
    let fixture = Fixture::idle_for(Duration::from_millis(500));
    assert!(fixture.connection.accepts("x", &fixture.pool));
    await_some("it takes nothing more", || (!fixture.connection.accepts("x", &fixture.pool)).then_some(()));
    let rested = fixture.clock.now() - fixture.connection.last_used();
    assert!(rested >= Duration::from_millis(400), "{rested:?}");
    assert!(fixture.connection.is_open());
}

/// Guards against an answer that has arrived whole and is lost because a write fails before all of it is read.
#[test]
fn response_that_arrived_before_a_reset_is_passed_on() {
    let _alone = alone();
    let mut fixture = Fixture::new();
    let (first, second) = (fixture.small_attempt(1), fixture.small_attempt(2));
    fixture.hand_over(&first);
    assert!(fixture.read_line().contains(&first.id));
    assert_eq!(fixture.read_line(), "\r\n");
    let gate = WorkerGate::close();
    fixture.hand_over(&second);
    let body = "x".repeat(20_000);
    let answer = format!("{} data ver=t {}\r\n{body}\r\n", first.id, body.len());
    fixture.peer.get_mut().write_all(answer.as_bytes()).unwrap();
    socket2::SockRef::from(fixture.peer.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    let Fixture { peer, decisions, .. } = fixture;
    // With no time to linger, the close resets the connection.
    drop(peer);
    drop(gate);
    let response = await_some("a word to the module", || decisions.take());
    let DecisionMessage::ResponseReceived { key, response } = response else { panic!("another word") };
    assert_eq!((key, response.body.len()), (first.key, body.len()));
}

/// Guards against an answer that is taken for one that stands still because it was not read in time.
#[test]
fn response_that_arrived_while_nothing_was_read_is_not_stalled() {
    let _alone = alone();
    let mut fixture = Fixture::new();
    let attempt = fixture.small_attempt(1);
    fixture.hand_over(&attempt);
    assert!(fixture.read_line().contains(&attempt.id));
    assert_eq!(fixture.read_line(), "\r\n");
    let head = format!("{} data ver=t 6\r\nhal", attempt.id);
    fixture.peer.get_mut().write_all(head.as_bytes()).unwrap();
    await_some("its start is read", || fixture.connection.is_receiving().then_some(()));
    let gate = WorkerGate::close();
    fixture.peer.get_mut().write_all(b"ves\r\n").unwrap();
    std::thread::sleep(fixture.pool.connect_timeout + Duration::from_millis(100));
    drop(gate);
    assert_eq!(fixture.await_response(), attempt.key);
}
