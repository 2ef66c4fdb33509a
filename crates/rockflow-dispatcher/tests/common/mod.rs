//! Plays a scenario against a whole dispatcher on loopback sockets. A line is a party and what it does:
//!
//!     host NAME cache|parent|origin [shut] [unlisted]   listed at the start, at a port of its own; `shut`: its queue
//!                                       is full, so that what connects to it stays on its way
//!     start [unknown-class] [comments] [sockets=N] [/PATH=JSON]   the dispatcher, with a class that the decisions
//!                                       don't know, boards that comment while they are called, as the protocol has it, and
//!                                       other values in its configuration
//!     freeze | thaw                     nothing of the dispatcher runs in between, but for a planned stop's own thread; what
//!                                       is sent meanwhile is there, in its order, before anything runs
//!     until hosts|clients|held N | until rev N | until leaving|finishing   so many connections stand, or are on their way;
//!                                       the board's notice has been heard; a planned stop takes nothing more
//!     crowd N | burst N                 so many clients connect and say nothing; ask, and are gone
//!     a asks OBJECT id=HEX [patience=MS] [Header:value]   a client asks, connecting first if it has to
//!     a sends TEXT                      raw, with \r \n
//!     a gets STATUS WORD...             one answer, holding all words
//!     a pours N | a floods              sends so many bytes of no meaning; without end, beside what follows
//!     a closes | a resets | a ended     the client leaves; the dispatcher has closed
//!     a within MS ...                   what follows, by then
//!     c shuts | c opens                 its queue is full from now on, or not any more
//!     c untaken MS                      nobody connects to it in that time
//!     c quiet MS                        nothing is said to it in that time
//!     c takes [as NAME]                 host c accepts a connection, which is c's, or a party of its own, from then on
//!     c gets WORD...                    a line holding all words but those after `!`, a field below N with
//!                                       `FIELD<N`, or below N and the time since the last purge with `FIELD<N+since`, in
//!                                       milliseconds; its id is remembered
//!     c skips WORD...                   lines up to one holding these words are read and passed over
//!     c trails WORD...                  the same, and it comes a moment after the line that was got before
//!     c says WORD FIELDS [id=HEX] [body=TEXT]   answers the remembered id, or the one named
//!     c sends TEXT | c closes | c ended | c dies    a host's connection ends; the host is gone
//!     nodelay N                         so many of the dispatcher's sockets, at least, hold no small write back
//!     board takes LAST [by MS]          in that time
//!     board accepts                     takes the call and says nothing at all
//!     board down | board up             nobody listens there; somebody does again
//!     board takes LAST | board says JSON | board closes     likewise board2 once it is the board; in JSON `@NAME` is
//!                                       the address of a host, `@now` the Unix time in milliseconds
//!     reload board2                     a configuration that names another board
//!     mark NAME=draining|gone ... [until=MS]   operators' marks, in place of those before; the start said `marked`
//!     fleet NAME=draining|gone ... [! NAME=lastone ...]   the fleet's marks, in place of those before; behind `!` those that
//!                                       are kept apart, and why
//!     purge all|group=N|OBJECT [ago=MS] by way of the link, till the decisions have heard of it
//!     purges N [ago=MS]                 so many, each of another object, and nobody waits for them
//!     post mark|fleet|purge ...         the same as without `post`, and the play does not wait for it
//!     heeded WORD...                    the decisions go by what was posted, told in this order, each by its first word
//!     wait MS                           time passes
//!     stop [held] | release | over      a planned stop begins, and goes on to its next phase only once it is released; it has
//!                                       come to its end
//!     overdue N                         requests so far that the decisions left without an answer in time

use rockflow::{GroupId, ObjectId, Readiness};
use rockflow_dispatcher::endpoint::id_from_name;
use rockflow_dispatcher::{Clock, Config, Phase, Purge, Service, ServiceHandle};
use rockflow_endpoints::{AdminOverride, AdminOverrides, RejectedOverride};
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex, Once, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PATIENCE: Duration = Duration::from_secs(5);
const MS: Duration = Duration::from_millis(1);
/// The dispatcher leaves a board that has said nothing for 2.3 s.
const COMMENT: Duration = Duration::from_millis(400);
static SET_UP: Once = Once::new();
/// How often a thread of a dispatcher has asked for no delay of small writes.
static NO_DELAY: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    /// A thread of the play itself, which may set its sockets' time limits.
    static OURS: Cell<bool> = const { Cell::new(false) };
}

