//! Reading a dispatcher's answers.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const BUFFER_BYTES: usize = 512;

/// One whole answer.
pub(super) struct Response {
    pub(super) status: u16,
    /// Whether more bytes came with the answer than belong to it.
    pub(super) has_trailing_bytes: bool,
    pub(super) closes_connection: bool,
}

impl Response {
    /// Reads an answer with its body.
    ///
    /// # Errors
    /// If the connection fails or ends before the answer does, or if the answer has no status.
    pub(super) async fn read(stream: &mut TcpStream) -> io::Result<Response> {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        let head_length = loop {
            if let Some(length) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break length;
            }
            read_more(stream, &mut buffer).await?;
        };
        let head = String::from_utf8_lossy(&buffer[..head_length]).to_string();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body_length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let body_length: usize = body_length.and_then(|length| length.parse().ok()).unwrap_or(0);
        let length = head_length + 4 + body_length;
        while buffer.len() < length {
            read_more(stream, &mut buffer).await?;
        }
        Ok(Response {
            status,
            has_trailing_bytes: buffer.len() > length,
            closes_connection: head.contains("Connection: close"),
        })
    }
}

/// Appends what has arrived; an error at the stream's end.
async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
