//! The commands of a scenario script.

use super::peer::Comments;
use super::scenario::{pairs, rejection_name, Scenario};
use super::sockets::{gap_between, NO_DELAY};
use super::worker::WorkerGate;
use super::{MS, TIMEOUT};
use rockflow::ObjectId;
use rockflow_dispatcher::{Phase, Purge};
use std::io::{BufRead, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// A line of a script, split into words.
#[derive(Clone, Copy)]
struct Command<'a> {
    line: &'a str,
    words: &'a [&'a str],
    /// The first word: the name of the command or of a peer.
    name: &'a str,
    /// The second word; empty if there is none.
    verb: &'a str,
    /// The words after the second.
    args: &'a [&'a str],
}

impl<'a> Command<'a> {
    fn new(line: &'a str, words: &'a [&'a str]) -> Self {
        let (name, verb) = (words[0], words.get(1).copied().unwrap_or(""));
        Command { line, words, name, verb, args: words.get(2..).unwrap_or(&[]) }
    }

    /// The text after the verb, with `\r` and `\n` unescaped.
    fn unescaped_text(&self) -> String {
        self.line.splitn(3, ' ').nth(2).unwrap_or("").replace("\\r", "\r").replace("\\n", "\n")
    }
}

impl Scenario {
    /// Runs the command in one line of a script.
    pub(super) fn run_command(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let command = Command::new(line, &words);
        let (name, verb) = (command.name, command.verb);
        // While the worker is paused, data must arrive at the dispatcher in the order of the commands.
        let is_transfer = matches!(verb, "requests" | "responds" | "sends-event" | "sends" | "closes");
        let is_ordered = self.worker_gate.is_some() && is_transfer;
        if is_ordered && verb == "closes" {
            let _ = self.peer(name).stream().get_ref().shutdown(Shutdown::Write);
            self.peer(name).await_delivery();
        }
        let is_known = self.run_dispatcher_command(&command)
            || self.run_handle_command(&command)
            || self.run_discovery_command(&command)
            || self.run_client_command(&command)
            || self.run_host_command(&command)
            || self.run_peer_command(&command);
        assert!(is_known, "unknown command: {line:?}");
        if is_ordered && verb != "closes" {
            self.peer(name).await_delivery();
        }
    }

