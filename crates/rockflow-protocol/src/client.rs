//! HTTP/1.1 between clients and the dispatcher: decodes request heads and encodes response heads.

use std::time::Duration;

/// Maximum length of a request head in bytes, including empty lines before it. A longer one is rejected.
pub const MAX_HEAD_BYTES: usize = 8192;
const MAX_HEADERS: usize = 64;
/// The prefix of every request that can be served.
const REQUEST_START: &[u8] = b"GET /";
/// Maximum length of a class name, object name or entity tag, in bytes.
const MAX_TOKEN_BYTES: usize = 128;
// Maximum values of the numeric headers and of the part number. A request with a larger value is rejected.
const MAX_TIME_LIMIT_MS: f64 = 3_600_000.0;
const MAX_SIZE_KB: f64 = 4_000_000.0;
const MAX_PART: f64 = 1_000_000.0;
const MAX_GROUP: f64 = 255.0;

/// A request for an object, as the client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The client's id of the request: 16 hexadecimal digits.
    pub call_id: String,
    /// Name of the request class.
    pub class: String,
    /// Name of the object.
    pub object: String,
    /// Number of the object's part.
    pub part: u32,
    /// Number of the object's group; a purge can name a group instead of an object.
    pub group: u64,
    /// How long the client waits for the response, from the arrival of the request.
    pub time_limit: Duration,
    /// Expected size of the response in kB; 0 if unknown.
    pub size_kb: f64,
    /// Entity tag, without quotes, of the client's copy; `None` if it has no copy or its tag can't be sent to a host.
    pub cached_tag: Option<String>,
}

/// An HTTP status with its reason phrase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus {
    /// Status code.
    pub code: u16,
    /// Reason phrase.
    pub reason: &'static str,
}

impl HttpStatus {
    /// Creates a status from its code and reason phrase.
    pub const fn new(code: u16, reason: &'static str) -> Self {
        HttpStatus { code, reason }
    }
}

/// What a request head asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedRequest {
    /// A health check: whether the dispatcher can serve requests.
    HealthCheck,
    /// A request for an object.
    Fetch(Box<ClientRequest>),
    /// A request that can't be served, with the status of the response.
    Invalid(HttpStatus),
}

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// More requests may follow.
    KeepAlive,
    /// The connection is closed after the response.
    Close,
}

/// A decoded request head.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Length of the head in bytes, including empty lines before it. If the end of the request is unknown, the length
    /// of the whole input.
    pub length: usize,
    /// Whether the connection stays open after the response.
    pub persistence: Persistence,
    /// The request, or why it can't be served.
    pub request: ParsedRequest,
}

/// Decodes the request head at the start of `bytes`. Returns `None` while the head is incomplete.
pub fn decode_request(bytes: &[u8]) -> Option<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    // The end of a malformed request, or of one with a body, is unknown: nothing after it can be read.
    let invalid = |status| {
        let request = ParsedRequest::Invalid(status);
        Some(RequestHead { length: bytes.len(), persistence: Persistence::Close, request })
    };
    let length = match parse_head(bytes, &mut parsed) {
        Ok(length) => length?,
        Err(status) => return invalid(status),
    };
    let fields = Fields(parsed.headers);
    if fields.announces_body() {
        return invalid(HttpStatus::new(413, "a body where none belongs"));
    }
    let persistence = fields.persistence(parsed.version);
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let request = parse_request(method, target, &fields).unwrap_or_else(ParsedRequest::Invalid);
    Some(RequestHead { length, persistence, request })
}

/// Parses the head at the start of `bytes` and returns its length, including empty lines before it, or `None` while it
/// is incomplete. The error is the status of the response.
fn parse_head<'b>(
    bytes: &'b [u8],
    parsed: &mut httparse::Request<'_, 'b>,
) -> Result<Option<usize>, HttpStatus> {
    let empty_lines = count_empty_line_bytes(bytes);
    match parsed.parse(&bytes[empty_lines..]) {
        Ok(httparse::Status::Complete(length)) if empty_lines + length <= MAX_HEAD_BYTES => {
            Ok(Some(empty_lines + length))
        }
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpStatus::new(431, "head too long")),
        Err(_) => Err(HttpStatus::new(400, "malformed head")),
    }
}

/// The length of the empty lines at the start of `bytes`. Clients may send such lines between requests.
fn count_empty_line_bytes(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
}