/// Stands before the C library's own. Guards against a dispatcher that leans on time limits of sockets, which not
/// every platform has: to its threads they are refused.
///
/// # Safety
/// As that of the call it stands for.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    socket: libc::c_int,
    level: libc::c_int,
    name: libc::c_int,
    value: *const libc::c_void,
    length: libc::socklen_t,
) -> libc::c_int {
    let limit = level == libc::SOL_SOCKET && matches!(name, libc::SO_SNDTIMEO | libc::SO_RCVTIMEO);
    if limit && !OURS.get() {
        *libc::__errno_location() = libc::EBADF;
        return -1;
    }
    if level == libc::IPPROTO_TCP && name == libc::TCP_NODELAY && !OURS.get() {
        NO_DELAY.fetch_add(1, Ordering::Relaxed);
    }
    libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as libc::c_int
}

struct Party {
    listener: Option<TcpListener>,
    /// Where it listened last.
    address: Option<SocketAddr>,
    /// Connections that fill its queue.
    fillers: Vec<socket2::Socket>,
    stream: Option<BufReader<TcpStream>>,
    id: String,
    comments: Option<Comments>,
}

/// A thread that writes a comment on a board's connection, again and again until it is dropped.
struct Comments(Option<(Sender<()>, JoinHandle<()>)>);

