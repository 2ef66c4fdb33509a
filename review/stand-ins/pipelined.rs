//! Clients that send many commands at once.

use crate::world::*;
use crate::Verdict;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Up to half a second after its time, an answer only earns nothing; later, or never, the request is lost. On sockets
/// each time limit is 50 ms longer.
const LOST_AFTER: Duration = Duration::from_millis(500 + 50);
/// A request that crosses the close of its connection within this time is sent again, and is not lost by that close.
const CROSSING: Duration = Duration::from_millis(50);

/// What is played: so many commands in one write, each with this patience, at hosts that take this service time.
struct Plan {
    commands: usize,
    patience: Duration,
    service: Duration,
    size_kb: f64,
}

/// The commands wait behind each other for longer than their time.
pub fn play_late(folder: &Path, trouble: bool) -> Verdict {
    let plan = Plan {
        commands: 10,
        patience: Duration::from_millis(2000),
        service: Duration::from_millis(430),
        size_kb: 4171.0,
    };
    play(folder, trouble, &plan)
}

/// The commands are more than the dispatcher keeps, and are served quickly.
pub fn play_dropped(folder: &Path, trouble: bool) -> Verdict {
    let plan = Plan {
        commands: 100,
        patience: Duration::from_millis(4000),
        service: Duration::from_millis(10),
        size_kb: 97.0,
    };
    play(folder, trouble, &plan)
}

fn play(folder: &Path, trouble: bool, plan: &Plan) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("trouble: {trouble}"));
    let wants = Wants::default();
    let board = Board::start(&record);
    let caches: Vec<_> =
        ["c1", "c2", "c3"].map(|name| CacheHost::start(name, plan.service, &wants, &record)).into();
    let parent = CacheHost::start("p1", plan.service, &wants, &record);
    let origin = CacheHost::start("o1", plan.service, &wants, &record);
    let mut instances: Vec<String> =
        caches.iter().map(|host| instance(&host.name, host.address, "shop", "box", "active")).collect();
    instances.push(instance("p1", parent.address, "hub", "parent", "active"));
    instances.push(instance("o1", origin.address, "hub", "origin", "active"));
    let site = Site { board: board.address, instances: &instances };
    let mut dispatcher = Dispatcher::start(&site, &record);
    let requests = Requests::new();
    // Fills what is asked for below, one request at a time, so that only hits are played.
    let objects: Vec<String> = (0..plan.commands).map(|number| format!("{number:016x}")).collect();
    let mut lost = 0;
    for chunk in objects.chunks(4) {
        let batch: Vec<Request> =
            chunk.iter().map(|object| requests.next(object, Duration::from_secs(4), plan.size_kb)).collect();
        lost += each_alone(dispatcher.address, batch, Duration::from_secs(4), &record, chunk.len());
    }
    record.line(&format!("client: the objects are filled, {lost} lost so far"));
    thread::sleep(Duration::from_millis(500));
    let batch: Vec<Request> =
        objects.iter().map(|object| requests.next(object, plan.patience, plan.size_kb)).collect();
    lost += if trouble {
        all_at_once(dispatcher.address, batch, plan.patience, &record)
    } else {
        each_alone(dispatcher.address, batch, plan.patience, &record, 4)
    };
    let is_running = dispatcher.end(&record);
    record.line(&format!("result: {lost} requests lost, dispatcher running: {is_running}"));
    println!("{lost} requests lost");
    if !is_running {
        unable("the dispatcher had ended by itself");
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends all requests in one write on one connection, and reads their answers in order. Returns how many are lost.
fn all_at_once(to: std::net::SocketAddr, batch: Vec<Request>, patience: Duration, record: &Record) -> usize {
    let mut stream = TcpStream::connect(to).unwrap_or_else(|error| unable(&error.to_string()));
    let text: String = batch.iter().map(|request| request.text.as_str()).collect();
    stream.write_all(text.as_bytes()).unwrap_or_else(|error| unable(&error.to_string()));
    let sent = Instant::now();
    for request in &batch {
        record.line(&format!(
            "client: sent {} for {} (one of {} at once)",
            request.id,
            request.object,
            batch.len()
        ));
    }
    // The client reads on long after the time of its requests, to tell a late answer from none.
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut has_ended = false;
    batch
        .iter()
        .filter(|request| !has_ended_well(&mut reader, request, sent, patience, record, &mut has_ended))
        .count()
}

/// Sends each request alone on a connection of its own, so many at the same time. Returns how many are lost.
fn each_alone(
    to: std::net::SocketAddr,
    batch: Vec<Request>,
    patience: Duration,
    record: &Record,
    at_once: usize,
) -> usize {
    let (batch, lost) = (Arc::new(Mutex::new(batch)), Arc::new(Mutex::new(0)));
    let clients: Vec<_> = (0..at_once)
        .map(|_| {
            let (batch, lost, record) = (batch.clone(), lost.clone(), record.clone());
            thread::spawn(move || loop {
                let Some(request) = batch.lock().unwrap().pop() else { return };
                let mut stream = TcpStream::connect(to).unwrap();
                stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                stream.write_all(request.text.as_bytes()).unwrap();
                let sent = Instant::now();
                record.line(&format!("client: sent {} for {}", request.id, request.object));
                let mut reader = BufReader::new(stream);
                if !has_ended_well(&mut reader, &request, sent, patience, &record, &mut false) {
                    *lost.lock().unwrap() += 1;
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    let lost = *lost.lock().unwrap();
    lost
}

/// Reads the next answer, which belongs to this request, and judges it by the rule.
fn has_ended_well(
    reader: &mut BufReader<TcpStream>,
    request: &Request,
    sent: Instant,
    patience: Duration,
    record: &Record,
    has_ended: &mut bool,
) -> bool {
    let id = &request.id;
    if *has_ended {
        let ms = sent.elapsed().as_millis();
        record.line(&format!(
            "client: {id} LOST: the connection ended without an answer to it, {ms} ms after it was sent"
        ));
        return sent.elapsed() <= CROSSING;
    }
    match read_answer(reader) {
        Ok(Some(answer)) => {
            let took = sent.elapsed();
            let is_late = took > patience + LOST_AFTER;
            let is_wrong = answer.status == 200 && answer.body != body_of(&request.object).as_bytes();
            let verdict = if is_late {
                "LOST: too late"
            } else if is_wrong {
                "LOST: wrong bytes"
            } else {
                "ok"
            };
            record.line(&format!(
                "client: {id} answered {} after {} ms, its time was {} ms: {verdict}",
                answer.status,
                took.as_millis(),
                patience.as_millis()
            ));
            *has_ended = answer.closes;
            !is_late && !is_wrong
        }
        end => {
            let how = end.err().map_or("closed".to_string(), |error| error.to_string());
            record.line(&format!(
                "client: {id} LOST: no answer, its connection ended ({how}) {} ms after it was sent",
                sent.elapsed().as_millis()
            ));
            *has_ended = true;
            sent.elapsed() <= CROSSING
        }
    }
}
