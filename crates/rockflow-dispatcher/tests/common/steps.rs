//! The lines of a play, and what each does.

use super::party::Comments;
use super::play::{pairs, rejection_name, Play};
use super::sockets::{gap_between, NO_DELAY};
use super::worker::WorkerGate;
use super::{MS, PATIENCE};
use rockflow::ObjectId;
use rockflow_dispatcher::{Phase, Purge};
use std::io::{BufRead, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// A line, and its words.
#[derive(Clone, Copy)]
struct Step<'a> {
    line: &'a str,
    words: &'a [&'a str],
    name: &'a str,
    verb: &'a str,
    rest: &'a [&'a str],
}

impl<'a> Step<'a> {
    fn new(line: &'a str, words: &'a [&'a str]) -> Self {
        let (name, verb) = (words[0], words.get(1).copied().unwrap_or(""));
        Step { line, words, name, verb, rest: words.get(2..).unwrap_or(&[]) }
    }

    /// All behind the verb, with line ends as bytes.
    fn raw(&self) -> String {
        self.line.splitn(3, ' ').nth(2).unwrap_or("").replace("\\r", "\r").replace("\\n", "\n")
    }
}

impl Play {
    /// Plays one line.
    pub(super) fn play(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let step = Step::new(line, &words);
        let (name, verb) = (step.name, step.verb);
        // In a freeze the order of the lines is that in which the dispatcher finds what they send.
        let ordered = self.frozen.is_some() && matches!(verb, "asks" | "says" | "sends" | "closes");
        if ordered && verb == "closes" {
            let _ = self.party(name).stream().get_ref().shutdown(Shutdown::Write);
            self.party(name).await_delivery();
        }
        let is_known = self.play_dispatcher(&step)
            || self.play_control(&step)
            || self.play_discovery(&step)
            || self.play_client(&step)
            || self.play_host(&step)
            || self.play_connection(&step);
        assert!(is_known, "no such line: {line:?}");
        if ordered && verb != "closes" {
            self.party(name).await_delivery();
        }
    }

