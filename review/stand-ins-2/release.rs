//! Discovery is down into a release of a large fleet, then tells in one event what has changed. Drains and purges have to
//! be kept after that.

use crate::common::*;
use crate::host_process::*;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OBJECT_BYTES: usize = 2_000;
/// The object that is purged.
const PURGED: &str = "7f3a9c21e0b4d655";
const DRAIN_GRACE_MS: u64 = 2_000;
/// `purgeSlackUs` of the sites, 300 ms.
const PURGE_GRACE_MS: u64 = 300;
/// Each limit is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;

pub fn run(record: &Arc<Record>) -> bool {
    let caches = var("CACHES", 3200) as usize;
    let replaced = caches * 6 / 10;
    let board = Board::start();
    let mut fleet = Fleet::start(2 + caches + replaced, OBJECT_BYTES);
    let zone = "antigua-guatemala-centro";
    // Full names, as a platform gives them to instances; the pages set no longest one.
    let name_of = |number: usize| {
        let serial = number * 7_919 + 1_764_576;
        format!("shop-cache-{serial:010x}-{number:05}.{zone}.shop-caches.edge-platform.region-1.libreria-red-ceiba.internal")
    };
    let cache = |number: usize, state: &str, started_ms: u64| {
        entry(
            &name_of(number),
            &fleet.addresses[2 + number],
            "standard-shop-cache",
            zone,
            state,
            8,
            started_ms,
        )
    };
    let mut entries = vec![
        entry("o1", &fleet.addresses[0], "origin", "hub", "active", 40, 0),
        entry("p1", &fleet.addresses[1], "parent", "hub", "active", 160, 0),
    ];
    entries.extend((0..caches).map(|number| cache(number, "active", 0)));
    let mut setup = Setup::new(board.address);
    setup.zones = format!("\"hub\", \"{zone}\"");
    setup.models = "\"standard-shop-cache\", \"parent\", \"origin\"".to_string();
    // The capacity of all hosts stays the same for each dispatcher; one of them is played.
    setup.dispatchers = (caches / 200).max(1) as u32;
    setup.seats = format!("0, {}", setup.dispatchers);
    setup.revision = 1;
    setup.notices = vec![pool_event(1, true, &entries)];
    let mut dispatcher = Dispatcher::start("n0", free_address(), &setup);
    dispatcher.await_ready();
    record.say(format!(
        "{caches} cache hosts, {replaced} of them are replaced; an entry has {} bytes",
        entries[9].len()
    ));

    // Clients: single objects, a few requests a second.
    let ended = Arc::new(AtomicBool::new(false));
    let statuses: Arc<[AtomicUsize; 4]> = Arc::default();
    for number in 0..6_u64 {
        let (address, statuses, ended) = (dispatcher.address, statuses.clone(), ended.clone());
        let record = record.clone();
        spawn(move || {
            for round in 0_u64.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let started = Instant::now();
                let object = format!("{:016x}", 1_000_000 * (number + 1) + round);
                statuses[ask(address, &object, &record).0].fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(500).saturating_sub(started.elapsed()));
            }
        });
    }
    std::thread::sleep(3 * SECOND);

    let leaving = |number: usize| cache(number, "leaving", 0);
    let new = |number: usize| cache(caches + number, "active", unix_ms());
    let mut revision = 1;
    let told_ms;
    if trouble() {
        board.go_down();
        record.say("discovery is down");
        std::thread::sleep(8 * SECOND);
        let changes: Vec<String> = (0..replaced).map(leaving).chain((0..replaced).map(new)).collect();
        revision += 1;
        let event = pool_event(revision, false, &changes);
        record.say(format!(
            "discovery is back; event {revision} holds {} entries, {} bytes",
            changes.len(),
            event.len()
        ));
        board.tell(revision, event);
        let polls_before = board.polls.lock().unwrap().len();
        board.go_up();
        let asked = Instant::now();
        while board.polls.lock().unwrap().len() == polls_before && asked.elapsed() < 7 * SECOND {
            std::thread::sleep(MS);
        }
        told_ms = unix_ms();
    } else {
        // The same release, told in steps while discovery is up.
        for step in 0..16 {
            let numbers = step * replaced / 16..(step + 1) * replaced / 16;
            let changes: Vec<String> = numbers.clone().map(leaving).chain(numbers.map(new)).collect();
            revision += 1;
            board.tell(revision, pool_event(revision, false, &changes));
            std::thread::sleep(Duration::from_millis(500));
        }
        told_ms = unix_ms();
    }
    record.say("the whole release counts as told");
    std::thread::sleep(4 * SECOND);

    // A purge of an object that hosts hold from before.
    let (before, version) = ask(dispatcher.address, PURGED, record);
    record.line(format!("before the purge: answer {before}, copy {version:?}"));
    let purged_ms = unix_ms();
    fleet.purge(PURGED, purged_ms);
    revision += 1;
    board.tell(
        revision,
        format!("{{\"rev\":{revision},\"flush\":{{\"asset\":\"{PURGED}\",\"ms\":{purged_ms}}}}}"),
    );
    record.say("the object is purged, and the purge told");
    let old_answers = Arc::new(Mutex::new(Vec::new()));
    while unix_ms() < purged_ms + 5_000 {
        let sent_ms = unix_ms();
        let (index, version) = ask(dispatcher.address, PURGED, record);
        let born = version.as_deref().and_then(|version| version.strip_prefix('b')?.parse::<u64>().ok());
        if index == 0
            && sent_ms > purged_ms + PURGE_GRACE_MS + SLACK_MS
            && born.is_some_and(|born| born < purged_ms)
        {
            let line = format!(
                "sent {} ms after the purge was told, answered from a copy {} ms older than it",
                sent_ms - purged_ms,
                purged_ms - born.unwrap_or(0)
            );
            record.line(&line);
            old_answers.lock().unwrap().push(line);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(2 * SECOND);
    ended.store(true, Ordering::Relaxed);

    let received = fleet.received.lock().unwrap().clone();
    record_received(record, &received, |host| match host {
        0 => "o1".to_string(),
        1 => "p1".to_string(),
        _ => name_of(host - 2),
    });
    let bound = told_ms + DRAIN_GRACE_MS + SLACK_MS;
    let to_leaving: Vec<_> =
        received.iter().filter(|want| (2..2 + replaced).contains(&want.host) && want.at_ms > bound).collect();
    for want in &to_leaving {
        let since = want.at_ms - told_ms;
        record.line(format!(
            "{since} ms after the drain was told, to leaving host {}: {}",
            want.host - 2,
            want.line
        ));
    }
    let hosts: HashSet<usize> = to_leaving.iter().map(|want| want.host).collect();
    let after = received.iter().filter(|want| want.at_ms > bound).count();
    record.say(format!("answers 200, 503, other, none: {statuses:?}"));
    record.say(format!(
        "polls of discovery, with the last number known: {:?}",
        summary(&board.polls.lock().unwrap())
    ));
    record.say(format!(
        "later than {DRAIN_GRACE_MS} ms after the drains were told: {after} requests to hosts, {} of them to {} leaving ones",
        to_leaving.len(), hosts.len()
    ));
    let old = old_answers.lock().unwrap().len();
    record.say(format!(
        "later than {PURGE_GRACE_MS} ms after the purge was told: {old} answers from an older copy"
    ));
    to_leaving.is_empty() && old == 0
}

/// How often each number was named.
fn summary(polls: &[u64]) -> std::collections::BTreeMap<u64, usize> {
    let mut counts = std::collections::BTreeMap::new();
    polls.iter().for_each(|last| *counts.entry(*last).or_default() += 1);
    counts
}

/// Sends one request on a connection of its own. Returns 0 for 200, 1 for 503, 2 for another answer and 3 for none, and
/// the tag of the copy.
fn ask(address: std::net::SocketAddr, object: &str, record: &Record) -> (usize, Option<String>) {
    let Ok(mut client) = Client::connect(address) else { return (3, None) };
    let id = call_id();
    client.send(&request("pages", object, 0, &id, 3000, "X-Heap-Kb: 62.5\r\nConnection: close\r\n"));
    let (index, tag) = match client.receive(Duration::from_millis(3550)) {
        Ok(response) => {
            let tag = response.head.lines().find_map(|line| line.strip_prefix("ETag: \"")?.strip_suffix('"'));
            let index = [200, 503].iter().position(|status| *status == response.status).unwrap_or(2);
            (index, tag.map(str::to_string))
        }
        Err(_) => (3, None),
    };
    record.line(format!("{id} {object}: {} {tag:?}", ["200", "503", "another answer", "no answer"][index]));
    (index, tag)
}
