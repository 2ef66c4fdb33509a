//! Caps on connections and queues, derived from the configured limits.

use crate::config::Limits;

/// File descriptors needed for other purposes than connections: standard streams, epoll and its wake-ups, the listener,
/// discovery and signals.
const OTHER_DESCRIPTORS: usize = 32;
/// Cap on the messages in the decision actor's mailbox, per client connection.
const QUEUED_REQUESTS_PER_CLIENT: usize = 8;

/// Caps on what one dispatcher may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// Number of client connections above which each new one evicts an idle one.
    pub idle_clients: usize,
    /// Number of client connections.
    pub clients: usize,
    /// Number of connections to all hosts together.
    pub upstream_connections: usize,
    /// Bytes that may be queued for writing on one connection to a host.
    pub unsent_bytes: usize,
    /// Number of messages in the decision actor's mailbox at which new requests are rejected.
    pub queued_requests: usize,
}

impl Caps {
    /// Computes the caps from the configured limits.
    pub fn of(limits: &Limits) -> Self {
        let memory = limits.memory_mb * 1024 * 1024;
        let descriptors = limits.sockets.saturating_sub(OTHER_DESCRIPTORS);
        // In normal operation clients use at most a third of the descriptors; they get half, as a margin for
        // connections that are closing. `memory.rs` limits the bytes that all connections use together.
        let clients = (descriptors / 2).max(2);
        let upstream_connections = descriptors.saturating_sub(clients).max(1);
        Caps {
            idle_clients: clients - (clients / 8).max(1),
            clients,
            upstream_connections,
            unsent_bytes: memory / 16 / upstream_connections,
            queued_requests: QUEUED_REQUESTS_PER_CLIENT * clients,
        }
    }
}
