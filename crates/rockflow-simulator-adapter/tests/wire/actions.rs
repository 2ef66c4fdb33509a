//! The literal bytes of every action.

use crate::common::hex;
use rockflow::{Action, Attempt, AttemptNumber, CachePriority, HostId, RequestId, TimerId};
use rockflow_simulator_adapter::wire::encode::{encode_reply, InstanceRecords};
use std::time::Duration;
use test_case::test_case;

const REQUEST: RequestId = RequestId(0x000f_a47d_5d3a_91c4);
const HOST: HostId = HostId(0x0a12_4a07_1b5b);
const SOURCE: HostId = HostId(0x0a12_4a07_2c6d);

/// A reply to batch 7 with one record of instance 3. `length` counts the record and the one that names the instance.
fn reply(length: u32, record: &str) -> Vec<u8> {
    let mut bytes = hex("00000007 00000002");
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&hex("014d 00000003"));
    bytes.extend_from_slice(&hex(record));
    bytes
}

fn encode(action: Action) -> Vec<u8> {
    let mut records = InstanceRecords::new(3);
    records.push_actions(&[action]);
    encode_reply(7, &[records])
}

fn attempt() -> Attempt {
    Attempt {
        host: HOST,
        source: Some(SOURCE),
        timeout: Some(Duration::from_millis(400)),
        send_by: None,
        cache_priority: CachePriority::Medium,
        max_age: Some(Duration::from_secs(10)),
        coalesce: true,
        cached_at_source_only: false,
        no_store_at_parent: false,
        revalidate: true,
    }
}

fn cached_only_attempt() -> Attempt {
    Attempt {
        source: None,
        cache_priority: CachePriority::NoStore,
        max_age: None,
        coalesce: false,
        revalidate: false,
        ..attempt()
    }
}

#[test_case(attempt(), 38, "014c 000fa47d5d3a91c4 0a124a071b5b 00061a80 0a124a072c6d 02 00989680 09"; "fill")]
#[test_case(Attempt { cached_at_source_only: true, coalesce: false, revalidate: false, ..attempt() }, 38,
    "014c 000fa47d5d3a91c4 0a124a071b5b 00061a80 0a124a072c6d 02 00989680 02"; "cached at the source only")]
#[test_case(Attempt { no_store_at_parent: true, coalesce: false, revalidate: false, ..attempt() }, 38,
    "014c 000fa47d5d3a91c4 0a124a071b5b 00061a80 0a124a072c6d 02 00989680 04"; "no store at the parent")]
#[test_case(Attempt { source: None, max_age: None, timeout: None, ..attempt() }, 38,
    "014c 000fa47d5d3a91c4 0a124a071b5b 00000000 0a124a071b5b 02 00000000 09"; "no source, no timeout, any age")]
#[test_case(Attempt { cache_priority: CachePriority::Low, ..attempt() }, 38,
    "014c 000fa47d5d3a91c4 0a124a071b5b 00061a80 0a124a072c6d 01 00989680 09"; "low priority")]
#[test_case(Attempt { cache_priority: CachePriority::High, ..attempt() }, 38,
    "014c 000fa47d5d3a91c4 0a124a071b5b 00061a80 0a124a072c6d 03 00989680 09"; "high priority")]
#[test_case(Attempt { timeout: Some(Duration::ZERO), ..attempt() }, 38,
    "014c 000fa47d5d3a91c4 0a124a071b5b 00000001 0a124a072c6d 02 00989680 09"; "a timeout of zero is not none")]
#[test_case(cached_only_attempt(), 26, "0140 000fa47d5d3a91c4 0a124a071b5b 00061a80"; "cached copies only")]
fn attempt_has_literal_bytes(attempt: Attempt, length: u32, record: &str) {
    // The length includes the record of 6 bytes that names the instance.
    assert_eq!(hex(record).len() as u32 + 6, length);
    assert_eq!(encode(Action::SendAttempt { request: REQUEST, attempt }), reply(length, record));
}

#[test_case(Action::Reject { request: REQUEST, retry_after: None }, "0141 000fa47d5d3a91c4 00000000"; "reject")]
#[test_case(Action::Reject { request: REQUEST, retry_after: Some(Duration::from_secs(1)) },
    "0141 000fa47d5d3a91c4 000f4240"; "reject with retry after")]
#[test_case(Action::Fail { request: REQUEST }, "0142 000fa47d5d3a91c4"; "fail")]
#[test_case(Action::CancelAttempt { request: REQUEST, attempt: AttemptNumber(2) },
    "0143 000fa47d5d3a91c4 0002"; "cancel attempt")]
#[test_case(Action::SetTimer { timer: TimerId(5), delay: Duration::from_secs(1) }, "0144 00000005 000f4240"; "set timer")]
#[test_case(Action::SetTimer { timer: TimerId(5), delay: Duration::from_secs(5000) }, "0144 00000005 ffffffff"; "set timer too long for the field")]
#[test_case(Action::CheckHealth { host: HOST }, "0145 0a124a071b5b"; "check health")]
#[test_case(Action::CloseIdleConnections { host: HOST }, "0146 0a124a071b5b"; "close idle connections")]
#[test_case(Action::SendMessage { to: 9, payload: vec![1, 2] }, "0147 0009 0002 0102"; "send message")]
#[test_case(Action::Log("ab".to_string()), "0148 0002 6162"; "log")]
#[test_case(Action::Subscribe { on: true }, "014a 01"; "subscribe")]
#[test_case(Action::Subscribe { on: false }, "014a 00"; "unsubscribe")]
#[test_case(Action::RequestEndpointList, "014b"; "request endpoint list")]
fn action_has_literal_bytes(action: Action, record: &str) {
    assert_eq!(encode(action), reply(hex(record).len() as u32 + 6, record));
}

#[test]
fn reply_leaves_out_instances_without_records() {
    let mut records = InstanceRecords::new(3);
    records.push_actions(&[Action::Fail { request: REQUEST }]);
    records.clear();
    assert_eq!(encode_reply(7, &[InstanceRecords::new(2), records]), hex("00000007 00000000 00000000"));
}
