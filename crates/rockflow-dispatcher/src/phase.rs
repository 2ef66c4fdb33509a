//! Where a dispatcher is between its start and its exit.

/// A phase of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Actors are started; requests can't be decided yet.
    Starting,
    /// Requests are served.
    Serving,
    /// A shutdown has begun; requests that still arrive are served.
    Draining,
    /// No more requests are accepted; open ones are responded to.
    Closing,
    /// The shutdown is complete.
    Stopped,
}

impl Phase {
    pub(crate) const ALL: [Phase; 5] =
        [Phase::Starting, Phase::Serving, Phase::Draining, Phase::Closing, Phase::Stopped];
}
