//! Reports of which members of a region are present and what all of them have applied. Nodes merge the reports of their
//! children on the way to the control nodes.

use crate::entry::{SequenceNumber, StreamId};
use crate::message::MAX_STREAMS;
use crate::setting::RejectionReason;
use crate::slot_set::{SlotSet, MAX_SLOTS, SLOTS_PER_BYTE};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Limit of entries for lagging members in one report.
pub const MAX_LAGGING: usize = 4;
/// Limit of rejected settings in one report.
pub const MAX_REJECTED: usize = 4;

/// Which members of a subtree are present in one region, and how far all of them have applied the streams.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubtreeReport {
    /// Index of the region.
    pub region: u16,
    /// Hash of the region's listing, which assigns the slots to members.
    pub listing_hash: u32,
    /// Slots of the members that are present.
    pub slots: SlotSet,
    /// Every stream that all of these members know, and the number up to which all of them have applied it. Each report
    /// has all such streams, not only changed ones, as its slots may differ from those of the previous report.
    pub applied: Vec<(StreamId, SequenceNumber)>,
    /// The slots of the members that lag most, each with the stream and the number up to which it is applied.
    pub lagging: Vec<(u16, StreamId, SequenceNumber)>,
    /// Settings that members reject: the stream and number, the reason, and how many members reject it.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason, u16)>,
}

/// The report of a region that one control node has from its own children, as sent to the other control nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionReport {
    /// The merged report of the region.
    pub report: SubtreeReport,
    /// Milliseconds since the oldest of the merged reports was received.
    pub age_ms: u32,
}

impl SubtreeReport {
    /// Truncates each list to its limit.
    pub(crate) fn truncate_to_limits(&mut self) {
        self.slots.0.truncate(MAX_SLOTS / SLOTS_PER_BYTE);
        self.applied.truncate(MAX_STREAMS);
        self.lagging.truncate(MAX_LAGGING);
        self.rejected.truncate(MAX_REJECTED);
    }

    /// Adds a report of the same region and listing.
    fn merge(&mut self, other: &SubtreeReport, lag: LagOf) {
        self.slots.union(&other.slots);
        let other_applied: BTreeMap<StreamId, SequenceNumber> = other.applied.iter().copied().collect();
        let applied_by_both = self.applied.iter().filter_map(|(stream, number)| {
            other_applied.get(stream).map(|other_number| (*stream, (*number).min(*other_number)))
        });
        self.applied = applied_by_both.collect();
        self.lagging.extend(other.lagging.iter().copied());
        self.keep_most_lagging(lag);
        self.rejected = merge_rejected(&self.rejected, &other.rejected);
    }

    /// Sorts the lagging members, the one that lags most first, and truncates the list to its limit.
    fn keep_most_lagging(&mut self, lag: LagOf) {
        self.lagging.sort_by_key(|(slot, stream, number)| (Reverse(lag(*stream, *number)), *slot, *stream));
        self.lagging.dedup_by_key(|(slot, stream, _)| (*slot, *stream));
        self.lagging.truncate(MAX_LAGGING);
    }
}

/// Returns how many entries a number is behind the last number known of its stream.
pub(crate) type LagOf<'a> = &'a dyn Fn(StreamId, SequenceNumber) -> u64;

/// Merges reports of the same region and listing. Returns at most `max_reports`, in the order in which each region and
/// listing first came, and the number of reports that are dropped for lack of room. The members of a dropped report are
/// absent from the result, so nothing counts as replicated to them.
pub(crate) fn merge<'a>(
    reports: impl Iterator<Item = &'a SubtreeReport>,
    lag: LagOf,
    max_reports: usize,
) -> (Vec<SubtreeReport>, u64) {
    let mut merged: Vec<SubtreeReport> = Vec::new();
    let mut dropped = 0;
    for report in reports {
        let key = (report.region, report.listing_hash);
        match merged.iter().position(|other| (other.region, other.listing_hash) == key) {
            Some(index) => merged[index].merge(report, lag),
            None if merged.len() < max_reports => {
                let mut first = report.clone();
                first.keep_most_lagging(lag);
                merged.push(first);
            }
            None => dropped += 1,
        }
    }
    (merged, dropped)
}

/// An element of [`SubtreeReport::rejected`].
type RejectedSetting = (StreamId, SequenceNumber, RejectionReason, u16);

/// Adds up the members that reject the same setting for the same reason.
fn merge_rejected(one: &[RejectedSetting], other: &[RejectedSetting]) -> Vec<RejectedSetting> {
    let mut members: BTreeMap<(StreamId, SequenceNumber, RejectionReason), u16> = BTreeMap::new();
    for (stream, number, reason, count) in one.iter().chain(other) {
        let sum = members.entry((*stream, *number, *reason)).or_default();
        *sum = sum.saturating_add(*count).min(MAX_SLOTS as u16);
    }
    let merged = members.into_iter().map(|((stream, number, reason), sum)| (stream, number, reason, sum));
    merged.take(MAX_REJECTED).collect()
}
