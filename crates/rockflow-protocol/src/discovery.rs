//! The event stream of the discovery service (called "board" in the request path): the request that opens the stream,
//! and its server-sent events with endpoint updates and purges.

use serde::Deserialize;
use thiserror::Error;

/// Maximum length of an event in bytes. The longest events tell of a whole fleet, at some 300 bytes an instance: 3,200
/// instances that are replaced by as many at once take 2 MB.
pub const MAX_EVENT_BYTES: usize = 4 << 20;
const MAX_HEADERS: usize = 32;

/// An event of the stream: an endpoint update, a purge, both or neither.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Notice")]
pub struct WatchEvent {
    /// Number of the event; numbers are consecutive.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The change of the endpoint list, if there is one.
    #[serde(rename = "pool")]
    pub endpoints: Option<EndpointUpdate>,
    /// The purge, if there is one.
    #[serde(rename = "flush")]
    pub purge: Option<PurgeEvent>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Pool")]
pub struct EndpointUpdate {
    /// Whether `instances` is the full list, which replaces the one before. Otherwise it has only the instances that
    /// changed.
    #[serde(default, rename = "reset")]
    pub is_full: bool,
    /// The listed or changed instances.
    pub instances: Vec<Instance>,
}

/// The stage of an instance's life that discovery reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// The instance accepts requests.
    Active,
    /// The instance is draining.
    Leaving,
    /// The instance is gone.
    Left,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Name that identifies the instance.
    pub instance_id: String,
    /// Address and port at which the instance accepts connections.
    pub host_port: String,
    /// Name of its location.
    pub zone: String,
    /// Name of the kind of host, which determines the role: cache, parent or origin.
    pub machine_type: String,
    /// Number of the cell that the instance belongs to.
    #[serde(default)]
    pub cell: u16,
    /// Whether the instance accepts requests, drains or is gone.
    pub lifecycle: Lifecycle,
    /// Relative capacity; 0 if missing.
    #[serde(default)]
    pub weight: f64,
    /// Unix milliseconds at which the instance started; 0: unknown.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A purge of an object or of a group, or of everything if it names neither.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Flush")]
pub struct PurgeEvent {
    /// Name of the object; `None` if the purge names none.
    #[serde(rename = "asset")]
    pub object: Option<String>,
    /// Number of the group; `None` if the purge names none.
    #[serde(rename = "collection")]
    pub group: Option<u64>,
    /// Unix milliseconds at which the purge was issued.
    #[serde(rename = "ms")]
    pub purged_at_ms: u64,
}

/// What a dispatcher knows of discovery when it starts: the events up to a revision.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Known")]
pub struct Snapshot {
    /// Number of the last event before the start.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The events that still have an effect, in order.
    #[serde(rename = "notices")]
    pub events: Vec<WatchEvent>,
}

/// Encodes the request for the stream of all events after `last_revision`. `host` is the value of the `Host` header.
pub fn encode_watch_request(host: &str, last_revision: u64) -> Vec<u8> {
    let request = format!(
        "GET /board/poll HTTP/1.1\r\nHost: {host}\r\nLast-Event-ID: {last_revision}\r\n\
         Accept: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    request.into_bytes()
}

/// Why the stream can't be read any further.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The status of the response is not 200; `None` if the head has no status.
    #[error("unexpected response status {0:?}")]
    Status(Option<u16>),
    /// A response head that is not HTTP.
    #[error("malformed response head: {0}")]
    Head(#[source] httparse::Error),
    /// A chunk without a valid size.
    #[error("invalid chunk size")]
    ChunkSize,
    /// An event of more than [`MAX_EVENT_BYTES`].
    #[error("event longer than {} bytes", MAX_EVENT_BYTES)]
    EventTooLong,
    /// A line that is not UTF-8.
    #[error("line is not UTF-8")]
    NotUtf8,
    /// A complete event that is not valid JSON, or lacks a required field.
    #[error("unreadable event: {0}")]
    Event(#[source] serde_json::Error),
}

/// The part of the HTTP response that comes next.
enum Stage {
    Head,
    /// The body without chunks, which extends to the end of the connection.
    UnchunkedBody,
    ChunkSize,
    /// The content of a chunk, with the number of bytes that are still to come.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The body is complete; further bytes are ignored.
    Finished,
}

/// Decodes the response of the discovery service into events, in order. The bytes may be split anywhere.
pub struct WatchStream {
    stage: Stage,
    /// The part of the current line that has arrived.
    line: Vec<u8>,
    /// The data of the current event, from its complete lines.
    data: String,
    has_received_line: bool,
    has_unreadable_event: bool,
}

impl Default for WatchStream {
    fn default() -> Self {
        WatchStream {
            stage: Stage::Head,
            line: Vec::new(),
            data: String::new(),
            has_received_line: false,
            has_unreadable_event: false,
        }
    }
}

impl WatchStream {
    /// Whether a line of the event stream has been received, be it part of an event or a comment.
    pub fn has_received_line(&self) -> bool {
        self.has_received_line
    }

    /// Whether the last event could not be read, or is longer than [`MAX_EVENT_BYTES`].
    pub fn has_unreadable_event(&self) -> bool {
        self.has_unreadable_event
    }

    /// Decodes as many bytes as possible and appends the complete events. Returns the number of bytes that were
    /// decoded; the caller passes the others again, followed by the next ones. Events before an error are appended too.
    pub fn decode(&mut self, bytes: &[u8], events: &mut Vec<WatchEvent>) -> Result<usize, DecodeError> {
        let mut read = 0;
        while read < bytes.len() {
            let Some(length) = self.decode_stage(&bytes[read..], events)? else { break };
            read += length;
        }
        Ok(read)
    }

    /// Decodes the next part of the response and returns its length, or `None` while that part is incomplete.
    fn decode_stage(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<WatchEvent>,
    ) -> Result<Option<usize>, DecodeError> {
        match self.stage {
            Stage::Head => self.decode_head(bytes),
            Stage::UnchunkedBody => {
                self.decode_text(bytes, events)?;
                Ok(Some(bytes.len()))
            }
            Stage::ChunkSize => self.decode_chunk_size(bytes),
            Stage::Chunk(remaining) => {
                let length = remaining.min(bytes.len());
                self.decode_text(&bytes[..length], events)?;
                self.stage =
                    if length == remaining { Stage::ChunkEnd } else { Stage::Chunk(remaining - length) };
                Ok(Some(length))
            }
            Stage::ChunkEnd if bytes.len() < 2 => Ok(None),
            Stage::ChunkEnd => {
                self.stage = Stage::ChunkSize;
                Ok(Some(2))
            }
            Stage::Finished => Ok(Some(bytes.len())),
        }
    }

    fn decode_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, DecodeError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes).map_err(DecodeError::Head)? {
            httparse::Status::Partial => Ok(None),
            httparse::Status::Complete(length) if head.code == Some(200) => {
                let is_chunked = head.headers.iter().any(|header| {
                    header.name.eq_ignore_ascii_case("transfer-encoding")
                        && header.value.eq_ignore_ascii_case(b"chunked")
                });
                self.stage = if is_chunked { Stage::ChunkSize } else { Stage::UnchunkedBody };
                Ok(Some(length))
            }
            httparse::Status::Complete(_) => Err(DecodeError::Status(head.code)),
        }
    }

    fn decode_chunk_size(&mut self, bytes: &[u8]) -> Result<Option<usize>, DecodeError> {
        match httparse::parse_chunk_size(bytes).map_err(|_| DecodeError::ChunkSize)? {
            httparse::Status::Partial => Ok(None),
            httparse::Status::Complete((length, size)) => {
                self.stage = if size == 0 { Stage::Finished } else { Stage::Chunk(size as usize) };
                Ok(Some(length))
            }
        }
    }

    fn decode_text(&mut self, bytes: &[u8], events: &mut Vec<WatchEvent>) -> Result<(), DecodeError> {
        for byte in bytes {
            if *byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                self.decode_line(&line, events)?;
                continue;
            }
            self.line.push(*byte);
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                self.has_unreadable_event = true;
                return Err(DecodeError::EventTooLong);
            }
        }
        Ok(())
    }

    fn decode_line(&mut self, line: &[u8], events: &mut Vec<WatchEvent>) -> Result<(), DecodeError> {
        self.has_received_line = true;
        let line = std::str::from_utf8(line).map_err(|_| DecodeError::NotUtf8)?.trim_end_matches('\r');
        if let Some(data) = line.strip_prefix("data:") {
            self.data += data.strip_prefix(' ').unwrap_or(data);
        } else if line.is_empty() && !self.data.is_empty() {
            let data = std::mem::take(&mut self.data);
            let event = serde_json::from_str(&data);
            self.has_unreadable_event = event.is_err();
            events.push(event.map_err(DecodeError::Event)?);
        }
        Ok(())
    }
}
