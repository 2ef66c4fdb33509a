//! What comes from others is judged where it is read: nothing that is not whole, of this version and of this fleet, and
//! within its bounds, gets through, and nothing makes it panic.

mod spoiled;

use rockflow_cluster::*;
use rockflow_transport::frame::{decode, encode, DatagramError, MAX_DATAGRAM_BYTES, VERSION};
use std::time::Duration;

fn told() -> Told {
    Told {
        members: ["a", "b", "c"].map(str::to_string).to_vec(),
        keepers: 3,
        keep: Duration::from_secs(30),
        round_trip: Duration::from_millis(5),
        max_kept: 100,
        max_body: 1024,
    }
}

fn seat(member: u16) -> Seat {
    Seat { member: MemberId(member), life: Life(7) }
}

fn subject() -> Subject {
    Subject { kind: Kind::Labelled, class: 1, object: 2, part: 3, group: 4, size: 5 }
}

fn write(body: usize) -> Message {
    let ballot = Ballot::first(seat(1), 1);
    let answer = Answer { ended: Ended::Succeeded, tag: Some("t".to_string()), body: Some(vec![7; body]) };
    let content =
        Content { begun: vec![Begun { ballot, attempt: 0, host: 9 }], answer: Some((ballot, answer)) };
    let at = Step { call: CallId(11), ballot, step: 3 };
    Message::Write { at, subject: subject(), content, left: Duration::from_millis(1500) }
}

fn sealed(messages: &[Message]) -> Vec<u8> {
    let (mut frames, left_out) = encode(&told(), seat(1), messages);
    assert_eq!((frames.len(), left_out), (1, 0));
    frames.remove(0)
}

#[test]
fn what_is_sent_comes_out_as_it_was_packed_by_size() {
    let messages: Vec<_> = (0..40).map(|n| write(n * 10)).collect();
    let (frames, left_out) = encode(&told(), seat(1), &messages);
    assert!(frames.len() > 4 && frames.iter().all(|bytes| bytes.len() <= 1400), "{}", frames.len());
    let read = frames.iter().map(|bytes| decode(&told(), bytes).unwrap());
    let read: Vec<_> =
        read.inspect(|frame| assert_eq!(frame.from, seat(1))).flat_map(|frame| frame.messages).collect();
    assert_eq!((read, left_out), (messages, 0));
    // One that fits no datagram costs itself alone.
    let large = Message::Swim(vec![0; MAX_DATAGRAM_BYTES]);
    let (frames, left_out) = encode(&told(), seat(1), &[write(1), large, write(2)]);
    assert_eq!((frames.len(), left_out), (1, 1));
}

#[test]
fn another_version_or_fleet_is_told_apart() {
    let bytes = sealed(&[write(1)]);
    let mut other = bytes.clone();
    other[2] = VERSION + 1;
    assert_eq!(decode(&told(), &other), Err(DatagramError::Version(VERSION + 1)));
    let more = Told { members: ["a", "b", "c", "d"].map(str::to_string).to_vec(), ..told() };
    assert_eq!(decode(&more, &bytes), Err(DatagramError::OtherFleet));
    assert_eq!(decode(&Told { keepers: 1, ..told() }, &bytes), Err(DatagramError::OtherFleet));
}

#[test]
fn what_is_not_whole_is_not_taken() {
    let whole = sealed(&[write(1)]);
    for (how, bytes, fault) in spoiled::not_whole(&whole) {
        assert_eq!(decode(&told(), &bytes), Err(fault), "{how}");
    }
    let mut nobody = whole;
    nobody[7] = 3;
    assert_eq!(
        decode(&told(), &spoiled::resealed(nobody)),
        Err(DatagramError::OutOfRange),
        "a member that there is not"
    );
}

#[test]
fn what_is_longer_than_it_may_be_is_not_taken() {
    let within = sealed(&[write(1024)]);
    assert!(decode(&told(), &within).is_ok());
    let over = sealed(&[write(1025)]);
    assert_eq!(decode(&told(), &over), Err(DatagramError::OutOfRange));
    let lesson = |records: usize, part: u16| {
        let kept = Kept { subject: None, promised: Ballot::first(seat(0), 1), content: Content::default() };
        let taught = |n| {
            let (call, kept) = (CallId(n as u128), kept.clone());
            Taught { call, kept, left: Duration::ZERO, keeps: Duration::ZERO }
        };
        let records = (0..records).map(taught).collect();
        sealed(&[Message::Lesson(Lesson { seat: seat(2), no: 1, part, parts: 2, by: None, records })])
    };
    assert!(decode(&told(), &lesson(4, 1)).is_ok());
    assert_eq!(decode(&told(), &lesson(5, 1)), Err(DatagramError::OutOfRange));
    assert_eq!(decode(&told(), &lesson(1, 2)), Err(DatagramError::OutOfRange));
}

#[test]
fn nothing_that_comes_makes_it_panic() {
    let good = sealed(&[write(20), Message::Wait { call: CallId(3), subject: subject() }, write(3)]);
    spoiled::none_makes_it_panic(&[good], |bytes| decode(&told(), bytes).is_ok());
}
