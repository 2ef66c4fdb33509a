//! Reconnects to discovery a hundred times, after every way in which a connection can end. Meanwhile upstream
//! and client connections open and close, so that file descriptors are reused at once. Every reconnect must
//! succeed, and nothing may leak.

use rockflow_dispatcher::{Config, Service};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout of the test host's connections.
const HOST_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECTS: u64 = 100;

/// How a discovery connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// A reload changes the address.
    AddressChanged,
    Closed,
    Reset,
    /// The service sends nothing more.
    Silent,
    /// A reload changes the address to one that refuses connections, and then to a working one.
    Refused,
    /// The same, with an address at which connections are never established.
    NeverEstablished,
}

/// How connection number `n` ends. The slow ways are used less often.
fn disconnect_of(n: u64) -> Disconnect {
    match n {
        n if n % 33 == 20 => Disconnect::Silent,
        n if n % 25 == 13 => Disconnect::NeverEstablished,
        n => {
            use Disconnect::{AddressChanged, Closed, Refused, Reset};
            [AddressChanged, Closed, Reset, Refused][(n % 4) as usize]
        }
    }
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn config(discovery: SocketAddr, host: SocketAddr) -> Config {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    value["board"] = json!(discovery.to_string());
    value["listen"] = json!("127.0.0.1:0");
    let instances = &mut value["known"]["notices"][0]["pool"]["instances"];
    instances.as_array_mut().unwrap().truncate(1);
    instances[0]["hostPort"] = json!(host.to_string());
    Config::parse(&value.to_string()).unwrap()
}

/// Runs a host that responds to one attempt on each connection and then closes it. Idle connections are
/// closed after a timeout, because spare connections carry no attempt.
fn start_host(listener: TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            stream.set_read_timeout(Some(HOST_IDLE_TIMEOUT)).unwrap();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                if stream.read_line(&mut line).unwrap_or(0) > 0 {
                    let id = line.split(' ').nth(1).unwrap();
                    let response = format!("{id} data ver=t,born=1 2\r\nok\r\n");
                    let _ = stream.get_mut().write_all(response.as_bytes());
                }
            });
        }
    });
}

/// Runs a client that sends one request per connection until it is stopped, and counts the successful ones in
/// `served`.
fn start_client(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        for n in 0u64.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            let head = format!("GET /invoke/pages/{n:x} HTTP/1.1\r\nX-Call-Id: {n:016x}\r\nX-Group: 1\r\n");
            let headers = "X-Patience-Ms: 3000\r\nConnection: close\r\n\r\n";
            stream.write_all(format!("{head}{headers}").as_bytes()).unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).unwrap();
            served.fetch_add(usize::from(response.starts_with("HTTP/1.1 200")), Ordering::Relaxed);
        }
    })
}

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Accepts the next discovery connection and checks that it requests events after revision `last`.
fn accept_watch_request(discovery: &TcpListener, last: u64) -> TcpStream {
    socket2::SockRef::from(discovery).set_read_timeout(Some(TIMEOUT)).unwrap();
    let (stream, _) = discovery.accept().expect("no connection in time");
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("no complete request head") > 0, "ended after {head:?}");
    }
    assert!(
        head.contains(&format!("Last-Event-ID: {last}\r\n")),
        "{head} does not request events after {last}"
    );
    reader.into_inner()
}

/// Waits until the dispatcher has received the event with this revision.
fn await_revision(service: &Service, revision: u64) {
    let deadline = Instant::now() + TIMEOUT;
    while service.handle().discovery_status().last_revision < revision {
        assert!(Instant::now() < deadline, "event {revision} was not received");
        std::thread::yield_now();
    }
}

/// A listener with a full backlog: connections to it are never established until it is dropped.
struct FullListener {
    _listener: socket2::Socket,
    _backlog: Vec<socket2::Socket>,
    address: SocketAddr,
}

fn listener_with_full_backlog() -> FullListener {
    use socket2::{Domain, Socket, Type};
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let fill = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address);
        socket
    };
    let backlog = (0..4).map(fill).collect();
    FullListener { _listener: listener, _backlog: backlog, address: address.as_socket().unwrap() }
}

#[test]
fn every_reconnect_succeeds_and_leaks_nothing() {
    Service::set_up();
    let (host_listener, host_address) = listener();
    start_host(host_listener);
    let (mut discovery, mut discovery_address) = listener();
    let mut service = Service::start(config(discovery_address, host_address)).unwrap();
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut descriptors_at_start = 0;
    let clients: Vec<_> =
        (0..2).map(|_| start_client(service.listen_address(), stop.clone(), served.clone())).collect();
    let mut last = 1;
    for n in 0..RECONNECTS {
        let mut connection = accept_watch_request(&discovery, last);
        last += 1;
        let event = format!("{{\"rev\":{last},\"flush\":{{\"collection\":200,\"ms\":1}}}}");
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        connection.write_all(format!("{head}id: {last}\ndata: {event}\n\n").as_bytes()).unwrap();
        await_revision(&service, last);
        match disconnect_of(n) {
            Disconnect::Closed => drop(connection),
            Disconnect::Reset => {
                socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO)).unwrap();
            }
            // The dispatcher closes the connection because of its silence.
            Disconnect::Silent => assert_eq!(connection.read(&mut [0; 16]).unwrap(), 0),
            disconnect => {
                if disconnect == Disconnect::Refused {
                    let closed_port = listener().1;
                    service.reload(&config(closed_port, host_address));
                    assert_eq!(connection.read(&mut [0; 16]).unwrap(), 0);
                }
                let full = (disconnect == Disconnect::NeverEstablished).then(listener_with_full_backlog);
                if let Some(full) = &full {
                    service.reload(&config(full.address, host_address));
                    assert_eq!(connection.read(&mut [0; 16]).unwrap(), 0);
                }
                (discovery, discovery_address) = listener();
                service.reload(&config(discovery_address, host_address));
                if disconnect == Disconnect::AddressChanged {
                    assert_eq!(connection.read(&mut [0; 16]).unwrap(), 0);
                }
            }
        }
        if n == 0 {
            descriptors_at_start = open_descriptors();
        }
    }
    let connection = accept_watch_request(&discovery, last);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    // Waits for connections that are still closing; leaked ones would remain.
    let deadline = Instant::now() + TIMEOUT;
    let busy = || service.handle().fill_levels()[..2].iter().any(|level| level.fill > 0);
    while (busy() || open_descriptors() > descriptors_at_start) && Instant::now() < deadline {
        std::thread::yield_now();
    }
    assert!(!busy(), "{:?}", service.handle().fill_levels());
    let descriptors = open_descriptors();
    assert!(
        descriptors <= descriptors_at_start,
        "{descriptors} descriptors, {descriptors_at_start} after the first connection"
    );
    assert!(served.load(Ordering::Relaxed) > 100, "{served:?} served");
    drop(connection);
    service.stop();
}
