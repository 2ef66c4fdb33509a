//! Which members of a region are present and what all of them have applied; reports are merged on the way to control.

use crate::entry::{SequenceNumber, StreamId};
use crate::message::{MAX_REPORTS, MAX_STREAMS};
use crate::setting::RejectionReason;
use crate::slot_set::{SlotSet, MAX_SLOTS};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Lagging members in one report.
pub const MAX_LAGGING: usize = 4;
/// Rejected settings in one report.
pub const MAX_REJECTED: usize = 4;
/// Regions and listings in one acknowledgement.
pub(crate) const MAX_MERGED_REPORTS: usize = MAX_REPORTS;

/// Which members of a subtree are present in one region, and how far all of them have applied the streams.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubtreeReport {
    /// Index of the region.
    pub region: u16,
    /// Hash of the region's listing, by which the slots are counted.
    pub listing_hash: u32,
    /// Members that are present.
    pub slots: SlotSet,
    /// The number up to which all of them have applied a stream, for every stream that all of them know. Always
    /// complete, as the slots may differ from those of the previous report.
    pub applied: Vec<(StreamId, SequenceNumber)>,
    /// The slots of those that lag most, and what they have applied.
    pub lagging: Vec<(u16, StreamId, SequenceNumber)>,
    /// Settings that members reject: which, why, and how many members do.
    pub rejected: Vec<(StreamId, SequenceNumber, RejectionReason, u16)>,
}

/// A region as reported to one control node directly, for the other control nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionReport {
    /// The merged report of the region.
    pub report: SubtreeReport,
    /// Milliseconds since the oldest report in it was received.
    pub age_ms: u32,
}

impl SubtreeReport {
    /// Cuts what is longer than it may be.
    pub fn truncate_to_limits(&mut self) {
        self.slots.0.truncate(MAX_SLOTS / 8);
        self.applied.truncate(MAX_STREAMS);
        self.lagging.truncate(MAX_LAGGING);
        self.rejected.truncate(MAX_REJECTED);
    }
}

/// How far behind a number is what is known here of its stream.
pub type Lag<'a> = &'a dyn Fn(StreamId, SequenceNumber) -> u64;

/// Keeps the worst of those behind.
fn worst_first(one: &mut SubtreeReport, lag: Lag) {
    one.lagging.sort_by_key(|(slot, stream, number)| (Reverse(lag(*stream, *number)), *slot, *stream));
    one.lagging.dedup_by_key(|(slot, stream, _)| (*slot, *stream));
    one.lagging.truncate(MAX_LAGGING);
}

/// Joins what is said of one listing of a region.
fn join_two(one: &mut SubtreeReport, other: &SubtreeReport, lag: Lag) {
    one.slots.join(&other.slots);
    let others: BTreeMap<StreamId, SequenceNumber> = other.applied.iter().copied().collect();
    let common = one
        .applied
        .iter()
        .filter_map(|(stream, number)| others.get(stream).map(|other| (*stream, (*number).min(*other))));
    one.applied = common.collect();
    one.lagging.extend(other.lagging.iter().copied());
    worst_first(one, lag);
    one.rejected = join_refused(&one.rejected, &other.rejected);
}

type Refused = (StreamId, SequenceNumber, RejectionReason, u16);

fn join_refused(one: &[Refused], other: &[Refused]) -> Vec<Refused> {
    let mut sums: BTreeMap<(StreamId, SequenceNumber, RejectionReason), u16> = BTreeMap::new();
    for (stream, number, why, count) in one.iter().chain(other) {
        let sum = sums.entry((*stream, *number, *why)).or_default();
        *sum = sum.saturating_add(*count).min(MAX_SLOTS as u16);
    }
    let joined = sums.into_iter().map(|((stream, number, why), sum)| (stream, number, why, sum));
    joined.take(MAX_REJECTED).collect()
}

/// Joins reports by region and listing, in the order they come. Also how many had no room: those of the listings that
/// came after `most` others; their members are not told of, so that nothing counts as everywhere by them.
pub fn join<'a>(
    reports: impl Iterator<Item = &'a SubtreeReport>,
    lag: Lag,
    max_reports: usize,
) -> (Vec<SubtreeReport>, u64) {
    let mut joined: Vec<SubtreeReport> = Vec::new();
    let mut dropped = 0;
    for report in reports {
        let same =
            |one: &SubtreeReport| (one.region, one.listing_hash) == (report.region, report.listing_hash);
        match joined.iter().position(same) {
            Some(place) => join_two(&mut joined[place], report, lag),
            None if joined.len() < max_reports => {
                let mut one = report.clone();
                worst_first(&mut one, lag);
                joined.push(one);
            }
            None => dropped += 1,
        }
    }
    (joined, dropped)
}
