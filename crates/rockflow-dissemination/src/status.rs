//! The status report of a node, for logs and tests.

use crate::entry::{SequenceNumber, StreamId};
use crate::identity::{Identity, Peer};
use crate::setting::{DesiredState, HostSetting, RejectionReason};
use std::collections::BTreeMap;
use std::time::Duration;

/// Names of missing members, of lagging ones, and of concurrent or rejected settings, in one report.
pub(crate) const MAX_LISTED_NAMES: usize = 32;

/// One stream as a node holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamStatus {
    /// The stream.
    pub stream: StreamId,
    /// Whether the number of its first entry is known; until then nothing of it counts as received.
    pub start_known: bool,
    /// The first number of the log.
    pub first: SequenceNumber,
    /// All entries up to this one are here, or covered.
    pub received: SequenceNumber,
    /// All entries up to this one are applied.
    pub applied: SequenceNumber,
    /// The last number that is known, here or not.
    pub last: SequenceNumber,
    /// Entries in the log, those ahead of a gap included.
    pub entries: usize,
    /// For how long something is missing.
    pub gap_age: Option<Duration>,
}

/// What a control node knows of the members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlStatus {
    /// Version of the directory; 0: there is none.
    pub directory: u64,
    /// Members in the directory.
    pub expected_members: usize,
    /// Members in a report.
    pub present: usize,
    /// Names of some members that no report has.
    pub missing: Vec<String>,
    /// Names of some members that lag most in their region, and what they have applied.
    pub lagging: Vec<(String, StreamId, SequenceNumber)>,
    /// The last number of each stream that all members have applied.
    pub replicated_to_all: BTreeMap<StreamId, SequenceNumber>,
    /// Some settings that members reject, and how many members do.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason, u16)>,
    /// Whether this control node publishes purges.
    pub is_publishing: bool,
}

/// How much a node holds, to be compared with the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Streams.
    pub streams: usize,
    /// Entries of the longest log of purges.
    pub purge_log_entries: usize,
    /// Entries of the longest log of settings.
    pub configuration_log_entries: usize,
    /// Children.
    pub children: usize,
    /// Reports of children.
    pub reports: usize,
    /// Reports of other control nodes.
    pub region_reports: usize,
    /// Hosts with a setting.
    pub hosts: usize,
    /// Quarantined settings.
    pub quarantined: usize,
    /// Unconfirmed tokens of purges.
    pub pending_purges: usize,
    /// Unconfirmed tokens of settings.
    pub pending_settings: usize,
    /// Candidates for the parent.
    pub candidates: usize,
}

/// The state of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The node, with its current incarnation.
    pub identity: Identity,
    /// Region, slot and slots of the region.
    pub place: Option<(u16, u16, u16)>,
    /// Version of the directory by which the node was placed, or which it has at a control node.
    pub directory: u64,
    /// The parent; a seed that has not answered yet has the node id 0.
    pub parent: Option<Peer>,
    /// Whether the parent is the first candidate.
    pub first_parent: bool,
    /// Children.
    pub children: usize,
    /// Time since a control node made the newest heartbeat received; `None`: none was received.
    pub staleness: Option<Duration>,
    /// The streams held.
    pub streams: Vec<StreamStatus>,
    /// Hosts with a setting.
    pub setting_count: usize,
    /// The desired states of hosts, except [`DesiredState::Listed`].
    pub desired: BTreeMap<String, DesiredState>,
    /// Some concurrent versions.
    pub concurrent_settings: Vec<HostSetting>,
    /// Quarantined settings.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason)>,
    /// Tokens not confirmed yet.
    pub unconfirmed: usize,
    /// At a control node.
    pub control: Option<ControlStatus>,
}
