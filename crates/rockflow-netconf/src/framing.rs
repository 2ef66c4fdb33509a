//! Messages on a stream: ended by `]]>]]>` until both sides have said that they know base:1.1, in chunks from
//! then on (RFC 6242, section 4). No I/O.

use std::fmt;

const END: &[u8] = b"]]>]]>";
/// The longest chunk head: `\n#` and ten digits; past it no number of a chunk can be meant.
const MAX_HEAD: usize = 13;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// The message is larger than what is taken.
    TooLarge(usize),
    /// What came is no chunk.
    NotAChunk,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::TooLarge(most) => write!(f, "a message of more than {most} bytes"),
            FramingError::NotAChunk => f.write_str("what came is no chunk"),
        }
    }
}

/// Takes a stream apart. A fault ends the connection: what follows can't be told from a message.
#[derive(Debug)]
pub struct Framing {
    chunked: bool,
    most: usize,
    /// Bytes that came and are not part of a message yet.
    held: Vec<u8>,
    /// How much of `held` was looked through for the end.
    looked: usize,
    message: Vec<u8>,
    /// Bytes of the present chunk that are still to come.
    left: usize,
    within: bool,
    /// The first chunk is still to come: clients end their hello with a line of their own.
    fresh: bool,
}

impl Framing {
    /// `most`: the largest message, in bytes.
    pub fn new(most: usize) -> Framing {
        Framing {
            chunked: false,
            most,
            held: Vec::new(),
            looked: 0,
            message: Vec::new(),
            left: 0,
            within: false,
            fresh: false,
        }
    }

    /// From the next message on, both sides speak in chunks.
    pub fn chunked(&mut self) {
        self.chunked = true;
        self.fresh = true;
        self.looked = 0;
    }

    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    pub fn add(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Bytes held, of a message begun and of what follows.
    pub fn held(&self) -> usize {
        self.held.len() + self.message.len()
    }

    /// The next whole message.
    pub fn take(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.chunked {
            self.take_chunks()
        } else {
            self.take_ended()
        }
    }

    fn take_ended(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let from = self.looked.saturating_sub(END.len() - 1);
        let found = self.held[from..].windows(END.len()).position(|window| window == END);
        let Some(at) = found.map(|at| from + at) else {
            self.looked = self.held.len();
            return if self.held.len() > self.most + END.len() {
                Err(FramingError::TooLarge(self.most))
            } else {
                Ok(None)
            };
        };
        if at > self.most {
            return Err(FramingError::TooLarge(self.most));
        }
        let message = self.held[..at].to_vec();
        self.held.drain(..at + END.len());
        self.looked = 0;
        Ok(Some(message))
    }

    fn take_chunks(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        if self.fresh {
            // What leads to the first chunk's own line feed, and no more than such a line.
            let lead = self.held.iter().take(2).take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            let spare = match self.held.get(lead) {
                Some(b'#') => lead.saturating_sub(1),
                Some(_) => 0,
                None => return Ok(None),
            };
            self.held.drain(..spare);
            self.fresh = false;
        }
        let (mut used, mut whole) = (0, false);
        while !whole {
            if self.left > 0 {
                let part = self.left.min(self.held.len() - used);
                if part == 0 {
                    break;
                }
                self.message.extend_from_slice(&self.held[used..used + part]);
                (used, self.left) = (used + part, self.left - part);
                continue;
            }
            let rest = &self.held[used..];
            let head = &rest[..rest.len().min(MAX_HEAD)];
            if !b"\n#".starts_with(&head[..head.len().min(2)]) {
                return Err(FramingError::NotAChunk);
            }
            let Some(end) = head.iter().skip(2).position(|byte| *byte == b'\n').map(|at| at + 2) else {
                if head.len() >= MAX_HEAD {
                    return Err(FramingError::NotAChunk);
                }
                break;
            };
            match &head[2..end] {
                b"#" if self.within => whole = true,
                [first @ b'1'..=b'9', digits @ ..] if digits.iter().all(u8::is_ascii_digit) => {
                    let digits = [std::slice::from_ref(first), digits].concat();
                    let size = String::from_utf8_lossy(&digits).parse::<usize>();
                    let size = size.map_err(|_| FramingError::NotAChunk)?;
                    // Guards against a chunk that says to be huge: nothing is reserved for what has not come.
                    if size > self.most.saturating_sub(self.message.len()) {
                        return Err(FramingError::TooLarge(self.most));
                    }
                    (self.left, self.within) = (size, true);
                }
                _ => return Err(FramingError::NotAChunk),
            }
            used += end + 1;
        }
        self.held.drain(..used);
        if !whole {
            return Ok(None);
        }
        self.within = false;
        Ok(Some(std::mem::take(&mut self.message)))
    }
}

/// A message as it goes out.
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
