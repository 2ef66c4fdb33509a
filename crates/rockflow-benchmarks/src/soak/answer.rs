//! Reads the answers of a dispatcher, and encodes the copies that hosts serve so that clients can check them.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The buffer space that is reserved before each read.
const READ_BYTES: usize = 4096;

/// A complete answer of the dispatcher.
pub(super) struct Answer {
    pub(super) status: u16,
    /// Whether the answer announces that the dispatcher closes the connection.
    pub(super) closes_connection: bool,
    pub(super) body: Vec<u8>,
}

/// A client connection to the dispatcher, with the bytes that were read and not parsed yet.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Bytes received after the last parsed answer.
    pub(super) unparsed: Vec<u8>,
    /// Whether an earlier answer was read from this connection.
    pub(super) has_carried_answer: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unparsed: Vec::new(), has_carried_answer: false }
    }

    /// Reads an answer with its body.
    ///
    /// # Errors
    /// If the connection fails or closes before the end of the answer, and `InvalidData` if the answer has no status.
    pub(super) async fn read_answer(&mut self) -> io::Result<Answer> {
        let head_length = loop {
            if let Some(length) = self.unparsed.windows(4).position(|window| window == b"\r\n\r\n") {
                break length + 4;
            }
            self.read_more().await?;
        };
        let head = String::from_utf8_lossy(&self.unparsed[..head_length]).to_string();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let body_length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length = head_length + body_length.and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.unparsed.len() < length {
            self.read_more().await?;
        }
        let body = self.unparsed[head_length..length].to_vec();
        self.unparsed.drain(..length);
        self.has_carried_answer = true;
        Ok(Answer { status, closes_connection: head.contains("Connection: close"), body })
    }

    /// Waits for bytes and appends them to those not parsed yet; `UnexpectedEof` if the connection is closed.
    async fn read_more(&mut self) -> io::Result<()> {
        self.unparsed.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.unparsed).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads until the connection is closed or fails. Always returns true.
    pub(super) async fn read_to_end(&mut self) -> bool {
        while self.read_more().await.is_ok() {}
        true
    }

    /// Reads from an idle connection what has arrived, without waiting. Returns whether the connection is still open.
    pub(super) fn is_open(&mut self) -> bool {
        let mut bytes = [0; READ_BYTES];
        match self.stream.try_read(&mut bytes) {
            Ok(0) => false,
            Ok(length) => {
                self.unparsed.extend_from_slice(&bytes[..length]);
                true
            }
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// Encodes a copy of an object with its name and creation time, and padding that is checked as well.
pub(super) fn encode_copy(object: &str, created_at_ms: u64, padding: usize) -> Vec<u8> {
    format!("object={object};born={created_at_ms};{}end", "x".repeat(padding)).into_bytes()
}

/// The creation time in a copy, in Unix milliseconds; `None` if the bytes are not a complete, unchanged copy of the
/// object.
pub(super) fn decode_copy(object: &str, body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let rest = text.strip_prefix(&format!("object={object};born="))?;
    let (created_at_ms, padding) = rest.split_once(';')?;
    let is_whole = padding.strip_suffix("end")?.bytes().all(|byte| byte == b'x');
    created_at_ms.parse().ok().filter(|_| is_whole)
}
