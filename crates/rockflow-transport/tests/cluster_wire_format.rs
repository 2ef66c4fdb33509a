//! The bytes of every message between members of a cluster, as they travel: a member of another release must read them.

use rockflow_cluster::*;
use rockflow_transport::frame::{decode, encode, Frame};
use std::time::Duration;
use test_case::test_case;

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

const SENDER: Seat = Seat { member: MemberId(1), life: Life(300) };
const OTHER: Seat = Seat { member: MemberId(2), life: Life(9) };
const CALL: CallId = CallId(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef);
const BALLOT: Ballot = Ballot { round: 2, seat: OTHER, no: 130 };
const STEP: Step = Step { call: CALL, ballot: BALLOT, step: 3 };

fn subject(kind: Kind) -> Subject {
    Subject { kind, class: 11, object: 0x7f3a, part: 3, group: 17, size: 412_500 }
}

fn answer(ended: Ended) -> Answer {
    Answer { ended, tag: Some("t1".to_string()), body: Some(vec![0xab, 0xcd]) }
}

fn content() -> Content {
    let begun = vec![Begun { ballot: Ballot::first(SENDER, 1), attempt: 1, host: 9 }];
    Content { begun, answer: Some((BALLOT, answer(Ended::Succeeded))) }
}

fn kept() -> Kept {
    Kept { subject: Some(subject(Kind::Irreversible)), promised: BALLOT, content: content() }
}

fn swim() -> Message {
    Message::Swim(vec![1, 2, 3])
}

fn write() -> Message {
    let (subject, left) = (subject(Kind::Labelled), Duration::new(1, 500_000_000));
    Message::Write { at: STEP, subject, content: content(), left }
}

fn claim() -> Message {
    Message::Claim { at: STEP, subject: Some(subject(Kind::Irreversible)) }
}

fn claim_of_unknown() -> Message {
    Message::Claim { at: STEP, subject: None }
}

fn vote() -> Message {
    Message::Vote { at: STEP, lives: [SENDER, OTHER].into_iter().collect(), held: Some(kept()) }
}

fn refuse(why: Refusal) -> Message {
    Message::Refuse { at: STEP, why }
}

fn learn() -> Message {
    Message::Learn { seat: SENDER, no: 5 }
}

fn lesson() -> Message {
    let (left, keeps) = (Duration::from_millis(20), Duration::from_secs(30));
    let records = vec![Taught { call: CALL, kept: kept(), left, keeps }];
    let by = Some(vec![MemberId(0), MemberId(2)]);
    Message::Lesson(Lesson { seat: OTHER, no: 6, part: 1, parts: 2, by, records })
}

fn wait() -> Message {
    Message::Wait { call: CALL, subject: subject(Kind::Redoable) }
}

fn last(ended: Ended) -> Message {
    Message::Final { call: CALL, answer: answer(ended) }
}

fn last_without_body() -> Message {
    Message::Final { call: CALL, answer: Answer { ended: Ended::Succeeded, tag: None, body: None } }
}

fn drop_record() -> Message {
    Message::Drop { call: CALL, ballot: BALLOT }
}

fn outlived() -> Message {
    Message::Outlived { life: Life(301) }
}

fn hand_over() -> Message {
    let (subject, left) = (subject(Kind::Labelled), Duration::new(2, 1));
    Message::HandOver { call: CALL, subject, content: content(), left }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

#[test_case(swim(), "72660173858f7101ac02010003010203e0586c45"; "membership")]
#[test_case(write(), "72660173858f7101ac020101ef9bafcdf8acd19181deb7de9af1d9a2a302020209820103010bbafe010311d49619010001ac0201010901020209820100010274310102abcd0180cab5ee01c41dd973"; "write")]
#[test_case(claim(), "72660173858f7101ac020102ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010301020bbafe010311d49619bd1b0dc2"; "claim")]
#[test_case(claim_of_unknown(), "72660173858f7101ac020102ef9bafcdf8acd19181deb7de9af1d9a2a302020209820103008e89851f"; "claim without a subject")]
#[test_case(vote(), "72660173858f7101ac020103ef9bafcdf8acd19181deb7de9af1d9a2a3020202098201030201ac0202090101020bbafe010311d496190202098201010001ac0201010901020209820100010274310102abcd60b0eae3"; "vote")]
#[test_case(refuse(Refusal::Promised(BALLOT)), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010300020209820177cffbf5"; "refusal: promised")]
#[test_case(refuse(Refusal::Other), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010301a9645c57"; "refusal: id in use")]
#[test_case(refuse(Refusal::Unsure), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010302133555ce"; "refusal: unsure")]
#[test_case(refuse(Refusal::Full), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010303850552b9"; "refusal: full")]
#[test_case(learn(), "72660173858f7101ac02010501ac02051d74461f"; "learn")]
#[test_case(lesson(), "72660173858f7101ac02010602090601020102000201ef9bafcdf8acd19181deb7de9af1d9a2a30201020bbafe010311d496190202098201010001ac0201010901020209820100010274310102abcd0080dac4091e009d12b53a"; "lesson")]
#[test_case(wait(), "72660173858f7101ac020107ef9bafcdf8acd19181deb7de9af1d9a2a302000bbafe010311d49619e825a2ad"; "wait")]
#[test_case(last(Ended::Succeeded), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a30200010274310102abcd3e6f46bf"; "final: succeeded")]
#[test_case(last(Ended::Dismissed), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a30201010274310102abcd7d7b3da8"; "final: dismissed")]
#[test_case(last(Ended::Terminated), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a30202010274310102abcdb847b091"; "final: terminated")]
#[test_case(last_without_body(), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a302000000055b194d"; "final: without tag and body")]
#[test_case(drop_record(), "72660173858f7101ac020109ef9bafcdf8acd19181deb7de9af1d9a2a3020202098201c32c98e0"; "drop")]
#[test_case(outlived(), "72660173858f7101ac02010aad029e2716a3"; "outlived")]
#[test_case(hand_over(), "72660173858f7101ac02010bef9bafcdf8acd19181deb7de9af1d9a2a302010bbafe010311d49619010001ac0201010901020209820100010274310102abcd0201b996879f"; "hand over")]
fn message_keeps_its_bytes(message: Message, expected: &str) {
    let (frames, left_out) = encode(&told(), SENDER, std::slice::from_ref(&message));
    assert_eq!((frames.len(), left_out), (1, 0));
    assert_eq!(hex(&frames[0]), expected);
    assert_eq!(decode(&told(), &bytes(expected)), Ok(Frame { from: SENDER, messages: vec![message] }));
}

#[test]
fn several_messages_travel_in_one_frame() {
    let expected =
        "72660173858f7101ac02030501ac020509ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010aad029c73c878";
    let messages = vec![learn(), drop_record(), outlived()];
    let (frames, left_out) = encode(&told(), SENDER, &messages);
    assert_eq!((frames.len(), left_out), (1, 0));
    assert_eq!(hex(&frames[0]), expected);
    assert_eq!(decode(&told(), &bytes(expected)), Ok(Frame { from: SENDER, messages }));
}