/// What a client has sent after a request whose response is not complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelinedBytes {
    /// No bytes, or only empty lines.
    Nothing,
    /// The beginning of another request's head.
    PartialRequest,
    /// The complete head of another request.
    Request,
    /// Bytes that can't be the beginning of a request that is served.
    Unusable,
}

/// Classifies the bytes after a request by their content alone.
pub fn classify_pipelined(bytes: &[u8]) -> PipelinedBytes {
    let head = &bytes[count_empty_line_bytes(bytes)..];
    if head.is_empty() {
        return PipelinedBytes::Nothing;
    }
    let start = &head[..head.len().min(REQUEST_START.len())];
    if !REQUEST_START.starts_with(start) {
        return PipelinedBytes::Unusable;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match parse_head(bytes, &mut httparse::Request::new(&mut headers)) {
        Ok(Some(_)) => PipelinedBytes::Request,
        Ok(None) => PipelinedBytes::PartialRequest,
        Err(_) => PipelinedBytes::Unusable,
    }
}

/// A response to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The object was obtained and is sent.
    Succeeded {
        /// Entity tag without quotes; empty if unknown.
        tag: String,
        /// The object's bytes.
        body: Vec<u8>,
    },
    /// The client's copy is current, so no body is sent.
    NotModified {
        /// Entity tag without quotes; empty if unknown.
        tag: String,
    },
    /// The request was rejected by load shedding.
    Rejected {
        /// How long the client should wait before it retries; `None`: the response gives no time.
        retry_after: Option<Duration>,
    },
    /// No attempt succeeded in time.
    Failed,
    /// The health check succeeded: the dispatcher can serve requests.
    Healthy,
    /// The request can't be served, for the reason that the status gives.
    Invalid(HttpStatus),
}

impl Response {
    fn status(&self) -> HttpStatus {
        match self {
            Response::Succeeded { .. } | Response::Healthy => HttpStatus::new(200, "OK"),
            Response::NotModified { .. } => HttpStatus::new(304, "Not Modified"),
            Response::Rejected { .. } => HttpStatus::new(503, "Service Unavailable"),
            Response::Failed => HttpStatus::new(502, "Bad Gateway"),
            Response::Invalid(status) => *status,
        }
    }
}

/// Encodes the head of a response. The caller sends the body of [`Response::Succeeded`] after it.
pub fn encode_response(response: &Response, persistence: Persistence) -> Vec<u8> {
    let HttpStatus { code, reason } = response.status();
    let mut head = format!("HTTP/1.1 {code} {reason}\r\n");
    let length = if let Response::Succeeded { body, .. } = response { body.len() } else { 0 };
    if !matches!(response, Response::NotModified { .. }) {
        head += &format!("Content-Length: {length}\r\n");
    }
    match response {
        Response::Succeeded { tag, .. } | Response::NotModified { tag } if !tag.is_empty() => {
            head += &format!("ETag: \"{tag}\"\r\n");
        }
        Response::Rejected { retry_after: Some(delay) } => {
            head += &format!("X-Come-Back-Ms: {}\r\n", delay.as_millis());
        }
        _ => {}
    }
    head += match persistence {
        Persistence::KeepAlive => "\r\n",
        Persistence::Close => "Connection: close\r\n\r\n",
    };
    head.into_bytes()
}

/// A header field that appears more than once or is not UTF-8.
struct UnusableField;

/// The header fields of a request.
struct Fields<'a>(&'a [httparse::Header<'a>]);

impl<'a> Fields<'a> {
    /// The values of all fields with this name, which is compared without regard to case.
    fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a [u8]> + 's {
        self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    }

    /// The trimmed value of a field that may appear at most once; `None` if it is missing.
    fn single(&self, name: &str) -> Result<Option<&'a str>, UnusableField> {
        let mut values = self.all(name);
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => {
                let text = std::str::from_utf8(value).map_err(|_| UnusableField)?;
                Ok(Some(text.trim()))
            }
            _ => Err(UnusableField),
        }
    }

    /// The value of a field as a decimal number up to `max`; `None` if it is missing. Any other value is rejected with
    /// status 400 and the field's name as reason.
    fn number(&self, name: &'static str, max: f64) -> Result<Option<f64>, HttpStatus> {
        let invalid = HttpStatus::new(400, name);
        let text = self.single(name).map_err(|_| invalid)?;
        text.map(|text| parse_decimal(text, max).ok_or(invalid)).transpose()
    }

    /// Whether a body follows the head. All `Content-Length` fields are checked: an overlooked body would be read as
    /// the next request (request smuggling).
    fn announces_body(&self) -> bool {
        let mut lengths = self.all("content-length").map(<[u8]>::trim_ascii);
        self.all("transfer-encoding").next().is_some() || lengths.any(|length| length != b"0")
    }

    fn persistence(&self, minor_version: Option<u8>) -> Persistence {
        let connection = self.single("connection").ok().flatten().unwrap_or("").to_ascii_lowercase();
        let has_token = |wanted: &str| connection.split(',').any(|token| token.trim() == wanted);
        let keep_alive = if minor_version == Some(1) { !has_token("close") } else { has_token("keep-alive") };
        if keep_alive {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        }
    }
}

