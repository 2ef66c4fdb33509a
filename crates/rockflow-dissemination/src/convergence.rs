//! Replication to all: what every listed member has applied, by the members' own reports.

use crate::counters::Counters;
use crate::directory::Directory;
use crate::entry::{SequenceNumber, StreamId};
use crate::identity::ControlId;
use crate::message::MAX_REGION_REPORTS;
use crate::subtree_report::{self, LagOf, RegionReport, SubtreeReport};
use crate::timestamp::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of region reports in one message.
const MAX_MESSAGE_BYTES: usize = 1200;
/// Bytes of a region report without its slots and streams, about.
const REPORT_BYTES: usize = 32;
/// Bytes of one stream and number in a region report, about.
const REPORTED_STREAM_BYTES: usize = 14;

/// A stream's entries that have come to be applied by all since the last look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicatedEntries {
    pub stream: StreamId,
    /// The last number that was applied by all before.
    pub previous_last: SequenceNumber,
    /// The last number that is now.
    pub last: SequenceNumber,
}

/// A region by all reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionStatus {
    /// Members that are present.
    pub present: usize,
    /// The merged report; `None`: nobody has reported.
    pub report: Option<SubtreeReport>,
}

/// Owns what other control nodes report, and what is known to be applied by all.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConvergenceTracker {
    /// By the control node that received them, and region: bounded by the number of control nodes and the regions of
    /// the directory. A region that the directory doesn't list is not kept.
    reports: BTreeMap<(ControlId, u16), (SubtreeReport, Timestamp)>,
    /// The last number that is applied by all.
    replicated_to_all: BTreeMap<StreamId, SequenceNumber>,
}

impl ConvergenceTracker {
    /// Takes the report of one region from another control node.
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

    /// Drops all reports: this process did not run for a while, or the directory has changed.
    pub fn clear_reports(&mut self) {
        self.reports.clear();
    }

    /// The number of reports that are held.
    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// The last number of each stream that is applied by all.
    pub fn replicated_to_all(&self) -> &BTreeMap<StreamId, SequenceNumber> {
        &self.replicated_to_all
    }

    /// Merges all reports of a region, those received here and by the other control nodes.
    pub fn region_status(
        &self,
        region: u16,
        directory: &Directory,
        direct: &[SubtreeReport],
        lag: LagOf,
    ) -> RegionStatus {
        let Some(listed) = directory.regions().get(usize::from(region)) else {
            return RegionStatus::default();
        };
        let others = self.reports.values().map(|(report, _)| report);
        let current =
            |report: &&SubtreeReport| (report.region, report.listing_hash) == (region, listed.listing_hash);
        let (mut merged, _) = subtree_report::merge(direct.iter().chain(others).filter(current), lag, 1);
        let report = merged.pop();
        let slots = listed.order.len() as u16;
        let present = report.as_ref().map_or(0, |report| report.slots.present(slots));
        RegionStatus { present, report }
    }

    /// Returns the streams that have advanced at all members; none while a listed member is missing.
    pub fn advance(
        &mut self,
        directory: &Directory,
        direct: &[SubtreeReport],
        lag: LagOf,
    ) -> Vec<ReplicatedEntries> {
        let mut advanced = Vec::new();
        for (stream, last) in self.applied_by_all(directory, direct, lag).unwrap_or_default() {
            let previous_last = self.replicated_to_all.get(&stream).copied().unwrap_or_default();
            if last > previous_last {
                self.replicated_to_all.insert(stream, last);
                advanced.push(ReplicatedEntries { stream, previous_last, last });
            }
        }
        advanced
    }

    /// Forgets streams that are not held any more.
    pub fn retain_streams(&mut self, is_held: impl Fn(StreamId) -> bool) {
        self.replicated_to_all.retain(|stream, _| is_held(*stream));
    }

    fn applied_by_all(
        &self,
        directory: &Directory,
        direct: &[SubtreeReport],
        lag: LagOf,
    ) -> Option<BTreeMap<StreamId, SequenceNumber>> {
        let mut by_all: Option<BTreeMap<StreamId, SequenceNumber>> = None;
        for (region, listed) in (0_u16..).zip(directory.regions()) {
            let status = self.region_status(region, directory, direct, lag);
            if status.present < listed.order.len() {
                return None;
            }
            let applied = status.report.map(|report| report.applied).unwrap_or_default();
            let mut applied: BTreeMap<StreamId, SequenceNumber> = applied.into_iter().collect();
            if let Some(others) = by_all {
                applied.retain(|stream, _| others.contains_key(stream));
                for (stream, number) in &mut applied {
                    *number = others.get(stream).map_or(*number, |other| (*number).min(*other));
                }
            }
            by_all = Some(applied);
        }
        by_all
    }
}

/// Divides region reports into as few messages as hold them.
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
