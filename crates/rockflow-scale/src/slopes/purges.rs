//! Purges: their cost on the wire and in routing decisions.

use super::measure::{bytes_of, nanoseconds};
use super::{Bench, Listed};
use rockflow::Dispatcher;
use rockflow::{Event, ObjectId};
use rockflow_protocol::discovery::{WatchEvent, WatchStream};
use std::time::Duration;

/// Series about purges.
pub const SERIES: &[Listed] = &[
    ("purge-worded", "a purge as the board words it, alone in a packet or several in one", worded),
    ("purges-in-force", "a purge told to the decisions, by the purges that are in force", in_force),
];

/// Bytes of the IP and TCP heads of a packet, with the time stamps that are usual.
pub const HEADS: f64 = 52.0;
const TOGETHER: [usize; 6] = [1, 2, 4, 8, 12, 16];
const IN_FORCE: [usize; 7] = [50, 100, 200, 430, 900, 1800, 4300];
const COPIES: usize = 16;

/// A purge as an event, of a number with eight places.
pub fn event(n: u64) -> String {
    format!(
        "id: {n}\ndata: {{\"rev\":{n},\"flush\":{{\"asset\":\"{:016x}\",\"ms\":1764576000123}}}}\n\n",
        n.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    )
}

fn worded(bench: &mut Bench) {
    for together in TOGETHER {
        let x = ("purges in a packet", together as f64);
        let events: String = (0..together as u64).map(|n| event(10_000_000 + n)).collect();
        let each = (events.len() as f64 + HEADS) / together as f64;
        bench.found(x, ("bytes a purge with heads", each, "B"), &[]);
        let took = nanoseconds(|| {
            let mut stream = WatchStream::default();
            let mut notices: Vec<WatchEvent> = Vec::new();
            let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
            let taken = stream.decode(head, &mut notices).expect("a head");
            stream.decode(events.as_bytes(), &mut notices).expect("purges");
            (taken, notices)
        });
        bench.found(x, ("time a packet", took, "ns"), &[]);
    }
}

/// So many purges in force, told over the time that one may take.
fn purged(count: usize, done: Duration) -> (Dispatcher, Duration) {
    let told = rockflow::DeploymentConfig {
        purge_window: done,
        max_tracked: 1_000_000,
        ..rockflow_routing_simulation::deployment_config(0, 1)
    };
    let mut dispatcher = Dispatcher::new(told, 1);
    let mut now = Duration::from_secs(100);
    for n in 0..count {
        now += done / count as u32;
        let object = Some(ObjectId((n as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15)));
        dispatcher.handle(now, Event::Purged { object, group: None, age: Duration::ZERO });
    }
    (dispatcher, now)
}

fn in_force(bench: &mut Bench) {
    let done = Duration::from_millis(8700);
    for count in IN_FORCE {
        let x = ("purges in force", count as f64);
        let (mut dispatcher, mut now) = purged(count, done);
        let mut n = count as u64;
        let took = nanoseconds(|| {
            n += 1;
            now += done / count as u32;
            let object = Some(ObjectId(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)));
            dispatcher.handle(now, Event::Purged { object, group: None, age: Duration::ZERO })
        });
        bench.found(x, ("time a purge", took, "ns"), &[]);
        let whole = bytes_of(COPIES, |_| purged(count, done));
        bench.found(x, ("heap", whole, "B"), &[]);
    }
}
