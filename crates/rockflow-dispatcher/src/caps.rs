//! Caps on what is held, each derived from the told limits.

use crate::config::Limits;

/// Descriptors besides connections: standard streams, epoll and wake-ups, listener, board, signals.
const OTHER_DESCRIPTORS: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// Connections of clients that stay while nothing is owed on them, and those with requests open too.
    pub location_dispatchers: usize,
    pub clients: usize,
    /// Connections to all hosts together.
    pub hosts: usize,
    /// Bytes of answers that are held at once, on their way from hosts to clients.
    pub held: usize,
    /// Bytes that may wait to be written on a connection to a host.
    pub line_out: usize,
    /// Words that wait for the module before new requests are dismissed.
    pub module_words: usize,
}

impl Caps {
    pub fn of(limits: &Limits) -> Self {
        let memory = limits.memory_mb * 1024 * 1024;
        let descriptors = limits.sockets.saturating_sub(OTHER_DESCRIPTORS);
        // A third of the descriptors is the most that usual clients hold; the margin is for those on their way
        // out. Memory is counted by what is held, not by what every connection could hold.
        let clients = (descriptors / 2).max(2);
        let location_dispatchers = clients - (clients / 8).max(1);
        let hosts = descriptors.saturating_sub(clients).max(1);
        Caps {
            location_dispatchers,
            clients,
            hosts,
            held: memory * 2 / 5,
            line_out: memory / 16 / hosts,
            module_words: 8 * clients,
        }
    }
}
