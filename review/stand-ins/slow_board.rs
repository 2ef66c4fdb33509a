//! A notice board that is slow to answer a poll.

use crate::world::*;
use crate::Verdict;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long the board takes from a poll to the first byte of its answer. From then on a comment comes each second.
const FIRST_BYTE_DELAY: Duration = Duration::from_millis(3000);
/// What the notice board has to tell counts as told so much later at the latest, whether or not it arrived.
const TOLD_WITHIN: Duration = Duration::from_secs(7);
/// `rules.stopSendingWithinUs` of the settings, and what the protocol page adds to each time limit.
const STOP_SENDING_WITHIN: Duration = Duration::from_millis(2000 + 50);
/// How long requests go on after nothing may be sent to the drained host any more.
const WATCHED: Duration = Duration::from_secs(8);

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("trouble: {trouble}"));
    let wants = Wants::default();
    let board = Board::start(&record);
    let service = Duration::from_millis(40);
    let caches: Vec<_> =
        ["c1", "c2", "c3"].map(|name| CacheHost::start(name, service, &wants, &record)).into();
    let parent = CacheHost::start("p1", service, &wants, &record);
    let origin = CacheHost::start("o1", service, &wants, &record);
    let entry = |number: usize, lifecycle: &str| {
        instance(&caches[number].name, caches[number].address, "shop", "box", lifecycle)
    };
    let mut instances: Vec<String> = (0..3).map(|number| entry(number, "active")).collect();
    instances.push(instance("p1", parent.address, "hub", "parent", "active"));
    instances.push(instance("o1", origin.address, "hub", "origin", "active"));
    let site = Site { board: board.address, instances: &instances };
    let mut dispatcher = Dispatcher::start(&site, &record);
    let clients = Clients::start(dispatcher.address, &record);
    thread::sleep(Duration::from_secs(3));

    // The open poll ends, and from here on each poll waits for its answer.
    if trouble {
        board.set_first_byte_delay(FIRST_BYTE_DELAY);
        record.line(&format!("board: takes {FIRST_BYTE_DELAY:?} to answer a poll from now on"));
    }
    board.break_off();
    thread::sleep(Duration::from_secs(1));
    board.put(
        2,
        format!(
            r#"{{"rev":2,"pool":{{"generation":2,"reset":false,"instances":[{}]}}}}"#,
            entry(0, "leaving")
        ),
    );
    let last_allowed = Instant::now() + TOLD_WITHIN + STOP_SENDING_WITHIN;
    thread::sleep(TOLD_WITHIN + STOP_SENDING_WITHIN);
    record.line("rule: from now on nothing may be sent to c1");
    thread::sleep(WATCHED);

    let (answered, failed) = clients.stop();
    let is_running = dispatcher.end(&record);
    let wants = wants.lock().unwrap();
    let late: Vec<_> = wants.iter().filter(|want| want.host == "c1" && want.at > last_allowed).collect();
    for want in &late {
        let ms = want.at.duration_since(last_allowed).as_millis();
        record.line(&format!("rule: broken by {} to {}, {ms} ms too late", want.id, want.host));
    }
    let summary = format!(
        "{} requests sent to the drained host, of {} in all; {answered} requests answered with 200, {failed} otherwise; dispatcher running: {is_running}",
        late.len(),
        wants.len()
    );
    record.line(&format!("result: {summary}"));
    println!("{summary}");
    // Neither is a matter of the rule on drains.
    if !is_running || answered < 100 {
        unable("the dispatcher had ended, or too few requests were answered");
    }
    if !late.is_empty() {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// A few clients that ask one request at a time, each on one connection.
struct Clients {
    stops: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(to: SocketAddr, record: &Record) -> Clients {
        let (stops, answered, failed) = (Arc::default(), Arc::default(), Arc::default());
        let requests = Arc::new(Requests::new());
        let threads = (0..4)
            .map(|client| {
                let (stops, answered, failed): (Arc<AtomicBool>, Arc<AtomicUsize>, Arc<AtomicUsize>) =
                    (Arc::clone(&stops), Arc::clone(&answered), Arc::clone(&failed));
                let (requests, record) = (requests.clone(), record.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(TcpStream::connect(to).unwrap());
                    for number in 0.. {
                        if stops.load(Ordering::SeqCst) {
                            return;
                        }
                        let object = format!("{:016x}", (number * 4 + client) % 100);
                        let request = requests.next(&object, Duration::from_secs(3), 388.0);
                        record.line(&format!("client {client}: sent {} for {object}", request.id));
                        stream.get_mut().write_all(request.text.as_bytes()).unwrap();
                        let answer = read_answer(&mut stream).ok().flatten();
                        let status = answer.as_ref().map_or(0, |answer| answer.status);
                        record
                            .line(&format!("client {client}: {} for {object} answered {status}", request.id));
                        if status == 200 { &answered } else { &failed }.fetch_add(1, Ordering::SeqCst);
                        if answer.is_none_or(|answer| answer.closes) {
                            stream = BufReader::new(TcpStream::connect(to).unwrap());
                        }
                        thread::sleep(Duration::from_millis(60));
                    }
                })
            })
            .collect();
        Clients { stops, answered, failed, threads }
    }

    fn stop(self) -> (usize, usize) {
        self.stops.store(true, Ordering::SeqCst);
        for client in self.threads {
            client.join().unwrap();
        }
        (self.answered.load(Ordering::SeqCst), self.failed.load(Ordering::SeqCst))
    }
}
