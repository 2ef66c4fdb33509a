//! The status report of a node, for logs and tests.

use crate::entry::{SequenceNumber, StreamId};
use crate::identity::{Identity, Peer};
use crate::setting::{DesiredState, HostSetting, RejectionReason};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum length of each list in a status report: missing members, lagging members, concurrent settings and rejected
/// settings.
pub(crate) const MAX_LISTED_NAMES: usize = 32;

/// The state of one stream at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamStatus {
    /// Id of the stream.
    pub stream: StreamId,
    /// Whether the number of the stream's first entry is known; until then no entry of it counts as received.
    pub start_known: bool,
    /// First number of the node's log. Entries before it are covered by a snapshot or were dropped.
    pub first: SequenceNumber,
    /// The node holds all entries up to this number, or a snapshot or purge of everything covers them.
    pub received: SequenceNumber,
    /// The node's caller has applied all entries up to this number.
    pub applied: SequenceNumber,
    /// Last number known to be published, whether or not the node has received its entry.
    pub last: SequenceNumber,
    /// Number of entries in the log, including those after a gap.
    pub entries: usize,
    /// Time since the oldest missing entry became known; `None` if no entry is known to be missing.
    pub gap_age: Option<Duration>,
}

/// A control node's view of the members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlStatus {
    /// Version of the directory; 0 if the control node has none.
    pub directory: u64,
    /// Number of members in the directory.
    pub expected_members: usize,
    /// Number of members that are in the received reports.
    pub present: usize,
    /// Names of members that are in no report, at most `MAX_LISTED_NAMES`.
    pub missing: Vec<String>,
    /// Members that lag most in their region, each with a stream and the number up to which it has applied that stream;
    /// at most `MAX_LISTED_NAMES`.
    pub lagging: Vec<(String, StreamId, SequenceNumber)>,
    /// For each stream, the last number that all members have applied.
    pub replicated_to_all: BTreeMap<StreamId, SequenceNumber>,
    /// Settings that members reject, each with the reason and the number of these members; at most `MAX_LISTED_NAMES`.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason, u16)>,
    /// Whether this control node publishes purges.
    pub is_publishing: bool,
}

/// Sizes of a node's tables, to be compared with their limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Number of streams.
    pub streams: usize,
    /// Number of entries in the longest log of purges.
    pub purge_log_entries: usize,
    /// Number of entries in the longest log of settings.
    pub configuration_log_entries: usize,
    /// Number of children.
    pub children: usize,
    /// Number of reports that the children have sent.
    pub reports: usize,
    /// Number of reports received from other control nodes.
    pub region_reports: usize,
    /// Number of hosts with a setting.
    pub hosts: usize,
    /// Number of quarantined settings.
    pub quarantined: usize,
    /// Number of unconfirmed tokens for purges.
    pub pending_purges: usize,
    /// Number of unconfirmed tokens for settings.
    pub pending_settings: usize,
    /// Number of candidates for the parent.
    pub candidates: usize,
}

/// The state of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The node and its current incarnation.
    pub identity: Identity,
    /// Index of the node's region, its slot there, and the number of slots of the region; `None` if it was not placed.
    pub place: Option<(u16, u16, u16)>,
    /// Version of the directory from which the node was placed; at a control node, of its own directory.
    pub directory: u64,
    /// The current parent, if any. A seed that has not answered yet has the node id 0.
    pub parent: Option<Peer>,
    /// Whether the parent is the preferred candidate, that is, the first one.
    pub first_parent: bool,
    /// Number of children.
    pub children: usize,
    /// Time since a control node sent the newest heartbeat that has reached the node; `None` if none has.
    pub staleness: Option<Duration>,
    /// The streams that the node holds.
    pub streams: Vec<StreamStatus>,
    /// Number of hosts with a setting.
    pub setting_count: usize,
    /// The desired states of hosts, except [`DesiredState::Listed`].
    pub desired: BTreeMap<String, DesiredState>,
    /// Concurrent versions of settings, at most `MAX_LISTED_NAMES`.
    pub concurrent_settings: Vec<HostSetting>,
    /// Quarantined settings, each with the reason why it was rejected.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason)>,
    /// Number of tokens that the caller has not confirmed yet.
    pub unconfirmed: usize,
    /// The members' state as a control node knows it; `None` at a member.
    pub control: Option<ControlStatus>,
}
