//! Where a dispatcher is between its start and its exit.

/// Where a dispatcher is between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Actors are started; requests can't be decided yet.
    Starting,
    Serving,
    /// A stop was asked for; what still comes is taken.
    Draining,
    /// Nothing more comes; what was taken is answered.
    Closing,
    Stopped,
}
