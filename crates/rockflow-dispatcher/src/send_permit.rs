//! The permit to send an attempt: from its decision to its first byte it is either sent or withdrawn, never both.

use crate::client::message::ClientMessage;
use crate::mailbox::Mailbox;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

const WAITING: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Guards against an attempt that is sent on a decision that no longer holds: while it waited for a connection, its host
/// began to drain, its object was purged, its client disconnected or its time passed. The decision is checked again
/// where the first byte is sent.
///
/// Shared by the decisions, which withdraw it, and the connection that sends the attempt.
pub struct SendPermit {
    state: AtomicU8,
    /// The first byte is sent before this, or never.
    send_by: Duration,
    client: Arc<Mailbox<ClientMessage>>,
}

impl SendPermit {
    /// A permit that expires at `send_by`, and with the connection of the client.
    pub fn new(send_by: Duration, client: Arc<Mailbox<ClientMessage>>) -> Arc<SendPermit> {
        Arc::new(SendPermit { state: AtomicU8::new(WAITING), send_by, client })
    }

    /// Whether the attempt may still be sent.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.state.load(Ordering::Relaxed) == WAITING && now < self.send_by && !self.client.is_closed()
    }

    /// Uses the permit for the first byte; false: the attempt may not be sent.
    pub fn start_sending(&self, now: Duration) -> bool {
        self.is_valid(now) && self.transition(WAITING, SENT)
    }

    /// No byte was sent after all.
    pub fn undo_sending(&self) {
        self.transition(SENT, WAITING);
    }

    /// Withdraws the permit; false: the first byte was sent already.
    pub fn withdraw(&self) -> bool {
        self.transition(WAITING, WITHDRAWN) || self.state.load(Ordering::Relaxed) == WITHDRAWN
    }

    /// Whether the first byte was sent.
    pub fn is_sent(&self) -> bool {
        self.state.load(Ordering::Relaxed) == SENT
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}
