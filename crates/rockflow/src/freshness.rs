//! Freshness of copies: purges, and the maximum age of an acceptable copy.

use crate::config::Class;
use crate::event::Request;
use crate::ids::{GroupId, ObjectId};
use crate::request::AttemptKind;
use std::collections::BTreeMap;
use std::time::Duration;

/// The smallest maximum age after a purge. It is not zero, because zero would mean no limit.
const MIN_MAX_AGE: Duration = Duration::from_micros(1);

/// The objects that a purge covers. A purge without a known group covers everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PurgeScope {
    Everything,
    Group(GroupId),
    Object(ObjectId),
}

/// Recent purges, whose copies may still be in caches.
#[derive(Debug)]
pub(crate) struct Purges {
    /// When the latest purge of each scope was issued.
    issued: BTreeMap<PurgeScope, Duration>,
    /// Time after a purge by which every cache has dropped the purged copies.
    window: Duration,
    /// The number of scopes from which on purges of single objects are widened to their groups.
    max_tracked: usize,
}

impl Purges {
    /// Creates an empty table. Purges are forgotten after `window`, when every cache has dropped the purged copies.
    pub(crate) fn new(window: Duration, max_tracked: usize) -> Self {
        Purges { issued: BTreeMap::new(), window, max_tracked }
    }

    /// Records a purge that was issued `age` ago.
    ///
    /// If the table is full, a purge of an object is widened to its group, or to everything if the group is unknown.
    /// This rejects copies that are still valid, but never accepts a purged one.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        object: Option<ObjectId>,
        group: Option<GroupId>,
        age: Duration,
    ) {
        let window = self.window;
        self.issued.retain(|_, issued| now.saturating_sub(*issued) <= window);
        let is_full = self.issued.len() >= self.max_tracked;
        let scope = match (object, group) {
            (Some(object), _) if !is_full => PurgeScope::Object(object),
            (_, Some(group)) => PurgeScope::Group(group),
            (_, None) => PurgeScope::Everything,
        };
        let issued = self.issued.entry(scope).or_default();
        *issued = now.saturating_sub(age).max(*issued);
    }

    /// The maximum age of an acceptable copy for an attempt. None: any age.
    pub(crate) fn max_age(
        &self,
        now: Duration,
        request: &Request,
        class: &Class,
        kind: AttemptKind,
    ) -> Option<Duration> {
        if !class.cacheable {
            return None;
        }
        let grace = if kind == AttemptKind::StaleAllowed { class.grace } else { Duration::ZERO };
        let lifetime = class.fresh_lifetime + grace;
        let since_purge = self.since_purge(now, request);
        if lifetime > Duration::ZERO {
            Some(since_purge.map_or(lifetime, |age| age.min(lifetime)))
        } else {
            since_purge
        }
    }

    /// Time since the latest purge that covers a request. None: no purge covers it, or no purged copy can be left.
    fn since_purge(&self, now: Duration, request: &Request) -> Option<Duration> {
        let scopes =
            [PurgeScope::Everything, PurgeScope::Group(request.group), PurgeScope::Object(request.object)];
        let issued = scopes.iter().filter_map(|scope| self.issued.get(scope)).max()?;
        let age = now.saturating_sub(*issued);
        (age <= self.window).then(|| age.max(MIN_MAX_AGE))
    }
}
