//! The line protocol between the dispatcher and its hosts: encodes requests and decodes responses.

use crate::MAX_BODY_BYTES;
use std::time::Duration;
use thiserror::Error;

/// Maximum length of a response's line in bytes, including its line end.
pub const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of a response in bytes: its line, its body and the CR LF after the body.
pub const MAX_RESPONSE_BYTES: usize = MAX_LINE_BYTES + MAX_BODY_BYTES + 2;

/// A request to a host for an object.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchRequest<'a> {
    /// Id of the request, which the response repeats.
    pub id: &'a str,
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the object.
    pub object: &'a str,
    /// Number of the object's part.
    pub part: u32,
    /// How long the dispatcher waits for the response.
    pub timeout: Duration,
    /// Name of the host from which the object may be filled; `None`: the host responds from its cache only.
    pub source: Option<&'a str>,
    /// Cache priority of the copy that the host stores; 0: the host's default.
    pub cache_priority: u8,
    /// Maximum age of a copy that may be served; `None`: its freshness lifetime.
    pub max_age: Option<Duration>,
    /// Whether the fill may share the transfer of another fill of the same object.
    pub coalesce: bool,
    /// Whether the source responds from its cache only.
    pub cached_at_source_only: bool,
    /// Whether the parent through which the object passes stores no copy.
    pub no_store_at_parent: bool,
    /// Whether the host revalidates its copy at the source.
    pub revalidate: bool,
    /// Entity tag of the client's copy; `None` if it has none.
    pub cached_tag: Option<&'a str>,
}

impl FetchRequest<'_> {
    /// Encodes the request as a line with an empty body.
    pub fn encode(&self) -> Vec<u8> {
        // Rounded down to whole milliseconds, but to at least 1: the host reads 0 as its default.
        let millis = |span: Duration| span.as_millis().max(1);
        let mut line = format!("want {} c={},k={},p={}", self.id, self.class, self.object, self.part);
        line += &format!(",w={}", millis(self.timeout));
        if let Some(source) = self.source {
            line += &format!(",from={source}");
        }
        if self.cache_priority > 0 {
            line += &format!(",rank={}", self.cache_priority);
        }
        if let Some(max_age) = self.max_age {
            line += &format!(",oldest={}", millis(max_age));
        }
        let modes = self.modes();
        if !modes.is_empty() {
            line += &format!(",mode={}", modes.join("+"));
        }
        if let Some(cached_tag) = self.cached_tag {
            line += &format!(",seen={cached_tag}");
        }
        line += " 0\r\n\r\n";
        line.into_bytes()
    }

    /// The names of the modes that are set.
    fn modes(&self) -> Vec<&'static str> {
        let modes = [
            (self.coalesce, "coalesce"),
            (self.cached_at_source_only, "shallow"),
            (self.no_store_at_parent, "transit"),
            (self.revalidate, "freshen"),
        ];
        modes.into_iter().filter(|(is_set, _)| *is_set).map(|(_, mode)| mode).collect()
    }
}

/// Encodes the cancellation of the request with this id.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    format!("never_mind {id}\r\n").into_bytes()
}

/// What a host has to report in response to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckKind {
    /// Whether the host responds.
    Liveness,
    /// Whether the host responds, and its load report.
    LoadReport,
}

/// Encodes a health check; the response repeats `tag` as its id.
pub fn encode_health_check(tag: &str, kind: HealthCheckKind) -> Vec<u8> {
    let command = match kind {
        HealthCheckKind::Liveness => "there",
        HealthCheckKind::LoadReport => "busy",
    };
    format!("{command} {tag}\r\n").into_bytes()
}

/// The status of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// The response has the object as its body.
    Data,
    /// The client's copy is current.
    NotModified,
    /// The host does not have the object.
    NotFound,
    /// The host has no capacity left.
    Overloaded,
    /// The host could not execute the request.
    Failed,
    /// The request was cancelled or expired before it was executed.
    NotExecuted,
    /// A health check succeeded.
    Healthy,
    /// A health check failed.
    Unhealthy,
}

/// How a host obtained the object, or why it could not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CacheNote {
    /// Served from its cache.
    Hit,
    /// Filled from the source.
    Filled,
    /// The source filled it from the origin.
    FilledByOrigin,
    /// Filled by a transfer that it shared with another request.
    Coalesced,
    /// Served as a stale copy from its cache.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source could not be reached.
    SourceUnreachable,
    /// The source does not have the object.
    SourceMiss,
    /// The host has no capacity for another fill.
    NoFillCapacity,
    /// The origin failed.
    OriginFailed,
}

const STATUSES: [(&str, Status); 8] = [
    ("data", Status::Data),
    ("unchanged", Status::NotModified),
    ("absent", Status::NotFound),
    ("full", Status::Overloaded),
    ("failed", Status::Failed),
    ("moot", Status::NotExecuted),
    ("well", Status::Healthy),
    ("ill", Status::Unhealthy),
];

const CACHE_NOTES: [(&str, CacheNote); 10] = [
    ("warm", CacheNote::Hit),
    ("fill", CacheNote::Filled),
    ("deep_fill", CacheNote::FilledByOrigin),
    ("piggy", CacheNote::Coalesced),
    ("aged", CacheNote::Stale),
    ("bounced", CacheNote::SourceRejected),
    ("dropped", CacheNote::SourceUnreachable),
    ("lacking", CacheNote::SourceMiss),
    ("jammed", CacheNote::NoFillCapacity),
    ("backfire", CacheNote::OriginFailed),
];

/// One value of a load report.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadValue {
    /// Name of the value; the settings list the names that are read.
    pub name: String,
    /// The value, in the unit that its name implies.
    pub value: f32,
}

