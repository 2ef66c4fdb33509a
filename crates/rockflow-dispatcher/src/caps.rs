//! Caps on what is held, each derived from the told limits.

use crate::told::Limits;
use rockflow_protocol::hostline::MOST_ANSWER;
use rockflow_protocol::MOST_BODY;

/// Descriptors besides connections: standard streams, epoll and wake-ups, listener, board, signals.
const OTHER_DESCRIPTORS: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// Connections of clients; each holds one query and one answer at most.
    pub clients: usize,
    /// Connections to all hosts together; each buffers one answer at most.
    pub hosts: usize,
    /// Bytes that may wait to be written on a connection to a host.
    pub line_out: usize,
    /// Words that wait for the module before new queries are dismissed.
    pub module_words: usize,
}

impl Caps {
    pub fn of(limits: &Limits) -> Self {
        let memory = limits.memory_mb * 1024 * 1024;
        let descriptors = limits.sockets.saturating_sub(OTHER_DESCRIPTORS);
        // A third of the descriptors is the most that clients hold; half of the memory is for their answers.
        let clients = (limits.sockets / 3 + 1).min(descriptors / 2).min(memory / 2 / MOST_BODY).max(1);
        let hosts = (descriptors.saturating_sub(clients)).min(memory / 4 / MOST_ANSWER).max(1);
        Caps { clients, hosts, line_out: memory / 16 / hosts, module_words: 8 * clients }
    }
}
