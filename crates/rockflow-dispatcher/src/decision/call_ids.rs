//! The client-assigned ids that no new request may have.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of ids kept of clients that have disconnected. The oldest ones are forgotten beyond that.
const MAX_DISCONNECTED: usize = 4096;

/// An id whose client disconnected while an attempt of its request may have executed.
struct DisconnectedId {
    id: String,
    /// When the id may be used again, on the clock of the process.
    until: Duration,
}

/// The ids of the requests that have no response yet, and of those that may have executed for a client that is gone.
#[derive(Default)]
pub(super) struct CallIds {
    reserved: BTreeSet<String>,
    /// The reserved ids of clients that have disconnected, oldest first.
    disconnected: VecDeque<DisconnectedId>,
}

impl CallIds {
    /// Reserves an id. Returns false if it is reserved already.
    pub(super) fn reserve(&mut self, id: &str, now: Duration) -> bool {
        while self.disconnected.front().is_some_and(|oldest| oldest.until <= now) {
            self.forget_oldest();
        }
        self.reserved.insert(id.to_string())
    }

    /// Releases the id of a request that has its response, or whose attempts certainly have not executed.
    pub(super) fn release(&mut self, id: &str) {
        self.reserved.remove(id);
    }

    /// Keeps the id of a request reserved that may have executed for a client that has disconnected.
    pub(super) fn keep_until(&mut self, id: &str, until: Duration) {
        if self.disconnected.len() >= MAX_DISCONNECTED {
            self.forget_oldest();
        }
        self.disconnected.push_back(DisconnectedId { id: id.to_string(), until });
    }

    /// Releases the ids of all open requests.
    pub(super) fn release_open(&mut self) {
        self.reserved = self.disconnected.iter().map(|disconnected| disconnected.id.clone()).collect();
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.disconnected.pop_front() {
            self.reserved.remove(&oldest.id);
        }
    }
}