/// A response of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostResponse {
    /// Id of the request or tag of the health check that the host responds to.
    pub id: String,
    /// The result of the request or health check.
    pub status: Status,
    /// How the host obtained the object; `None` if it did not report it.
    pub cache_note: Option<CacheNote>,
    /// How long the request waited for a fill; zero if the host reported none.
    pub fill_wait: Duration,
    /// Entity tag; empty if unknown.
    pub tag: String,
    /// Unix milliseconds at which the origin served the copy; `None` if unknown.
    pub created_at_ms: Option<u64>,
    /// The load report in the order that the host sent it; empty if it sent none.
    pub load: Vec<LoadValue>,
    /// The object's bytes.
    pub body: Vec<u8>,
}

/// A decoded response and its length.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedResponse {
    /// The number of bytes that the response takes at the start of the input.
    pub length: usize,
    /// The response.
    pub response: HostResponse,
}

/// Why bytes from a host are not a valid response. The connection can't be used after any of these errors.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// A line without a line end within [`MAX_LINE_BYTES`].
    #[error("line longer than {} bytes", MAX_LINE_BYTES)]
    LineTooLong,
    /// A line that ends in a bare line feed.
    #[error("line does not end in CR LF")]
    BareLineFeed,
    /// A line that is not UTF-8.
    #[error("line is not UTF-8")]
    NotUtf8,
    /// A line that does not have exactly four words.
    #[error("line does not have four words: {0:?}")]
    WordCount(String),
    /// A status that the protocol doesn't know.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// A body length that is not a whole number.
    #[error("invalid body length {0:?}")]
    InvalidLength(String),
    /// A body of more than [`MAX_BODY_BYTES`].
    #[error("body of {0} bytes is longer than {max} bytes", max = MAX_BODY_BYTES)]
    BodyTooLong(usize),
    /// A body that is not followed by CR LF at its announced length.
    #[error("no CR LF after the announced length of the body")]
    UnterminatedBody,
    /// A field without a value, or with an invalid one.
    #[error("invalid field {0:?}")]
    InvalidField(String),
}

/// Decodes the response at the start of `bytes`. Returns `None` while the response is incomplete.
pub fn decode_response(bytes: &[u8]) -> Result<Option<DecodedResponse>, DecodeError> {
    let Some(line_end) = bytes.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if bytes.len() < MAX_LINE_BYTES { Ok(None) } else { Err(DecodeError::LineTooLong) };
    };
    let line = bytes[..line_end].strip_suffix(b"\r").ok_or(DecodeError::BareLineFeed)?;
    let line = std::str::from_utf8(line).map_err(|_| DecodeError::NotUtf8)?;
    let line = ResponseLine::parse(line)?;
    let body_start = line_end + 1;
    let body_end = body_start + line.length;
    let Some(terminator) = bytes.get(body_end..body_end + 2) else { return Ok(None) };
    if terminator != b"\r\n" {
        return Err(DecodeError::UnterminatedBody);
    }
    let response = line.into_response(&bytes[body_start..body_end])?;
    Ok(Some(DecodedResponse { length: body_end + 2, response }))
}

/// The line of a response, before its fields are parsed.
struct ResponseLine<'a> {
    id: &'a str,
    status: Status,
    fields: &'a str,
    /// Length of the body in bytes.
    length: usize,
}

impl<'a> ResponseLine<'a> {
    fn parse(line: &'a str) -> Result<Self, DecodeError> {
        let mut words = line.split(' ');
        let (Some(id), Some(status), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            return Err(DecodeError::WordCount(line.to_string()));
        };
        let status =
            lookup(&STATUSES, status).ok_or_else(|| DecodeError::UnknownStatus(status.to_string()))?;
        let length = parse_length(length)?;
        Ok(ResponseLine { id, status, fields, length })
    }

    fn into_response(self, body: &[u8]) -> Result<HostResponse, DecodeError> {
        let mut response = HostResponse {
            id: self.id.to_string(),
            status: self.status,
            cache_note: None,
            fill_wait: Duration::ZERO,
            tag: String::new(),
            created_at_ms: None,
            load: Vec::new(),
            body: body.to_vec(),
        };
        for field in self.fields.split(',').filter(|_| self.fields != "-") {
            read_field(&mut response, field).ok_or_else(|| DecodeError::InvalidField(field.to_string()))?;
        }
        Ok(response)
    }
}

fn parse_length(text: &str) -> Result<usize, DecodeError> {
    let has_only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| has_only_digits);
    let length = length.ok_or_else(|| DecodeError::InvalidLength(text.to_string()))?;
    if length > MAX_BODY_BYTES {
        return Err(DecodeError::BodyTooLong(length));
    }
    Ok(length)
}

/// Reads one field into the response. Returns `None` if the field has no value or an invalid one; unknown fields are
/// ignored.
fn read_field(response: &mut HostResponse, field: &str) -> Option<()> {
    let (name, value) = field.split_once('=')?;
    match name {
        "note" => response.cache_note = Some(lookup(&CACHE_NOTES, value)?),
        "waited" => {
            let millis = value.parse::<f64>().ok()?;
            response.fill_wait = Duration::try_from_secs_f64(millis / 1e3).ok()?;
        }
        "ver" => response.tag = value.to_string(),
        "born" => {
            let created_at = value.parse::<f64>().ok().filter(|millis| *millis >= 0.0)?;
            response.created_at_ms = Some(created_at as u64);
        }
        "load" => {
            for entry in value.split(';') {
                let (name, value) = entry.split_once(':')?;
                let value = value.parse().ok()?;
                response.load.push(LoadValue { name: name.to_string(), value });
            }
        }
        _ => {}
    }
    Some(())
}

/// The value that a table has for a text on the wire.
fn lookup<T: Copy>(table: &[(&str, T)], text: &str) -> Option<T> {
    table.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
}
