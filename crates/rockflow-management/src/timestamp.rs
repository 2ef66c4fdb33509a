//! Dates and times as text (RFC 3339), to and from spans of Unix time.

use std::time::Duration;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// In whole milliseconds, which is what others compare.
pub fn format(at: Duration) -> String {
    let nanos = at.as_millis() as i128 * 1_000_000;
    let moment = OffsetDateTime::from_unix_timestamp_nanos(nanos).unwrap_or(OffsetDateTime::UNIX_EPOCH);
    moment.format(&Rfc3339).unwrap_or_default()
}

/// None: no date and time, or one before 1970.
pub fn parse(text: &str) -> Option<Duration> {
    let moment = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    let nanos = u64::try_from(moment.unix_timestamp_nanos()).ok()?;
    Some(Duration::from_nanos(nanos))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn offsets_count_and_milliseconds_stay() {
        assert_eq!(parse("1970-01-01T02:00:00.5+02:00"), Some(Duration::from_millis(500)));
        let at = Duration::from_millis(1_780_000_000_123);
        assert_eq!(parse(&format(at)), Some(at));
        assert_eq!(parse("1969-12-31T23:59:59Z"), None);
        assert_eq!(parse("2026-13-01T00:00:00Z"), None);
    }
}
