//! Processes with many cache hosts each. A process prints the addresses of its hosts, then a line for each request that
//! one of them reads, and reads purges from its standard input; it ends with that.

use crate::common::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Hosts in one process, few enough for any usual limit on descriptors.
const HOSTS_A_PROCESS: usize = 400;
/// How old the copies are that hosts hold at the start.
const FIRST_COPIES_AGE_MS: u64 = 60_000;
/// Hosts drop purged copies by themselves so long after the purge; the settings allow 6 s.
const OWN_PURGE_MS: u64 = 5_700;

/// The copies of all hosts in the process.
struct Copies {
    first_born_ms: u64,
    /// When the origin gave out the copy of a host and object, where that is not the first one.
    renewed: HashMap<(usize, String), u64>,
    /// When objects were purged.
    purges: HashMap<String, u64>,
}

impl Copies {
    /// The time of birth of the copy that answers, which is renewed if it is too old for the request.
    fn born(&mut self, host: usize, object: &str, oldest_ms: Option<u64>) -> u64 {
        let now = unix_ms();
        let key = (host, object.to_string());
        let born = self.renewed.get(&key).copied().unwrap_or(self.first_born_ms);
        let purged = self.purges.get(object).is_some_and(|at| born < *at && now >= at + OWN_PURGE_MS);
        let too_old = oldest_ms.is_some_and(|oldest| oldest > 0 && now.saturating_sub(born) > oldest);
        if !purged && !too_old {
            return born;
        }
        self.renewed.insert(key, now);
        now
    }
}

/// Body of such a process.
pub fn run(count: usize, object_bytes: usize) -> ! {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string())))
        .collect();
    for listener in &listeners {
        listener.set_nonblocking(true).unwrap();
        println!("{}", listener.local_addr().unwrap());
    }
    let _ = std::io::stdout().flush();
    let first_born_ms = unix_ms() - FIRST_COPIES_AGE_MS;
    let copies = Copies { first_born_ms, renewed: HashMap::new(), purges: HashMap::new() };
    let copies = Arc::new(Mutex::new(copies));
    let purged = copies.clone();
    spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if let Some((object, at)) = line.split_once(' ') {
                purged.lock().unwrap().purges.insert(object.to_string(), at.parse().unwrap_or(0));
            }
        }
        std::process::exit(0);
    });
    loop {
        for (number, listener) in listeners.iter().enumerate() {
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                let copies = copies.clone();
                spawn(move || serve(stream, number, object_bytes, &copies));
            }
        }
        std::thread::sleep(5 * MS);
    }
}

/// Answers each request at once.
fn serve(stream: TcpStream, host: usize, object_bytes: usize, copies: &Mutex<Copies>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_LIMIT));
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(length) if length > 0) {
            return;
        }
        let line = line.trim_end();
        let words: Vec<&str> = line.split(' ').collect();
        let answer = match words[..] {
            ["want", id, fields, _] => {
                let mut end = String::new();
                let _ = reader.read_line(&mut end);
                let want = read_want(line, id, fields);
                let born = copies.lock().unwrap().born(host, &want.object, want.oldest_ms);
                println!("{} {host} {line}", want.read_at_ms);
                let mut answer =
                    format!("{id} data ver=b{born},born={born},note=warm {object_bytes}\r\n").into_bytes();
                answer.extend(body_of(&want.object, want.part, object_bytes));
                answer.extend_from_slice(b"\r\n");
                answer
            }
            ["there" | "busy", tag] => format!("{tag} well - 0\r\n\r\n").into_bytes(),
            _ => continue,
        };
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

/// A request line as a host read it.
#[derive(Clone, Debug)]
pub struct Received {
    pub host: usize,
    pub at_ms: u64,
    pub line: String,
}

/// The host processes of a case, which are killed when this is dropped.
pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    pub received: Arc<Mutex<Vec<Received>>>,
    children: Vec<Child>,
    inputs: Vec<ChildStdin>,
}

impl Fleet {
    pub fn start(count: usize, object_bytes: usize) -> Fleet {
        let program = std::env::current_exe().unwrap();
        let received: Arc<Mutex<Vec<Received>>> = Arc::default();
        let mut fleet = Fleet { addresses: Vec::new(), received, children: Vec::new(), inputs: Vec::new() };
        while fleet.addresses.len() < count {
            let first = fleet.addresses.len();
            let hosts = HOSTS_A_PROCESS.min(count - first);
            let mut child = Command::new(&program)
                .args(["hosts", &hosts.to_string(), &object_bytes.to_string()])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .unwrap_or_else(|error| cannot_run(&error.to_string()));
            list_process(child.id(), true);
            let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
            for _ in 0..hosts {
                let line =
                    lines.next().and_then(Result::ok).unwrap_or_else(|| cannot_run("hosts didn't start"));
                fleet.addresses.push(line.parse().unwrap_or_else(|_| cannot_run("hosts didn't start")));
            }
            fleet.inputs.push(child.stdin.take().unwrap());
            fleet.children.push(child);
            let received = fleet.received.clone();
            spawn(move || {
                for line in lines.map_while(Result::ok) {
                    let mut words = line.splitn(3, ' ');
                    let (Some(at), Some(host), Some(line)) = (words.next(), words.next(), words.next())
                    else {
                        continue;
                    };
                    let host = first + host.parse::<usize>().unwrap_or(0);
                    let at_ms = at.parse().unwrap_or(0);
                    received.lock().unwrap().push(Received { host, at_ms, line: line.to_string() });
                }
            });
        }
        fleet
    }

    /// Tells all hosts of a purge, which they carry out in their own time.
    pub fn purge(&mut self, object: &str, at_ms: u64) {
        for input in &mut self.inputs {
            let _ = writeln!(input, "{object} {at_ms}");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
            list_process(child.id(), false);
        }
    }
}

/// Writes all requests that hosts have read to the record.
pub fn record_received(record: &Record, received: &[Received], name_of: impl Fn(usize) -> String) {
    for want in received {
        record.line(format!("read at {} by {}: {}", want.at_ms, name_of(want.host), want.line));
    }
}

/// An entry of the list.
pub fn entry(
    name: &str,
    address: &SocketAddr,
    kind: &str,
    zone: &str,
    state: &str,
    weight: u32,
    started_ms: u64,
) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{address}\",\"zone\":\"{zone}\",\"machineType\":\"{kind}\",\
         \"cell\":0,\"lifecycle\":\"{state}\",\"weight\":{weight},\"startedAtMs\":{started_ms}}}"
    )
}

pub fn var(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|count| count.parse().ok()).unwrap_or(default)
}

pub const SECOND: Duration = Duration::from_secs(1);