impl Comments {
    fn start(mut stream: TcpStream) -> Comments {
        let (end, ended) = channel::<()>();
        let run = move || {
            OURS.set(true);
            while ended.recv_timeout(COMMENT) == Err(RecvTimeoutError::Timeout)
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
    fn connect(&mut self, stream: TcpStream) {
        self.comments = None;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        self.stream = Some(BufReader::new(stream));
    }

    fn accept(&mut self, by: Duration) -> TcpStream {
        let listener = self.listener.as_ref().expect("a listener");
        socket2::SockRef::from(listener).set_read_timeout(Some(by)).unwrap();
        listener.accept().expect("a connection in time").0
    }

    /// Fills the queue of those who wait to be accepted: whoever else connects stays on the way.
    fn shut(&mut self) {
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
    fn open(&mut self) {
        self.fillers.clear();
        let listener = self.listener.as_ref().expect("a listener");
        listener.set_nonblocking(true).unwrap();
        while listener.accept().is_ok() {}
        listener.set_nonblocking(false).unwrap();
    }

    fn untaken(&mut self, span: Duration) {
        let listener = self.listener.as_ref().expect("a listener");
        socket2::SockRef::from(listener).set_read_timeout(Some(span)).unwrap();
        assert!(listener.accept().is_err(), "somebody connected");
    }

    fn quiet(&mut self, span: Duration) {
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

    fn send(&mut self, text: &str) {
        self.stream().get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Waits till the dispatcher's end holds all that was sent: the system may still keep it back when the write has
    /// returned, and what another sends after it would be there before.
    fn delivered(&mut self) {
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

    fn stream(&mut self) -> &mut BufReader<TcpStream> {
        self.stream.as_mut().expect("connected")
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.stream().read_line(&mut line).expect("a line in time");
        line
    }

    /// A head, and the body that it announces.
    fn answer(&mut self) -> String {
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
    fn unread(&mut self) -> String {
        let waits = self.listener.as_ref().map(|listener| {
            let _ = listener.set_nonblocking(true);
            std::iter::from_fn(|| listener.accept().ok()).count()
        });
        let said = self.stream.as_mut().map(|stream| {
            let _ = stream.get_ref().set_nonblocking(true);
            let mut rest = Vec::new();
            let ended = stream.read_to_end(&mut rest);
            format!("{:?} {ended:?}", String::from_utf8_lossy(&rest[..rest.len().min(512)]))
        });
        format!("connections not taken: {waits:?}; not read: {said:?}")
    }

    fn ended(&mut self) {
        let mut rest = Vec::new();
        match self.stream().read_to_end(&mut rest) {
            Ok(_) => assert!(rest.is_empty(), "{:?}", String::from_utf8_lossy(&rest)),
            Err(what) => assert_eq!(what.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }
}

/// The word of the play for a rejection.
fn rejection_word(rejection: RejectedOverride) -> &'static str {
    match rejection {
        RejectedOverride::LastReadyEndpoint => "lastone",
        RejectedOverride::TooMany => "full",
    }
}

/// The words NAME=WORD of a line; `nothing` is none.
fn pairs(text: &str) -> Vec<(String, String)> {
    let words = text.split_whitespace().filter(|word| *word != "nothing");
    let pairs = words.map(|word| word.split_once('=').expect("NAME=WORD"));
    pairs.map(|(name, word)| (name.to_string(), word.to_string())).collect()
}

struct Play {
    parties: BTreeMap<String, Party>,
    instances: Vec<Value>,
    service: Option<Service>,
    address: Option<SocketAddr>,
    stopping: Option<JoinHandle<Service>>,
    /// Configurations for a dispatcher that is stopping.
    reloads: Option<Sender<Config>>,
    link: Option<ServiceHandle>,
    got: Instant,
    /// Since when the last purge has been sent.
    purged: Instant,
    /// Boards comment.
    comments: bool,
    /// A planned stop does not go on while this is set.
    held: Arc<(Mutex<bool>, Condvar)>,
    /// Held while the dispatcher's one worker stands still.
    frozen: Option<Sender<()>>,
    /// Clients that say nothing.
    crowd: Vec<TcpStream>,
    /// What was posted and is heeded by now, in that order.
    heeded: (Sender<String>, Receiver<String>),
}

impl Play {
    fn party(&mut self, name: &str) -> &mut Party {
        let fresh = || Party {
            listener: None,
            address: None,
            fillers: Vec::new(),
            stream: None,
            id: String::new(),
            comments: None,
        };
        self.parties.entry(name.to_string()).or_insert_with(fresh)
    }

    fn host(&mut self, name: &str, words: &[&str]) {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // One that can be shut has room for one in its queue.
        let shut = words.contains(&"shut");
        socket.listen(if shut || words.contains(&"narrow") { 0 } else { 128 }).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap().to_string();
        let party = self.party(name);
        party.listener = Some(listener);
        if shut {
            party.shut();
        }
        if words.contains(&"unlisted") {
            return;
        }
        let (zone, kind) = match words[0] {
            "cache" => ("shop", "box"),
            role => ("hub", role),
        };
        self.instances
            .push(json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": kind,
            "lifecycle": "active", "weight": 8, "startedAtMs": 0}));
    }

    fn told(&mut self, board: &str, words: &[&str]) -> Config {
        let mut value: Value = serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        value["board"] = json!(listener.local_addr().unwrap().to_string());
        self.party(board).listener = Some(listener);
        value["listen"] = json!("127.0.0.1:0");
        value["known"]["notices"][0]["pool"]["instances"] = json!(self.instances);
        if let Some(sockets) = words.iter().find_map(|word| word.strip_prefix("sockets=")) {
            value["limits"]["sockets"] = json!(sockets.parse::<usize>().unwrap());
        }
        for (path, told) in words.iter().filter_map(|word| word.split_once('=')) {
            if path.starts_with('/') {
                let (above, key) = path.rsplit_once('/').unwrap();
                let above = value.pointer_mut(above).expect("a place in the configuration");
                above[key] = serde_json::from_str(told).unwrap();
            }
        }
        Config::parse(&value.to_string()).unwrap()
    }

    /// Stops the one worker on which all of the dispatcher runs.
    fn freeze(&mut self) {
        let (frozen, stands) = channel();
        let (thaw, go) = channel::<()>();
        may::go!(move || {
            frozen.send(()).unwrap();
            let _ = go.recv();
        });
        stands.recv_timeout(PATIENCE).unwrap();
        self.frozen = Some(thaw);
    }

    /// Waits for what the dispatcher itself counts.
    fn until(&mut self, what: &str, count: usize) {
        let link = self.link.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
        let mut end = Instant::now() + PATIENCE;
        let mut least = usize::MAX;
        loop {
            let fill = link
                .fill_levels()
                .iter()
                .find(|level| level.name == what)
                .map(|level| level.fill.abs_diff(count));
            if fill.is_some_and(|left| left < least) {
                // It is on its way; what counts is a standstill.
                (least, end) = (fill.unwrap_or_default(), Instant::now() + PATIENCE);
            }
            let there = match what {
                "leaving" => link.phase() == Phase::Draining,
                "finishing" => link.phase() == Phase::Closing,
                "rev" => link.discovery_status().last_revision >= count as u64,
                _ => fill == Some(0),
            };
            if there && what == "rev" {
                // And the decisions have heard of it.
                let (done, wait) = channel();
                assert!(link.request_status(move |_| done.send(()).unwrap()));
                return wait.recv_timeout(PATIENCE).unwrap();
            }
            if there {
                return;
            }
            assert!(Instant::now() < end, "{what} {count}: {:?}, {:?}", link.phase(), link.fill_levels());
            std::thread::sleep(MS);
        }
    }

    /// Puts addresses and the time where the text names them.
    fn filled(&self, text: &str) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let mut text = text.replace("@now", &now.to_string());
        for (name, party) in &self.parties {
            if let Some(listener) = &party.listener {
                let address = listener.local_addr().unwrap().to_string();
                text = text.replace(&format!("\"@{name}\""), &format!("\"{address}\""));
            }
        }
        text
    }

    fn start(&mut self, words: &[&str]) {
        let mut told = self.told("board", words);
        if words.contains(&"unknown-product") {
            told.wiring.class_names.push("unknown".to_string());
        }
        self.comments = words.contains(&"comments");
        SET_UP.call_once(Service::set_up);
        let marked = words.contains(&"marked").then(AdminOverrides::new);
        let service = Service::start_with_overrides(Clock::start(), told, marked).unwrap();
        self.address = Some(service.listen_address());
        self.service = Some(service);
    }

    fn client(&mut self, name: &str) -> &mut Party {
        let address = self.address;
        let party = self.party(name);
        if party.stream.is_none() {
            party.connect(TcpStream::connect(address.expect("started")).unwrap());
        }
        party
    }

    /// Gives the dispatcher marks or a purge; `done` is called once the decisions go by it, with what is kept apart.
    fn put(&self, line: &str, done: Box<dyn FnOnce(BTreeMap<String, RejectedOverride>) + Send>) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let link = self.service.as_ref().unwrap().handle();
        let marks = |text: &str, until| -> AdminOverrides {
            let marks = pairs(text).into_iter().filter(|(name, _)| name != "until");
            let mark = |(name, state): (String, String)| {
                let readiness = if state == "gone" { Readiness::Gone } else { Readiness::Draining };
                (name, AdminOverride { readiness, expires_at: until, force: false })
            };
            marks.map(mark).collect()
        };
        match words[0] {
            "mark" => {
                let until = words.iter().find_map(|word| word.strip_prefix("until="));
                let until = until.map(|ms| link.clock.now() + Duration::from_millis(ms.parse().unwrap()));
                let marks = marks(&line["mark".len()..], until);
                assert!(link.set_operator_overrides(marks, move || done(BTreeMap::new())));
            }
            "fleet" => {
                let wanted = line["fleet".len()..].split('!').next().unwrap_or_default();
                assert!(link.set_control_overrides(marks(wanted, None), done));
            }
            _ => {
                let ago = words.iter().find_map(|word| word.strip_prefix("ago=")).unwrap_or("0");
                let purged_at = link.timestamp_before_now(Duration::from_millis(ago.parse().unwrap()));
                let purge = match words[1].strip_prefix("group=") {
                    _ if words[1] == "all" => Purge::everything(purged_at),
                    Some(group) => {
                        Purge { object: None, group: Some(GroupId(group.parse().unwrap())), purged_at }
                    }
                    None => Purge { object: Some(ObjectId(id_from_name(words[1]))), group: None, purged_at },
                };
                assert!(link.purge(vec![purge], move || done(BTreeMap::new())));
            }
        }
    }

    fn play(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (name, verb, rest) =
            (words[0], words.get(1).copied().unwrap_or(""), words.get(2..).unwrap_or(&[]));
        let raw = || line.splitn(3, ' ').nth(2).unwrap_or("").replace("\\r", "\r").replace("\\n", "\n");
        let value = |key: &str| rest.iter().find_map(|word| word.strip_prefix(key));
        // In a freeze the order of the lines is that in which the dispatcher finds what they send.
        let ordered = self.frozen.is_some() && matches!(verb, "asks" | "says" | "sends" | "closes");
        if ordered && verb == "closes" {
            let _ = self.party(name).stream().get_ref().shutdown(Shutdown::Write);
            self.party(name).delivered();
        }
        match (name, verb) {
            ("host", name) => self.host(name, rest),
            ("start", _) => self.start(&words),
            ("stop", _) => {
                let mut service = self.service.take().unwrap();
                self.link = Some(service.handle());
                assert_eq!(service.phase(), Phase::Serving);
                let (reloads, told) = channel();
                self.reloads = Some(reloads);
                *self.held.0.lock().unwrap() = words.contains(&"held");
                let held = self.held.clone();
                self.stopping = Some(std::thread::spawn(move || {
                    service.stop_with(|service| loop {
                        told.try_iter().for_each(|told| service.reload(&told));
                        let (held, released) = &*held;
                        let held = held.lock().unwrap();
                        let (held, _) = released.wait_timeout(held, Duration::from_millis(1)).unwrap();
                        if !*held {
                            return;
                        }
                    });
                    service
                }));
            }
            ("release", _) => {
                assert_eq!(self.link.as_ref().expect("stopping").phase(), Phase::Draining);
                *self.held.0.lock().unwrap() = false;
                self.held.1.notify_all();
            }
            ("over", _) => {
                let service = self.stopping.take().unwrap().join().unwrap();
                assert_eq!(service.phase(), Phase::Stopped);
                self.service = Some(service);
            }
            ("crowd", count) => {
                let address = self.address.expect("started");
                let crowd = (0..count.parse().unwrap()).map(|_| TcpStream::connect(address).unwrap());
                self.crowd = crowd.collect();
            }
            ("burst", count) => {
                let address = self.address.expect("started");
                for n in 0..count.parse::<u64>().unwrap() {
                    let ask =
                        format!("GET /invoke/pages/{n:x} HTTP/1.1\r\nX-Call-Id: {n:016x}\r\nX-Group: 1\r\n");
                    let mut client = TcpStream::connect(address).unwrap();
                    client.write_all(format!("{ask}X-Patience-Ms: 4000\r\n\r\n").as_bytes()).unwrap();
                }
            }
            ("freeze", _) => self.freeze(),
            ("thaw", _) => self.frozen = None,
            ("until", what) => self.until(what, rest.first().map_or(0, |count| count.parse().unwrap())),
            ("overdue", count) => {
                let (done, wait) = channel();
                let link = self.link.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
                assert!(link.request_status(move |survey| done.send(survey.overdue).unwrap()));
                assert_eq!(wait.recv_timeout(PATIENCE).unwrap().to_string(), count);
            }
            ("post", what) => {
                if what == "purge" {
                    self.purged = Instant::now();
                }
                let (heeded, what) = (self.heeded.0.clone(), what.to_string());
                self.put(&line["post ".len()..], Box::new(move |_| heeded.send(what).unwrap()));
            }
            ("heeded", _) => {
                let said = words[1..].iter().map(|_| self.heeded.1.recv_timeout(PATIENCE).unwrap());
                assert_eq!(said.collect::<Vec<_>>(), words[1..], "{line}");
            }
            ("mark" | "fleet" | "purge", _) => {
                if name == "purge" {
                    self.purged = Instant::now();
                }
                let (done, wait) = channel();
                self.put(line, Box::new(move |refused| done.send(refused).unwrap()));
                let refused = wait.recv_timeout(PATIENCE).unwrap();
                let refused: Vec<_> = refused
                    .iter()
                    .map(|(name, why)| (name.clone(), rejection_word(*why).to_string()))
                    .collect();
                assert_eq!(refused, pairs(line.split_once('!').map_or("", |(_, kept)| kept)), "{line}");
            }
            ("purges", count) => {
                let link = self.link.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
                let ago = words.iter().find_map(|word| word.strip_prefix("ago=")).unwrap_or("0");
                self.purged = Instant::now();
                let purged_at = link.timestamp_before_now(Duration::from_millis(ago.parse().unwrap()));
                for n in 0..count.parse::<u64>().unwrap() {
                    let purge = Purge { object: Some(ObjectId(n)), group: None, purged_at };
                    link.purge(vec![purge], || {});
                }
            }
            // Time itself is what the line is about: the dispatcher's clock is the system's.
            ("wait", ms) => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ("reload", board) => {
                let told = self.told(board, &[]);
                match &mut self.service {
                    Some(service) => service.reload(&told),
                    None => self.reloads.as_ref().expect("stopping").send(told).unwrap(),
                }
            }
            ("nodelay", least) => {
                let set = NO_DELAY.load(Ordering::Relaxed);
                assert!(set >= least.parse().unwrap(), "{set}");
            }
            ("board" | "board2", "accepts") => {
                let stream = self.party(name).accept(PATIENCE);
                self.party(name).connect(stream);
            }
            ("board" | "board2", "down") => {
                let board = self.party(name);
                board.address = board.listener.take().map(|listener| listener.local_addr().unwrap());
                (board.comments, board.stream) = (None, None);
            }
            ("board" | "board2", "up") => {
                let board = self.party(name);
                board.listener = Some(TcpListener::bind(board.address.unwrap()).unwrap());
            }
            ("board" | "board2", "takes") => {
                let by = rest.get(2).map_or(PATIENCE, |ms| Duration::from_millis(ms.parse().unwrap()));
                let end = Instant::now() + by;
                let board = self.party(name);
                // A call that the dispatcher has given up while it connected is still in the queue and asks nothing.
                let head = loop {
                    let stream = board.accept(end.saturating_duration_since(Instant::now()).max(MS));
                    board.connect(stream);
                    if !board.stream().fill_buf().expect("a call in time").is_empty() {
                        break board.answer();
                    }
                    println!("# a call that was given up as it connected");
                };
                assert!(head.contains(&format!("Last-Event-ID: {}\r\n", rest[0])), "{head}");
                board.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                if self.comments {
                    let board = self.party(name);
                    board.comments = Some(Comments::start(board.stream().get_ref().try_clone().unwrap()));
                }
            }
            ("board" | "board2", "says") => {
                let event = self.filled(&raw());
                self.party(name).send(&format!("data: {event}\n\n"));
            }
            (_, "asks") => {
                let headers = rest.iter().filter_map(|word| word.split_once(':'));
                let headers: String = headers.map(|(key, value)| format!("{key}: {value}\r\n")).collect();
                let (id, patience) = (value("id=").unwrap(), value("patience=").unwrap_or("4000"));
                let ask = format!("GET /invoke/{} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Group: 1\r\n", rest[0]);
                self.client(name).send(&format!("{ask}X-Patience-Ms: {patience}\r\n{headers}\r\n"));
            }
            (_, "sends") if self.parties.get(name).is_none_or(|party| party.listener.is_none()) => {
                self.client(name).send(&raw())
            }
            (_, "sends") => self.party(name).send(&raw()),
            (_, "pours") => self.client(name).send(&"x".repeat(rest[0].parse().unwrap())),
            (_, "floods") => {
                let mut stream = self.client(name).stream().get_ref().try_clone().unwrap();
                std::thread::spawn(move || while stream.write_all(&[b'x'; 65536]).is_ok() {});
            }
            (_, "takes") => {
                let stream = self.party(name).accept(PATIENCE);
                self.party(rest.last().unwrap_or(&name)).connect(stream);
            }
            (_, "gets") if rest[0].parse::<u16>().is_ok() => {
                let answer = self.party(name).answer();
                let status = format!("HTTP/1.1 {} ", rest[0]);
                assert!(answer.starts_with(&status), "{answer:?} for {line:?}");
                rest[1..].iter().for_each(|word| assert!(answer.contains(word), "{answer:?} for {line:?}"));
            }
            (_, "trails") => {
                let before = self.got;
                self.play(&format!("{name} gets {}", rest.join(" ")));
                assert!(self.got - before > Duration::from_millis(1), "{:?}", self.got - before);
            }
            (_, "skips") => loop {
                let got = self.party(name).line();
                assert!(!got.is_empty(), "ended before {line:?}");
                if rest.iter().all(|word| got.contains(word)) {
                    let party = self.party(name);
                    party.id = got.split(' ').nth(1).unwrap().to_string();
                    return;
                }
            },
            (_, "gets") => {
                let since = self.purged;
                let party = self.party(name);
                let got = party.line();
                let since = since.elapsed().as_millis() as u64;
                let fits = |word: &&str| match (word.strip_prefix('!'), word.split_once('<')) {
                    (Some(word), _) => !got.contains(word),
                    (_, Some((field, most))) => {
                        let value = got
                            .split([',', ' '])
                            .find_map(|part| part.strip_prefix(field)?.strip_prefix('='));
                        let value = value.and_then(|value| value.parse::<u64>().ok());
                        let most = match most.strip_suffix("+since") {
                            Some(most) => most.parse::<u64>().unwrap() + since,
                            None => most.parse().unwrap(),
                        };
                        value.is_some_and(|value| value < most)
                    }
                    _ => got.contains(*word),
                };
                assert!(rest.iter().all(fits), "{got:?} for {line:?}");
                if got.starts_with("want") {
                    party.id = got.split(' ').nth(1).unwrap().to_string();
                    assert_eq!(party.line(), "\r\n");
                }
                self.got = Instant::now();
            }
            (_, "says") => {
                let party = self.party(name);
                let id = value("id=").map_or(party.id.clone(), str::to_string);
                let body = value("body=").unwrap_or("");
                party.send(&format!("{id} {} {} {}\r\n{body}\r\n", rest[0], rest[1], body.len()));
            }
            (_, "within") => {
                let wait = Some(Duration::from_millis(rest[0].parse().unwrap()));
                self.party(name).stream().get_ref().set_read_timeout(wait).unwrap();
                self.play(&format!("{name} {}", rest[1..].join(" ")));
            }
            (_, "dies") => (self.party(name).listener, self.party(name).stream) = (None, None),
            (_, "closes") => (self.party(name).comments, self.party(name).stream) = (None, None),
            (_, "resets") => {
                let stream = self.party(name).stream.take().unwrap();
                socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
            (_, "shuts") => self.party(name).shut(),
            (_, "opens") => self.party(name).open(),
            (_, "untaken") => self.party(name).untaken(Duration::from_millis(rest[0].parse().unwrap())),
            (_, "quiet") => self.party(name).quiet(Duration::from_millis(rest[0].parse().unwrap())),
            (_, "ended") => self.party(name).ended(),
            _ => panic!("no such line: {line:?}"),
        }
        if ordered && verb != "closes" {
            self.party(name).delivered();
        }
    }
}

/// Guards against a dispatcher whose play is over, but whose actors last as long as the process: it would go on calling
/// its board at a port that is another's by then. From here on it calls one where nobody ever answers.
impl Drop for Play {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        static NOBODY: OnceLock<TcpListener> = OnceLock::new();
        let nobody = NOBODY.get_or_init(|| TcpListener::bind("127.0.0.1:0").unwrap());
        self.frozen = None;
        *self.held.0.lock().unwrap() = false;
        let ended = self.stopping.take().and_then(|stopping| stopping.join().ok());
        if let Some(mut service) = self.service.take().or(ended) {
            let mut told = self.told("nobody", &[]);
            told.discovery_address = nobody.local_addr().unwrap();
            service.reload(&told);
        }
    }
}

/// Plays a scenario to its end.
pub fn play(text: &str) {
    OURS.set(true);
    let mut play = Play {
        parties: BTreeMap::new(),
        instances: Vec::new(),
        service: None,
        address: None,
        stopping: None,
        reloads: None,
        link: None,
        got: Instant::now(),
        purged: Instant::now(),
        comments: false,
        held: Arc::default(),
        frozen: None,
        crowd: Vec::new(),
        heeded: channel(),
    };
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines.for_each(|line| {
        println!("{line}");
        if let Err(what) = catch_unwind(AssertUnwindSafe(|| play.play(line))) {
            play.parties.iter_mut().for_each(|(name, party)| println!("# {name} {}", party.unread()));
            resume_unwind(what);
        }
    });
}
