//! A node as it stands, for whoever looks on.

use crate::entry::{SequenceNumber, StreamId, StreamKind};
use crate::identity::{Identity, NodeId, Peer};
use crate::node::Node;
use crate::setting::HostSetting;
use crate::setting::{DesiredState, RejectionReason};
use crate::subtree_report::SubtreeReport;
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

impl Node {
    pub fn status(&self, now: Duration) -> NodeStatus {
        let place = self.join.place.as_ref();
        let parent = self.subscription.parent();
        let stream = |stream: &crate::stream::Stream| StreamStatus {
            stream: stream.id,
            start_known: stream.start_known,
            first: stream.first(),
            received: stream.received(),
            applied: stream.applied,
            last: stream.last(),
            entries: stream.entry_count(),
            gap_age: stream.gap_since().filter(|_| stream.has_gap()).map(|since| now.saturating_sub(since)),
        };
        NodeStatus {
            identity: self.config.identity,
            place: place.map(|place| (place.region, place.slot, place.slots)),
            directory: self
                .control
                .as_ref()
                .map_or(self.join.directory_version, |control| control.directory_version()),
            parent: parent.map(|p| Peer { node: p.node.unwrap_or(NodeId(0)), address: p.address }),
            first_parent: self.subscription.is_first(),
            children: self.children.len(),
            staleness: match self.control {
                Some(_) => Some(Duration::ZERO),
                None => self.newest_heartbeat.map(|timestamp| timestamp.age(now)),
            },
            streams: self.streams.iter().map(stream).collect(),
            setting_count: self.settings.len(),
            desired: self.settings.desired_states(),
            concurrent_settings: self.settings.concurrent(MAX_LISTED_NAMES),
            rejected: self.quarantined.iter().map(|((stream, number), why)| (stream, number, why)).collect(),
            unconfirmed: self.pending_purges.len() + self.pending_settings.len(),
            control: self.control_status(now),
        }
    }

    pub fn resource_usage(&self) -> ResourceUsage {
        let longest = |kind| {
            let streams = self.streams.iter().filter(|stream| stream.id.kind == kind);
            streams.map(|stream| stream.entry_count()).max().unwrap_or(0)
        };
        ResourceUsage {
            streams: self.streams.len(),
            purge_log_entries: longest(StreamKind::Purges),
            configuration_log_entries: longest(StreamKind::Configuration),
            children: self.children.len(),
            reports: self.children.reports().count(),
            region_reports: self.control.as_ref().map_or(0, |control| control.convergence.report_count()),
            hosts: self.settings.len(),
            quarantined: self.quarantined.len(),
            pending_purges: self.pending_purges.len(),
            pending_settings: self.pending_settings.len(),
            candidates: self.subscription.candidates().len(),
        }
    }

    fn control_status(&self, now: Duration) -> Option<ControlStatus> {
        let control = self.control.as_ref()?;
        let mut status = ControlStatus {
            directory: control.directory_version(),
            replicated_to_all: control.convergence.numbers().clone(),
            is_publishing: self.is_publishing(now),
            ..ControlStatus::default()
        };
        let Some(directory) = &control.directory else { return Some(status) };
        status.expected_members = directory.members.len();
        let direct_reports: Vec<_> = self.direct_reports(now).into_iter().map(|(report, _)| report).collect();
        let lag = |id, number| self.lag(id, number);
        for (region, listed) in (0_u16..).zip(directory.regions()) {
            let region_status = control.convergence.region_status(region, directory, &direct_reports, &lag);
            status.present += region_status.present;
            let report = region_status.report.unwrap_or(SubtreeReport {
                region,
                listing_hash: listed.listing_hash,
                slots: Default::default(),
                applied: Vec::new(),
                lagging: Vec::new(),
                rejected: Vec::new(),
            });
            let named = |slot| directory.name(region, slot).map(str::to_owned);
            let missing = (0..listed.order.len() as u16).filter(|slot| !report.slots.contains(*slot));
            let room = MAX_LISTED_NAMES - status.missing.len();
            status.missing.extend(missing.filter_map(named).take(room));
            let lagging = report.lagging.iter().filter(|(_, id, number)| lag(*id, *number) > 0);
            let lagging = lagging.filter_map(|(slot, id, number)| Some((named(*slot)?, *id, *number)));
            let room = MAX_LISTED_NAMES - status.lagging.len();
            status.lagging.extend(lagging.take(room));
            let room = MAX_LISTED_NAMES - status.rejected.len();
            status.rejected.extend(report.rejected.into_iter().take(room));
        }
        Some(status)
    }
}
