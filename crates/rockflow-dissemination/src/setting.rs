//! Settings of hosts, and the timestamps that order the versions of a setting.

use crate::entry::{SequenceNumber, StreamId};
use serde::{Deserialize, Serialize};

/// Maximum length in bytes of a host's name, and of each name in a directory.
pub const MAX_NAME_BYTES: usize = 128;

/// Unix milliseconds in the year 2109. Later timestamps and greater incarnations are rejected.
pub const MAX_CLOCK_UNIX_MS: u64 = 1 << 42;
/// Unix milliseconds in the year 2074. A later timestamp does not advance a node's clock, which leaves room up to
/// [`MAX_CLOCK_UNIX_MS`]: a setting with such a timestamp is replaced by a setting whose timestamp is just above it.
pub const MAX_TRUSTED_CLOCK_UNIX_MS: u64 = MAX_CLOCK_UNIX_MS / 4 * 3;

/// The state that operators want a host to be in, ordered from the least to the most cautious.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DesiredState {
    /// The state in the endpoint list applies: there is no administrative override.
    Listed,
    /// The host finishes the requests that it has and takes no new ones.
    Draining,
    /// The host takes no requests.
    Gone,
}

/// Timestamp of a hybrid logical clock. It orders the versions of a setting by time, then by publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HybridTimestamp {
    /// Unix milliseconds, raised above every timestamp that the publisher had received before.
    pub unix_ms: u64,
    /// Index of the publishing control node; orders equal times.
    pub control: u8,
}

/// One version of the desired state of a host. The version with the latest timestamp wins. Two versions are concurrent
/// if neither publisher had received the other's, which shows in that `replaced` of the later version is below the
/// timestamp of the earlier one. Of concurrent versions the most cautious wins, and all of them are reported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostSetting {
    /// Name of the host; at most [`MAX_NAME_BYTES`] bytes.
    pub host: String,
    /// The state that the host is to be in.
    pub desired: DesiredState,
    /// Orders this version among the versions of the same host.
    pub timestamp: HybridTimestamp,
    /// Timestamp of the version that this one replaces.
    pub replaced: HybridTimestamp,
}

/// A setting with the id of its entry, which is the same whether it arrives in a batch or in a settings table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettingVersion {
    /// The stream in which the setting was published.
    pub stream: StreamId,
    /// Number of the setting's entry in that stream.
    pub number: SequenceNumber,
    /// The version of the setting.
    pub setting: HostSetting,
}

/// The reason why a member does not apply a setting. The member quarantines the setting and still applies later
/// entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// No other host would be left that can serve the requests of this one.
    LastOne,
    /// The member has no room for another setting.
    Full,
}
