//! Literal bytes of every message of a cluster and of the datagram around it, which members of other releases must be able
//! to decode. A field or variant that changes its position fails here: the encoding has order, but no names.

use rockflow_cluster::*;
use rockflow_transport::cluster::frame::{decode, encode, Frame};
use std::time::Duration;
use test_case::test_case;

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

const SENDER: Identity = Identity { member: MemberId(1), incarnation: Incarnation(300) };
const OTHER: Identity = Identity { member: MemberId(2), incarnation: Incarnation(9) };
const REQUEST: RequestId = RequestId(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef);
const BALLOT: Ballot = Ballot { round: 2, identity: OTHER, number: 130 };
const STEP: Step = Step { request: REQUEST, ballot: BALLOT, step: 3 };

fn descriptor(kind: EffectKind) -> RequestDescriptor {
    RequestDescriptor { kind, class: 11, object: 0x7f3a, part: 3, group: 17, size: 412_500 }
}

fn answer(outcome: Outcome) -> Answer {
    Answer { outcome, tag: Some("t1".to_string()), body: Some(vec![0xab, 0xcd]) }
}

fn progress() -> RequestProgress {
    let started = vec![StartedAttempt { ballot: Ballot::first(SENDER, 1), attempt: 1, host: 9 }];
    RequestProgress { started_attempts: started, answer: Some((BALLOT, answer(Outcome::Succeeded))) }
}

fn record() -> Record {
    Record { descriptor: Some(descriptor(EffectKind::AtMostOnce)), promised: BALLOT, progress: progress() }
}

fn swim() -> Message {
    Message::Swim(vec![1, 2, 3])
}

fn write() -> Message {
    let (descriptor, left) = (descriptor(EffectKind::IdempotencyKey), Duration::new(1, 500_000_000));
    Message::Write { at: STEP, descriptor, progress: progress(), left }
}

fn prepare() -> Message {
    Message::Prepare { at: STEP, descriptor: Some(descriptor(EffectKind::AtMostOnce)) }
}

fn prepare_without_descriptor() -> Message {
    Message::Prepare { at: STEP, descriptor: None }
}

fn vote() -> Message {
    Message::Vote { at: STEP, incarnations: [SENDER, OTHER].into_iter().collect(), held: Some(record()) }
}

fn reject(reason: RejectionReason) -> Message {
    Message::Reject { at: STEP, reason }
}

fn request_state_transfer() -> Message {
    Message::RequestStateTransfer { identity: SENDER, number: 5 }
}

fn transfer() -> Message {
    let (left, retained_for) = (Duration::from_millis(20), Duration::from_secs(30));
    let records = vec![TransferredRecord { request: REQUEST, record: record(), left, retained_for }];
    let sources = Some(vec![MemberId(0), MemberId(2)]);
    Message::StateTransfer(StateTransfer { identity: OTHER, number: 6, part: 1, parts: 2, sources, records })
}

fn await_answer() -> Message {
    Message::AwaitAnswer { request: REQUEST, descriptor: descriptor(EffectKind::Idempotent) }
}

fn final_answer(outcome: Outcome) -> Message {
    Message::FinalAnswer { request: REQUEST, answer: answer(outcome) }
}

fn final_answer_without_body() -> Message {
    Message::FinalAnswer {
        request: REQUEST,
        answer: Answer { outcome: Outcome::Succeeded, tag: None, body: None },
    }
}

fn drop_record() -> Message {
    Message::DropRecord { request: REQUEST, ballot: BALLOT }
}

fn superseded() -> Message {
    Message::IncarnationSuperseded { incarnation: Incarnation(301) }
}

fn hand_over() -> Message {
    let (descriptor, left) = (descriptor(EffectKind::IdempotencyKey), Duration::new(2, 1));
    Message::HandOver { request: REQUEST, descriptor, progress: progress(), left }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|index| u8::from_str_radix(&hex[index..index + 2], 16).unwrap()).collect()
}

