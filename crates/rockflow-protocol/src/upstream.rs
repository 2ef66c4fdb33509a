//! The lines between a dispatcher and its hosts: requests out, answers in.

use crate::MAX_BODY;
use std::time::Duration;

/// The longest line of an answer that is read.
pub const MAX_LINE_BYTES: usize = 4096;
/// What a connection to a host must be able to hold: one answer.
pub const MAX_RESPONSE_BYTES: usize = MAX_LINE_BYTES + MAX_BODY + 2;

/// What a attempt asks of a host, in the protocol's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchRequest<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub object: &'a str,
    pub part: u32,
    pub timeout: Duration,
    pub source: Option<&'a str>,
    pub cache_priority: u8,
    pub max_age: Option<Duration>,
    pub coalesce: bool,
    pub cached_at_source_only: bool,
    pub no_store_at_parent: bool,
    pub revalidate: bool,
    pub cached_tag: Option<&'a str>,
}

impl FetchRequest<'_> {
    pub fn encode(&self) -> Vec<u8> {
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
            // Rounded down, but not to 0, which would stand for the fresh time.
            line += &format!(",oldest={}", millis(max_age));
        }
        let words = [
            (self.coalesce, "coalesce"),
            (self.cached_at_source_only, "shallow"),
            (self.no_store_at_parent, "transit"),
            (self.revalidate, "freshen"),
        ];
        let words: Vec<_> = words.iter().filter(|(on, _)| *on).map(|(_, status)| *status).collect();
        if !words.is_empty() {
            line += &format!(",mode={}", words.join("+"));
        }
        if let Some(cached_tag) = self.cached_tag {
            line += &format!(",seen={cached_tag}");
        }
        (line + " 0\r\n\r\n").into_bytes()
    }
}

pub fn encode_cancel(id: &str) -> Vec<u8> {
    format!("never_mind {id}\r\n").into_bytes()
}

/// Asks whether a host is there; with its load report where there is one.
pub fn encode_health_check(tag: &str, load: bool) -> Vec<u8> {
    format!("{} {tag}\r\n", if load { "busy" } else { "there" }).into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Data,
    NotModified,
    NotFound,
    Overloaded,
    Failed,
    NotExecuted,
    Healthy,
    Unhealthy,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CacheNote {
    Hit,
    Filled,
    FilledByOrigin,
    Coalesced,
    Stale,
    SourceRejected,
    SourceUnreachable,
    SourceMiss,
    NoFillCapacity,
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

#[derive(Clone, Debug, PartialEq)]
pub struct HostResponse {
    pub id: String,
    pub status: Status,
    pub cache_note: Option<CacheNote>,
    pub fill_wait: Duration,
    pub tag: String,
    /// Unix milliseconds at which the origin gave the copy out.
    pub created_at_ms: Option<u64>,
    pub load: Vec<(String, f32)>,
    pub body: Vec<u8>,
}

fn find<T: Copy>(table: &[(&str, T)], text: &str) -> Option<T> {
    table.iter().find(|(status, _)| *status == text).map(|(_, value)| *value)
}

/// Reads one answer and says how many bytes it took. None: it has not come whole yet.
pub fn decode_response(bytes: &[u8]) -> Result<Option<(usize, HostResponse)>, String> {
    let Some(line_end) = bytes.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if bytes.len() < MAX_LINE_BYTES { Ok(None) } else { Err("a line without end".to_string()) };
    };
    let line = bytes[..line_end].strip_suffix(b"\r").ok_or("a line that does not end in CR LF")?;
    let line = std::str::from_utf8(line).map_err(|_| "a line that is no text")?;
    let mut words = line.split(' ');
    let (Some(id), Some(status), Some(fields), Some(length), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(format!("not four words: {line:?}"));
    };
    let status = find(&STATUSES, status).ok_or_else(|| format!("unknown word {status:?}"))?;
    let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    let length: usize = length.parse().ok().filter(|_| digits).ok_or_else(|| format!("length {length:?}"))?;
    if length > MAX_BODY {
        return Err(format!("a body of {length} bytes"));
    }
    let (from, to) = (line_end + 1, line_end + 1 + length);
    let Some(end) = bytes.get(to..to + 2) else { return Ok(None) };
    if end != b"\r\n" {
        return Err("a body that is longer than its length".to_string());
    }
    let mut response = HostResponse {
        id: id.to_string(),
        status,
        cache_note: None,
        fill_wait: Duration::ZERO,
        tag: String::new(),
        created_at_ms: None,
        load: Vec::new(),
        body: bytes[from..to].to_vec(),
    };
    for field in fields.split(',').filter(|_| fields != "-") {
        let (name, value) = field.split_once('=').ok_or_else(|| format!("field {field:?}"))?;
        let bad = || format!("field {field:?}");
        match name {
            "note" => response.cache_note = Some(find(&CACHE_NOTES, value).ok_or_else(bad)?),
            "waited" => {
                let millis = value.parse::<f64>().map_err(|_| bad())?;
                response.fill_wait = Duration::try_from_secs_f64(millis / 1e3).map_err(|_| bad())?;
            }
            "ver" => response.tag = value.to_string(),
            "born" => {
                response.created_at_ms = Some(
                    value.parse::<f64>().ok().filter(|created_at_ms| *created_at_ms >= 0.0).ok_or_else(bad)?
                        as u64,
                )
            }
            "load" => {
                for value in value.split(';') {
                    let (name, value) = value.split_once(':').ok_or_else(bad)?;
                    response.load.push((name.to_string(), value.parse().map_err(|_| bad())?));
                }
            }
            _ => {}
        }
    }
    Ok(Some((to + 2, response)))
}
