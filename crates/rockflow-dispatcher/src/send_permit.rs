//! The permit to send an attempt. An attempt is either sent or withdrawn, never both.

use crate::client::message::ClientMessage;
use crate::mailbox::Mailbox;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

const WAITING: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// A revocable permit to send an attempt. While an attempt waits for a connection, its host may start to drain, its
/// object may be purged, its client may disconnect or its time may run out. The permit is therefore checked right
/// before the first byte is sent.
///
/// It is shared by the decision actor, which withdraws it, and the connection that sends the attempt.
pub struct SendPermit {
    state: AtomicU8,
    /// The first byte must be sent before this time, on the clock of the process.
    send_by: Duration,
    /// The mailbox of the client connection; it is closed when the client has disconnected.
    client: Arc<Mailbox<ClientMessage>>,
}

impl SendPermit {
    /// Creates a permit that is valid until `send_by` or the end of the client connection, whichever is first.
    pub fn new(send_by: Duration, client: Arc<Mailbox<ClientMessage>>) -> Arc<SendPermit> {
        Arc::new(SendPermit { state: AtomicU8::new(WAITING), send_by, client })
    }

    /// Whether the attempt may still be sent.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.state.load(Ordering::Relaxed) == WAITING && now < self.send_by && !self.client.is_closed()
    }

    /// Marks the attempt as sent. Returns false if it must not be sent.
    pub fn start_sending(&self, now: Duration) -> bool {
        self.is_valid(now) && self.transition(WAITING, SENT)
    }

    /// Reverts [`start_sending`](Self::start_sending): no byte was written, so that the attempt may still be withdrawn.
    pub fn undo_sending(&self) {
        self.transition(SENT, WAITING);
    }

    /// Withdraws the permit. Returns false if the first byte was already sent.
    pub fn withdraw(&self) -> bool {
        self.transition(WAITING, WITHDRAWN) || self.state.load(Ordering::Relaxed) == WITHDRAWN
    }

    /// Whether the first byte was sent.
    pub fn is_sent(&self) -> bool {
        self.state.load(Ordering::Relaxed) == SENT
    }

    /// Changes the state atomically. Returns false if it was not `from`.
    fn transition(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}
