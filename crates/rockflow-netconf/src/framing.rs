//! Message framing on a byte stream (RFC 6242, section 4), without I/O.
//!
//! Messages end with the delimiter `]]>]]>` until both sides have announced base:1.1; after that they are
//! sent in chunks.

use thiserror::Error;

/// Ends each message when chunked framing is not in use.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";
/// Length in bytes of the longest chunk header: `\n#`, ten digits and a line feed.
const MAX_CHUNK_HEADER_BYTES: usize = 13;

/// Received bytes that are not a valid message.
///
/// The connection has to be closed, because the start of the next message can't be found.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The message exceeds the limit, given in bytes.
    #[error("message larger than {0} bytes")]
    TooLarge(usize),
    /// The received bytes are not a valid chunk.
    #[error("invalid chunk")]
    NotAChunk,
}

/// Splits a stream of bytes into messages.
#[derive(Debug)]
pub struct Framing {
    chunked: bool,
    max_message_bytes: usize,
    /// Received bytes that have not been returned or copied to `message`.
    received: Vec<u8>,
    /// Number of bytes of `received` already searched for the message delimiter.
    searched: usize,
    /// The content of the chunks received so far of the current message.
    message: Vec<u8>,
    /// Number of bytes of the current chunk that have not been copied to `message` yet.
    chunk_remaining: usize,
    /// Whether the current message has at least one chunk.
    has_chunk: bool,
    /// Whether the first chunk has not been read yet. Some clients send an extra line feed after their hello,
    /// which is skipped at that point.
    is_first_chunk: bool,
}

impl Framing {
    /// Creates a decoder with delimiter framing that rejects messages above `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Framing {
        Framing {
            chunked: false,
            max_message_bytes,
            received: Vec::new(),
            searched: 0,
            message: Vec::new(),
            chunk_remaining: 0,
            has_chunk: false,
            is_first_chunk: false,
        }
    }

    /// Switches to chunked framing, starting with the next message.
    pub fn switch_to_chunks(&mut self) {
        self.chunked = true;
        self.is_first_chunk = true;
        self.searched = 0;
    }

    /// Returns whether chunked framing is in use.
    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    /// Appends bytes received from the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that have not been returned as part of a message.
    pub fn buffered_bytes(&self) -> usize {
        self.received.len() + self.message.len()
    }

    /// Removes and returns the next message, or `None` if it is not complete yet.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.chunked {
            self.next_chunked()
        } else {
            self.next_delimited()
        }
    }

    fn next_delimited(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let from = self.searched.saturating_sub(END_OF_MESSAGE.len() - 1);
        let found =
            self.received[from..].windows(END_OF_MESSAGE.len()).position(|window| window == END_OF_MESSAGE);
        let Some(at) = found.map(|at| from + at) else {
            self.searched = self.received.len();
            return if self.received.len() > self.max_message_bytes + END_OF_MESSAGE.len() {
                Err(FramingError::TooLarge(self.max_message_bytes))
            } else {
                Ok(None)
            };
        };
        if at > self.max_message_bytes {
            return Err(FramingError::TooLarge(self.max_message_bytes));
        }
        let message = self.received[..at].to_vec();
        self.received.drain(..at + END_OF_MESSAGE.len());
        self.searched = 0;
        Ok(Some(message))
    }

    fn next_chunked(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.is_first_chunk && !self.skip_line_feed() {
            return Ok(None);
        }
        let mut used = 0;
        let mut is_complete = false;
        while !is_complete {
            if self.chunk_remaining > 0 {
                let count = self.chunk_remaining.min(self.received.len() - used);
                if count == 0 {
                    break;
                }
                self.message.extend_from_slice(&self.received[used..used + count]);
                used += count;
                self.chunk_remaining -= count;
                continue;
            }
            let Some(header) = ChunkHeader::parse(&self.received[used..])? else { break };
            used += header.length;
            match header.kind {
                HeaderKind::End if self.has_chunk => is_complete = true,
                HeaderKind::End => return Err(FramingError::NotAChunk),
                HeaderKind::Chunk { size } => self.begin_chunk(size)?,
            }
        }
        self.received.drain(..used);
        if !is_complete {
            return Ok(None);
        }
        self.has_chunk = false;
        Ok(Some(std::mem::take(&mut self.message)))
    }

    /// Skips the line break that a client may send between its hello and the first chunk.
    ///
    /// Returns false if more bytes are needed to decide whether there is one.
    fn skip_line_feed(&mut self) -> bool {
        let line_breaks =
            self.received.iter().take(2).take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        let skipped = match self.received.get(line_breaks) {
            // The last line feed belongs to the chunk header.
            Some(b'#') => line_breaks.saturating_sub(1),
            Some(_) => 0,
            None => return false,
        };
        self.received.drain(..skipped);
        self.is_first_chunk = false;
        true
    }

    /// Records the size of the next chunk. No memory is reserved for it, so that a header that announces a
    /// huge chunk costs nothing.
    fn begin_chunk(&mut self, size: usize) -> Result<(), FramingError> {
        if size > self.max_message_bytes.saturating_sub(self.message.len()) {
            return Err(FramingError::TooLarge(self.max_message_bytes));
        }
        self.chunk_remaining = size;
        self.has_chunk = true;
        Ok(())
    }
}

/// A chunk header such as `\n#12\n`, or the end-of-chunks marker `\n##\n`.
struct ChunkHeader {
    kind: HeaderKind,
    /// Length of the header itself in bytes.
    length: usize,
}

enum HeaderKind {
    /// A chunk of `size` bytes follows.
    Chunk { size: usize },
    /// The message is complete.
    End,
}

impl ChunkHeader {
    /// Parses the header at the start of `bytes`. Returns `None` if it is not complete yet.
    fn parse(bytes: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
        let bytes = &bytes[..bytes.len().min(MAX_CHUNK_HEADER_BYTES)];
        if !b"\n#".starts_with(&bytes[..bytes.len().min(2)]) {
            return Err(FramingError::NotAChunk);
        }
        let Some(end) = bytes.iter().skip(2).position(|byte| *byte == b'\n').map(|at| at + 2) else {
            let may_be_completed = bytes.len() < MAX_CHUNK_HEADER_BYTES;
            return if may_be_completed { Ok(None) } else { Err(FramingError::NotAChunk) };
        };
        let length = end + 1;
        match &bytes[2..end] {
            b"#" => Ok(Some(ChunkHeader { kind: HeaderKind::End, length })),
            digits @ [b'1'..=b'9', rest @ ..] if rest.iter().all(u8::is_ascii_digit) => {
                let size = String::from_utf8_lossy(digits).parse();
                let size = size.map_err(|_| FramingError::NotAChunk)?;
                Ok(Some(ChunkHeader { kind: HeaderKind::Chunk { size }, length }))
            }
            _ => Err(FramingError::NotAChunk),
        }
    }
}

/// Encodes a message for sending, with chunked framing or with the end-of-message delimiter.
pub fn encode(message: &str, chunked: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(message.len() + 32);
    if chunked {
        if !message.is_empty() {
            out.extend_from_slice(format!("\n#{}\n", message.len()).as_bytes());
            out.extend_from_slice(message.as_bytes());
        }
        out.extend_from_slice(b"\n##\n");
    } else {
        out.extend_from_slice(message.as_bytes());
        out.extend_from_slice(END_OF_MESSAGE);
    }
    out
}
