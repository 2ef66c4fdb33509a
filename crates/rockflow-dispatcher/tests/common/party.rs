//! The parties of a play: clients, hosts and discovery services, each with a listener or a connection of its own.

use super::sockets::OURS;
use super::PATIENCE;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The dispatcher leaves a discovery service from which nothing has arrived for 2.3 s.
const COMMENT: Duration = Duration::from_millis(400);

/// A client, a host or a discovery service of the play.
#[derive(Default)]
pub(super) struct Party {
    pub(super) listener: Option<TcpListener>,
    /// Where it listened last.
    pub(super) address: Option<SocketAddr>,
    /// Connections that fill its queue.
    pub(super) fillers: Vec<socket2::Socket>,
    pub(super) stream: Option<BufReader<TcpStream>>,
    pub(super) id: String,
    pub(super) comments: Option<Comments>,
}

/// A thread that writes a comment on a discovery service's connection, again and again until it is dropped.
pub(super) struct Comments(Option<(Sender<()>, JoinHandle<()>)>);

impl Comments {
    pub(super) fn start(mut stream: TcpStream) -> Comments {
        let (end, expect_end) = channel::<()>();
        let run = move || {
            OURS.set(true);
            while expect_end.recv_timeout(COMMENT) == Err(RecvTimeoutError::Timeout)
                && stream.write_all(b":\n\n").is_ok()
            {}
        };
        Comments(Some((end, std::thread::spawn(run))))
    }
}

impl Drop for Comments {
    fn drop(&mut self) {
        if let Some((end, thread)) = self.0.take() {
            drop(end);
            let _ = thread.join();
        }
    }
}

impl Party {
    pub(super) fn connect(&mut self, stream: TcpStream) {
        self.comments = None;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        self.stream = Some(BufReader::new(stream));
    }

    pub(super) fn accept(&mut self, by: Duration) -> TcpStream {
        let listener = self.listener.as_ref().expect("a listener");
        socket2::SockRef::from(listener).set_read_timeout(Some(by)).unwrap();
        listener.accept().expect("a connection in time").0
    }

    /// Fills the queue of those who wait to be accepted: whoever else connects stays on the way.
    pub(super) fn fill_queue(&mut self) {
        let address = self.listener.as_ref().expect("a listener").local_addr().unwrap();
        let fill = |_| {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        };
        self.fillers = (0..4).map(fill).collect();
    }

    /// Takes those out again; what has stayed on the way comes up within the second.
    pub(super) fn open(&mut self) {
        self.fillers.clear();
        let listener = self.listener.as_ref().expect("a listener");
        listener.set_nonblocking(true).unwrap();
        while listener.accept().is_ok() {}
        listener.set_nonblocking(false).unwrap();
    }

    pub(super) fn expect_no_connection(&mut self, span: Duration) {
        let listener = self.listener.as_ref().expect("a listener");
        socket2::SockRef::from(listener).set_read_timeout(Some(span)).unwrap();
        assert!(listener.accept().is_err(), "somebody connected");
    }

    pub(super) fn expect_silence(&mut self, span: Duration) {
        let stream = self.stream().get_ref();
        stream.set_read_timeout(Some(span)).unwrap();
        let mut byte = [0];
        match self.stream().read(&mut byte) {
            Ok(0) => {}
            Ok(_) => panic!("said: {:?}", char::from(byte[0])),
            Err(what) => assert!(matches!(what.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset)),
        }
        self.stream().get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
    }

    pub(super) fn send(&mut self, text: &str) {
        self.stream().get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Waits till the dispatcher's end holds all that was sent: the system may still keep it back when the write has
    /// returned, and what another sends after it would be there before.
    pub(super) fn await_delivery(&mut self) {
        use std::os::fd::AsRawFd;
        let (socket, end) = (self.stream().get_ref().as_raw_fd(), Instant::now() + PATIENCE);
        loop {
            let mut left: libc::c_int = 0;
            // Safe: the descriptor is open, and the call writes one integer.
            assert_eq!(unsafe { libc::ioctl(socket, libc::TIOCOUTQ, &mut left) }, 0);
            if left == 0 {
                return;
            }
            assert!(Instant::now() < end, "{left} bytes are not delivered");
            std::thread::yield_now();
        }
    }

    pub(super) fn stream(&mut self) -> &mut BufReader<TcpStream> {
        self.stream.as_mut().expect("connected")
    }

    pub(super) fn line(&mut self) -> String {
        let mut line = String::new();
        self.stream().read_line(&mut line).expect("a line in time");
        line
    }

    /// A head, and the body that it announces.
    pub(super) fn answer(&mut self) -> String {
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n") {
            let line = self.line();
            assert!(!line.is_empty(), "ended after {text:?}");
            text += &line;
        }
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
        self.stream().read_exact(&mut body).expect("a body in time");
        text + &String::from_utf8_lossy(&body)
    }

    /// What is here and not read, for whoever reads why a play failed.
    pub(super) fn describe_unread(&mut self) -> String {
        let waits = self.listener.as_ref().map(|listener| {
            let _ = listener.set_nonblocking(true);
            std::iter::from_fn(|| listener.accept().ok()).count()
        });
        let said = self.stream.as_mut().map(|stream| {
            let _ = stream.get_ref().set_nonblocking(true);
            let mut rest = Vec::new();
            let expect_end = stream.read_to_end(&mut rest);
            format!("{:?} {expect_end:?}", String::from_utf8_lossy(&rest[..rest.len().min(512)]))
        });
        format!("connections not taken: {waits:?}; not read: {said:?}")
    }

    pub(super) fn expect_end(&mut self) {
        let mut rest = Vec::new();
        match self.stream().read_to_end(&mut rest) {
            Ok(_) => assert!(rest.is_empty(), "{:?}", String::from_utf8_lossy(&rest)),
            Err(what) => assert_eq!(what.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }
}
