//! Why a client connection ended.

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    Expired,
    WriteFailed,
    EndOfStream,
    ReadFailed,
    Yielded,
    Panicked,
}

impl EndReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            EndReason::Expired => "expired",
            EndReason::WriteFailed => "write failed",
            EndReason::EndOfStream => "end of stream",
            EndReason::ReadFailed => "read failed",
            EndReason::Yielded => "yielded",
            EndReason::Panicked => "panicked",
        }
    }
}
