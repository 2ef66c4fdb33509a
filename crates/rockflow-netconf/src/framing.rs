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
        if self.is_first_chunk {
            // What leads to the first chunk's own line feed, and no more than such a line.
            let lead = self.received.iter().take(2).take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            let spare = match self.received.get(lead) {
                Some(b'#') => lead.saturating_sub(1),
                Some(_) => 0,
                None => return Ok(None),
            };
            self.received.drain(..spare);
            self.is_first_chunk = false;
        }
        let (mut used, mut whole) = (0, false);
        while !whole {
            if self.chunk_remaining > 0 {
                let part = self.chunk_remaining.min(self.received.len() - used);
                if part == 0 {
                    break;
                }
                self.message.extend_from_slice(&self.received[used..used + part]);
                (used, self.chunk_remaining) = (used + part, self.chunk_remaining - part);
                continue;
            }
            let rest = &self.received[used..];
            let head = &rest[..rest.len().min(MAX_HEADER)];
            if !b"\n#".starts_with(&head[..head.len().min(2)]) {
                return Err(FramingError::NotAChunk);
            }
            let Some(end) = head.iter().skip(2).position(|byte| *byte == b'\n').map(|at| at + 2) else {
                if head.len() >= MAX_HEADER {
                    return Err(FramingError::NotAChunk);
                }
                break;
            };
            match &head[2..end] {
                b"#" if self.has_chunk => whole = true,
                [first @ b'1'..=b'9', digits @ ..] if digits.iter().all(u8::is_ascii_digit) => {
                    let digits = [std::slice::from_ref(first), digits].concat();
                    let size = String::from_utf8_lossy(&digits).parse::<usize>();
                    let size = size.map_err(|_| FramingError::NotAChunk)?;
                    // Guards against a chunk that says to be huge: nothing is reserved for what has not come.
                    if size > self.max_message_bytes.saturating_sub(self.message.len()) {
                        return Err(FramingError::TooLarge(self.max_message_bytes));
                    }
                    (self.chunk_remaining, self.has_chunk) = (size, true);
                }
                _ => return Err(FramingError::NotAChunk),
            }
            used += end + 1;
        }
        self.received.drain(..used);
        if !whole {
            return Ok(None);
        }
        self.has_chunk = false;
        Ok(Some(std::mem::take(&mut self.message)))
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
