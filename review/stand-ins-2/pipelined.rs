//! Clients send many commands at once; each has to get its final answer.

use crate::common::*;
use std::sync::Arc;
use std::time::Duration;

const OBJECT_BYTES: usize = 2_000;
const PART: u32 = 3;

pub fn run(record: &Arc<Record>) -> bool {
    let commands: usize = std::env::var("COMMANDS").ok().and_then(|count| count.parse().ok()).unwrap_or(100);
    let board = Board::start();
    let handler = |name: &'static str| {
        let record = record.clone();
        move |want: &Want| {
            record.line(format!("read by {name}: {}", want.line));
            (5 * MS, data(want, OBJECT_BYTES))
        }
    };
    let hosts =
        [Host::start("c1", Idle::Close, handler("c1")), Host::start("c2", Idle::Close, handler("c2"))];
    let (parent, origin) =
        (Host::start("p1", Idle::Close, handler("p1")), Host::start("o1", Idle::Close, handler("o1")));
    let entries = [
        hosts[0].entry("box", "shop", "active", 8.0, 0),
        hosts[1].entry("box", "shop", "active", 8.0, 0),
        parent.entry("parent", "hub", "active", 16.0, 0),
        origin.entry("origin", "hub", "active", 4.0, 0),
    ];
    let mut setup = Setup::new(board.address);
    setup.revision = 1;
    setup.notices = vec![pool_event(1, true, &entries)];
    let mut dispatcher = Dispatcher::start("n0", free_address(), &setup);
    dispatcher.await_ready();

    // Without the disruption, the same commands go one at a time on one connection.
    let ids: Vec<String> = (0..commands).map(|_| call_id()).collect();
    let more = "X-Heap-Kb: 412.5\r\nIf-None-Match: \"4be0c1927d55a6f3\"\r\n";
    let object_of = |number: usize| format!("{:016x}", 0x7f3a_9c21_e0b4_0000_u64 + number as u64);
    let bytes_of = |number: usize| request("pages", &object_of(number), PART, &ids[number], 5000, more);
    let (mut answered, mut wrong) = (0, 0);
    let mut client =
        Client::connect(dispatcher.address).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut end = None;
    if trouble() {
        let all: Vec<u8> = (0..commands).flat_map(bytes_of).collect();
        record.say(format!("{commands} commands, {} bytes, in one write on one connection", all.len()));
        if !client.send(&all) {
            cannot_run("the commands were not taken");
        }
        record.line("all bytes are written");
        ids.iter().enumerate().for_each(|(number, id)| record.line(format!("{number} {id}: sent")));
    }
    for (number, id) in ids.iter().enumerate() {
        if !trouble() && !client.send(&bytes_of(number)) {
            cannot_run("a command was not taken");
        }
        match client.receive(Duration::from_millis(5500)) {
            Ok(response) => {
                answered += 1;
                let object = object_of(number);
                if response.status == 200 && response.body != body_of(&object, PART, OBJECT_BYTES) {
                    record.say(format!("{number} {id}: wrong bytes"));
                    wrong += 1;
                }
                record.line(format!(
                    "{number} {id}: {}{}",
                    response.status,
                    if response.closes() { ", closes" } else { "" }
                ));
            }
            Err(reason) => {
                end = Some(reason);
                record.line(format!("{number} {id}: no answer, {reason:?}"));
                break;
            }
        }
    }
    let ran: u64 = hosts.iter().map(|host| host.wants.load(std::sync::atomic::Ordering::Relaxed)).sum();
    record.say(format!(
        "{answered} of {commands} commands were answered, {} were not ({end:?}); cache hosts ran {ran}",
        commands - answered
    ));
    answered == commands && wrong == 0
}