    /// Runs a command that starts, stops or observes the dispatcher. Returns false for any other command.
    fn run_dispatcher_command(&mut self, command: &Command) -> bool {
        let Command { words, args, name, verb, .. } = *command;
        match (name, verb) {
            ("host", name) => self.add_host(name, args),
            ("start", _) => self.start(words),
            ("shutdown", _) => {
                let mut service = self.service.take().unwrap();
                self.handle = Some(service.handle());
                assert_eq!(service.phase(), Phase::Serving);
                let (reloads, configs) = channel();
                self.reloads = Some(reloads);
                *self.shutdown_paused.0.lock().unwrap() = words.contains(&"paused");
                let shutdown_paused = self.shutdown_paused.clone();
                let (progress, has_begun) = channel();
                self.shutdown = Some(std::thread::spawn(move || {
                    service.stop_with(|service| loop {
                        let _ = progress.send(());
                        configs.try_iter().for_each(|config| service.reload(&config));
                        let (paused, resumed) = &*shutdown_paused;
                        let paused = paused.lock().unwrap();
                        let (paused, _) = resumed.wait_timeout(paused, MS).unwrap();
                        if !*paused {
                            return;
                        }
                    });
                    service
                }));
                // The decisions have been notified of the shutdown before anything that is sent from here on.
                has_begun.recv().expect("the shutdown has not begun");
            }
            ("continue-shutdown", _) => {
                assert_eq!(self.handle.as_ref().expect("no shutdown").phase(), Phase::Draining);
                *self.shutdown_paused.0.lock().unwrap() = false;
                self.shutdown_paused.1.notify_all();
            }
            ("shutdown-completed", _) => {
                let service = self.shutdown.take().unwrap().join().unwrap();
                assert_eq!(service.phase(), Phase::Stopped);
                self.service = Some(service);
            }
            ("idle-clients", count) => {
                let address = self.address.expect("not started");
                let clients = (0..count.parse().unwrap()).map(|_| TcpStream::connect(address).unwrap());
                self.idle_clients = clients.collect();
            }
            ("abandoned-requests", count) => {
                let address = self.address.expect("not started");
                for n in 0..count.parse::<u64>().unwrap() {
                    let head =
                        format!("GET /invoke/pages/{n:x} HTTP/1.1\r\nX-Call-Id: {n:016x}\r\nX-Group: 1\r\n");
                    let mut client = TcpStream::connect(address).unwrap();
                    client.write_all(format!("{head}X-Patience-Ms: 4000\r\n\r\n").as_bytes()).unwrap();
                }
            }
            ("pause-worker", _) => self.worker_gate = Some(WorkerGate::close()),
            ("resume-worker", _) => self.worker_gate = None,
            ("wait-until", condition) => {
                self.wait_until(condition, args.first().map_or(0, |count| count.parse().unwrap()))
            }
            // Really sleeps, because the dispatcher uses the system's clock.
            ("wait", ms) => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ("reload", discovery) => {
                let config = self.config(discovery, &[]);
                match &mut self.service {
                    Some(service) => service.reload(&config),
                    None => self.reloads.as_ref().expect("no shutdown").send(config).unwrap(),
                }
            }
            ("expect-nodelay", min_count) => {
                let count = NO_DELAY.load(Ordering::Relaxed);
                assert!(count >= min_count.parse().unwrap(), "{count}");
            }
            _ => return false,
        }
        true
    }

