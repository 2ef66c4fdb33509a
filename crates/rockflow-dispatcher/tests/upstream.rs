//! One connection to a host, with a scripted peer at its other end: what crosses there is held back till both are here.

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
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, Once, PoisonError};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(5);
/// More than the system takes from a writer before somebody reads.
const MUCH: usize = 64 << 20;
static SET_UP: Once = Once::new();
/// One at a time: a freeze stops every line of the process.
static ALONE: Mutex<()> = Mutex::new(());

struct Bed {
    clock: Clock,
    decisions: Arc<Mailbox<DecisionMessage>>,
    host: Arc<Mailbox<HostMessage>>,
    queue: Arc<AttemptQueue>,
    pool: Arc<ConnectionPool>,
    connection: Arc<UpstreamConnection>,
    peer: BufReader<TcpStream>,
}

fn wait<T>(what: &str, mut there: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(there) = there() {
            return there;
        }
        assert!(Instant::now() < end, "{what}");
        std::thread::yield_now();
    }
}

impl Bed {
    fn new() -> Bed {
        Bed::idle_for(Duration::from_secs(30))
    }

    fn idle_for(idle_timeout: Duration) -> Bed {
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
        wait("the line is up", || connection.is_open().then_some(()));
        Bed { clock, decisions, host, queue, pool, connection, peer: BufReader::new(peer) }
    }

    fn wanted(&self, number: u64, line: Vec<u8>) -> OutgoingAttempt {
        let permit = SendPermit::new(self.clock.now() + PATIENCE, Mailbox::new());
        OutgoingAttempt {
            key: AttemptKey { request: RequestId(number), attempt: AttemptNumber(0) },
            id: format!("{number:016x}"),
            line,
            names_cached_copy: false,
            permit,
        }
    }

    fn small(&self, number: u64) -> OutgoingAttempt {
        self.wanted(number, format!("want {number:016x} - 0\r\n\r\n").into_bytes())
    }

    fn give(&self, wanted: &OutgoingAttempt) {
        self.connection.send_attempt(wanted.clone(), &self.pool);
    }

    fn got(&mut self) -> String {
        let mut line = String::new();
        self.peer.read_line(&mut line).expect("a line in time");
        line
    }

    /// Answers an attempt, and waits till the module has it.
    fn answers(&mut self, wanted: &OutgoingAttempt) {
        assert!(self.got().contains(&wanted.id));
        assert_eq!(self.got(), "\r\n");
        let answer = format!("{} data ver=t 2\r\nok\r\n", wanted.id);
        self.peer.get_mut().write_all(answer.as_bytes()).unwrap();
        assert_eq!(self.answered(), wanted.key);
    }

    fn answered(&self) -> AttemptKey {
        match wait("a word to the module", || self.decisions.take()) {
            DecisionMessage::ResponseReceived { key, .. } => key,
            _ => panic!("another word"),
        }
    }

    fn fell(&self) -> (AttemptKey, Outcome) {
        match wait("a word to the module", || self.decisions.take()) {
            DecisionMessage::AttemptFailed { key, outcome } => (key, outcome),
            _ => panic!("another word"),
        }
    }
}

/// Stops the one worker on which all actors run, till the gate is dropped.
fn freeze() -> Sender<()> {
    let (frozen, stands) = channel();
    let (thaw, go) = channel::<()>();
    may::go!(move || {
        frozen.send(()).unwrap();
        let _ = go.recv();
    });
    stands.recv_timeout(PATIENCE).unwrap();
    thaw
}

