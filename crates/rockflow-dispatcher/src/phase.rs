//! The phases of the dispatcher process.

/// A phase of the process between start and exit; phases only move forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Actors are being started; requests are not served yet.
    Starting,
    /// Requests are served.
    Serving,
    /// A graceful shutdown has started; new requests are still served.
    Draining,
    /// New requests are rejected; open ones are completed.
    Closing,
    /// The shutdown is complete.
    Stopped,
}

impl Phase {
    /// All phases, in their order.
    pub(crate) const ALL: [Phase; 5] =
        [Phase::Starting, Phase::Serving, Phase::Draining, Phase::Closing, Phase::Stopped];
}
