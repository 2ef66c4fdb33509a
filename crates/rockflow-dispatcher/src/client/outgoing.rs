//! The response that a client connection is writing.

/// The response that is being written.
#[derive(Default)]
pub(super) struct OutgoingResponse {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    pub written: usize,
}

impl OutgoingResponse {
    pub(super) fn is_complete(&self) -> bool {
        self.written >= self.head.len() + self.body.len()
    }

    pub(super) fn unwritten(&self) -> &[u8] {
        let head = self.head.len();
        if self.written < head {
            &self.head[self.written..]
        } else {
            &self.body[self.written - head..]
        }
    }
}
