//! Records of calls that a keeper holds for others.

use super::measure::{bytes_of, nanoseconds};
use super::{Bench, Listed};
use rockflow_cluster::{
    Ballot, Begun, CallId, Content, Keeper, Kind, Life, MemberId, Message, Seat, Step, Subject, Told,
};
use rockflow_transport::frame;
use std::time::Duration;

pub const SERIES: &[Listed] =
    &[("records", "a record written at its keeper, by the records that it holds", records)];

const SIZES: [usize; 6] = [500, 1000, 2000, 4000, 8000, 16_000];
const MEMBERS: usize = 30;
const COPIES: usize = 4;

fn told() -> Told {
    Told {
        members: (0..MEMBERS).map(|n| format!("dispatcher-{n:05}")).collect(),
        keepers: 3,
        keep: Duration::from_secs(60),
        round_trip: Duration::from_millis(4),
        max_kept: 1_000_000,
        max_body: 64 * 1024,
    }
}

/// Bytes of the IP and UDP heads of a datagram.
const HEADS: usize = 28;

fn message(n: u64) -> (Step, Subject, Content) {
    let seat = Seat { member: MemberId(1), life: Life(1_764_576_000_123) };
    let ballot = Ballot::first(seat, n);
    let call = CallId(u128::from(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)).pow(2));
    let subject = Subject { kind: Kind::Irreversible, class: 0, object: n, part: 0, group: 0, size: 0 };
    let content = Content { begun: vec![Begun { ballot, attempt: 0, host: call.0 as u64 }], answer: None };
    (Step { call, ballot, step: 1 }, subject, content)
}

fn write(keeper: &mut Keeper, n: u64) -> Message {
    let keepers = [MemberId(0), MemberId(2), MemberId(3)];
    let (at, subject, content) = message(n);
    keeper.write(Duration::from_secs(1), &keepers, at, subject, &content, Duration::from_secs(3))
}

fn records(bench: &mut Bench) {
    let told = told();
    for held in SIZES {
        let x = ("records", held as f64);
        let made = |_| {
            let seat = Seat { member: MemberId(0), life: Life(1) };
            let mut keeper = Keeper::of_a_first_fleet(&told, seat, Duration::ZERO);
            (0..held as u64).for_each(|n| drop(write(&mut keeper, n)));
            keeper
        };
        let mut keeper = made(0);
        let mut n = 0;
        let took = nanoseconds(|| {
            n = (n + 1) % held as u64;
            write(&mut keeper, n)
        });
        bench.found(x, ("time a record", took, "ns"), &[]);
        let (at, subject, content) = message(held as u64);
        let asked = Message::Write { at, subject, content, left: Duration::from_secs(3) };
        let bytes = |message| {
            let from = Seat { member: MemberId(0), life: Life(1_764_576_000_123) };
            let (datagrams, _) = frame::encode(&told, from, &[message]);
            datagrams.iter().map(|datagram| datagram.len() + HEADS).sum::<usize>() as f64
        };
        bench.found(x, ("bytes of a write", bytes(asked), "B"), &[]);
        bench.found(x, ("bytes of a vote", bytes(write(&mut keeper, 0)), "B"), &[]);
        bench.found(x, ("heap", bytes_of(COPIES, made), "B"), &[]);
    }
}
