//! The setting of one host and the clock that orders its versions.

use crate::entry::{SequenceNumber, StreamId};
use serde::{Deserialize, Serialize};

/// Bytes of a host's name, at most; also of the names in a directory.
pub const MAX_NAME_BYTES: usize = 128;

/// Unix milliseconds in the year 2109. A later timestamp is rejected, and no incarnation is greater.
pub const MAX_CLOCK_UNIX_MS: u64 = 1 << 42;
/// Unix milliseconds in the year 2074. A later timestamp does not advance a node's clock, so that the clock can still be
/// advanced up to [`MAX_CLOCK_UNIX_MS`]. A setting with such a timestamp is replaced by one just above it.
pub const MAX_TRUSTED_CLOCK_UNIX_MS: u64 = MAX_CLOCK_UNIX_MS / 4 * 3;

/// The state that operators want a host to be in. The greater is the more cautious.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DesiredState {
    /// As the endpoint list says; no override.
    Listed,
    /// Finishes what it has and takes no new requests.
    Draining,
    /// Takes no requests.
    Gone,
}

/// Orders the versions of one setting: a hybrid logical clock, then the publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HybridTimestamp {
    /// Unix milliseconds, raised above every timestamp that the publisher had received.
    pub unix_ms: u64,
    /// Index of the publishing control node; breaks ties.
    pub control: u8,
}

/// The desired state of one host from now on. The latest timestamp wins. Of two concurrent versions, that is where
/// neither publisher had received the other's (`replaced` is below the other's timestamp), the more cautious wins and
/// both are reported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostSetting {
    /// The host's name; at most [`MAX_NAME_BYTES`].
    pub host: String,
    /// What is wanted of it.
    pub desired: DesiredState,
    /// Orders this version among the others.
    pub timestamp: HybridTimestamp,
    /// Timestamp of the version that this one replaces.
    pub replaced: HybridTimestamp,
}

/// A setting and its entry id, the same by whichever message it arrives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettingVersion {
    /// The stream in which it was published.
    pub stream: StreamId,
    /// Its number there.
    pub number: SequenceNumber,
    /// The setting.
    pub setting: HostSetting,
}

/// Why a member does not apply a setting. The setting is quarantined, and later entries are applied all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// No host would be left in its place.
    LastOne,
    /// More settings than a member can hold.
    Full,
}
