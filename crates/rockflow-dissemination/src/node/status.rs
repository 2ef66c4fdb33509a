//! Builds the status report of a node.

use super::Node;
use crate::directory::{Directory, Region};
use crate::entry::StreamKind;
use crate::identity::{NodeId, Peer};
use crate::slot_set::SlotSet;
use crate::status::{ControlStatus, NodeStatus, ResourceUsage, StreamStatus, MAX_LISTED_NAMES};
use crate::stream::Stream;
use crate::subtree_report::SubtreeReport;
use std::time::Duration;

impl Node {
    /// The state of the node, for logs and tests.
    pub fn status(&self, now: Duration) -> NodeStatus {
        let place = self.join.place();
        let parent = self.subscription.parent();
        NodeStatus {
            identity: self.config.identity,
            place: place.map(|place| (place.region, place.slot, place.slots)),
            directory: self
                .control
                .as_ref()
                .map_or(self.join.directory_version(), |control| control.directory_version()),
            parent: parent
                .map(|parent| Peer { node: parent.node.unwrap_or(NodeId(0)), address: parent.address }),
            first_parent: self.subscription.is_first(),
            children: self.children.len(),
            staleness: match self.control {
                Some(_) => Some(Duration::ZERO),
                None => self.contact.staleness(now),
            },
            streams: self.streams.iter().map(|stream| stream_status(stream, now)).collect(),
            setting_count: self.settings.len(),
            desired: self.settings.desired_states(),
            concurrent_settings: self.settings.concurrent(MAX_LISTED_NAMES),
            rejected: self
                .quarantined
                .iter()
                .map(|((stream, number), reason)| (stream, number, reason))
                .collect(),
            unconfirmed: self.apply_queue.pending_purges() + self.apply_queue.pending_settings(),
            control: self.control_status(now),
        }
    }

    /// Sizes of the node's tables and queues, to compare them with their limits.
    pub fn resource_usage(&self) -> ResourceUsage {
        let longest_log = |kind| {
            let streams = self.streams.iter().filter(|stream| stream.id.kind == kind);
            streams.map(|stream| stream.entry_count()).max().unwrap_or(0)
        };
        ResourceUsage {
            streams: self.streams.len(),
            purge_log_entries: longest_log(StreamKind::Purges),
            configuration_log_entries: longest_log(StreamKind::Configuration),
            children: self.children.len(),
            reports: self.children.reports().count(),
            region_reports: self.control.as_ref().map_or(0, |control| control.convergence.report_count()),
            hosts: self.settings.len(),
            quarantined: self.quarantined.len(),
            pending_purges: self.apply_queue.pending_purges(),
            pending_settings: self.apply_queue.pending_settings(),
            candidates: self.subscription.candidates().len(),
        }
    }

    /// What a control node knows of the members; `None` at a member.
    fn control_status(&self, now: Duration) -> Option<ControlStatus> {
        let control = self.control.as_ref()?;
        let mut status = ControlStatus {
            directory: control.directory_version(),
            replicated_to_all: control.convergence.replicated_to_all().clone(),
            is_publishing: control.is_publishing(now),
            ..ControlStatus::default()
        };
        let Some(directory) = &control.directory else { return Some(status) };
        status.expected_members = directory.members.len();
        let direct_reports = self.direct_reports();
        let lag = |id, number| self.lag(id, number);
        for (index, region) in (0_u16..).zip(directory.regions()) {
            let region_status = control.convergence.region_status(index, directory, &direct_reports, &lag);
            status.present += region_status.present;
            let report = region_status.report.unwrap_or_else(|| empty_report(index, region));
            self.add_region(&mut status, directory, region, report);
        }
        Some(status)
    }

    /// Adds a region's missing members, lagging members and rejected settings to the status, each list up to
    /// [`MAX_LISTED_NAMES`].
    fn add_region(
        &self,
        status: &mut ControlStatus,
        directory: &Directory,
        region: &Region,
        report: SubtreeReport,
    ) {
        let name = |slot| directory.name(report.region, slot).map(str::to_owned);
        let missing = (0..region.order.len() as u16).filter(|slot| !report.slots.contains(*slot));
        let room = MAX_LISTED_NAMES - status.missing.len();
        status.missing.extend(missing.filter_map(name).take(room));
        let lagging = report.lagging.iter().filter(|(_, id, number)| self.lag(*id, *number) > 0);
        let lagging = lagging.filter_map(|(slot, id, number)| Some((name(*slot)?, *id, *number)));
        let room = MAX_LISTED_NAMES - status.lagging.len();
        status.lagging.extend(lagging.take(room));
        let room = MAX_LISTED_NAMES - status.rejected.len();
        status.rejected.extend(report.rejected.into_iter().take(room));
    }
}

fn stream_status(stream: &Stream, now: Duration) -> StreamStatus {
    let gap_since = stream.gap_since().filter(|_| stream.has_gap());
    StreamStatus {
        stream: stream.id,
        start_known: stream.start_known,
        first: stream.first(),
        received: stream.received(),
        applied: stream.applied,
        last: stream.last(),
        entries: stream.entry_count(),
        gap_age: gap_since.map(|since| now.saturating_sub(since)),
    }
}

/// The report of a region of which no member has reported.
fn empty_report(index: u16, region: &Region) -> SubtreeReport {
    SubtreeReport {
        region: index,
        listing_hash: region.listing_hash,
        slots: SlotSet::default(),
        applied: Vec::new(),
        lagging: Vec::new(),
        rejected: Vec::new(),
    }
}
