//! Log records of requests that a replica stores for other members.

use super::measure::{bytes_of, nanoseconds};
use super::{Bench, Listed};
use rockflow_cluster::replica::WriteRequest;
use rockflow_cluster::{
    Ballot, ClusterConfig, EffectKind, Identity, Incarnation, MemberId, Message, Replica, RequestDescriptor,
    RequestId, RequestProgress, StartedAttempt, Step,
};
use rockflow_transport::cluster::frame;
use std::time::Duration;

/// Series about replicated log records.
pub const SERIES: &[Listed] =
    &[("records", "a record written at its keeper, by the records that it holds", records)];

const SIZES: [usize; 6] = [500, 1000, 2000, 4000, 8000, 16_000];
const MEMBERS: usize = 30;
const COPIES: usize = 4;

fn config() -> ClusterConfig {
    ClusterConfig {
        members: (0..MEMBERS).map(|n| format!("dispatcher-{n:05}")).collect(),
        replicas: 3,
        retention: Duration::from_secs(60),
        round_trip: Duration::from_millis(4),
        max_records: 1_000_000,
        max_body_bytes: 64 * 1024,
    }
}

/// Bytes of the IP and UDP heads of a datagram.
const HEADS: usize = 28;

fn message(n: u64) -> (Step, RequestDescriptor, RequestProgress) {
    let identity = Identity { member: MemberId(1), incarnation: Incarnation(1_764_576_000_123) };
    let ballot = Ballot::first(identity, n);
    let request = RequestId(u128::from(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)).pow(2));
    let descriptor =
        RequestDescriptor { kind: EffectKind::AtMostOnce, class: 0, object: n, part: 0, group: 0, size: 0 };
    let progress = RequestProgress {
        started_attempts: vec![StartedAttempt { ballot, attempt: 0, host: request.0 as u64 }],
        answer: None,
    };
    (Step { request, ballot, step: 1 }, descriptor, progress)
}

fn write(replica: &mut Replica, n: u64) -> Message {
    let replicas = [MemberId(0), MemberId(2), MemberId(3)];
    let (at, descriptor, progress) = message(n);
    let write = WriteRequest { at, descriptor, progress: &progress, left: Duration::from_secs(3) };
    replica.on_write(Duration::from_secs(1), &replicas, &write)
}

fn records(bench: &mut Bench) {
    let config = config();
    for held in SIZES {
        let x = ("records", held as f64);
        let made = |_| {
            let identity = Identity { member: MemberId(0), incarnation: Incarnation(1) };
            let mut replica = Replica::of_new_cluster(&config, identity, Duration::ZERO);
            (0..held as u64).for_each(|n| drop(write(&mut replica, n)));
            replica
        };
        let mut replica = made(0);
        let mut n = 0;
        let took = nanoseconds(|| {
            n = (n + 1) % held as u64;
            write(&mut replica, n)
        });
        bench.found(x, ("time a record", took, "ns"), &[]);
        let (at, descriptor, progress) = message(held as u64);
        let asked = Message::Write { at, descriptor, progress, left: Duration::from_secs(3) };
        let bytes = |message| {
            let from = Identity { member: MemberId(0), incarnation: Incarnation(1_764_576_000_123) };
            let (datagrams, _) = frame::encode(&config, from, &[message]);
            datagrams.iter().map(|datagram| datagram.len() + HEADS).sum::<usize>() as f64
        };
        bench.found(x, ("bytes of a write", bytes(asked), "B"), &[]);
        bench.found(x, ("bytes of a vote", bytes(write(&mut replica, 0)), "B"), &[]);
        bench.found(x, ("heap", bytes_of(COPIES, made), "B"), &[]);
    }
}
