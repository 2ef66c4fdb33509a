//! The notice board: its call, its stream of server-sent events, and the notices in them.

use serde::Deserialize;

/// The longest event that is read: a whole list of hosts.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 32;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Notice")]
pub struct WatchEvent {
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "pool")]
    pub endpoints: Option<EndpointUpdate>,
    #[serde(rename = "flush")]
    pub purge: Option<PurgeEvent>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Pool")]
pub struct EndpointUpdate {
    #[serde(default, rename = "reset")]
    pub is_full: bool,
    pub instances: Vec<Instance>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    Active,
    Leaving,
    Left,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    pub instance_id: String,
    pub host_port: String,
    pub zone: String,
    pub machine_type: String,
    #[serde(default)]
    pub cell: u16,
    pub lifecycle: Lifecycle,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A purge of an object, or of a collection: a group.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Flush")]
pub struct PurgeEvent {
    #[serde(rename = "asset")]
    pub object: Option<String>,
    #[serde(rename = "collection")]
    pub group: Option<u64>,
    #[serde(rename = "ms")]
    pub purged_at_ms: u64,
}

/// What is held at the start: the notices up to the last number.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Known")]
pub struct Snapshot {
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "notices")]
    pub events: Vec<WatchEvent>,
}

pub fn encode_watch_request(host: &str, last: u64) -> Vec<u8> {
    let fields = "Accept: text/event-stream\r\nConnection: close\r\n";
    format!("GET /board/poll HTTP/1.1\r\nHost: {host}\r\nLast-Event-ID: {last}\r\n{fields}\r\n").into_bytes()
}

enum Stage {
    Head,
    /// Bytes till the end of the connection, or of the chunk.
    Plain,
    Size,
    Chunk(usize),
    ChunkEnd,
    Over,
}

/// Takes what the board sends, in any split, and gives the notices in their order.
pub struct WatchStream {
    stage: Stage,
    line: Vec<u8>,
    data: String,
    has_unreadable_event: bool,
}

impl Default for WatchStream {
    fn default() -> Self {
        WatchStream { stage: Stage::Head, line: Vec::new(), data: String::new(), has_unreadable_event: false }
    }
}

impl WatchStream {
    /// An event came whole and could not be read.
    pub fn has_unreadable_event(&self) -> bool {
        self.has_unreadable_event
    }

    /// Takes what it can of the bytes, says how many, and adds the notices that are whole.
    pub fn decode(&mut self, bytes: &[u8], events: &mut Vec<WatchEvent>) -> Result<usize, String> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            match self.stage {
                Stage::Head => {
                    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
                    let mut head = httparse::Response::new(&mut headers);
                    match head.parse(rest) {
                        Ok(httparse::Status::Complete(length)) if head.code == Some(200) => {
                            let chunked = head.headers.iter().any(|header| {
                                header.name.eq_ignore_ascii_case("transfer-encoding")
                                    && header.value.eq_ignore_ascii_case(b"chunked")
                            });
                            self.stage = if chunked { Stage::Size } else { Stage::Plain };
                            at += length;
                        }
                        Ok(httparse::Status::Complete(_)) => return Err(format!("status {:?}", head.code)),
                        Ok(httparse::Status::Partial) => return Ok(at),
                        Err(what) => return Err(format!("head: {what}")),
                    }
                }
                Stage::Plain => {
                    self.text(rest, events)?;
                    at = bytes.len();
                }
                Stage::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        at += length;
                        self.stage = if size == 0 { Stage::Over } else { Stage::Chunk(size as usize) };
                    }
                    Ok(httparse::Status::Partial) => return Ok(at),
                    Err(_) => return Err("chunk size".to_string()),
                },
                Stage::Chunk(left) => {
                    let n = left.min(rest.len());
                    self.text(&rest[..n], events)?;
                    at += n;
                    self.stage = if n == left { Stage::ChunkEnd } else { Stage::Chunk(left - n) };
                }
                Stage::ChunkEnd => {
                    if rest.len() < 2 {
                        return Ok(at);
                    }
                    at += 2;
                    self.stage = Stage::Size;
                }
                Stage::Over => return Ok(bytes.len()),
            }
        }
        Ok(at)
    }

    fn text(&mut self, bytes: &[u8], events: &mut Vec<WatchEvent>) -> Result<(), String> {
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                    return Err("an event without end".to_string());
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line =
                std::str::from_utf8(&line).map_err(|_| "a line that is no text")?.trim_end_matches('\r');
            if let Some(data) = line.strip_prefix("data:") {
                self.data += data.strip_prefix(' ').unwrap_or(data);
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let event = serde_json::from_str(&data);
                self.has_unreadable_event = event.is_err();
                events.push(event.map_err(|what| format!("event: {what}"))?);
            }
        }
        Ok(())
    }
}
