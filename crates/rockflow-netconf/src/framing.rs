//! Messages on a stream (RFC 6242, section 4), without I/O: ended by `]]>]]>` until both sides have announced base:1.1, in
//! chunks from then on.

use thiserror::Error;

const END: &[u8] = b"]]>]]>";
/// Bytes of the longest chunk header: `\n#`, ten digits and a line feed.
const MAX_HEADER: usize = 13;

/// What can't be taken for a message. The connection ends: what follows can't be told apart either.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The message is larger than so many bytes.
    #[error("a message of more than {0} bytes")]
    TooLarge(usize),
    /// What was received is no chunk.
    #[error("what came is no chunk")]
    NotAChunk,
}

/// Takes a stream of bytes apart into messages.
#[derive(Debug)]
pub struct Framing {
    chunked: bool,
    max_message_bytes: usize,
    /// Bytes received that are not part of a message yet.
    received: Vec<u8>,
    /// How many of `received` were searched for the end of a message.
    searched: usize,
    /// The chunks of the present message.
    message: Vec<u8>,
    /// Bytes of the present chunk that are still to come.
    chunk_remaining: usize,
    /// Whether the present message has had a chunk.
    has_chunk: bool,
    /// Whether the first chunk is still to come: clients end their hello with a line feed of their own.
    is_first_chunk: bool,
}

impl Framing {
    /// For messages up to a size.
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

    /// From the next message on, both sides send chunks.
    pub fn switch_to_chunks(&mut self) {
        self.chunked = true;
        self.is_first_chunk = true;
        self.searched = 0;
    }

    /// Whether both sides send chunks.
    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    /// Adds bytes that were received.
    pub fn add(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Bytes held, of an incomplete message and of what follows.
    pub fn buffered_bytes(&self) -> usize {
        self.received.len() + self.message.len()
    }

    /// The next complete message.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.chunked {
            self.next_chunked()
        } else {
            self.next_delimited()
        }
    }

    fn next_delimited(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let from = self.searched.saturating_sub(END.len() - 1);
        let found = self.received[from..].windows(END.len()).position(|window| window == END);
        let Some(at) = found.map(|at| from + at) else {
            self.searched = self.received.len();
            return if self.received.len() > self.max_message_bytes + END.len() {
                Err(FramingError::TooLarge(self.max_message_bytes))
            } else {
                Ok(None)
            };
        };
        if at > self.max_message_bytes {
            return Err(FramingError::TooLarge(self.max_message_bytes));
        }
        let message = self.received[..at].to_vec();
        self.received.drain(..at + END.len());
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

    /// Skips the line feed that a client may send between its hello and the first chunk. False: it can't be told yet
    /// whether there is one.
    fn skip_line_feed(&mut self) -> bool {
        let lead = self.received.iter().take(2).take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        let skipped = match self.received.get(lead) {
            // The last line feed is the chunk header's own.
            Some(b'#') => lead.saturating_sub(1),
            Some(_) => 0,
            None => return false,
        };
        self.received.drain(..skipped);
        self.is_first_chunk = false;
        true
    }

    /// Guards against a chunk that claims to be huge: nothing is reserved for what was not received.
    fn begin_chunk(&mut self, size: usize) -> Result<(), FramingError> {
        if size > self.max_message_bytes.saturating_sub(self.message.len()) {
            return Err(FramingError::TooLarge(self.max_message_bytes));
        }
        self.chunk_remaining = size;
        self.has_chunk = true;
        Ok(())
    }
}

/// A line such as `\n#12\n`, which a chunk begins with, or `\n##\n`, which ends a message.
struct ChunkHeader {
    kind: HeaderKind,
    /// Bytes of the header itself.
    length: usize,
}

enum HeaderKind {
    /// A chunk of so many bytes follows.
    Chunk { size: usize },
    /// The message ends.
    End,
}

impl ChunkHeader {
    /// Parses the header that the bytes begin with. None: it is not complete yet.
    fn parse(bytes: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
        let bytes = &bytes[..bytes.len().min(MAX_HEADER)];
        if !b"\n#".starts_with(&bytes[..bytes.len().min(2)]) {
            return Err(FramingError::NotAChunk);
        }
        let Some(end) = bytes.iter().skip(2).position(|byte| *byte == b'\n').map(|at| at + 2) else {
            let may_be_completed = bytes.len() < MAX_HEADER;
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

/// A message as it is sent.
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
        out.extend_from_slice(END);
    }
    out
}
