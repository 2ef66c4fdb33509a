//! An attempt's way from its decision to its first byte: it begins, or it is withdrawn, and never both.

use crate::mailbox::Mailbox;
use crate::messages::ClientMessage;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

const WAITING: u8 = 0;
const BEGUN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Guards against an attempt that goes out on a decision that no longer holds: while it waited for a connection its host
/// was told to leave, its object was purged, its client left, or its time passed. What was decided is checked again
/// where the first byte goes out.
pub struct SendPermit {
    state: AtomicU8,
    /// The first byte goes out before this, or never.
    by: Duration,
    client: Arc<Mailbox<ClientMessage>>,
}

impl SendPermit {
    pub fn new(by: Duration, client: Arc<Mailbox<ClientMessage>>) -> Arc<SendPermit> {
        Arc::new(SendPermit { state: AtomicU8::new(WAITING), by, client })
    }

    fn turn(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }

    /// Whether it may still begin.
    pub fn holds(&self, now: Duration) -> bool {
        self.state.load(Ordering::Relaxed) == WAITING && now < self.by && !self.client.is_closed()
    }

    /// Its first byte goes out now, unless it may not.
    pub fn begin(&self, now: Duration) -> bool {
        self.holds(now) && self.turn(WAITING, BEGUN)
    }

    /// No byte went out after all: it waits again.
    pub fn put_back(&self) {
        self.turn(BEGUN, WAITING);
    }

    /// It may not begin any more; false: it has begun.
    pub fn withdraw(&self) -> bool {
        self.turn(WAITING, WITHDRAWN) || self.state.load(Ordering::Relaxed) == WITHDRAWN
    }

    pub fn begun(&self) -> bool {
        self.state.load(Ordering::Relaxed) == BEGUN
    }
}
