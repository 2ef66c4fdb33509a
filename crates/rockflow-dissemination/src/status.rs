//! A node as it stands, for whoever looks on.

use crate::entry::{SequenceNumber, StreamId};
use crate::identity::{Identity, Peer};
use crate::setting::HostSetting;
use crate::setting::{DesiredState, RejectionReason};
use std::collections::BTreeMap;
use std::time::Duration;

/// Names of missing members, and of those behind, in one survey.
pub const MAX_LISTED_NAMES: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub struct StreamStatus {
    pub stream: StreamId,
    /// Whether its beginning is known here; until then nothing of it counts as received.
    pub start_known: bool,
    pub first: SequenceNumber,
    /// All up to here are here or covered.
    pub received: SequenceNumber,
    pub applied: SequenceNumber,
    pub last: SequenceNumber,
    /// Entries held, those ahead of a gap among them.
    pub entries: usize,
    /// Since when something is missing.
    pub gap_age: Option<Duration>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlStatus {
    pub directory: u64,
    pub expected_members: usize,
    pub present: usize,
    /// Names of some that no report has.
    pub missing: Vec<String>,
    /// Names of the worst by region, and what they have in force.
    pub lagging: Vec<(String, StreamId, SequenceNumber)>,
    pub replicated_to_all: BTreeMap<StreamId, SequenceNumber>,
    /// Settings that members refuse, and how many do.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason, u16)>,
    pub is_publishing: bool,
}

/// How much is held, to be set beside the caps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    pub streams: usize,
    /// Entries of the longest log of purges, and of configuration.
    pub purge_log_entries: usize,
    pub configuration_log_entries: usize,
    pub children: usize,
    pub reports: usize,
    pub region_reports: usize,
    pub hosts: usize,
    pub quarantined: usize,
    pub pending_purges: usize,
    pub pending_settings: usize,
    pub candidates: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    pub identity: Identity,
    /// Region, slot and slots of the region, by this version of the directory.
    pub place: Option<(u16, u16, u16)>,
    pub directory: u64,
    pub parent: Option<Peer>,
    /// Whether the parent is the first candidate.
    pub first_parent: bool,
    pub children: usize,
    /// Since a control node made the newest pulse heard; none: none was.
    pub staleness: Option<Duration>,
    pub streams: Vec<StreamStatus>,
    /// Hosts with a setting, and those of them that are wanted otherwise than listed.
    pub setting_count: usize,
    pub desired: BTreeMap<String, DesiredState>,
    /// Versions of one host that did not know of each other; some.
    pub concurrent_settings: Vec<HostSetting>,
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason)>,
    /// Tickets not confirmed yet.
    pub unconfirmed: usize,
    pub control: Option<ControlStatus>,
}
