//! What others see of the connection to the discovery service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// `SharedDiscoveryStatus::last_received_ms` before anything was received.
const NEVER: u64 = 0;

/// The state of the connection to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryStatus {
    /// Address of the service.
    pub address: SocketAddr,
    /// Revision of the last event.
    pub last_revision: u64,
    /// When anything was last received, on the dispatcher's clock.
    pub last_received: Option<Duration>,
}

/// Owned by the discovery client, and read from any thread.
#[derive(Debug)]
pub struct SharedDiscoveryStatus {
    address: Mutex<SocketAddr>,
    last_revision: AtomicU64,
    /// In milliseconds of the clock, or `NEVER`.
    last_received_ms: AtomicU64,
}

impl SharedDiscoveryStatus {
    /// The status before the first connection.
    pub fn new(address: SocketAddr, last_revision: u64) -> Arc<Self> {
        Arc::new(SharedDiscoveryStatus {
            address: Mutex::new(address),
            last_revision: AtomicU64::new(last_revision),
            last_received_ms: AtomicU64::new(NEVER),
        })
    }

    /// The current status.
    pub fn read(&self) -> DiscoveryStatus {
        let received_ms = self.last_received_ms.load(Ordering::Relaxed);
        DiscoveryStatus {
            address: *self.address.lock().unwrap_or_else(PoisonError::into_inner),
            last_revision: self.last_revision.load(Ordering::Relaxed),
            last_received: (received_ms != NEVER).then(|| Duration::from_millis(received_ms)),
        }
    }

    pub(super) fn set_address(&self, address: SocketAddr) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
    }

    pub(super) fn set_revision(&self, revision: u64) {
        self.last_revision.store(revision, Ordering::Relaxed);
    }

    pub(super) fn set_received(&self, now: Duration) {
        self.last_received_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }
}
