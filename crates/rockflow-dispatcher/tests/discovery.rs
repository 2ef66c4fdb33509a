//! The discovery service is left and connected again a hundred times, in every way that a connection can end, while
//! connections to a host and from a client come and go, so that descriptors are used again at once. Each connection must
//! reach the service, and nothing may leak.

use rockflow_dispatcher::{Config, Service};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);
/// A host closes a connection on which nothing arrived for so long.
const HOST_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const CALLS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The configuration names another address.
    Moved,
    Ended,
    Reset,
    /// Accepted, responded to, and then silent.
    Silent,
    /// The configuration names an address where nobody listens, then one where somebody does.
    Refused,
    /// The same, with an address whose connections are never established.
    NeverUp,
}

/// How connection number `n` ends. The slow ways are the rarer ones.
fn end_of(n: u64) -> End {
    match n {
        n if n % 33 == 20 => End::Silent,
        n if n % 25 == 13 => End::NeverUp,
        n => [End::Moved, End::Ended, End::Reset, End::Refused][(n % 4) as usize],
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

/// Responds to one attempt on each connection and closes it; an idle one is closed too, as a spare connection carries none.
fn host(listener: TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            stream.set_read_timeout(Some(HOST_IDLE_TIMEOUT)).unwrap();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                if stream.read_line(&mut line).unwrap_or(0) > 0 {
                    let id = line.split(' ').nth(1).unwrap();
                    let answer = format!("{id} data ver=t,born=1 2\r\nok\r\n");
                    let _ = stream.get_mut().write_all(answer.as_bytes());
                }
            });
        }
    });
}

/// Sends one request on each connection, until it is stopped; counts those that succeeded.
fn client(to: SocketAddr, stop: Arc<AtomicBool>, served: Arc<AtomicUsize>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        for n in 0u64.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let mut stream = TcpStream::connect(to).unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let ask = format!("GET /invoke/pages/{n:x} HTTP/1.1\r\nX-Call-Id: {n:016x}\r\nX-Group: 1\r\n");
            let rest = "X-Patience-Ms: 3000\r\nConnection: close\r\n\r\n";
            stream.write_all(format!("{ask}{rest}").as_bytes()).unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).unwrap();
            served.fetch_add(usize::from(answer.starts_with("HTTP/1.1 200")), Ordering::Relaxed);
        }
    })
}

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Accepts the next connection in time, and reads its head.
fn accept_call(discovery: &TcpListener, last: u64) -> TcpStream {
    socket2::SockRef::from(discovery).set_read_timeout(Some(PATIENCE)).unwrap();
    let (stream, _) = discovery.accept().expect("the board is called again");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("a whole head") > 0, "ended after {head:?}");
    }
    assert!(head.contains(&format!("Last-Event-ID: {last}\r\n")), "{head}, not from {last}");
    reader.into_inner()
}

/// Waits until the revision has arrived at the dispatcher.
fn await_revision(service: &Service, revision: u64) {
    let until = Instant::now() + PATIENCE;
    while service.handle().discovery_status().last_revision < revision {
        assert!(Instant::now() < until, "notice {revision} was not heard");
        std::thread::yield_now();
    }
}

/// A listener whose queue is full: connections to it are never established.
fn listener_with_full_queue() -> (socket2::Socket, Vec<socket2::Socket>, SocketAddr) {
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
    let held = (0..4).map(fill).collect();
    (listener, held, address.as_socket().unwrap())
}

#[test]
fn every_reconnect_succeeds_and_leaks_nothing() {
    Service::set_up();
    let (hosts, host_address) = listener();
    host(hosts);
    let (mut discovery, mut discovery_address) = listener();
    let mut service = Service::start(config(discovery_address, host_address)).unwrap();
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut counted = 0;
    let clients: Vec<_> =
        (0..2).map(|_| client(service.listen_address(), stop.clone(), served.clone())).collect();
    let mut last = 1;
    for n in 0..CALLS {
        let mut call = accept_call(&discovery, last);
        last += 1;
        let event = format!("{{\"rev\":{last},\"flush\":{{\"collection\":200,\"ms\":1}}}}");
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        call.write_all(format!("{head}id: {last}\ndata: {event}\n\n").as_bytes()).unwrap();
        await_revision(&service, last);
        match end_of(n) {
            End::Ended => drop(call),
            End::Reset => {
                socket2::SockRef::from(&call).set_linger(Some(Duration::ZERO)).unwrap();
            }
            // The dispatcher ends it for its silence.
            End::Silent => assert_eq!(call.read(&mut [0; 16]).unwrap(), 0),
            end => {
                if end == End::Refused {
                    let nobody = listener().1;
                    service.reload(&config(nobody, host_address));
                    assert_eq!(call.read(&mut [0; 16]).unwrap(), 0);
                }
                let held = (end == End::NeverUp).then(listener_with_full_queue);
                if let Some((_, _, nowhere)) = &held {
                    service.reload(&config(*nowhere, host_address));
                    assert_eq!(call.read(&mut [0; 16]).unwrap(), 0);
                }
                (discovery, discovery_address) = listener();
                service.reload(&config(discovery_address, host_address));
                if end == End::Moved {
                    assert_eq!(call.read(&mut [0; 16]).unwrap(), 0);
                }
            }
        }
        if n == 0 {
            counted = descriptors();
        }
    }
    let call = accept_call(&discovery, last);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    // Connections that are closing may take a moment; what leaks stays.
    let until = Instant::now() + PATIENCE;
    let busy = || service.handle().fill_levels()[..2].iter().any(|level| level.fill > 0);
    while (busy() || descriptors() > counted) && Instant::now() < until {
        std::thread::yield_now();
    }
    assert!(!busy(), "{:?}", service.handle().fill_levels());
    assert!(descriptors() <= counted, "{} descriptors, {counted} after the first call", descriptors());
    assert!(served.load(Ordering::Relaxed) > 100, "{served:?} served");
    drop(call);
    service.stop();
}