fn alone() -> impl Drop {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn a_connection_closed_as_an_attempt_is_given_to_it_leaves_the_attempt_unbegun() {
    let _alone = alone();
    let mut bed = Bed::new();
    let first = bed.small(1);
    bed.give(&first);
    bed.answers(&first);
    let gate = freeze();
    let second = bed.small(2);
    bed.give(&second);
    bed.peer.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    drop(gate);
    let over = wait("the line is over", || bed.host.take());
    let HostMessage::ConnectionEnded { ended, resend, never_established } = over else {
        panic!("another order")
    };
    assert!(!second.permit.is_sent() && !never_established);
    assert_eq!(resend.iter().map(|wanted| wanted.key).collect::<Vec<_>>(), [second.key]);
    assert!(ended.iter().all(|ended| ended.attempts.is_empty()), "{ended:?}");
}

/// From a host that takes connections and closes them at once it is not tried without end.
#[test]
fn a_connection_that_never_brought_anything_is_no_reason_to_try_another() {
    let _alone = alone();
    let bed = Bed::new();
    let gate = freeze();
    let wanted = bed.small(1);
    bed.give(&wanted);
    bed.peer.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    drop(gate);
    let over = wait("the line is over", || bed.host.take());
    let HostMessage::ConnectionEnded { ended, resend, .. } = over else { panic!("another order") };
    assert!(!wanted.permit.is_sent() && resend.is_empty());
    let last = ended.last().unwrap();
    assert_eq!((&last.attempts[..], last.outcome_if_alive), (&[wanted.key][..], Outcome::NotSent));
}

#[test]
fn an_attempt_withdrawn_before_its_first_byte_never_goes_out() {
    let _alone = alone();
    let mut bed = Bed::new();
    let gate = freeze();
    let (gone, client_left, late, next) = (bed.small(1), bed.small(2), bed.small(3), bed.small(4));
    let client = Mailbox::new();
    let client_left = OutgoingAttempt {
        permit: SendPermit::new(bed.clock.now() + PATIENCE, client.clone()),
        ..client_left
    };
    let late = OutgoingAttempt { permit: SendPermit::new(bed.clock.now(), Mailbox::new()), ..late };
    [&gone, &client_left, &late, &next].into_iter().for_each(|wanted| bed.give(wanted));
    assert!(gone.permit.withdraw());
    client.close();
    drop(gate);
    for wanted in [&gone, &client_left, &late] {
        assert_eq!(bed.fell(), (wanted.key, Outcome::NotSent));
    }
    bed.answers(&next);
}

/// The host reads nothing, so that an attempt waits behind what is half out: it is taken back, and when the host reads again
/// it never sees it.
#[test]
fn an_attempt_behind_a_host_that_reads_nothing_can_be_taken_back() {
    let _alone = alone();
    let mut bed = Bed::new();
    let (much, taken_back, next) = (bed.wanted(1, vec![b'x'; MUCH]), bed.small(2), bed.small(3));
    bed.give(&much);
    wait("the first is half out", || much.permit.is_sent().then_some(()));
    bed.give(&taken_back);
    bed.give(&next);
    assert!(taken_back.permit.withdraw(), "it has begun");
    assert!(!much.permit.withdraw());
    let mut rest = vec![0; MUCH];
    bed.peer.read_exact(&mut rest).unwrap();
    assert_eq!(bed.fell(), (taken_back.key, Outcome::NotSent));
    bed.answers(&next);
}

/// What waits for a connection goes on the first that is free, and not where its id has been.
#[test]
fn an_attempt_that_waits_for_a_connection_goes_on_the_one_that_is_free_first() {
    let _alone = alone();
    let mut bed = Bed::new();
    let (first, again, other) = (bed.small(1), bed.small(1), bed.small(2));
    bed.give(&first);
    assert!(bed.got().contains(&first.id));
    assert_eq!(bed.got(), "\r\n");
    bed.queue.push(again);
    bed.queue.push(other.clone());
    let answer = format!("{} absent - 0\r\n\r\n", first.id);
    bed.peer.get_mut().write_all(answer.as_bytes()).unwrap();
    assert_eq!(bed.answered(), first.key);
    bed.answers(&other);
    assert_eq!(bed.queue.len(), 1);
}

/// Its host may be closing it just then.
#[test]
fn a_connection_that_has_rested_for_most_of_the_told_time_takes_nothing() {
    let _alone = alone();
    let bed = Bed::idle_for(Duration::from_millis(500));
    assert!(bed.connection.accepts("x", &bed.pool));
    wait("it takes nothing more", || (!bed.connection.accepts("x", &bed.pool)).then_some(()));
    let rested = bed.clock.now() - bed.connection.last_used();
    assert!(rested >= Duration::from_millis(400), "{rested:?}");
    assert!(bed.connection.is_open());
}
