//! One connection to the discovery service: sends the watch request and decodes the response.

use crate::discovery::stream_end::StreamEnd;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use rockflow_protocol::discovery::{self, DecodeError, WatchEvent, WatchStream};
use rockflow_protocol::Buffer;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The service sends a comment every second, so an open stream without any bytes for more than two seconds is dead.
const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(2300);
/// How long the service may take to begin its event stream before the watch request is sent again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2300);

/// A connection to the discovery service.
pub(super) struct Connection {
    stream: TcpStream,
    /// Remainder of the watch request.
    unwritten: Vec<u8>,
    buffer: Buffer,
    decoder: WatchStream,
    established_at: Duration,
    /// When bytes were last received; initially, when the connection was established.
    last_received: Duration,
}

/// Outcome of a transfer that does not wait.
pub(super) enum Transfer {
    /// Bytes were received.
    Received,
    /// The socket is not ready.
    Blocked,
}

impl Connection {
    /// Requests the events after `last_revision`. Sets no socket timeouts, which not
    /// every platform supports; `check_progress` detects a service that sends nothing.
    pub(super) fn new(
        stream: TcpStream,
        address: SocketAddr,
        last_revision: u64,
        now: Duration,
    ) -> Connection {
        Connection {
            stream,
            unwritten: discovery::encode_watch_request(&address.to_string(), last_revision),
            buffer: Buffer::new(discovery::MAX_EVENT_BYTES),
            decoder: WatchStream::default(),
            established_at: now,
            last_received: now,
        }
    }

    /// Returns a waker that ends [`Connection::wait`].
    pub(super) fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Waits until the socket may be ready.
    pub(super) fn wait(&self) {
        self.stream.wait_io();
    }

    /// Writes what is left of the request, then reads once.
    pub(super) fn transfer(&mut self, now: Duration) -> Result<Transfer, StreamEnd> {
        loop {
            match self.write_request().and_then(|()| self.read(now)) {
                Err(StreamEnd::Io(error)) if error.kind() == ErrorKind::Interrupted => {}
                Err(StreamEnd::Io(error)) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(Transfer::Blocked)
                }
                result => return result,
            }
        }
    }

    /// Fails if the service has not sent anything for too long.
    pub(super) fn check_progress(&self, now: Duration) -> Result<(), StreamEnd> {
        let silence = now.saturating_sub(self.last_received);
        if self.has_begun() && silence > STREAM_SILENCE_LIMIT {
            return Err(StreamEnd::Silent);
        }
        if !self.has_begun() && silence > RESPONSE_TIMEOUT {
            return Err(StreamEnd::ResponseOverdue);
        }
        Ok(())
    }

    /// How long ago the connection was established.
    pub(super) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.established_at)
    }

    /// Whether the service has begun its event stream. A response head alone is no sign of that: a proxy may send it
    /// while the service behind it is still busy.
    pub(super) fn has_begun(&self) -> bool {
        self.decoder.has_received_line()
    }

    /// Appends all complete events to `events`, including those that precede a decoding error.
    pub(super) fn decode(&mut self, events: &mut Vec<WatchEvent>) -> Result<(), DecodeError> {
        let decoded = self.decoder.decode(self.buffer.filled(), events)?;
        self.buffer.consume(decoded);
        Ok(())
    }

    /// Whether the last complete event could not be read.
    pub(super) fn has_unreadable_event(&self) -> bool {
        self.decoder.has_unreadable_event()
    }

    fn write_request(&mut self) -> Result<(), StreamEnd> {
        while !self.unwritten.is_empty() {
            let written = self.stream.inner().write(&self.unwritten).map_err(StreamEnd::Io)?;
            self.unwritten.drain(..written);
        }
        Ok(())
    }

    fn read(&mut self, now: Duration) -> Result<Transfer, StreamEnd> {
        let spare = self.buffer.spare().ok_or(StreamEnd::OversizedFraming)?;
        match self.stream.inner().read(spare).map_err(StreamEnd::Io)? {
            0 => Err(StreamEnd::EndOfStream),
            length => {
                self.buffer.commit(length);
                self.last_received = now;
                Ok(Transfer::Received)
            }
        }
    }
}
