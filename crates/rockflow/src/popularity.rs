//! Popularity of objects, measured by the requests that this dispatcher receives.

use crate::decay::DecayingSum;
use crate::event::Request;
use crate::ids::ObjectId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The decay time constant of request counts, as a multiple of the longest deadline.
const MEMORY_FACTOR: f64 = 4.0;
/// The decayed request count above which an object part is popular.
const POPULAR_THRESHOLD: f64 = 1.2;
/// The share of all requests from which on a popular object part is hot, as a multiple of an equal share per cache.
const HOT_SHARE: f64 = 0.15;
/// The decayed request count at or below which an object part is dropped from a full table.
const EVICTION_THRESHOLD: f64 = 1.0;

/// A part of an object, whose popularity is tracked separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObjectPart {
    object: ObjectId,
    part: u32,
}

/// Decayed counts of recent requests.
#[derive(Debug)]
pub(crate) struct Popularity {
    parts: BTreeMap<ObjectPart, DecayingSum>,
    /// The count over all object parts, including those that are not tracked.
    total: DecayingSum,
    /// The maximum number of entries in `parts`.
    max_tracked: usize,
}

/// The decay time constant of request counts. `longest_deadline` is the longest deadline of a request class.
pub(crate) fn memory(longest_deadline: Duration) -> Duration {
    longest_deadline.mul_f64(MEMORY_FACTOR)
}

impl Popularity {
    /// Creates empty counts, which decay like `empty`, with [`memory`] as their time constant.
    pub(crate) fn new(empty: DecayingSum, max_tracked: usize) -> Self {
        Popularity { parts: BTreeMap::new(), total: empty, max_tracked }
    }

    /// Counts a request. If the table is full, unpopular entries make room for the requested part.
    pub(crate) fn record(&mut self, now: Duration, request: &Request) {
        self.total.add(now, 1.0);
        if self.parts.len() >= self.max_tracked {
            self.parts.retain(|_, requests| requests.read(now) > EVICTION_THRESHOLD);
        }
        if self.parts.len() < self.max_tracked {
            let empty = self.total.emptied();
            self.parts.entry(part_of(request)).or_insert(empty).add(now, 1.0);
        }
    }

    /// Whether the requested object part is requested repeatedly.
    pub(crate) fn is_popular(&self, now: Duration, request: &Request) -> bool {
        self.request_count(now, request) > POPULAR_THRESHOLD
    }

    /// Whether the requested object part is so popular that it may overload a single cache out of this many.
    pub(crate) fn is_hot(&self, now: Duration, request: &Request, caches: usize) -> bool {
        let count = self.request_count(now, request);
        count > POPULAR_THRESHOLD && count * caches as f64 >= HOT_SHARE * self.total.read(now)
    }

    fn request_count(&self, now: Duration, request: &Request) -> f64 {
        self.parts.get(&part_of(request)).map_or(0.0, |requests| requests.read(now))
    }
}

fn part_of(request: &Request) -> ObjectPart {
    ObjectPart { object: request.object, part: request.part }
}
