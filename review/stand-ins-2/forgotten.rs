//! After a quiet time in which cache hosts forget idle connections, requests have to be served again.

use crate::common::*;
use crate::host_process::{var, SECOND};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests a second, before and after the quiet time.
const RATE: u64 = 20;

pub fn run(record: &Arc<Record>) -> bool {
    let caches = var("CACHES", 200);
    let idle = if trouble() { Idle::Forget } else { Idle::Close };
    let board = Board::start();
    let handler = |name: String| {
        let record = record.clone();
        move |want: &Want| {
            record.line(format!("read by {name}: {}", want.line));
            (5 * MS, data(want, 2000))
        }
    };
    let start = |name: &str| Host::start(name, idle, handler(name.to_string()));
    let hosts: Vec<Host> = (0..caches).map(|number| start(&format!("s-{number:08x}"))).collect();
    let (parent, origin) = (start("p1"), start("o1"));
    let mut entries: Vec<String> =
        hosts.iter().map(|host| host.entry("box", "shop", "active", 8.0, 0)).collect();
    entries.push(parent.entry("parent", "hub", "active", 160.0, 0));
    entries.push(origin.entry("origin", "hub", "active", 40.0, 0));
    let mut setup = Setup::new(board.address);
    setup.sockets = var("SOCKETS", 256) as u32;
    setup.revision = 1;
    setup.notices = vec![pool_event(1, true, &entries)];
    let mut dispatcher = Dispatcher::start("n0", free_address(), &setup);
    dispatcher.await_ready();
    record.say(format!(
        "{caches} cache hosts, {} descriptors; idle connections are {} after {} s",
        setup.sockets,
        if trouble() { "forgotten" } else { "closed" },
        IDLE_LIMIT.as_secs()
    ));

    let busy = play(record, &dispatcher, 15, RATE);
    record.say(format!("15 s with {RATE} requests a second: {busy:?} (200, 503, other, none)"));
    let quiet = IDLE_LIMIT + 8 * SECOND;
    std::thread::sleep(quiet);
    record.say(format!(
        "{} s without a request; the dispatcher has {} descriptors open",
        quiet.as_secs(),
        dispatcher.descriptors()
    ));
    let wants = |hosts: &[Host]| hosts.iter().map(|host| host.wants.load(Ordering::Relaxed)).sum::<u64>();
    let before = wants(&hosts);
    let mut served = 0;
    let mut asked = 0;
    for part in 1..=3 {
        let answers = play(record, &dispatcher, 10, RATE);
        served += answers[0];
        asked += answers.iter().sum::<usize>();
        record.say(format!("part {part} of 10 s after that: {answers:?} (200, 503, other, none)"));
    }
    record.say(format!(
        "{served} of {asked} requests were served after the quiet time; cache hosts read {} requests",
        wants(&hosts) - before
    ));
    if let Some(status) = dispatcher.ended() {
        record.say(format!("the dispatcher has ended: {status}"));
        return false;
    }
    // All hosts are well and nearly idle, so a policy that sees the true state serves all of the run.
    let (all_served, all_asked) = (served + busy[0], asked + busy.iter().sum::<usize>());
    record.say(format!("over the whole run {all_served} of {all_asked} requests were served"));
    2 * all_served >= all_asked
}

/// Sends new requests on new connections at a steady rate, which doesn't wait for answers. Counts the answers 200, 503, others
/// and none.
fn play(record: &Arc<Record>, dispatcher: &Dispatcher, seconds: u64, rate: u64) -> [usize; 4] {
    let started = Instant::now();
    let mut threads = Vec::new();
    for number in 0..seconds * rate {
        let due = Duration::from_micros(1_000_000 * number / rate);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        let (record, address) = (record.clone(), dispatcher.address);
        threads.push(std::thread::spawn(move || {
            let sent = Instant::now();
            let (id, object) = (call_id(), call_id());
            let mut client = Client::connect(address).unwrap_or_else(|error| cannot_run(&error.to_string()));
            let more = "X-Heap-Kb: 62.5\r\nConnection: close\r\n";
            client.send(&request("pages", &object, 0, &id, 3000, more));
            let index = match client.receive(Duration::from_millis(3550)) {
                Ok(response) => [200, 503].iter().position(|status| *status == response.status).unwrap_or(2),
                Err(_) => 3,
            };
            let answer = ["200", "503", "another answer", "no answer"][index];
            record.line(format!("{id} {object}: {answer} after {} ms", sent.elapsed().as_millis()));
            index
        }));
    }
    let mut counts = [0; 4];
    for thread in threads {
        counts[thread.join().unwrap_or_else(|_| cannot_run("a client failed"))] += 1;
    }
    counts
}
