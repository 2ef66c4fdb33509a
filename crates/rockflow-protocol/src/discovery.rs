//! The event stream of the discovery service, which the protocol calls the board: the request that opens it, its
//! server-sent events, and the updates of endpoints and purges in them.

use serde::Deserialize;
use thiserror::Error;

/// The longest event, in bytes: a full list of endpoints.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 32;

/// An event of the stream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Notice")]
pub struct WatchEvent {
    /// Its number; numbers are consecutive.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// A change of the endpoint list.
    #[serde(rename = "pool")]
    pub endpoints: Option<EndpointUpdate>,
    /// A purge.
    #[serde(rename = "flush")]
    pub purge: Option<PurgeEvent>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Pool")]
pub struct EndpointUpdate {
    /// The list replaces the one before.
    #[serde(default, rename = "reset")]
    pub is_full: bool,
    /// The instances of the list, or those that changed.
    pub instances: Vec<Instance>,
}

/// Where an instance is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// It takes requests.
    Active,
    /// It drains.
    Leaving,
    /// It is gone.
    Left,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The name that identifies it.
    pub instance_id: String,
    /// Its address and port.
    pub host_port: String,
    /// Name of its location.
    pub zone: String,
    /// Name of its kind, from which its role follows.
    pub machine_type: String,
    /// Number of its cell.
    #[serde(default)]
    pub cell: u16,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// Its relative capacity.
    #[serde(default)]
    pub weight: f64,
    /// Unix milliseconds of its start; 0: unknown.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A purge of an object or of a group; of everything if neither is named.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Flush")]
pub struct PurgeEvent {
    /// Name of the object.
    #[serde(rename = "asset")]
    pub object: Option<String>,
    /// Number of the group.
    #[serde(rename = "collection")]
    pub group: Option<u64>,
    /// Unix milliseconds at which the purge was made.
    #[serde(rename = "ms")]
    pub purged_at_ms: u64,
}

/// The state at the start of a dispatcher: the events up to a revision.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Known")]
pub struct Snapshot {
    /// Number of the last event.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The events that still matter, in order.
    #[serde(rename = "notices")]
    pub events: Vec<WatchEvent>,
}

/// The request for the stream of events after `last_revision`.
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
    /// A response with another status than 200.
    #[error("status {0:?}")]
    Status(Option<u16>),
    /// A response head that is not HTTP.
    #[error("head: {0}")]
    Head(#[source] httparse::Error),
    /// A chunk without a valid size.
    #[error("chunk size")]
    ChunkSize,
    /// An event of more than [`MAX_EVENT_BYTES`].
    #[error("an event without end")]
    EndlessEvent,
    /// A line that is not UTF-8.
    #[error("a line that is no text")]
    NotText,
    /// An event that is complete and can't be read.
    #[error("event: {0}")]
    Event(#[source] serde_json::Error),
}

enum Stage {
    Head,
    /// The body extends to the end of the connection.
    Unframed,
    ChunkSize,
    /// Bytes left of the chunk.
    Chunk(usize),
    ChunkEnd,
    Finished,
}

/// Decodes the stream, however its bytes are split, into events in their order.
pub struct WatchStream {
    stage: Stage,
    /// The line that is incomplete.
    line: Vec<u8>,
    /// The data lines of the event that is incomplete.
    data: String,
    has_unreadable_event: bool,
}

impl Default for WatchStream {
    fn default() -> Self {
        WatchStream { stage: Stage::Head, line: Vec::new(), data: String::new(), has_unreadable_event: false }
    }
}

impl WatchStream {
    /// Whether the last complete event could not be read.
    pub fn has_unreadable_event(&self) -> bool {
        self.has_unreadable_event
    }

    /// Reads what it can and appends the complete events. Returns the number of bytes that were read; the others are
    /// passed again with those that follow. Events before an error are appended too.
    pub fn decode(&mut self, bytes: &[u8], events: &mut Vec<WatchEvent>) -> Result<usize, DecodeError> {
        let mut read = 0;
        while read < bytes.len() {
            let Some(length) = self.decode_stage(&bytes[read..], events)? else { break };
            read += length;
        }
        Ok(read)
    }

    /// Reads the next element of the framing and returns its length; none: it is not complete yet.
    fn decode_stage(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<WatchEvent>,
    ) -> Result<Option<usize>, DecodeError> {
        match self.stage {
            Stage::Head => self.decode_head(bytes),
            Stage::Unframed => {
                self.decode_text(bytes, events)?;
                Ok(Some(bytes.len()))
            }
            Stage::ChunkSize => self.decode_chunk_size(bytes),
            Stage::Chunk(left) => {
                let length = left.min(bytes.len());
                self.decode_text(&bytes[..length], events)?;
                self.stage = if length == left { Stage::ChunkEnd } else { Stage::Chunk(left - length) };
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
                self.stage = if is_chunked { Stage::ChunkSize } else { Stage::Unframed };
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
                return Err(DecodeError::EndlessEvent);
            }
        }
        Ok(())
    }

    fn decode_line(&mut self, line: &[u8], events: &mut Vec<WatchEvent>) -> Result<(), DecodeError> {
        let line = std::str::from_utf8(line).map_err(|_| DecodeError::NotText)?.trim_end_matches('\r');
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
