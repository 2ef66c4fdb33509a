//! Reading a dispatcher's answers, and the bytes that hosts put into them.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Space for one more read.
const READ_BYTES: usize = 4096;

/// One whole answer.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) closes_connection: bool,
    pub(super) body: Vec<u8>,
}

/// A client's end of a connection, with what was read and not used.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) unread: Vec<u8>,
    /// An answer has come on it.
    pub(super) has_carried_answer: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unread: Vec::new(), has_carried_answer: false }
    }

    /// Reads an answer with its body.
    ///
    /// # Errors
    /// If the connection fails or ends before the answer does, or if the answer can't be read.
    pub(super) async fn read_answer(&mut self) -> io::Result<Answer> {
        let head_length = loop {
            if let Some(length) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break length + 4;
            }
            self.read_more().await?;
        };
        let head = String::from_utf8_lossy(&self.unread[..head_length]).to_string();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let body_length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length = head_length + body_length.and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.unread.len() < length {
            self.read_more().await?;
        }
        let body = self.unread[head_length..length].to_vec();
        self.unread.drain(..length);
        self.has_carried_answer = true;
        Ok(Answer { status, closes_connection: head.contains("Connection: close"), body })
    }

    async fn read_more(&mut self) -> io::Result<()> {
        self.unread.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.unread).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads to the end of the connection. Returns whether it has ended.
    pub(super) async fn read_to_end(&mut self) -> bool {
        while self.read_more().await.is_ok() {}
        true
    }

    /// Looks at an idle connection without waiting. Returns whether it is still open.
    pub(super) fn is_open(&mut self) -> bool {
        let mut bytes = [0; READ_BYTES];
        match self.stream.try_read(&mut bytes) {
            Ok(0) => false,
            Ok(length) => {
                self.unread.extend_from_slice(&bytes[..length]);
                true
            }
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// The bytes of a copy: what it is of, and when the origin gave it out.
pub(super) fn encode_copy(object: &str, created_at_ms: u64, padding: usize) -> Vec<u8> {
    format!("object={object};born={created_at_ms};{}end", "x".repeat(padding)).into_bytes()
}

/// The creation time of a copy of an object; none: the bytes are not such a copy, whole.
pub(super) fn decode_copy(object: &str, body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let rest = text.strip_prefix(&format!("object={object};born="))?;
    let (created_at_ms, padding) = rest.split_once(';')?;
    let is_whole = padding.strip_suffix("end")?.bytes().all(|byte| byte == b'x');
    created_at_ms.parse().ok().filter(|_| is_whole)
}
