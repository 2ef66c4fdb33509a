//! What is in force everywhere, as a control node knows it: by every told member's own word.

use crate::directory::Directory;
use crate::entry::{SequenceNumber, StreamId};
use crate::identity::ControlId;
use crate::message::MAX_REGION_REPORTS;
use crate::output::Counters;
use crate::subtree_report;
use crate::subtree_report::{RegionReport, SubtreeReport};
use crate::timestamp::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of rows in one frame.
const MAX_REGION_FRAME_BYTES: usize = 1200;

/// Rows by the control node that heard them, and region: at most sixteen times the regions of a directory. A region that
/// the directory here doesn't name isn't kept.
#[derive(Clone, Debug, Default)]
pub struct ConvergenceTracker {
    reports: BTreeMap<(ControlId, u16), (SubtreeReport, Timestamp)>,
    numbers: BTreeMap<StreamId, SequenceNumber>,
}

/// A region as it stands.
#[derive(Clone, Debug, Default)]
pub struct RegionStatus {
    pub present: usize,
    pub report: Option<SubtreeReport>,
}

impl ConvergenceTracker {
    pub fn insert(
        &mut self,
        now: Duration,
        control: ControlId,
        mut report: RegionReport,
        directory: &Directory,
        counters: &mut Counters,
    ) {
        let region = usize::from(report.report.region);
        let listed_here = directory
            .regions()
            .get(region)
            .is_some_and(|listed| listed.listing_hash == report.report.listing_hash);
        if !listed_here {
            counters.reports_dropped += 1;
            return;
        }
        let key = (control, report.report.region);
        report.report.truncate_to_limits();
        self.reports.insert(key, (report.report, Timestamp::ms_ago(now, report.age_ms)));
    }

    /// Drops rows that are too old to count.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.reports.retain(|_, (_, timestamp)| timestamp.age(now) <= ttl);
    }

    /// After this process stood still, or the directory changed.
    pub fn clear_reports(&mut self) {
        self.reports.clear();
    }

    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    pub fn numbers(&self) -> &BTreeMap<StreamId, SequenceNumber> {
        &self.numbers
    }

    /// All that is said of a region, here and at the other control nodes.
    pub fn region_status(
        &self,
        region: u16,
        directory: &Directory,
        direct_reports: &[SubtreeReport],
        lag: subtree_report::Lag,
    ) -> RegionStatus {
        let Some(listed) = directory.regions().get(usize::from(region)) else {
            return RegionStatus::default();
        };
        let rows = self.reports.iter().filter(|((_, of), _)| *of == region).map(|(_, (report, _))| report);
        let all = direct_reports.iter().chain(rows);
        let mine = all.filter(|report| (report.region, report.listing_hash) == (region, listed.listing_hash));
        let (mut joined, _) = subtree_report::join(mine, lag, 1);
        let report = joined.pop();
        let slots = listed.order.len() as u16;
        let present = report.as_ref().map_or(0, |report| report.slots.present(slots));
        RegionStatus { present, report }
    }

    /// What has come in force everywhere since: from, and to.
    pub fn advance(
        &mut self,
        directory: &Directory,
        direct_reports: &[SubtreeReport],
        lag: subtree_report::Lag,
    ) -> Vec<(StreamId, SequenceNumber, SequenceNumber)> {
        let mut least: Option<BTreeMap<StreamId, SequenceNumber>> = None;
        for (region, listed) in (0_u16..).zip(directory.regions()) {
            let region_status = self.region_status(region, directory, direct_reports, lag);
            if region_status.present < listed.order.len() {
                return Vec::new();
            }
            let mut region_applied: BTreeMap<StreamId, SequenceNumber> =
                region_status.report.into_iter().flat_map(|report| report.applied).collect();
            if let Some(before) = least {
                region_applied.retain(|stream, _| before.contains_key(stream));
                for (stream, number) in &mut region_applied {
                    *number = before.get(stream).map_or(*number, |other| (*number).min(*other));
                }
            }
            least = Some(region_applied);
        }
        let mut advanced = Vec::new();
        for (stream, number) in least.unwrap_or_default() {
            let before = self.numbers.get(&stream).copied().unwrap_or_default();
            if number > before {
                self.numbers.insert(stream, number);
                advanced.push((stream, before, number));
            }
        }
        advanced
    }

    /// Streams that are gone are forgotten.
    pub fn retain_streams(&mut self, held: impl Fn(StreamId) -> bool) {
        self.numbers.retain(|stream, _| held(*stream));
    }
}

/// Rows in as few frames as hold them.
pub fn split_into_frames(rows: Vec<RegionReport>) -> Vec<Vec<RegionReport>> {
    let mut frames: Vec<Vec<RegionReport>> = Vec::new();
    let mut bytes = 0;
    for report in rows {
        let of = &report.report;
        let more = 32 + of.slots.0.len() + 14 * (of.applied.len() + of.lagging.len() + of.rejected.len());
        let goes_on = frames
            .last()
            .is_some_and(|frame| frame.len() < MAX_REGION_REPORTS && bytes + more <= MAX_REGION_FRAME_BYTES);
        if !goes_on {
            frames.push(Vec::new());
            bytes = 0;
        }
        bytes += more;
        if let Some(frame) = frames.last_mut() {
            frame.push(report);
        }
    }
    frames
}
