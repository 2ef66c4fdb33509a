//! Who is there and how far they are: slots, and reports joined.

use crate::messages::{Report, Slots, MAX_BEHIND, MAX_REFUSED, MAX_REPORTS, MAX_SLOTS, MAX_STREAMS};
use crate::words::{Number, Refusal, StreamId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

impl Slots {
    pub fn set(&mut self, slot: u16) {
        let byte = usize::from(slot / 8);
        if usize::from(slot) >= MAX_SLOTS {
            return;
        }
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (slot % 8);
    }

    pub fn has(&self, slot: u16) -> bool {
        self.0.get(usize::from(slot / 8)).is_some_and(|byte| byte & (1 << (slot % 8)) != 0)
    }

    pub fn join(&mut self, other: &Slots) {
        let bytes = other.0.len().min(MAX_SLOTS / 8);
        if self.0.len() < bytes {
            self.0.resize(bytes, 0);
        }
        for (mine, its) in self.0.iter_mut().zip(&other.0) {
            *mine |= its;
        }
    }

    /// How many of the first `slots` are there.
    pub fn present(&self, slots: u16) -> usize {
        (0..slots).filter(|slot| self.has(*slot)).count()
    }
}

impl Report {
    /// Cuts what is longer than it may be.
    pub fn cut(&mut self) {
        self.slots.0.truncate(MAX_SLOTS / 8);
        self.in_force.truncate(MAX_STREAMS);
        self.behind.truncate(MAX_BEHIND);
        self.refused.truncate(MAX_REFUSED);
    }
}

/// How far behind a number is what is known here of its stream.
pub type Lag<'a> = &'a dyn Fn(StreamId, Number) -> u64;

/// Keeps the worst of those behind.
fn worst_first(one: &mut Report, lag: Lag) {
    one.behind.sort_by_key(|(slot, stream, number)| (Reverse(lag(*stream, *number)), *slot, *stream));
    one.behind.dedup_by_key(|(slot, stream, _)| (*slot, *stream));
    one.behind.truncate(MAX_BEHIND);
}

/// Joins what is said of one listing of a region.
fn join_two(one: &mut Report, other: &Report, lag: Lag) {
    one.slots.join(&other.slots);
    let others: BTreeMap<StreamId, Number> = other.in_force.iter().copied().collect();
    let common = one
        .in_force
        .iter()
        .filter_map(|(stream, number)| others.get(stream).map(|other| (*stream, (*number).min(*other))));
    one.in_force = common.collect();
    one.behind.extend(other.behind.iter().copied());
    worst_first(one, lag);
    one.refused = join_refused(&one.refused, &other.refused);
}

type Refused = (StreamId, Number, Refusal, u16);

fn join_refused(one: &[Refused], other: &[Refused]) -> Vec<Refused> {
    let mut sums: BTreeMap<(StreamId, Number, Refusal), u16> = BTreeMap::new();
    for (stream, number, why, count) in one.iter().chain(other) {
        let sum = sums.entry((*stream, *number, *why)).or_default();
        *sum = sum.saturating_add(*count).min(MAX_SLOTS as u16);
    }
    let joined = sums.into_iter().map(|((stream, number, why), sum)| (stream, number, why, sum));
    joined.take(MAX_REFUSED).collect()
}

/// Joins reports by region and listing, in the order they come. Also how many had no room: those of the listings that
/// came after `most` others; their members are not told of, so that nothing counts as everywhere by them.
pub fn join<'a>(reports: impl Iterator<Item = &'a Report>, lag: Lag, most: usize) -> (Vec<Report>, u64) {
    let mut joined: Vec<Report> = Vec::new();
    let mut dropped = 0;
    for report in reports {
        let same = |one: &Report| (one.region, one.near) == (report.region, report.near);
        match joined.iter().position(same) {
            Some(place) => join_two(&mut joined[place], report, lag),
            None if joined.len() < most => {
                let mut one = report.clone();
                worst_first(&mut one, lag);
                joined.push(one);
            }
            None => dropped += 1,
        }
    }
    (joined, dropped)
}

/// Reports of one ack.
pub const MAX_JOINED: usize = MAX_REPORTS;
