//! Popularity of objects, as this dispatcher sees them requested.

use crate::decay::DecayingSum;
use crate::event::Request;
use crate::ids::ObjectId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The memory of popularity, as a multiple of the longest deadline.
const MEMORY_FACTOR: f64 = 4.0;
/// Decayed requests above which an object is popular.
const POPULAR_FROM: f64 = 1.2;
/// An object is hot when its share of the traffic reaches this part of an even share for each cache.
const HOT_SHARE: f64 = 0.15;
/// Decayed requests below which a full table drops a part of an object.
const TRACKED_FROM: f64 = 1.0;

/// A part of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObjectPart {
    object: ObjectId,
    part: u32,
}

/// Recent requests, by part of an object.
#[derive(Debug)]
pub(crate) struct Popularity {
    parts: BTreeMap<ObjectPart, DecayingSum>,
    total: DecayingSum,
    max_tracked: usize,
}

/// The memory of what is popular, where clients wait for `longest_deadline`.
pub(crate) fn memory(longest_deadline: Duration) -> Duration {
    longest_deadline.mul_f64(MEMORY_FACTOR)
}

impl Popularity {
    /// Nothing requested yet. `empty` has the [`memory`].
    pub(crate) fn new(empty: DecayingSum, max_tracked: usize) -> Self {
        Popularity { parts: BTreeMap::new(), total: empty, max_tracked }
    }

    /// Records a request.
    pub(crate) fn record(&mut self, now: Duration, request: &Request) {
        self.total.add(now, 1.0);
        if self.parts.len() >= self.max_tracked {
            self.parts.retain(|_, requests| requests.read(now) > TRACKED_FROM);
        }
        if self.parts.len() < self.max_tracked {
            let empty = self.total.emptied();
            self.parts.entry(part_of(request)).or_insert(empty).add(now, 1.0);
        }
    }

    /// Whether the object of a request is requested repeatedly.
    pub(crate) fn is_popular(&self, now: Duration, request: &Request) -> bool {
        self.requests(now, request) > POPULAR_FROM
    }

    /// Whether the object of a request is so popular that one of so many caches alone would be crowded by it.
    pub(crate) fn is_hot(&self, now: Duration, request: &Request, caches: usize) -> bool {
        let requests = self.requests(now, request);
        requests > POPULAR_FROM && requests * caches as f64 >= HOT_SHARE * self.total.read(now)
    }

    fn requests(&self, now: Duration, request: &Request) -> f64 {
        self.parts.get(&part_of(request)).map_or(0.0, |requests| requests.read(now))
    }
}

fn part_of(request: &Request) -> ObjectPart {
    ObjectPart { object: request.object, part: request.part }
}
