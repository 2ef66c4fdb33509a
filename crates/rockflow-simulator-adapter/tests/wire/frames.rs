//! The replies to valid frames, and the errors for malformed ones.

use crate::common::{hex, SETTINGS};
use rockflow_simulator_adapter::run;
use test_case::test_case;

fn frame(batch: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let fields = [batch, records.len() as u32, body.len() as u32 + 8];
    let header = fields.iter().flat_map(|field| field.to_be_bytes());
    header.chain(1_000_000u64.to_be_bytes()).chain(body).collect()
}

fn instance_created(settings: &str) -> Vec<u8> {
    let mut record = hex("0108 0000000000000001");
    record.extend_from_slice(&(settings.len() as u32).to_be_bytes());
    record.extend_from_slice(settings.as_bytes());
    record
}

fn run_to_end(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = run(input, &mut output);
    (result.map_err(|error| error.to_string()), output)
}

// Records, in hexadecimal digits.
const INSTANCE_NAMED: &str = "0101 00000003";
const ENDPOINT_LIST: &str = "0104 00 00000001 0000 0a124a07 1b5b 0001 01 3f800000 0000000000000000 00";
const ENDPOINTS_LISTED: &str = "0100 01 00000029 00";
const REQUEST_ARRIVED: &str =
    "0102 000fa47d5d3a91c4 00 0000 0000007c55d20a01 0003a980 44200000 41300000 40400000 0001";
const INSTANCE_RETIRED: &str = "010a";

#[test]
fn empty_batch_has_empty_reply() {
    let (result, output) = run_to_end(&hex("00000001 00000000 00000008 0000000000805c5a"));
    assert_eq!((result, output), (Ok(()), hex("00000001 00000000 00000000")));
}

#[test]
fn request_becomes_attempt() {
    let batch = frame(
        7,
        &[
            hex(INSTANCE_NAMED),
            instance_created(SETTINGS),
            hex(ENDPOINT_LIST),
            hex(ENDPOINTS_LISTED),
            hex(REQUEST_ARRIVED),
        ],
    );
    let (result, output) = run_to_end(&batch);
    assert_eq!(result, Ok(()));
    // No parent or origin is listed, so the attempt has no source. The record then names the cache itself as the source,
    // which means cached copies only.
    let attempt = "014c 000fa47d5d3a91c4 0a124a07 1b5b 0003a980 0a124a07 1b5b 01 00000000 00";
    assert_eq!(output[..12], hex("00000007 00000002 00000026"));
    assert_eq!(output[12..18], hex("014d 00000003"));
    assert_eq!(output[18..], hex(attempt)[..]);
}

#[test]
fn actions_of_a_retired_instance_are_void() {
    let records = [
        hex(INSTANCE_NAMED),
        instance_created(SETTINGS),
        hex(ENDPOINT_LIST),
        hex(ENDPOINTS_LISTED),
        hex(REQUEST_ARRIVED),
        hex(INSTANCE_RETIRED),
        instance_created(SETTINGS),
    ];
    let (result, output) = run_to_end(&frame(1, &records));
    assert_eq!((result, output), (Ok(()), hex("00000001 00000000 00000000")));
}

#[test_case("peersTotal=1\n", "settings: peersTotal is missing"; "missing")]
#[test_case("limits.tryLimit=6", "settings: limits.tryLimit does not parse"; "malformed")]
fn invalid_settings_disable_only_their_instance(valid: &str, error: &str) {
    let replacement = if error.contains("missing") { "" } else { "limits.tryLimit=six" };
    let batch = frame(
        1,
        &[
            hex(INSTANCE_NAMED),
            instance_created(&SETTINGS.replace(valid, replacement)),
            hex(ENDPOINT_LIST),
            hex(ENDPOINTS_LISTED),
            hex(REQUEST_ARRIVED),
        ],
    );
    let (result, output) = run_to_end(&batch);
    assert_eq!(result, Ok(()));
    assert_eq!(output[18..20], hex("0149")[..]);
    assert_eq!(&output[22..], error.as_bytes());
}

#[test_case(&hex("00000001 0000"), "frame cut short at byte 6"; "truncated header")]
#[test_case(&hex("00000001 00000000 00000009 0000000000805c5a"), "frame cut short at byte 20"; "truncated body")]
#[test_case(&hex("00000001 00000000 00000002 0000000000805c5a"), "length 2 does not hold the clock at byte 8"; "length without the clock")]
#[test_case(&frame(1, &[hex(INSTANCE_NAMED), hex("0999")]), "unknown event code 2457 at byte 26"; "unknown code")]
#[test_case(&frame(1, &[hex("0101 0000")]), "record runs past the end of its frame at byte 22"; "truncated record")]
#[test_case(&frame(1, &[hex("0104 00 ffffffff")]), "record runs past the end of its frame at byte 27"; "count over the records")]
#[test_case(&frame(1, &[hex("0104 10 00000000")]), "list number 16 is over 15 at byte 22"; "list number over the limit")]
#[test_case(&frame(1, &[hex(INSTANCE_NAMED), instance_created(SETTINGS), hex(ENDPOINTS_LISTED)]), "list 0 was never sent"; "list that was not sent")]
#[test_case(&frame(1, &[hex(INSTANCE_NAMED), instance_created(SETTINGS), hex(&REQUEST_ARRIVED.replacen("c4 00", "c4 05", 1))]), "class 5 is not"; "unknown class")]
#[test_case(&frame(1, &[hex(REQUEST_ARRIVED)]), "event 258 before any instance was named at byte 20"; "no instance named")]
#[test_case(&frame(1, &[hex(INSTANCE_NAMED), hex(REQUEST_ARRIVED)]), "event 258 for instance 3 that does not run"; "instance that was not created")]
fn malformed_input_ends_the_run_with_cause_and_offset(input: &[u8], expected: &str) {
    let (result, _) = run_to_end(input);
    let error = result.expect_err("malformed input");
    assert!(error.starts_with(expected), "{error}");
    assert!(!error.contains('\n'));
}
