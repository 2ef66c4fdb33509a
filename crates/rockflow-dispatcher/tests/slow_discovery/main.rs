//! A discovery service that takes long to respond to each watch request, or to establish each connection.

mod handshake;

use handshake::delay_handshakes;
use rockflow_dispatcher::purge_backlog::MAX_DELIVERY_DELAY;
use rockflow_dispatcher::{Config, Service};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};
use test_case::test_case;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const EVENT: &[u8] = b"data: {\"rev\":2,\"flush\":{\"collection\":1,\"ms\":1}}\n\n";
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a connection that the dispatcher has closed may still be counted as open.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
const MAX_CONNECTIONS: usize = 2;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// A quarter of it is less than the delay of the handshake.
const SHORT_DRAIN_TIMEOUT: Duration = Duration::from_millis(400);
const HANDSHAKE_DELAY: Duration = Duration::from_secs(1);

/// What the service sends before it is delayed.
#[derive(Clone, Copy)]
enum Prompt {
    Nothing,
    ResponseHead,
}

/// Which connections the service accepts.
#[derive(Clone, Copy)]
enum Accepted {
    All,
    /// Further ones are refused.
    First,
}

/// A discovery service whose event stream begins a fixed time after each request.
struct SlowDiscovery {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
}

impl SlowDiscovery {
    fn start(accepted: Accepted, prompt: Prompt, delay: Duration) -> SlowDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let open_connections = Arc::new(AtomicUsize::new(0));
        let counter = open_connections.clone();
        std::thread::spawn(move || {
            let count = if matches!(accepted, Accepted::All) { usize::MAX } else { 1 };
            for stream in listener.incoming().take(count) {
                let counter = counter.clone();
                std::thread::spawn(move || {
                    counter.fetch_add(1, Ordering::SeqCst);
                    let _ = respond(stream.unwrap(), prompt, delay);
                    counter.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        SlowDiscovery { address, open_connections }
    }
}

/// Responds late to a request, and then waits until the dispatcher closes the connection.
fn respond(mut stream: TcpStream, prompt: Prompt, delay: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    if matches!(prompt, Prompt::ResponseHead) {
        stream.write_all(RESPONSE_HEAD)?;
    }
    if is_closed_within(&mut stream, delay)? {
        return Ok(());
    }
    if matches!(prompt, Prompt::Nothing) {
        stream.write_all(RESPONSE_HEAD)?;
    }
    stream.write_all(EVENT)?;
    is_closed_within(&mut stream, Duration::MAX).map(|_| ())
}

fn is_closed_within(stream: &mut TcpStream, span: Duration) -> std::io::Result<bool> {
    let start = Instant::now();
    while start.elapsed() < span {
        match stream.read(&mut [0; 1024]) {
            Ok(0) => return Ok(true),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(false)
}

fn start_dispatcher(discovery: SocketAddr, drain_timeout: Duration) -> Service {
    static SET_UP: Once = Once::new();
    SET_UP.call_once(Service::set_up);
    let mut value: Value = serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap();
    value["board"] = json!(discovery.to_string());
    value["listen"] = json!("127.0.0.1:0");
    value["settings"]["rules"]["stopSendingWithinUs"] = json!(drain_timeout.as_micros());
    Service::start(Config::parse(&value.to_string()).unwrap()).unwrap()
}

/// Waits for the event, and checks that the dispatcher doesn't hold too many connections meanwhile.
fn await_event(service: &Service, discovery: &SlowDiscovery, limit: Duration) {
    let start = Instant::now();
    let mut excess_since = None;
    while service.handle().discovery_status().last_revision < 2 {
        assert!(start.elapsed() < limit, "the event was not received within {limit:?}");
        let has_excess = discovery.open_connections.load(Ordering::SeqCst) > MAX_CONNECTIONS;
        excess_since = has_excess.then(|| excess_since.unwrap_or_else(Instant::now));
        let excess_time = excess_since.map_or(Duration::ZERO, |since: Instant| since.elapsed());
        assert!(excess_time < CLOSE_DELAY, "more than {MAX_CONNECTIONS} connections to discovery");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against a dispatcher that ends each watch request before a slow discovery service has responded to it, and so
/// never learns of a drain, a purge or a new host.
#[test_case(Accepted::All, Prompt::Nothing, 5, MAX_DELIVERY_DELAY; "within the delivery delay")]
#[test_case(Accepted::All, Prompt::ResponseHead, 5, MAX_DELIVERY_DELAY; "behind a proxy that sends the response head at once")]
#[test_case(Accepted::First, Prompt::Nothing, 5, MAX_DELIVERY_DELAY; "while further connections are refused")]
#[test_case(Accepted::All, Prompt::Nothing, 9, Duration::from_secs(30); "beyond the delivery delay")]
fn events_of_a_slow_service_are_received(
    accepted: Accepted,
    prompt: Prompt,
    delay_seconds: u64,
    limit: Duration,
) {
    let discovery = SlowDiscovery::start(accepted, prompt, Duration::from_secs(delay_seconds));
    let service = start_dispatcher(discovery.address, DRAIN_TIMEOUT);
    await_event(&service, &discovery, limit);
}

/// Guards against a dispatcher that ends each connect to discovery before a slow handshake is complete, and so is never
/// connected.
#[test]
fn slow_handshake_with_discovery_is_waited_for() {
    let discovery = SlowDiscovery::start(Accepted::All, Prompt::Nothing, Duration::ZERO);
    delay_handshakes(discovery.address, HANDSHAKE_DELAY);
    let service = start_dispatcher(discovery.address, SHORT_DRAIN_TIMEOUT);
    await_event(&service, &discovery, MAX_DELIVERY_DELAY);
}
