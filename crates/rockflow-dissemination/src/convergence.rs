//! Determines which entries all listed members have applied, from the reports of the members.

use crate::counters::Counters;
use crate::directory::Directory;
use crate::entry::{SequenceNumber, StreamId};
use crate::identity::ControlId;
use crate::message::MAX_REGION_REPORTS;
use crate::subtree_report::{self, LagOf, RegionReport, SubtreeReport};
use crate::timestamp::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most bytes of region reports in one message, as estimated by the sizes below.
const MAX_MESSAGE_BYTES: usize = 1200;
/// Approximate bytes of a region report without its slots and streams.
const REPORT_BYTES: usize = 32;
/// Approximate bytes of one stream with its number in a region report.
const REPORTED_STREAM_BYTES: usize = 14;

/// Entries of a stream that all members have applied, and had not all applied at the previous check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicatedEntries {
    pub stream: StreamId,
    /// The number up to which all members had applied the stream before.
    pub previous_last: SequenceNumber,
    /// The number up to which they have applied it now.
    pub last: SequenceNumber,
}

/// The state of a region according to all reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionStatus {
    /// Number of members that have reported.
    pub present: usize,
    /// The merged report; `None` if no member has reported.
    pub report: Option<SubtreeReport>,
}

/// Keeps the region reports of the other control nodes, and how far all members have applied each stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConvergenceTracker {
    /// Each report with the time at which its oldest part was received, by the control node that has sent it and the
    /// index of the region. Bounded by the number of control nodes and of regions in the directory, as reports of other
    /// regions are not kept.
    reports: BTreeMap<(ControlId, u16), (SubtreeReport, Timestamp)>,
    /// The number up to which all members have applied each stream.
    replicated_to_all: BTreeMap<StreamId, SequenceNumber>,
}

impl ConvergenceTracker {
    /// Stores the report of one region from another control node. A report that does not use the current listing of the
    /// region is dropped.
    pub fn insert(
        &mut self,
        now: Duration,
        from: ControlId,
        region: RegionReport,
        directory: &Directory,
        counters: &mut Counters,
    ) {
        let RegionReport { mut report, age_ms } = region;
        let listed = directory.regions().get(usize::from(report.region));
        if listed.is_none_or(|listed| listed.listing_hash != report.listing_hash) {
            counters.reports_dropped += 1;
            return;
        }
        report.truncate_to_limits();
        self.reports.insert((from, report.region), (report, Timestamp::ms_ago(now, age_ms)));
    }

    /// Drops reports older than `ttl`.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.reports.retain(|_, (_, received)| received.age(now) <= ttl);
    }

    /// Drops all reports, after a pause of this process or a change of the directory.
    pub fn clear_reports(&mut self) {
        self.reports.clear();
    }

    /// Number of stored reports.
    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// The number up to which all members have applied each stream.
    pub fn replicated_to_all(&self) -> &BTreeMap<StreamId, SequenceNumber> {
        &self.replicated_to_all
    }

    /// Merges all reports of a region: `direct_reports`, which this control node has received from its children, and
    /// those of the other control nodes.
    pub fn region_status(
        &self,
        region: u16,
        directory: &Directory,
        direct_reports: &[SubtreeReport],
        lag: LagOf,
    ) -> RegionStatus {
        let Some(listed) = directory.regions().get(usize::from(region)) else {
            return RegionStatus::default();
        };
        let other_reports = self.reports.values().map(|(report, _)| report);
        let is_current =
            |report: &&SubtreeReport| (report.region, report.listing_hash) == (region, listed.listing_hash);
        let (mut merged, _) =
            subtree_report::merge(direct_reports.iter().chain(other_reports).filter(is_current), lag, 1);
        let report = merged.pop();
        let slots = listed.order.len() as u16;
        let present = report.as_ref().map_or(0, |report| report.slots.present(slots));
        RegionStatus { present, report }
    }

    /// Returns the entries that all members have applied since the previous call; none while the reports lack a listed
    /// member.
    pub fn advance(
        &mut self,
        directory: &Directory,
        direct_reports: &[SubtreeReport],
        lag: LagOf,
    ) -> Vec<ReplicatedEntries> {
        let mut advanced = Vec::new();
        for (stream, last) in self.applied_by_all(directory, direct_reports, lag).unwrap_or_default() {
            let previous_last = self.replicated_to_all.get(&stream).copied().unwrap_or_default();
            if last > previous_last {
                self.replicated_to_all.insert(stream, last);
                advanced.push(ReplicatedEntries { stream, previous_last, last });
            }
        }
        advanced
    }

    /// Forgets the streams that the node no longer holds.
    pub fn retain_streams(&mut self, is_held: impl Fn(StreamId) -> bool) {
        self.replicated_to_all.retain(|stream, _| is_held(*stream));
    }

    /// The number up to which all members have applied each stream that all regions report; `None` while the reports
    /// lack a listed member.
    fn applied_by_all(
        &self,
        directory: &Directory,
        direct_reports: &[SubtreeReport],
        lag: LagOf,
    ) -> Option<BTreeMap<StreamId, SequenceNumber>> {
        let mut common: Option<BTreeMap<StreamId, SequenceNumber>> = None;
        for (region, listed) in (0_u16..).zip(directory.regions()) {
            let status = self.region_status(region, directory, direct_reports, lag);
            if status.present < listed.order.len() {
                return None;
            }
            let applied = status.report.map(|report| report.applied).unwrap_or_default();
            let mut applied: BTreeMap<StreamId, SequenceNumber> = applied.into_iter().collect();
            if let Some(others) = common {
                applied.retain(|stream, _| others.contains_key(stream));
                for (stream, number) in &mut applied {
                    *number = others.get(stream).map_or(*number, |other| (*number).min(*other));
                }
            }
            common = Some(applied);
        }
        common
    }
}

/// Divides region reports into groups that each fit into one message.
pub(crate) fn split_into_messages(reports: Vec<RegionReport>) -> Vec<Vec<RegionReport>> {
    let mut messages: Vec<Vec<RegionReport>> = Vec::new();
    let mut bytes = 0;
    for region in reports {
        let report = &region.report;
        let streams = report.applied.len() + report.lagging.len() + report.rejected.len();
        let added = REPORT_BYTES + report.slots.0.len() + REPORTED_STREAM_BYTES * streams;
        match messages.last_mut() {
            Some(last) if last.len() < MAX_REGION_REPORTS && bytes + added <= MAX_MESSAGE_BYTES => {
                last.push(region);
                bytes += added;
            }
            _ => {
                messages.push(vec![region]);
                bytes = added;
            }
        }
    }
    messages
}
