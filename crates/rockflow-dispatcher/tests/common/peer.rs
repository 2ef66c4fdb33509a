//! The dispatcher's peers in a scenario: clients, hosts and discovery services.

use super::sockets::IS_TEST_THREAD;
use super::TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The dispatcher closes a discovery connection on which nothing has arrived for 2.3 s.
const COMMENT_INTERVAL: Duration = Duration::from_millis(400);

/// A client, a host or a discovery service with its listener and its current connection.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) listener: Option<TcpListener>,
    /// Address of the listener before it was closed.
    pub(super) last_address: Option<SocketAddr>,
    /// Connections that fill the listen backlog.
    pub(super) backlog_connections: Vec<socket2::Socket>,
    pub(super) stream: Option<BufReader<TcpStream>>,
    /// Id of the last request received.
    pub(super) request_id: String,
    /// The thread that sends comments, for a discovery service.
    pub(super) comments: Option<Comments>,
}

/// A thread that periodically writes a comment to a discovery connection until it is dropped.
pub(super) struct Comments(Option<(Sender<()>, JoinHandle<()>)>);

impl Comments {
    pub(super) fn start(mut stream: TcpStream) -> Comments {
        let (stop, wait_for_stop) = channel::<()>();
        let run = move || {
            IS_TEST_THREAD.set(true);
            while wait_for_stop.recv_timeout(COMMENT_INTERVAL) == Err(RecvTimeoutError::Timeout)
                && stream.write_all(b":\n\n").is_ok()
            {}
        };
        Comments(Some((stop, std::thread::spawn(run))))
    }
}

impl Drop for Comments {
    fn drop(&mut self) {
        if let Some((stop, thread)) = self.0.take() {
            drop(stop);
            let _ = thread.join();
        }
    }
}

impl Peer {
    /// Replaces the current connection.
    pub(super) fn set_connection(&mut self, stream: TcpStream) {
        self.comments = None;
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        self.stream = Some(BufReader::new(stream));
    }

    /// Accepts a connection within `timeout`, or panics.
    pub(super) fn accept(&mut self, timeout: Duration) -> TcpStream {
        let listener = self.listener.as_ref().expect("no listener");
        socket2::SockRef::from(listener).set_read_timeout(Some(timeout)).unwrap();
        listener.accept().expect("no connection in time").0
    }

    /// Fills the listen backlog, so that further connections are not established.
    pub(super) fn fill_backlog(&mut self) {
        let address = self.listener.as_ref().expect("no listener").local_addr().unwrap();
        let fill = |_| {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        };
        self.backlog_connections = (0..4).map(fill).collect();
    }

    /// Empties the listen backlog. Pending connections are established within a second.
    pub(super) fn empty_backlog(&mut self) {
        self.backlog_connections.clear();
        let listener = self.listener.as_ref().expect("no listener");
        listener.set_nonblocking(true).unwrap();
        while listener.accept().is_ok() {}
        listener.set_nonblocking(false).unwrap();
    }

    /// Panics if a connection is established within `span`.
    pub(super) fn expect_no_connection(&mut self, span: Duration) {
        let listener = self.listener.as_ref().expect("no listener");
        socket2::SockRef::from(listener).set_read_timeout(Some(span)).unwrap();
        assert!(listener.accept().is_err(), "unexpected connection");
    }

    /// Panics if anything is received within `span`; the connection may be closed.
    pub(super) fn expect_silence(&mut self, span: Duration) {
        let stream = self.stream().get_ref();
        stream.set_read_timeout(Some(span)).unwrap();
        let mut byte = [0];
        match self.stream().read(&mut byte) {
            Ok(0) => {}
            Ok(_) => panic!("unexpectedly received {:?}", char::from(byte[0])),
            Err(error) => assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset)),
        }
        self.stream().get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
    }

    pub(super) fn send(&mut self, text: &str) {
        self.stream().get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Waits until all sent data has been acknowledged by the dispatcher's end. A write may return before
    /// that, and data that another peer sends later could then arrive earlier.
    pub(super) fn await_delivery(&mut self) {
        use std::os::fd::AsRawFd;
        let (socket, deadline) = (self.stream().get_ref().as_raw_fd(), Instant::now() + TIMEOUT);
        loop {
            let mut unsent: libc::c_int = 0;
            // Safe: the descriptor is open, and the call writes one integer.
            assert_eq!(unsafe { libc::ioctl(socket, libc::TIOCOUTQ, &mut unsent) }, 0);
            if unsent == 0 {
                return;
            }
            assert!(Instant::now() < deadline, "{unsent} bytes are not delivered");
            std::thread::yield_now();
        }
    }

    pub(super) fn stream(&mut self) -> &mut BufReader<TcpStream> {
        self.stream.as_mut().expect("not connected")
    }

    /// Reads one line; empty if the connection has ended.
    pub(super) fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stream().read_line(&mut line).expect("no line in time");
        line
    }

    /// Reads a message head and the body that follows according to its Content-Length.
    pub(super) fn read_message(&mut self) -> String {
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n") {
            let line = self.read_line();
            assert!(!line.is_empty(), "ended after {text:?}");
            text += &line;
        }
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
        self.stream().read_exact(&mut body).expect("no body in time");
        text + &String::from_utf8_lossy(&body)
    }

    /// Describes pending connections and unread data, to help to diagnose a failed scenario.
    pub(super) fn describe_unread(&mut self) -> String {
        let pending = self.listener.as_ref().map(|listener| {
            let _ = listener.set_nonblocking(true);
            std::iter::from_fn(|| listener.accept().ok()).count()
        });
        let unread = self.stream.as_mut().map(|stream| {
            let _ = stream.get_ref().set_nonblocking(true);
            let mut rest = Vec::new();
            let end = stream.read_to_end(&mut rest);
            format!("{:?} {end:?}", String::from_utf8_lossy(&rest[..rest.len().min(512)]))
        });
        format!("pending connections: {pending:?}; unread data: {unread:?}")
    }

    /// Panics unless the connection is closed or reset without further data.
    pub(super) fn expect_close(&mut self) {
        let mut rest = Vec::new();
        match self.stream().read_to_end(&mut rest) {
            Ok(_) => assert!(rest.is_empty(), "{:?}", String::from_utf8_lossy(&rest)),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }
}
