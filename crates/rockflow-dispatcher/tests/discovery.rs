//! The board is left and called again a hundred times, in every way that a call can end, while connections to a host
//! and from a client come and go, so that descriptors are used again at once. Each call must reach the board, and
//! nothing may be left behind.

use rockflow_dispatcher::{Config, Service};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);
/// A host closes a connection on which nothing came for so long.
const RESTS: Duration = Duration::from_secs(1);
const CALLS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The configuration names another board.
    Moved,
    Ended,
    Reset,
    /// Taken, answered, and then silent.
    Silent,
    /// Told of a board where nobody listens, then of one that does.
    Refused,
    /// The same, with one whose connections never come up.
    NeverUp,
}

/// How call number `n` ends. The slow ways are the rarer ones.
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

fn told(board: SocketAddr, host: SocketAddr) -> Config {
    let mut value: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    value["board"] = json!(board.to_string());
    value["listen"] = json!("127.0.0.1:0");
    let instances = &mut value["known"]["notices"][0]["pool"]["instances"];
    instances.as_array_mut().unwrap().truncate(1);
    instances[0]["hostPort"] = json!(host.to_string());
    Config::parse(&value.to_string()).unwrap()
}

/// Answers one attempt on each connection and closes it; one that rests is closed too, as a spare connection carries none.
fn host(listener: TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            stream.set_read_timeout(Some(RESTS)).unwrap();
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

/// Asks one request on each connection, till it is told to stop; returns how many were served.
fn client(to: SocketAddr, over: Arc<AtomicBool>, served: Arc<AtomicUsize>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        for n in 0u64.. {
            if over.load(Ordering::Relaxed) {
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

/// Takes the next call in time, and its head.
fn take(board: &TcpListener, last: u64) -> TcpStream {
    socket2::SockRef::from(board).set_read_timeout(Some(PATIENCE)).unwrap();
    let (stream, _) = board.accept().expect("the board is called again");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("a whole head") > 0, "ended after {head:?}");
    }
    assert!(head.contains(&format!("Last-Event-ID: {last}\r\n")), "{head}, not from {last}");
    reader.into_inner()
}

/// Waits till the number has come through to the dispatcher.
fn heard(service: &Service, rev: u64) {
    let until = Instant::now() + PATIENCE;
    while service.handle().discovery_status().last_revision < rev {
        assert!(Instant::now() < until, "notice {rev} was not heard");
        std::thread::yield_now();
    }
}

/// A listener whose queue is full: what connects to it stays on its way.
fn never_up() -> (socket2::Socket, Vec<socket2::Socket>, SocketAddr) {
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
fn every_call_reaches_the_board_and_nothing_is_left_behind() {
    Service::set_up();
    let (hosts, host_at) = listener();
    host(hosts);
    let (mut board, mut board_at) = listener();
    let mut service = Service::start(told(board_at, host_at)).unwrap();
    let (over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut counted = 0;
    let clients: Vec<_> =
        (0..2).map(|_| client(service.listen_address(), over.clone(), served.clone())).collect();
    let mut last = 1;
    for n in 0..CALLS {
        let mut call = take(&board, last);
        last += 1;
        let notice = format!("{{\"rev\":{last},\"flush\":{{\"collection\":200,\"ms\":1}}}}");
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        call.write_all(format!("{head}id: {last}\ndata: {notice}\n\n").as_bytes()).unwrap();
        heard(&service, last);
        match end_of(n) {
            End::Ended => drop(call),
            End::Reset => {
                socket2::SockRef::from(&call).set_linger(Some(Duration::ZERO)).unwrap();
            }
            // Left for its silence: its end is the dispatcher's.
            End::Silent => assert_eq!(call.read(&mut [0; 16]).unwrap(), 0),
            end => {
                if end == End::Refused {
                    let nobody = listener().1;
                    service.reload(&told(nobody, host_at));
                    assert_eq!(call.read(&mut [0; 16]).unwrap(), 0);
                }
                let held = (end == End::NeverUp).then(never_up);
                if let Some((_, _, nowhere)) = &held {
                    service.reload(&told(*nowhere, host_at));
                    assert_eq!(call.read(&mut [0; 16]).unwrap(), 0);
                }
                (board, board_at) = listener();
                service.reload(&told(board_at, host_at));
                if end == End::Moved {
                    assert_eq!(call.read(&mut [0; 16]).unwrap(), 0);
                }
            }
        }
        if n == 0 {
            counted = descriptors();
        }
    }
    let call = take(&board, last);
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    // Connections whose ends are still on their way may take a moment; what is left behind stays.
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