#[test_case(swim(), "72660173858f7101ac02010003010203e0586c45"; "swim")]
#[test_case(write(), "72660173858f7101ac020101ef9bafcdf8acd19181deb7de9af1d9a2a302020209820103010bbafe010311d49619010001ac0201010901020209820100010274310102abcd0180cab5ee01c41dd973"; "write")]
#[test_case(prepare(), "72660173858f7101ac020102ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010301020bbafe010311d49619bd1b0dc2"; "prepare")]
#[test_case(prepare_without_descriptor(), "72660173858f7101ac020102ef9bafcdf8acd19181deb7de9af1d9a2a302020209820103008e89851f"; "prepare without descriptor")]
#[test_case(vote(), "72660173858f7101ac020103ef9bafcdf8acd19181deb7de9af1d9a2a3020202098201030201ac0202090101020bbafe010311d496190202098201010001ac0201010901020209820100010274310102abcd60b0eae3"; "vote")]
#[test_case(reject(RejectionReason::Promised(BALLOT)), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010300020209820177cffbf5"; "reject: promised")]
#[test_case(reject(RejectionReason::RequestMismatch), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010301a9645c57"; "reject: request mismatch")]
#[test_case(reject(RejectionReason::Unsynchronized), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010302133555ce"; "reject: unsynchronized")]
#[test_case(reject(RejectionReason::Full), "72660173858f7101ac020104ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010303850552b9"; "reject: full")]
#[test_case(request_state_transfer(), "72660173858f7101ac02010501ac02051d74461f"; "request state transfer")]
#[test_case(transfer(), "72660173858f7101ac02010602090601020102000201ef9bafcdf8acd19181deb7de9af1d9a2a30201020bbafe010311d496190202098201010001ac0201010901020209820100010274310102abcd0080dac4091e009d12b53a"; "state transfer")]
#[test_case(await_answer(), "72660173858f7101ac020107ef9bafcdf8acd19181deb7de9af1d9a2a302000bbafe010311d49619e825a2ad"; "await answer")]
#[test_case(final_answer(Outcome::Succeeded), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a30200010274310102abcd3e6f46bf"; "final answer: succeeded")]
#[test_case(final_answer(Outcome::Rejected), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a30201010274310102abcd7d7b3da8"; "final answer: rejected")]
#[test_case(final_answer(Outcome::Failed), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a30202010274310102abcdb847b091"; "final answer: failed")]
#[test_case(final_answer_without_body(), "72660173858f7101ac020108ef9bafcdf8acd19181deb7de9af1d9a2a302000000055b194d"; "final answer without tag and body")]
#[test_case(drop_record(), "72660173858f7101ac020109ef9bafcdf8acd19181deb7de9af1d9a2a3020202098201c32c98e0"; "drop record")]
#[test_case(superseded(), "72660173858f7101ac02010aad029e2716a3"; "incarnation superseded")]
#[test_case(hand_over(), "72660173858f7101ac02010bef9bafcdf8acd19181deb7de9af1d9a2a302010bbafe010311d49619010001ac0201010901020209820100010274310102abcd0201b996879f"; "hand over")]
fn message_has_its_literal_bytes(message: Message, expected: &str) {
    let (datagrams, oversized) = encode(&config(), SENDER, std::slice::from_ref(&message));
    assert_eq!((datagrams.len(), oversized), (1, 0));
    assert_eq!(hex(&datagrams[0]), expected);
    assert_eq!(decode(&config(), &bytes(expected)), Ok(Frame { from: SENDER, messages: vec![message] }));
}

#[test]
fn several_messages_share_a_datagram() {
    let expected =
        "72660173858f7101ac02030501ac020509ef9bafcdf8acd19181deb7de9af1d9a2a30202020982010aad029c73c878";
    let messages = vec![request_state_transfer(), drop_record(), superseded()];
    let (datagrams, oversized) = encode(&config(), SENDER, &messages);
    assert_eq!((datagrams.len(), oversized), (1, 0));
    assert_eq!(hex(&datagrams[0]), expected);
    assert_eq!(decode(&config(), &bytes(expected)), Ok(Frame { from: SENDER, messages }));
}
