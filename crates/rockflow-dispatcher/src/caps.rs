//! Caps on what is held, derived from the configured limits.

use crate::config::Limits;

/// Descriptors besides connections: standard streams, epoll and wake-ups, listener, discovery, signals.
const OTHER_DESCRIPTORS: usize = 32;
/// Requests that may wait for the decisions, as a multiple of the client connections.
const QUEUED_REQUESTS_PER_CLIENT: usize = 8;

/// Caps on connections, memory and queues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// Client connections that stay open while they have no request open.
    pub idle_clients: usize,
    /// Client connections altogether.
    pub clients: usize,
    /// Connections to all hosts together.
    pub upstream_connections: usize,
    /// Bytes of responses that are held at once, on their way from hosts to clients.
    pub buffered_bytes: usize,
    /// Bytes that may wait to be written on one connection to a host.
    pub unsent_bytes: usize,
    /// Messages that wait for the decisions before new requests are rejected.
    pub queued_requests: usize,
}

impl Caps {
    /// Derives the caps from the limits.
    pub fn of(limits: &Limits) -> Self {
        let memory = limits.memory_mb * 1024 * 1024;
        let descriptors = limits.sockets.saturating_sub(OTHER_DESCRIPTORS);
        // Usual clients hold a third of the descriptors at most; the margin is for connections that are closing. Memory
        // is counted by what is held, not by what every connection could hold.
        let clients = (descriptors / 2).max(2);
        let upstream_connections = descriptors.saturating_sub(clients).max(1);
        Caps {
            idle_clients: clients - (clients / 8).max(1),
            clients,
            upstream_connections,
            buffered_bytes: memory * 2 / 5,
            unsent_bytes: memory / 16 / upstream_connections,
            queued_requests: QUEUED_REQUESTS_PER_CLIENT * clients,
        }
    }
}
