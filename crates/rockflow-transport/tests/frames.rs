//! Encoding, decoding and validation of a cluster's datagrams. Only complete datagrams of this version and cluster, with
//! all values within their limits, are accepted, and no received bytes cause a panic.

mod malformed;

use malformed::Malformed;
use rockflow_cluster::*;
use rockflow_transport::cluster::frame::{decode, encode, DatagramError, MAX_DATAGRAM_BYTES, VERSION};
use std::time::Duration;

/// Position of the format version, after the magic bytes.
const VERSION_INDEX: usize = 2;
/// Position of the sender's member id, after the header.
const SENDER_MEMBER_INDEX: usize = 7;

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

fn write(body_bytes: usize) -> Message {
    let ballot = Ballot::first(identity(1), 1);
    let answer =
        Answer { outcome: Outcome::Succeeded, tag: Some("t".to_string()), body: Some(vec![7; body_bytes]) };
    let progress = RequestProgress {
        started_attempts: vec![StartedAttempt { ballot, attempt: 0, host: 9 }],
        answer: Some((ballot, answer)),
    };
    let at = Step { request: RequestId(11), ballot, step: 3 };
    Message::Write { at, descriptor: descriptor(), progress, left: Duration::from_millis(1500) }
}

/// Encodes messages that fit into one datagram.
fn encode_one(messages: &[Message]) -> Vec<u8> {
    let (mut datagrams, oversized) = encode(&config(), identity(1), messages);
    assert_eq!((datagrams.len(), oversized), (1, 0));
    datagrams.remove(0)
}

#[test]
fn packed_messages_decode_to_what_was_encoded() {
    let messages: Vec<_> = (0..40).map(|n| write(n * 10)).collect();
    let (datagrams, oversized) = encode(&config(), identity(1), &messages);
    assert!(datagrams.len() > 4 && datagrams.iter().all(|bytes| bytes.len() <= 1400), "{}", datagrams.len());
    let decoded = datagrams.iter().map(|bytes| decode(&config(), bytes).unwrap());
    let decoded: Vec<_> = decoded
        .inspect(|frame| assert_eq!(frame.from, identity(1)))
        .flat_map(|frame| frame.messages)
        .collect();
    assert_eq!((decoded, oversized), (messages, 0));
    // A message that fits into no datagram is dropped, and the others are sent.
    let large = Message::Swim(vec![0; MAX_DATAGRAM_BYTES]);
    let (datagrams, oversized) = encode(&config(), identity(1), &[write(1), large, write(2)]);
    assert_eq!((datagrams.len(), oversized), (1, 1));
}

#[test]
fn rejects_another_version_or_cluster() {
    let bytes = encode_one(&[write(1)]);
    let mut other_version = bytes.clone();
    other_version[VERSION_INDEX] = VERSION + 1;
    assert_eq!(decode(&config(), &other_version), Err(DatagramError::Version(VERSION + 1)));
    let more_members =
        ClusterConfig { members: ["a", "b", "c", "d"].map(str::to_string).to_vec(), ..config() };
    assert_eq!(decode(&more_members, &bytes), Err(DatagramError::OtherFleet));
    assert_eq!(decode(&ClusterConfig { replicas: 1, ..config() }, &bytes), Err(DatagramError::OtherFleet));
}

#[test]
fn rejects_malformed_datagrams() {
    let valid = encode_one(&[write(1)]);
    for Malformed { name, bytes, error } in malformed::malformed_variants(&valid) {
        assert_eq!(decode(&config(), &bytes), Err(error), "{name}");
    }
    let mut unknown_sender = valid;
    unknown_sender[SENDER_MEMBER_INDEX] = 3;
    assert_eq!(
        decode(&config(), &malformed::with_valid_checksum(unknown_sender)),
        Err(DatagramError::OutOfRange),
        "sender is not a configured member"
    );
}

#[test]
fn rejects_values_above_their_limits() {
    let largest_body = encode_one(&[write(1024)]);
    assert!(decode(&config(), &largest_body).is_ok());
    let body_too_large = encode_one(&[write(1025)]);
    assert_eq!(decode(&config(), &body_too_large), Err(DatagramError::OutOfRange));
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
        encode_one(&[Message::StateTransfer(StateTransfer {
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
    let valid = encode_one(&[
        write(20),
        Message::AwaitAnswer { request: RequestId(3), descriptor: descriptor() },
        write(3),
    ]);
    malformed::assert_decode_never_panics(&[valid], |bytes| decode(&config(), bytes).is_ok());
}
