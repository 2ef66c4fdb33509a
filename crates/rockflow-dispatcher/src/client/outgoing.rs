//! The encoded response of a client connection and how much of it is written.

use crate::memory::MemoryReservation;

/// The response that is being written; empty if there is none.
#[derive(Default)]
pub(super) struct OutgoingResponse {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// The memory of the body; `None` if it has none.
    pub memory: Option<MemoryReservation>,
    /// Bytes of head and body together that are written.
    pub written: usize,
}

impl OutgoingResponse {
    pub(super) fn is_complete(&self) -> bool {
        self.written >= self.head.len() + self.body.len()
    }

    /// The next contiguous bytes to write: the rest of the head, or else the rest of the body.
    pub(super) fn unwritten(&self) -> &[u8] {
        let head = self.head.len();
        if self.written < head {
            &self.head[self.written..]
        } else {
            &self.body[self.written - head..]
        }
    }
}
