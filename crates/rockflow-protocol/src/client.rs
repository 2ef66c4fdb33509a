//! HTTP/1.1 as clients speak it: heads in, answers out.

use std::time::Duration;

/// The longest head that is read.
pub const MAX_HEAD_BYTES: usize = 8192;
const MAX_HEADERS: usize = 64;
const MAX_TOKEN: usize = 128;
/// Figures past these are out of range: an hour's wait, a part of 4 GB.
const MAX_PATIENCE_MS: f64 = 3_600_000.0;
const MAX_SIZE_KB: f64 = 4_000_000.0;
const MAX_PART: f64 = 1_000_000.0;
const MAX_GROUP: f64 = 255.0;

/// A request as the client worded it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    pub call_id: String,
    pub class: String,
    pub object: String,
    pub part: u32,
    pub group: u64,
    pub time_limit: Duration,
    pub size_kb: f64,
    /// The bare tag of the copy that the client has.
    pub cached_tag: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ParsedRequest {
    HealthCheck,
    Fetch(Box<ClientRequest>),
    /// What can't be taken, with the status that says why.
    Invalid(u16, &'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    pub length: usize,
    pub keep_alive: bool,
    pub request: ParsedRequest,
}

/// Reads one head. None: it has not come whole yet.
pub fn decode_request(bytes: &[u8]) -> Option<RequestHead> {
    // Clients may send empty lines between requests.
    let blank = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let wrong = |status, why| {
        Some(RequestHead {
            length: bytes.len(),
            keep_alive: false,
            request: ParsedRequest::Invalid(status, why),
        })
    };
    let length = match parsed.parse(&bytes[blank..]) {
        Ok(httparse::Status::Complete(length)) if blank + length <= MAX_HEAD_BYTES => blank + length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return None,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return wrong(431, "head too long"),
        Err(_) => return wrong(400, "malformed head"),
    };
    let fields = Fields(parsed.headers);
    // Each length counts, however it is written: what is taken for no body here may hide a request.
    let lengths = fields.named("content-length");
    if fields.named("transfer-encoding").next().is_some()
        || lengths.map(<[u8]>::trim_ascii).any(|n| n != b"0")
    {
        // What follows can't be told from the next request.
        return wrong(413, "a body where none belongs");
    }
    let asked = fields.one("connection").ok().flatten().unwrap_or("").to_ascii_lowercase();
    let named = |word: &str| asked.split(',').any(|token| token.trim() == word);
    let keep_alive = if parsed.version == Some(1) { !named("close") } else { named("keep-alive") };
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let request =
        request(method, target, &fields).unwrap_or_else(|(status, why)| ParsedRequest::Invalid(status, why));
    Some(RequestHead { length, keep_alive, request })
}

struct Fields<'a>(&'a [httparse::Header<'a>]);

impl<'a> Fields<'a> {
    fn named<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a [u8]> + 's {
        self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    }

    /// A field that may be there once; said twice it says nothing that can be relied on.
    fn one(&self, name: &str) -> Result<Option<&'a str>, ()> {
        let mut named = self.named(name);
        match (named.next(), named.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => std::str::from_utf8(value).map(|text| Some(text.trim())).map_err(|_| ()),
            _ => Err(()),
        }
    }
}

/// A number in digits, with a point or without; what else `parse` would take is no figure of the protocol.
fn decimal(text: &str, most: f64) -> Option<f64> {
    let plain = text.starts_with(|first: char| first.is_ascii_digit())
        && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|n| plain && *n <= most)
}

/// A word that can stand on a host's line.
fn token(text: &str) -> Option<String> {
    let fits = |byte: u8| byte.is_ascii_graphic() && !b",=\"%;&?".contains(&byte);
    (!text.is_empty() && text.len() <= MAX_TOKEN && text.bytes().all(fits)).then(|| text.to_string())
}

fn request(method: &str, target: &str, fields: &Fields) -> Result<ParsedRequest, (u16, &'static str)> {
    let (path, arguments) = target.split_once('?').unwrap_or((target, ""));
    let names = path.strip_prefix("/invoke/").and_then(|rest| rest.split_once('/'));
    if path != "/_health" && names.is_none() {
        return Err((404, "unknown path"));
    }
    if method != "GET" {
        return Err((405, "unknown method"));
    }
    let Some((class, object)) = names else { return Ok(ParsedRequest::HealthCheck) };
    let part = match arguments.strip_prefix("part=") {
        _ if arguments.is_empty() => Some(0.0),
        part => part.and_then(|part| decimal(part, MAX_PART)).filter(|part| part.fract() == 0.0),
    };
    let call_id = fields.one("x-call-id").ok().flatten();
    let call_id = call_id.filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
    let figure = |name: &'static str, most: f64| {
        let text = fields.one(name).map_err(|_| (400, name))?;
        text.map(|text| decimal(text, most).ok_or((400, name))).transpose()
    };
    let time_limit = figure("X-Patience-Ms", MAX_PATIENCE_MS)?.ok_or((400, "X-Patience-Ms"))?;
    let size_kb = figure("X-Heap-Kb", MAX_SIZE_KB)?.unwrap_or(0.0);
    let group = figure("X-Group", MAX_GROUP)?.filter(|group| group.fract() == 0.0);
    let cached_tag = fields.one("if-none-match").map_err(|_| (400, "If-None-Match"))?;
    let tag = |text: &str| text.trim_start_matches("W/").strip_prefix('"')?.strip_suffix('"').and_then(token);
    Ok(ParsedRequest::Fetch(Box::new(ClientRequest {
        call_id: call_id.ok_or((400, "X-Call-Id"))?.to_string(),
        class: token(class).ok_or((400, "class"))?,
        object: token(object).filter(|object| !object.contains('/')).ok_or((400, "object"))?,
        part: part.ok_or((400, "part"))? as u32,
        group: group.ok_or((400, "X-Group"))? as u64,
        time_limit: Duration::from_secs_f64(time_limit / 1e3),
        size_kb,
        // A tag that can't be passed on is as good as none.
        cached_tag: cached_tag.and_then(tag),
    })))
}

/// The one answer to a request, and what is said to other requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Succeeded {
        tag: String,
        body: Vec<u8>,
    },
    /// The client's copy is the one that would be served.
    NotModified {
        tag: String,
    },
    Rejected {
        retry_after: Option<Duration>,
    },
    Failed,
    Healthy,
    Invalid(u16, &'static str),
}

/// The head of an answer; the body, if there is one, follows it.
pub fn encode_response(response: &Response, keep_alive: bool) -> Vec<u8> {
    let (status, reason) = match response {
        Response::Succeeded { .. } | Response::Healthy => (200, "OK"),
        Response::NotModified { .. } => (304, "Not Modified"),
        Response::Rejected { .. } => (503, "Service Unavailable"),
        Response::Failed => (502, "Bad Gateway"),
        Response::Invalid(status, why) => (*status, *why),
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    let length = if let Response::Succeeded { body, .. } = response { body.len() } else { 0 };
    if !matches!(response, Response::NotModified { .. }) {
        head += &format!("Content-Length: {length}\r\n");
    }
    match response {
        Response::Succeeded { tag, .. } | Response::NotModified { tag } if !tag.is_empty() => {
            head += &format!("ETag: \"{tag}\"\r\n");
        }
        Response::Rejected { retry_after: Some(retry_after) } => {
            head += &format!("X-Come-Back-Ms: {}\r\n", retry_after.as_millis());
        }
        _ => {}
    }
    head += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
    head.into_bytes()
}
