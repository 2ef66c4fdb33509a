//! Reads the answers of a dispatcher from a connection.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The initial size of the buffer, which grows with the answer.
const BUFFER_BYTES: usize = 512;

/// A complete answer, whose body is not kept.
pub(super) struct Response {
    pub(super) status: u16,
    /// Whether bytes were read past the end of the answer.
    pub(super) has_trailing_bytes: bool,
    /// Whether the answer announces that the server closes the connection.
    pub(super) closes_connection: bool,
}

impl Response {
    /// Reads an answer with its body, whose length is that of `Content-Length`, or 0 without one.
    ///
    /// # Errors
    /// If the connection fails or closes before the end of the answer, or if the answer has no status.
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

/// Waits for bytes and appends them to `buffer`.
///
/// # Errors
/// If the connection fails, and `UnexpectedEof` if it is closed.
async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