    /// Runs a command that uses the service handle. Returns false for any other command.
    fn run_handle_command(&mut self, command: &Command) -> bool {
        let Command { line, words, name, verb, .. } = *command;
        match (name, verb) {
            ("expect-overdue", count) => {
                let (done, wait) = channel();
                let handle = self.handle.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
                assert!(handle.request_status(move |status| done.send(status.overdue).unwrap()));
                assert_eq!(wait.recv_timeout(TIMEOUT).unwrap().to_string(), count);
            }
            ("async", change) => {
                if change == "purge" {
                    self.last_purge = Instant::now();
                }
                let (applied, change) = (self.applied.0.clone(), change.to_string());
                self.send_change(&line["async ".len()..], Box::new(move |_| applied.send(change).unwrap()));
            }
            ("expect-applied", _) => {
                let applied = words[1..].iter().map(|_| self.applied.1.recv_timeout(TIMEOUT).unwrap());
                assert_eq!(applied.collect::<Vec<_>>(), words[1..], "{line}");
            }
            ("operator-overrides" | "control-overrides" | "purge", _) => {
                if name == "purge" {
                    self.last_purge = Instant::now();
                }
                let (done, wait) = channel();
                self.send_change(line, Box::new(move |rejected| done.send(rejected).unwrap()));
                let rejected = wait.recv_timeout(TIMEOUT).unwrap();
                let rejected: Vec<_> = rejected
                    .iter()
                    .map(|(name, reason)| (name.clone(), rejection_name(*reason).to_string()))
                    .collect();
                let expected = line.split_once(" rejects ").map_or("", |(_, expected)| expected);
                assert_eq!(rejected, pairs(expected), "{line}");
            }
            ("unawaited-purges", count) => {
                let handle = self.handle.clone().unwrap_or_else(|| self.service.as_ref().unwrap().handle());
                let ago = words.iter().find_map(|word| word.strip_prefix("ago=")).unwrap_or("0");
                self.last_purge = Instant::now();
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

    /// Runs a command of a discovery service. Returns false for any other command.
    fn run_discovery_command(&mut self, command: &Command) -> bool {
        let Command { args, name, verb, .. } = *command;
        let text = || command.unescaped_text();
        match (name, verb) {
            ("discovery" | "discovery2", "accepts-silently") => {
                let stream = self.peer(name).accept(TIMEOUT);
                self.peer(name).set_connection(stream);
            }
            ("discovery" | "discovery2", "down") => {
                let discovery = self.peer(name);
                discovery.last_address =
                    discovery.listener.take().map(|listener| listener.local_addr().unwrap());
                (discovery.comments, discovery.stream) = (None, None);
            }
            ("discovery" | "discovery2", "up") => {
                let discovery = self.peer(name);
                discovery.listener = Some(TcpListener::bind(discovery.last_address.unwrap()).unwrap());
            }
            ("discovery" | "discovery2", "accepts") => {
                let timeout = args.get(2).map_or(TIMEOUT, |ms| Duration::from_millis(ms.parse().unwrap()));
                let deadline = Instant::now() + timeout;
                let discovery = self.peer(name);
                // Skips connections that the dispatcher abandoned while connecting: they are still in the
                // backlog, and nothing was sent on them.
                let head = loop {
                    let stream = discovery.accept(deadline.saturating_duration_since(Instant::now()).max(MS));
                    discovery.set_connection(stream);
                    if !discovery.stream().fill_buf().expect("no request in time").is_empty() {
                        break discovery.read_message();
                    }
                    println!("# skipped an abandoned connection");
                };
                assert!(head.contains(&format!("Last-Event-ID: {}\r\n", args[0])), "{head}");
                discovery.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                if self.comments {
                    let discovery = self.peer(name);
                    discovery.comments =
                        Some(Comments::start(discovery.stream().get_ref().try_clone().unwrap()));
                }
            }
            ("discovery" | "discovery2", "sends-event") => {
                let event = self.fill_placeholders(&text());
                self.peer(name).send(&format!("data: {event}\n\n"));
            }
            _ => return false,
        }
        true
    }

    /// Runs a command of a client. Returns false for any other command.
    fn run_client_command(&mut self, command: &Command) -> bool {
        let Command { line, args, name, verb, .. } = *command;
        let value = |key: &str| args.iter().find_map(|word| word.strip_prefix(key));
        let text = || command.unescaped_text();
        match (name, verb) {
            (_, "requests") => {
                let headers = args.iter().filter_map(|word| word.split_once(':'));
                let headers: String = headers.map(|(key, value)| format!("{key}: {value}\r\n")).collect();
                let (id, patience) = (value("id=").unwrap(), value("patience=").unwrap_or("4000"));
                let head = format!("GET /invoke/{} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Group: 1\r\n", args[0]);
                self.client(name).send(&format!("{head}X-Patience-Ms: {patience}\r\n{headers}\r\n"));
            }
            (_, "sends") if self.peers.get(name).is_none_or(|peer| peer.listener.is_none()) => {
                self.client(name).send(&text())
            }
            (_, "sends") => self.peer(name).send(&text()),
            (_, "sends-filler") => self.client(name).send(&"x".repeat(args[0].parse().unwrap())),
            (_, "sends-endlessly") => {
                let mut stream = self.client(name).stream().get_ref().try_clone().unwrap();
                std::thread::spawn(move || while stream.write_all(&[b'x'; 65536]).is_ok() {});
            }
            (_, "receives") if args[0].parse::<u16>().is_ok() => {
                let response = self.peer(name).read_message();
                let status = format!("HTTP/1.1 {} ", args[0]);
                assert!(response.starts_with(&status), "{response:?} for {line:?}");
                args[1..]
                    .iter()
                    .for_each(|word| assert!(response.contains(word), "{response:?} for {line:?}"));
            }
            _ => return false,
        }
        true
    }

    /// Runs a command of a host. Returns false for any other command.
    fn run_host_command(&mut self, command: &Command) -> bool {
        let Command { line, args, name, verb, .. } = *command;
        let value = |key: &str| args.iter().find_map(|word| word.strip_prefix(key));
        match (name, verb) {
            (_, "accepts") => {
                let stream = self.peer(name).accept(TIMEOUT);
                self.peer(args.last().unwrap_or(&name)).set_connection(stream);
            }
            (_, "receives-after-delay") => {
                let previous = self.last_line.clone();
                self.run_command(&format!("{name} receives {}", args.join(" ")));
                let host = self.peer(name).listener.as_ref().expect("a listener").local_addr().unwrap();
                let gap = gap_between(host, &previous, &self.last_line);
                assert!(gap.is_some_and(|gap| gap > Duration::from_millis(1)), "{gap:?}");
            }
            (_, "skips-to") => loop {
                let received = self.peer(name).read_line();
                assert!(!received.is_empty(), "ended before {line:?}");
                if args.iter().all(|word| received.contains(word)) {
                    let peer = self.peer(name);
                    peer.request_id = received.split(' ').nth(1).unwrap().to_string();
                    return true;
                }
            },
            (_, "receives") => {
                let last_purge = self.last_purge;
                let peer = self.peer(name);
                let received = peer.read_line();
                let since_purge = last_purge.elapsed().as_millis() as u64;
                let matches_word = |word: &&str| match (word.strip_prefix('!'), word.split_once('<')) {
                    (Some(word), _) => !received.contains(word),
                    (_, Some((field, limit))) => {
                        let value = received
                            .split([',', ' '])
                            .find_map(|part| part.strip_prefix(field)?.strip_prefix('='));
                        let value = value.and_then(|value| value.parse::<u64>().ok());
                        let limit = match limit.strip_suffix("+since") {
                            Some(limit) => limit.parse::<u64>().unwrap() + since_purge,
                            None => limit.parse().unwrap(),
                        };
                        value.is_some_and(|value| value < limit)
                    }
                    _ => received.contains(*word),
                };
                assert!(args.iter().all(matches_word), "{received:?} for {line:?}");
                if received.starts_with("want") {
                    peer.request_id = received.split(' ').nth(1).unwrap().to_string();
                    assert_eq!(peer.read_line(), "\r\n");
                }
                self.last_line = received;
            }
            (_, "responds") => {
                let peer = self.peer(name);
                let id = value("id=").map_or(peer.request_id.clone(), str::to_string);
                let body = value("body=").unwrap_or("");
                peer.send(&format!("{id} {} {} {}\r\n{body}\r\n", args[0], args[1], body.len()));
            }
            _ => return false,
        }
        true
    }

    /// Runs a command of any peer. Returns false for any other command.
    fn run_peer_command(&mut self, command: &Command) -> bool {
        let Command { args, name, verb, .. } = *command;
        match (name, verb) {
            (_, "within") => {
                let wait = Some(Duration::from_millis(args[0].parse().unwrap()));
                self.peer(name).stream().get_ref().set_read_timeout(wait).unwrap();
                self.run_command(&format!("{name} {}", args[1..].join(" ")));
            }
            (_, "terminates") => (self.peer(name).listener, self.peer(name).stream) = (None, None),
            (_, "closes") => (self.peer(name).comments, self.peer(name).stream) = (None, None),
            (_, "resets") => {
                let stream = self.peer(name).stream.take().unwrap();
                socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
            (_, "fills-backlog") => self.peer(name).fill_backlog(),
            (_, "empties-backlog") => self.peer(name).empty_backlog(),
            (_, "expects-no-connection") => {
                self.peer(name).expect_no_connection(Duration::from_millis(args[0].parse().unwrap()))
            }
            (_, "expects-silence") => {
                self.peer(name).expect_silence(Duration::from_millis(args[0].parse().unwrap()))
            }
            (_, "expects-close") => self.peer(name).expect_close(),
            _ => return false,
        }
        true
    }
}
