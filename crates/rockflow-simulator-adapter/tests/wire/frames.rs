//! Frames in, frames out, and the errors of malformed ones.

use crate::common::{hex, SETTINGS};
use rockflow_simulator_adapter::run;
use test_case::test_case;

fn frame(number: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let fields = [number, records.len() as u32, body.len() as u32 + 8];
    let header = fields.iter().flat_map(|field| field.to_be_bytes());
    header.chain(1_000_000u64.to_be_bytes()).chain(body).collect()
}

fn create(settings: &str) -> Vec<u8> {
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

const INSTANCE: &str = "0101 00000003";
const CACHE: &str = "0104 00 00000001 0000 0a124a07 1b5b 0001 01 3f800000 0000000000000000 00";
const LISTED: &str = "0100 01 00000029 00";
const REQUEST: &str =
    "0102 000fa47d5d3a91c4 00 0000 0000007c55d20a01 0003a980 44200000 41300000 40400000 0001";
const RETIRED: &str = "010a";

#[test]
fn empty_batch_has_empty_reply() {
    let (result, output) = run_to_end(&hex("00000001 00000000 00000008 0000000000805c5a"));
    assert_eq!((result, output), (Ok(()), hex("00000001 00000000 00000000")));
}

#[test]
fn request_becomes_attempt() {
    let batch = frame(7, &[hex(INSTANCE), create(SETTINGS), hex(CACHE), hex(LISTED), hex(REQUEST)]);
    let (result, output) = run_to_end(&batch);
    assert_eq!(result, Ok(()));
    // With neither parent nor origin listed the cache itself is named as the source: cached copies only.
    let attempt = "014c 000fa47d5d3a91c4 0a124a07 1b5b 0003a980 0a124a07 1b5b 01 00000000 00";
    assert_eq!(output[..12], hex("00000007 00000002 00000026"));
    assert_eq!(output[12..18], hex("014d 00000003"));
    assert_eq!(output[18..], hex(attempt)[..]);
}

#[test]
fn actions_of_a_retired_instance_are_void() {
    let first = [
        hex(INSTANCE),
        create(SETTINGS),
        hex(CACHE),
        hex(LISTED),
        hex(REQUEST),
        hex(RETIRED),
        create(SETTINGS),
    ];
    let (result, output) = run_to_end(&frame(1, &first));
    assert_eq!((result, output), (Ok(()), hex("00000001 00000000 00000000")));
}

#[test_case("peersTotal=1\n", "settings: peersTotal is missing"; "missing")]
#[test_case("limits.tryLimit=6", "settings: limits.tryLimit does not parse"; "malformed")]
fn settings_error_ends_the_instance_alone(key: &str, error: &str) {
    let replacement = if error.contains("missing") { "" } else { "limits.tryLimit=six" };
    let batch = frame(
        1,
        &[hex(INSTANCE), create(&SETTINGS.replace(key, replacement)), hex(CACHE), hex(LISTED), hex(REQUEST)],
    );
    let (result, output) = run_to_end(&batch);
    assert_eq!(result, Ok(()));
    assert_eq!(output[18..20], hex("0149")[..]);
    assert_eq!(&output[22..], error.as_bytes());
}

#[test_case(&hex("00000001 0000"), "frame cut short at byte 6"; "header cut")]
#[test_case(&hex("00000001 00000000 00000009 0000000000805c5a"), "frame cut short at byte 20"; "body cut")]
#[test_case(&hex("00000001 00000000 00000002 0000000000805c5a"), "length 2 does not hold the clock at byte 8"; "no clock")]
#[test_case(&frame(1, &[hex(INSTANCE), hex("0999")]), "unknown event code 2457 at byte 26"; "code")]
#[test_case(&frame(1, &[hex("0101 0000")]), "record runs past the end of its frame at byte 22"; "record cut")]
#[test_case(&frame(1, &[hex("0104 00 ffffffff")]), "record runs past the end of its frame at byte 27"; "count")]
#[test_case(&frame(1, &[hex("0104 10 00000000")]), "list number 16 is over 15 at byte 22"; "list number")]
#[test_case(&frame(1, &[hex(INSTANCE), create(SETTINGS), hex(LISTED)]), "list 0 was never sent"; "no such list")]
#[test_case(&frame(1, &[hex(INSTANCE), create(SETTINGS), hex(&REQUEST.replacen("c4 00", "c4 05", 1))]), "class 5 is not"; "class")]
#[test_case(&frame(1, &[hex(REQUEST)]), "event 258 before any instance was named at byte 20"; "no instance")]
#[test_case(&frame(1, &[hex(INSTANCE), hex(REQUEST)]), "event 258 for instance 3 that does not run"; "not running")]
fn malformed_input_ends_with_cause_and_place(input: &[u8], expected: &str) {
    let (result, _) = run_to_end(input);
    let error = result.expect_err("malformed input");
    assert!(error.starts_with(expected), "{error}");
    assert!(!error.contains('\n'));
}
