//! HTTP/1.1 as clients speak it: heads in, answers out.

use std::time::Duration;

/// The longest head that is read.
pub const MOST_HEAD: usize = 8192;
const MOST_HEADERS: usize = 64;
const MOST_TOKEN: usize = 128;
/// No client waits longer than this; a longer wait is not believed.
const MOST_PATIENCE: Duration = Duration::from_secs(3600);

/// A query as the client worded it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub call_id: String,
    pub product: String,
    pub object: String,
    pub part: u32,
    pub group: u64,
    pub patience: Duration,
    pub size_kb: f64,
    /// The bare tag of the copy that the client has.
    pub seen: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    Health,
    Ask(Box<Ask>),
    /// What can't be taken, with the status that says why.
    Wrong(u16, &'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub length: usize,
    pub keep: bool,
    pub request: Request,
}

/// Reads one head. None: it has not come whole yet.
pub fn decode(bytes: &[u8]) -> Option<Head> {
    // Clients may send empty lines between requests.
    let blank = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let wrong =
        |status, why| Some(Head { length: bytes.len(), keep: false, request: Request::Wrong(status, why) });
    let length = match parsed.parse(&bytes[blank..]) {
        Ok(httparse::Status::Complete(length)) if blank + length <= MOST_HEAD => blank + length,
        Ok(httparse::Status::Partial) if bytes.len() < MOST_HEAD => return None,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return wrong(431, "head too long"),
        Err(_) => return wrong(400, "malformed head"),
    };
    let fields = Fields(parsed.headers);
    let body =
        fields.has("transfer-encoding") || fields.text("content-length").is_some_and(|n| n.trim() != "0");
    if body {
        // What follows can't be told from the next request.
        return wrong(413, "a body where none belongs");
    }
    let asked = fields.text("connection").unwrap_or("").to_ascii_lowercase();
    let named = |word: &str| asked.split(',').any(|token| token.trim() == word);
    let keep = if parsed.version == Some(1) { !named("close") } else { named("keep-alive") };
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let request =
        request(method, target, &fields).unwrap_or_else(|(status, why)| Request::Wrong(status, why));
    Some(Head { length, keep, request })
}

struct Fields<'a>(&'a [httparse::Header<'a>]);

impl<'a> Fields<'a> {
    fn has(&self, name: &str) -> bool {
        self.0.iter().any(|header| header.name.eq_ignore_ascii_case(name))
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        let header = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    }
}

/// A word that can stand on a host's line.
fn token(text: &str) -> Option<String> {
    let fits = |byte: u8| byte.is_ascii_graphic() && !b",=\"%;&?".contains(&byte);
    (!text.is_empty() && text.len() <= MOST_TOKEN && text.bytes().all(fits)).then(|| text.to_string())
}

fn request(method: &str, target: &str, fields: &Fields) -> Result<Request, (u16, &'static str)> {
    let (path, arguments) = target.split_once('?').unwrap_or((target, ""));
    let names = path.strip_prefix("/invoke/").and_then(|rest| rest.split_once('/'));
    if path != "/_health" && names.is_none() {
        return Err((404, "unknown path"));
    }
    if method != "GET" {
        return Err((405, "unknown method"));
    }
    let Some((product, object)) = names else { return Ok(Request::Health) };
    let number = |text: &str| text.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
    let part = arguments.split('&').find_map(|argument| argument.strip_prefix("part="));
    let call_id =
        fields.text("x-call-id").filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
    let patience = fields.text("x-patience-ms").and_then(number).ok_or((400, "X-Patience-Ms"))?;
    let size_kb = fields.text("x-heap-kb").map_or(Some(0.0), number).ok_or((400, "X-Heap-Kb"))?;
    let group = fields.text("x-group").and_then(|group| group.parse::<u64>().ok());
    let tag = |text: &str| text.trim_start_matches("W/").strip_prefix('"')?.strip_suffix('"').and_then(token);
    Ok(Request::Ask(Box::new(Ask {
        call_id: call_id.ok_or((400, "X-Call-Id"))?.to_string(),
        product: token(product).ok_or((400, "class"))?,
        object: token(object).filter(|object| !object.contains('/')).ok_or((400, "object"))?,
        part: part.map_or(Ok(0), str::parse).map_err(|_| (400, "part"))?,
        group: group.filter(|group| *group <= 255).ok_or((400, "X-Group"))?,
        patience: Duration::try_from_secs_f64(patience / 1e3).unwrap_or(MOST_PATIENCE).min(MOST_PATIENCE),
        size_kb,
        // A tag that can't be passed on is as good as none.
        seen: fields.text("if-none-match").and_then(tag),
    })))
}

/// The one answer to a query, and what is said to other requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Succeeded {
        tag: String,
        body: Vec<u8>,
    },
    /// The client's copy is the one that would be served.
    Unchanged {
        tag: String,
    },
    Dismissed {
        pause: Option<Duration>,
    },
    Terminated,
    Well,
    Wrong(u16, &'static str),
}

/// The head of an answer; the body, if there is one, follows it.
pub fn encode(answer: &Answer, keep: bool) -> Vec<u8> {
    let (status, reason) = match answer {
        Answer::Succeeded { .. } | Answer::Well => (200, "OK"),
        Answer::Unchanged { .. } => (304, "Not Modified"),
        Answer::Dismissed { .. } => (503, "Service Unavailable"),
        Answer::Terminated => (502, "Bad Gateway"),
        Answer::Wrong(status, why) => (*status, *why),
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    let length = if let Answer::Succeeded { body, .. } = answer { body.len() } else { 0 };
    if !matches!(answer, Answer::Unchanged { .. }) {
        head += &format!("Content-Length: {length}\r\n");
    }
    match answer {
        Answer::Succeeded { tag, .. } | Answer::Unchanged { tag } if !tag.is_empty() => {
            head += &format!("ETag: \"{tag}\"\r\n");
        }
        Answer::Dismissed { pause: Some(pause) } => {
            head += &format!("X-Come-Back-Ms: {}\r\n", pause.as_millis());
        }
        _ => {}
    }
    head += if keep { "\r\n" } else { "Connection: close\r\n\r\n" };
    head.into_bytes()
}
