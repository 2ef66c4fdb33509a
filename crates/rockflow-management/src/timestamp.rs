//! Conversion between Unix time and RFC 3339 timestamps.

use std::time::Duration;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

const NANOS_PER_MILLI: i128 = 1_000_000;

/// Formats a Unix time as a timestamp in UTC, truncated to whole milliseconds.
pub fn format(unix_time: Duration) -> String {
    let nanos = unix_time.as_millis() as i128 * NANOS_PER_MILLI;
    let date_time = OffsetDateTime::from_unix_timestamp_nanos(nanos).unwrap_or(OffsetDateTime::UNIX_EPOCH);
    date_time.format(&Rfc3339).unwrap_or_default()
}

/// Parses a timestamp into Unix time; `None` where the text is no timestamp, or one before 1970.
pub fn parse(text: &str) -> Option<Duration> {
    let date_time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    let nanos = u64::try_from(date_time.unix_timestamp_nanos()).ok()?;
    Some(Duration::from_nanos(nanos))
}