    /// Starts, stops and reloads the dispatcher. Returns false for another line.
    fn play_dispatcher(&mut self, step: &Step) -> bool {
        let Step { words, rest, name, verb, .. } = *step;
        match (name, verb) {
            ("host", name) => self.host(name, rest),
            ("start", _) => self.start(words),
            ("stop", _) => {
                let mut service = self.service.take().unwrap();
                self.handle = Some(service.handle());
                assert_eq!(service.phase(), Phase::Serving);
                let (reloads, config) = channel();
                self.reloads = Some(reloads);
                *self.held.0.lock().unwrap() = words.contains(&"held");
                let held = self.held.clone();
                let (progress, has_begun) = channel();
                self.stopping = Some(std::thread::spawn(move || {
                    service.stop_with(|service| loop {
                        let _ = progress.send(());
                        config.try_iter().for_each(|config| service.reload(&config));
                        let (held, released) = &*held;
                        let held = held.lock().unwrap();
                        let (held, _) = released.wait_timeout(held, Duration::from_millis(1)).unwrap();
                        if !*held {
                            return;
                        }
                    });
                    service
                }));
                // The decisions have been told of the shutdown: what is sent from here on comes after it.
                has_begun.recv().expect("the shutdown begins");
            }
            ("release", _) => {
                assert_eq!(self.handle.as_ref().expect("stopping").phase(), Phase::Draining);
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
            ("freeze", _) => self.frozen = Some(WorkerGate::close()),
            ("thaw", _) => self.frozen = None,
            ("until", what) => self.until(what, rest.first().map_or(0, |count| count.parse().unwrap())),
            // Time itself is what the line is about: the dispatcher's clock is the system's.
            ("wait", ms) => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ("reload", board) => {
                let config = self.config(board, &[]);
                match &mut self.service {
                    Some(service) => service.reload(&config),
                    None => self.reloads.as_ref().expect("stopping").send(config).unwrap(),
                }
            }
            ("nodelay", least) => {
                let set = NO_DELAY.load(Ordering::Relaxed);
                assert!(set >= least.parse().unwrap(), "{set}");
            }
            _ => return false,
        }
        true
    }

    /// Uses the handle of the dispatcher. Returns false for another line.
    fn play_control(&mut self, step: &Step) -> bool {
        let Step { line, words, name, verb, .. } = *step;
        match (name, verb) {
            ("overdue", count) => {
                let (done, wait) = channel();
                let handle = self.handle.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
                assert!(handle.request_status(move |survey| done.send(survey.overdue).unwrap()));
                assert_eq!(wait.recv_timeout(PATIENCE).unwrap().to_string(), count);
            }
            ("post", what) => {
                if what == "purge" {
                    self.purged = Instant::now();
                }
                let (applied, what) = (self.applied.0.clone(), what.to_string());
                self.put(&line["post ".len()..], Box::new(move |_| applied.send(what).unwrap()));
            }
            ("heeded", _) => {
                let said = words[1..].iter().map(|_| self.applied.1.recv_timeout(PATIENCE).unwrap());
                assert_eq!(said.collect::<Vec<_>>(), words[1..], "{line}");
            }
            ("mark" | "fleet" | "purge", _) => {
                if name == "purge" {
                    self.purged = Instant::now();
                }
                let (done, wait) = channel();
                self.put(line, Box::new(move |rejected| done.send(rejected).unwrap()));
                let rejected = wait.recv_timeout(PATIENCE).unwrap();
                let rejected: Vec<_> = rejected
                    .iter()
                    .map(|(name, why)| (name.clone(), rejection_name(*why).to_string()))
                    .collect();
                assert_eq!(rejected, pairs(line.split_once('!').map_or("", |(_, kept)| kept)), "{line}");
            }
            ("purges", count) => {
                let handle = self.handle.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
                let ago = words.iter().find_map(|word| word.strip_prefix("ago=")).unwrap_or("0");
                self.purged = Instant::now();
                let purged_at = handle.timestamp_before_now(Duration::from_millis(ago.parse().unwrap()));
                for n in 0..count.parse::<u64>().unwrap() {
                    let purge = Purge { object: Some(ObjectId(n)), group: None, purged_at };
                    handle.purge(vec![purge], || {});
                }
            }
            _ => return false,
        }
        true
    }

    /// Plays a discovery service. Returns false for another line.
    fn play_discovery(&mut self, step: &Step) -> bool {
        let Step { rest, name, verb, .. } = *step;
        let raw = || step.raw();
        match (name, verb) {
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
                // A connection that the dispatcher has given up while it connected is still in the queue and sends nothing.
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
            _ => return false,
        }
        true
    }

    /// Plays a client. Returns false for another line.
    fn play_client(&mut self, step: &Step) -> bool {
        let Step { line, rest, name, verb, .. } = *step;
        let value = |key: &str| rest.iter().find_map(|word| word.strip_prefix(key));
        let raw = || step.raw();
        match (name, verb) {
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
            (_, "gets") if rest[0].parse::<u16>().is_ok() => {
                let answer = self.party(name).answer();
                let status = format!("HTTP/1.1 {} ", rest[0]);
                assert!(answer.starts_with(&status), "{answer:?} for {line:?}");
                rest[1..].iter().for_each(|word| assert!(answer.contains(word), "{answer:?} for {line:?}"));
            }
            _ => return false,
        }
        true
    }

    /// Plays a host. Returns false for another line.
    fn play_host(&mut self, step: &Step) -> bool {
        let Step { line, rest, name, verb, .. } = *step;
        let value = |key: &str| rest.iter().find_map(|word| word.strip_prefix(key));
        match (name, verb) {
            (_, "takes") => {
                let stream = self.party(name).accept(PATIENCE);
                self.party(rest.last().unwrap_or(&name)).connect(stream);
            }
            (_, "trails") => {
                let before = self.got.clone();
                self.play(&format!("{name} gets {}", rest.join(" ")));
                let host = self.party(name).listener.as_ref().expect("a listener").local_addr().unwrap();
                let gap = gap_between(host, &before, &self.got);
                assert!(gap.is_some_and(|gap| gap > Duration::from_millis(1)), "{gap:?}");
            }
            (_, "skips") => loop {
                let got = self.party(name).line();
                assert!(!got.is_empty(), "ended before {line:?}");
                if rest.iter().all(|word| got.contains(word)) {
                    let party = self.party(name);
                    party.id = got.split(' ').nth(1).unwrap().to_string();
                    return true;
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
                self.got = got;
            }
            (_, "says") => {
                let party = self.party(name);
                let id = value("id=").map_or(party.id.clone(), str::to_string);
                let body = value("body=").unwrap_or("");
                party.send(&format!("{id} {} {} {}\r\n{body}\r\n", rest[0], rest[1], body.len()));
            }
            _ => return false,
        }
        true
    }

    /// Does what any party can. Returns false for another line.
    fn play_connection(&mut self, step: &Step) -> bool {
        let Step { rest, name, verb, .. } = *step;
        match (name, verb) {
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
            (_, "shuts") => self.party(name).fill_queue(),
            (_, "opens") => self.party(name).open(),
            (_, "untaken") => {
                self.party(name).expect_no_connection(Duration::from_millis(rest[0].parse().unwrap()))
            }
            (_, "quiet") => self.party(name).expect_silence(Duration::from_millis(rest[0].parse().unwrap())),
            (_, "ended") => self.party(name).expect_end(),
            _ => return false,
        }
        true
    }
}
