//! A fleet at the upper end of the sizes that the pages name; the dispatcher has to stay within its memory limit.

use crate::common::*;
use crate::host_process::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OBJECT_BYTES: usize = 10_000;
const CLIENTS: u64 = 60;

pub fn run(record: &Arc<Record>) -> bool {
    let caches = if trouble() { var("CACHES", 3200) } else { 200 } as usize;
    let (seconds, rate, memory_mb) = (var("SECONDS", 40), var("RATE", 170), var("MEMORY", 32));
    let board = Board::start();
    let fleet = Fleet::start(caches + 2, OBJECT_BYTES);
    let mut entries = vec![
        entry("o1", &fleet.addresses[0], "origin", "hub", "active", 40, 0),
        entry("p1", &fleet.addresses[1], "parent", "hub", "active", 160, 0),
    ];
    for (number, address) in fleet.addresses[2..].iter().enumerate() {
        entries.push(entry(&format!("s-{number:08x}"), address, "box", "shop", "active", 8, 0));
    }
    let mut setup = Setup::new(board.address);
    setup.memory_mb = memory_mb as u32;
    setup.sockets = var("SOCKETS", 256) as u32;
    // The capacity of all hosts stays the same for each dispatcher; one of them is played.
    setup.dispatchers = (caches / 200).max(1) as u32;
    setup.seats = format!("0, {}", setup.dispatchers);
    setup.revision = 1;
    setup.notices = vec![pool_event(1, true, &entries)];
    let mut dispatcher = Dispatcher::start("n0", free_address(), &setup);
    dispatcher.await_ready();
    record.say(format!(
        "{caches} cache hosts, {rate} requests a second, limit {memory_mb} MB; ready with {} kB",
        dispatcher.memory_kb("VmRSS")
    ));
    let statuses: Arc<[AtomicUsize; 4]> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    for number in 0..CLIENTS {
        let (address, statuses, ended) = (dispatcher.address, statuses.clone(), ended.clone());
        let record = record.clone();
        spawn(move || {
            let pause = Duration::from_micros(1_000_000 * CLIENTS / rate);
            std::thread::sleep(pause.mul_f64(number as f64 / CLIENTS as f64));
            let mut client: Option<Client> = None;
            for round in 0.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let started = Instant::now();
                let object = format!("{:016x}", 1_000_000 * number + round);
                if client.is_none() {
                    client = Client::connect(address).ok();
                }
                let Some(mut connection) = client.take() else { return };
                let id = call_id();
                connection.send(&request("pages", &object, 0, &id, 3000, "X-Heap-Kb: 312.5\r\n"));
                let index = match connection.receive(Duration::from_millis(3550)) {
                    Ok(response) => {
                        if !response.closes() {
                            client = Some(connection);
                        }
                        [200, 503].iter().position(|status| *status == response.status).unwrap_or(2)
                    }
                    Err(_) => 3,
                };
                statuses[index].fetch_add(1, Ordering::Relaxed);
                record
                    .line(format!("{id} {object}: {}", ["200", "503", "another answer", "no answer"][index]));
                std::thread::sleep(pause.saturating_sub(started.elapsed()));
            }
        });
    }
    let started = Instant::now();
    let mut next_line = Duration::ZERO;
    let mut peak = 0;
    while started.elapsed() < SECOND * seconds as u32 {
        std::thread::sleep(10 * MS);
        let was_within = peak <= 1024 * memory_mb;
        peak = peak.max(dispatcher.memory_kb("VmRSS"));
        let is_first_over = was_within && peak > 1024 * memory_mb;
        if is_first_over {
            record.say("over the limit: the platform would have killed the dispatcher here");
        }
        if started.elapsed() >= next_line || is_first_over {
            next_line = started.elapsed() + 5 * SECOND;
            record.say(format!(
                "after {:4.1} s: resident {} kB (not of files: {} kB), {} descriptors; \
                 answers 200, 503, other, none: {statuses:?}",
                started.elapsed().as_secs_f64(),
                dispatcher.memory_kb("VmRSS"),
                dispatcher.memory_kb("RssAnon"),
                dispatcher.descriptors(),
            ));
        }
    }
    ended.store(true, Ordering::Relaxed);
    record_received(record, &fleet.received.lock().unwrap(), |host| format!("host {host}"));
    if let Some(status) = dispatcher.ended() {
        record.say(format!("the dispatcher has ended by itself: {status}"));
        return false;
    }
    record.say(format!("peak {peak} kB, limit {} kB", 1024 * memory_mb));
    peak <= 1024 * memory_mb
}
