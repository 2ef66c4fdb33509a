//! Parsing and formatting of RFC 3339 timestamps.

use rockflow_management::timestamp::{format, parse};
use std::time::Duration;

#[test]
fn applies_offsets_and_keeps_milliseconds() {
    assert_eq!(parse("1970-01-01T02:00:00.5+02:00"), Some(Duration::from_millis(500)));
    let time = Duration::from_millis(1_780_000_000_123);
    assert_eq!(parse(&format(time)), Some(time));
    assert_eq!(parse("1969-12-31T23:59:59Z"), None);
    assert_eq!(parse("2026-13-01T00:00:00Z"), None);
}
