//! What other members send is validated where it is read: only what is whole, of this version and of this cluster, and
//! within its bounds, is accepted, and nothing makes the reader panic.

mod spoiled;

use rockflow_cluster::*;
use rockflow_transport::cluster::frame::{decode, encode, DatagramError, MAX_DATAGRAM_BYTES, VERSION};
use std::time::Duration;

fn config() -> ClusterConfig {
    ClusterConfig {
        members: ["a", "b", "c"].map(str::to_string).to_vec(),
        replicas: 3,
        retention: Duration::from_secs(30),
        round_trip: Duration::from_millis(5),
        max_records: 100,
        max_body_bytes: 1024,
    }
}

fn identity(member: u16) -> Identity {
    Identity { member: MemberId(member), incarnation: Incarnation(7) }
}

fn descriptor() -> RequestDescriptor {
    RequestDescriptor { kind: EffectKind::IdempotencyKey, class: 1, object: 2, part: 3, group: 4, size: 5 }
}

fn write(body: usize) -> Message {
    let ballot = Ballot::first(identity(1), 1);
    let answer =
        Answer { outcome: Outcome::Succeeded, tag: Some("t".to_string()), body: Some(vec![7; body]) };
    let progress = RequestProgress {
        started_attempts: vec![StartedAttempt { ballot, attempt: 0, host: 9 }],
        answer: Some((ballot, answer)),
    };
    let at = Step { request: RequestId(11), ballot, step: 3 };
    Message::Write { at, descriptor: descriptor(), progress, left: Duration::from_millis(1500) }
}

fn sealed(messages: &[Message]) -> Vec<u8> {
    let (mut frames, left_out) = encode(&config(), identity(1), messages);
    assert_eq!((frames.len(), left_out), (1, 0));
    frames.remove(0)
}

#[test]
fn packed_messages_are_read_as_they_were_sent() {
    let messages: Vec<_> = (0..40).map(|n| write(n * 10)).collect();
    let (frames, left_out) = encode(&config(), identity(1), &messages);
    assert!(frames.len() > 4 && frames.iter().all(|bytes| bytes.len() <= 1400), "{}", frames.len());
    let read = frames.iter().map(|bytes| decode(&config(), bytes).unwrap());
    let read: Vec<_> =
        read.inspect(|frame| assert_eq!(frame.from, identity(1))).flat_map(|frame| frame.messages).collect();
    assert_eq!((read, left_out), (messages, 0));
    // One that fits number datagram costs itself alone.
    let large = Message::Swim(vec![0; MAX_DATAGRAM_BYTES]);
    let (frames, left_out) = encode(&config(), identity(1), &[write(1), large, write(2)]);
    assert_eq!((frames.len(), left_out), (1, 1));
}

#[test]
fn rejects_another_version_or_cluster() {
    let bytes = sealed(&[write(1)]);
    let mut other = bytes.clone();
    other[2] = VERSION + 1;
    assert_eq!(decode(&config(), &other), Err(DatagramError::Version(VERSION + 1)));
    let more = ClusterConfig { members: ["a", "b", "c", "d"].map(str::to_string).to_vec(), ..config() };
    assert_eq!(decode(&more, &bytes), Err(DatagramError::OtherFleet));
    assert_eq!(decode(&ClusterConfig { replicas: 1, ..config() }, &bytes), Err(DatagramError::OtherFleet));
}

#[test]
fn rejects_incomplete_datagram() {
    let whole = sealed(&[write(1)]);
    for (how, bytes, fault) in spoiled::not_whole(&whole) {
        assert_eq!(decode(&config(), &bytes), Err(fault), "{how}");
    }
    let mut nobody = whole;
    nobody[7] = 3;
    assert_eq!(
        decode(&config(), &spoiled::resealed(nobody)),
        Err(DatagramError::OutOfRange),
        "a member that there is not"
    );
}

#[test]
fn rejects_values_past_their_caps() {
    let within = sealed(&[write(1024)]);
    assert!(decode(&config(), &within).is_ok());
    let over = sealed(&[write(1025)]);
    assert_eq!(decode(&config(), &over), Err(DatagramError::OutOfRange));
    let transfer = |records: usize, part: u16| {
        let record = Record {
            descriptor: None,
            promised: Ballot::first(identity(0), 1),
            progress: RequestProgress::default(),
        };
        let transferred = |n| {
            let (request, record) = (RequestId(n as u128), record.clone());
            TransferredRecord { request, record, left: Duration::ZERO, retained_for: Duration::ZERO }
        };
        let records = (0..records).map(transferred).collect();
        sealed(&[Message::StateTransfer(StateTransfer {
            identity: identity(2),
            number: 1,
            part,
            parts: 2,
            sources: None,
            records,
        })])
    };
    assert!(decode(&config(), &transfer(4, 1)).is_ok());
    assert_eq!(decode(&config(), &transfer(5, 1)), Err(DatagramError::OutOfRange));
    assert_eq!(decode(&config(), &transfer(1, 2)), Err(DatagramError::OutOfRange));
}

#[test]
fn malformed_datagrams_never_panic() {
    let good = sealed(&[
        write(20),
        Message::AwaitAnswer { request: RequestId(3), descriptor: descriptor() },
        write(3),
    ]);
    spoiled::none_makes_it_panic(&[good], |bytes| decode(&config(), bytes).is_ok());
}
