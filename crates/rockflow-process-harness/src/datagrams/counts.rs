//! What a proxy counts.

/// The datagrams that a member sent, before any fault, and that reached it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub frames_out: u64,
    /// Bytes of the datagrams sent.
    pub bytes_out: u64,
    /// Datagrams that reached the member.
    pub frames_in: u64,
    /// Bytes of the datagrams that reached the member.
    pub bytes_in: u64,
}

/// What became of the datagrams, over all paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Sent on to their receiver.
    pub carried: u64,
    /// Lost at random.
    pub lost: u64,
    /// Dropped on a path that is cut.
    pub cut: u64,
    /// Carried twice.
    pub doubled: u64,
    /// Delayed.
    pub late: u64,
    /// Dropped because the queue of delayed datagrams was full.
    pub over: u64,
    /// Dropped because their sender is no member.
    pub foreign: u64,
    /// Not accepted by the receiver's socket.
    pub refused: u64,
}
