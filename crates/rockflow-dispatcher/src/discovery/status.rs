//! The observable state of the connection to the discovery service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Value of `SharedDiscoveryStatus::last_received_ms` while nothing has been received.
const NEVER: u64 = 0;

/// A snapshot of the state of the connection to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryStatus {
    /// Address at which the service is connected, or at which a connection is attempted.
    pub address: SocketAddr,
    /// Revision of the last event that was forwarded; before the first, that of the configured snapshot.
    pub last_revision: u64,
    /// When any bytes were last received, on the dispatcher's clock; `None` if none were.
    pub last_received: Option<Duration>,
}

/// The status as written by the discovery client and read from any thread.
#[derive(Debug)]
pub struct SharedDiscoveryStatus {
    address: Mutex<SocketAddr>,
    last_revision: AtomicU64,
    /// In milliseconds of the dispatcher's clock, or `NEVER`.
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

    /// Returns the current status.
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