fn parse_request(method: &str, target: &str, fields: &Fields) -> Result<ParsedRequest, HttpStatus> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let class_and_object = path.strip_prefix("/invoke/").and_then(|rest| rest.split_once('/'));
    if path != "/_health" && class_and_object.is_none() {
        return Err(HttpStatus::new(404, "unknown path"));
    }
    if method != "GET" {
        return Err(HttpStatus::new(405, "unknown method"));
    }
    match class_and_object {
        None => Ok(ParsedRequest::HealthCheck),
        Some((class, object)) => {
            let request = parse_fetch(class, object, query, fields)?;
            Ok(ParsedRequest::Fetch(Box::new(request)))
        }
    }
}

fn parse_fetch(class: &str, object: &str, query: &str, fields: &Fields) -> Result<ClientRequest, HttpStatus> {
    let bad_request = |reason| HttpStatus::new(400, reason);
    let call_id = fields.single("x-call-id").ok().flatten();
    let call_id = call_id.filter(|id| id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit()));
    let time_limit_ms =
        fields.number("X-Patience-Ms", MAX_TIME_LIMIT_MS)?.ok_or(bad_request("X-Patience-Ms"))?;
    let size_kb = fields.number("X-Heap-Kb", MAX_SIZE_KB)?.unwrap_or(0.0);
    let group = fields.number("X-Group", MAX_GROUP)?.filter(|group| group.fract() == 0.0);
    let cached_tag = fields.single("if-none-match").map_err(|_| bad_request("If-None-Match"))?;
    Ok(ClientRequest {
        call_id: call_id.ok_or(bad_request("X-Call-Id"))?.to_string(),
        class: parse_token(class).ok_or(bad_request("class"))?,
        object: parse_token(object).filter(|object| !object.contains('/')).ok_or(bad_request("object"))?,
        part: parse_part(query).ok_or(bad_request("part"))?,
        group: group.ok_or(bad_request("X-Group"))? as u64,
        time_limit: Duration::from_secs_f64(time_limit_ms / 1e3),
        size_kb,
        // A tag that can't be passed on to a host is ignored.
        cached_tag: cached_tag.and_then(parse_tag),
    })
}

/// The part number of a query string: 0 if it is empty, `None` if it is not `part=` with a valid number.
fn parse_part(query: &str) -> Option<u32> {
    if query.is_empty() {
        return Some(0);
    }
    let part = parse_decimal(query.strip_prefix("part=")?, MAX_PART)?;
    (part.fract() == 0.0).then_some(part as u32)
}

/// The content of a weak or strong entity tag; `None` if it is malformed or can't be sent to a host.
fn parse_tag(text: &str) -> Option<String> {
    let quoted = text.trim_start_matches("W/").strip_prefix('"')?;
    quoted.strip_suffix('"').and_then(parse_token)
}

/// Parses a number up to `max` that has digits and perhaps a decimal point, but no sign or exponent.
fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let has_no_sign_or_exponent = text.starts_with(|first: char| first.is_ascii_digit())
        && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number| has_no_sign_or_exponent && *number <= max)
}

/// The text as an owned name or tag; `None` if it is empty, too long or can't be part of a line to a host.
fn parse_token(text: &str) -> Option<String> {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b",=\"%;&?".contains(&byte);
    let is_valid = !text.is_empty() && text.len() <= MAX_TOKEN_BYTES && text.bytes().all(is_allowed);
    is_valid.then(|| text.to_string())
}
