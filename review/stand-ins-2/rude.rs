//! Bad clients send hundreds of requests at once; the dispatcher has to stay within its memory limit.

use crate::common::*;
use crate::host_process::{var, SECOND};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// 31 ms at `flow_bytes_per_s`.
const OBJECT_BYTES: usize = 9_700;
const REQUESTS_AT_ONCE: usize = 200;

pub fn run(record: &Arc<Record>) -> bool {
    let memory_mb = var("MEMORY", 32);
    let bad_clients = if trouble() { var("BAD", 400) } else { 0 };
    let board = Board::start();
    let handler = |want: &Want| (31 * MS, data(want, OBJECT_BYTES));
    let hosts: Vec<Host> =
        (0..12).map(|number| Host::start(&format!("c{number}"), Idle::Close, handler)).collect();
    let (parent, origin) = (Host::start("p1", Idle::Close, handler), Host::start("o1", Idle::Close, handler));
    let mut entries: Vec<String> =
        hosts.iter().map(|host| host.entry("box", "shop", "active", 40.0, 0)).collect();
    entries.push(parent.entry("parent", "hub", "active", 160.0, 0));
    entries.push(origin.entry("origin", "hub", "active", 40.0, 0));
    let mut setup = Setup::new(board.address);
    setup.memory_mb = memory_mb as u32;
    setup.revision = 1;
    setup.notices = vec![pool_event(1, true, &entries)];
    let mut dispatcher = Dispatcher::start("n0", free_address(), &setup);
    dispatcher.await_ready();
    record.say(format!(
        "{bad_clients} bad clients, {REQUESTS_AT_ONCE} requests at once from each; limit {memory_mb} MB; ready with {} kB",
        dispatcher.memory_kb("VmRSS")
    ));
    let ended = Arc::new(AtomicBool::new(false));
    let usual: Arc<[AtomicUsize; 4]> = Arc::default();
    for number in 0..20_u64 {
        let (record, address, ended, usual) =
            (record.clone(), dispatcher.address, ended.clone(), usual.clone());
        spawn(move || {
            std::thread::sleep(Duration::from_millis(50 * number));
            while !ended.load(Ordering::Relaxed) {
                let sent = Instant::now();
                let (id, object) = (call_id(), call_id());
                let Ok(mut client) = Client::connect(address) else { return };
                let more = "X-Heap-Kb: 303.5\r\nConnection: close\r\n";
                client.send(&request("pages", &object, 0, &id, 5000, more));
                let index = match client.receive(Duration::from_millis(5550)) {
                    Ok(response) => {
                        [200, 503].iter().position(|status| *status == response.status).unwrap_or(2)
                    }
                    Err(_) => 3,
                };
                usual[index].fetch_add(1, Ordering::Relaxed);
                record
                    .line(format!("{id} {object}: {}", ["200", "503", "another answer", "no answer"][index]));
                std::thread::sleep(SECOND.saturating_sub(sent.elapsed()));
            }
        });
    }
    let answered = Arc::new(AtomicU64::new(0));
    for _ in 0..bad_clients {
        let (record, address, ended, answered) =
            (record.clone(), dispatcher.address, ended.clone(), answered.clone());
        spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let Ok(mut client) = Client::connect(address) else { continue };
                let all: Vec<u8> = (0..REQUESTS_AT_ONCE)
                    .flat_map(|_| request("pages", &call_id(), 0, &call_id(), 5000, "X-Heap-Kb: 303.5\r\n"))
                    .collect();
                client.send(&all);
                let mut count = 0;
                while client.receive(Duration::from_millis(5550)).is_ok() {
                    count += 1;
                }
                answered.fetch_add(count, Ordering::Relaxed);
                record.line(format!("a bad client: {REQUESTS_AT_ONCE} sent at once, {count} answered"));
            }
        });
    }
    let started = Instant::now();
    let mut next_line = Duration::ZERO;
    let mut peak = 0;
    while started.elapsed() < SECOND * var("SECONDS", 20) as u32 {
        std::thread::sleep(5 * MS);
        let was_within = peak <= 1024 * memory_mb;
        peak = peak.max(dispatcher.memory_kb("VmRSS"));
        let is_first_over = was_within && peak > 1024 * memory_mb;
        if is_first_over {
            record.say("over the limit: the platform would have killed the dispatcher here");
        }
        if started.elapsed() >= next_line || is_first_over {
            next_line = started.elapsed() + 5 * SECOND;
            record.say(format!(
                "after {:4.1} s: resident {} kB (not of files: {} kB), {} descriptors; usual clients' answers 200, 503, \
                 other, none: {usual:?}; answers to bad clients: {}",
                started.elapsed().as_secs_f64(),
                dispatcher.memory_kb("VmRSS"),
                dispatcher.memory_kb("RssAnon"),
                dispatcher.descriptors(),
                answered.load(Ordering::Relaxed),
            ));
        }
    }
    ended.store(true, Ordering::Relaxed);
    let wants: u64 = hosts.iter().map(|host| host.wants.load(Ordering::Relaxed)).sum();
    record.say(format!("cache hosts read {wants} requests"));
    if let Some(status) = dispatcher.ended() {
        record.say(format!("the dispatcher has ended by itself: {status}"));
        return false;
    }
    record.say(format!("peak {peak} kB, limit {} kB", 1024 * memory_mb));
    peak <= 1024 * memory_mb
}
