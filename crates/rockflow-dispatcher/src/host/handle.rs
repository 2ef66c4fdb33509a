//! Addresses messages to one host.

use crate::host::message::{HostMessage, HostsMessage};
use crate::mailbox::Mailbox;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Identifies a host as it was listed under one name at one address. A host that is listed again gets a new number, so
/// that nothing meant for the earlier one reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostNumber(u64);

/// The number of the next host.
static NEXT_HOST: AtomicU64 = AtomicU64::new(1);

/// What is known of a host from the endpoint list.
struct HostTarget {
    number: HostNumber,
    endpoint: String,
    address: SocketAddr,
}

/// Sends messages to one host, through the mailbox of the [`HostsActor`](crate::host::HostsActor).
#[derive(Clone)]
pub struct HostHandle {
    target: Arc<HostTarget>,
    hosts: Arc<Mailbox<HostsMessage>>,
}

impl HostHandle {
    /// Creates a handle for a host that has none yet, with a new number.
    pub fn new(endpoint: String, address: SocketAddr, hosts: Arc<Mailbox<HostsMessage>>) -> Self {
        let number = HostNumber(NEXT_HOST.fetch_add(1, Ordering::Relaxed));
        HostHandle { target: Arc::new(HostTarget { number, endpoint, address }), hosts }
    }

    /// The number under which the actor knows the host.
    pub fn number(&self) -> HostNumber {
        self.target.number
    }

    /// The name of the host in the endpoint list.
    pub fn endpoint(&self) -> &str {
        &self.target.endpoint
    }

    /// The address for connections to the host.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }

    /// Sends a message to the host.
    pub fn send(&self, message: HostMessage) {
        self.hosts.send(HostsMessage::ToHost { host: self.clone(), message });
    }
}
