//! Counters of a proxy, by member and over all paths.

/// The datagrams that a member sent, counted before any fault is applied, and the datagrams that reached it.
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

/// The outcomes of all datagrams over all paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Copies that were sent on to their receiver.
    pub carried: u64,
    /// Dropped at random, by the share of a rule.
    pub lost: u64,
    /// Dropped because a rule cuts their path.
    pub cut: u64,
    /// Datagrams that were duplicated at random.
    pub doubled: u64,
    /// Copies that were queued for later delivery.
    pub late: u64,
    /// Copies that were dropped because the queue of delayed datagrams was full.
    pub over: u64,
    /// Dropped because their source is not the address of a member.
    pub foreign: u64,
    /// Copies that could not be sent to their receiver.
    pub refused: u64,
}
