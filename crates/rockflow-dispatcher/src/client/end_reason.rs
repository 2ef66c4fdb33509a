//! Reasons for the end of a client connection, as logged.

/// Why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// A time limit passed: no response came, or the client did not read it or close the connection.
    Expired,
    WriteFailed,
    /// The client shut down its sending side.
    EndOfStream,
    /// A read failed, or the client sent too many bytes while a request was open.
    ReadFailed,
    /// The connection was idle, and a newer one needed its slot.
    Evicted,
    /// The actor of the connection panicked.
    Panicked,
}

impl EndReason {
    /// The reason as it is written to the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            EndReason::Expired => "expired",
            EndReason::WriteFailed => "write failed",
            EndReason::EndOfStream => "end of stream",
            EndReason::ReadFailed => "read failed",
            EndReason::Evicted => "yielded",
            EndReason::Panicked => "panicked",
        }
    }
}
