//! Paths from sources: the limits that fills are under by the link they come through and by what lies behind a parent.

use crate::concurrency::{is_mostly_timely, ConcurrencyLimit, Timeliness};
use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use crate::ids::LocationId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The path that fills from the sources of one location take.
#[derive(Debug)]
pub(crate) struct SourcePath {
    limit: ConcurrencyLimit,
    late: DecayingSum,
    timely: DecayingSum,
}

impl SourcePath {
    fn new(empty: DecayingSum) -> Self {
        SourcePath { limit: ConcurrencyLimit::new(empty), late: empty, timely: empty }
    }

    /// The limit of fills on this path.
    pub(crate) fn limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    fn record(&mut self, now: Duration, timeliness: Timeliness) {
        match timeliness {
            Timeliness::Late => self.late.add(now, 1.0),
            Timeliness::Timely => self.timely.add(now, 1.0),
        }
    }

    /// Whether fills on this path are known to come in time.
    fn is_timely(&self, now: Duration) -> bool {
        let late = self.late.read(now);
        let timely = self.timely.read(now);
        late + timely >= MIN_OBSERVATIONS && is_mostly_timely(late, timely)
    }
}

/// What an attempt asks of its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SourceUse {
    /// It has no source.
    None,
    /// Only what the source has cached.
    CachedOnly,
    /// The source fetches what it lacks.
    Fill,
}

/// The timing of an attempt with a source, and which limits it may tell of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillTiming {
    /// Whether it came in time.
    pub(crate) timeliness: Timeliness,
    /// The location of its source.
    pub(crate) source_location: LocationId,
    /// Whether its copy came over the link of this location from what the source had cached.
    pub(crate) over_link: bool,
    /// What it asked of its source.
    pub(crate) source_use: SourceUse,
    /// Whether responses report nothing of fills, so that lateness has no place.
    pub(crate) status_unreported: bool,
}

/// The limits of fills at this dispatcher.
#[derive(Debug)]
pub(crate) struct FillLimits {
    empty: DecayingSum,
    /// What comes over the link of this location from a source.
    link: ConcurrencyLimit,
    /// What is fetched for a parent that lacks it.
    behind_parents: ConcurrencyLimit,
    /// By the location of the source, no more than are listed.
    paths: BTreeMap<LocationId, SourcePath>,
}

impl FillLimits {
    /// No limits; `empty` has the memory of the longest deadline.
    pub(crate) fn new(empty: DecayingSum) -> Self {
        FillLimits {
            empty,
            link: ConcurrencyLimit::new(empty),
            behind_parents: ConcurrencyLimit::new(empty),
            paths: BTreeMap::new(),
        }
    }

    /// A source in this location is listed.
    pub(crate) fn add_source_location(&mut self, location: LocationId) {
        let empty = self.empty;
        self.paths.entry(location).or_insert_with(|| SourcePath::new(empty));
    }

    /// The path from a location.
    pub(crate) fn path(&self, location: LocationId) -> Option<&SourcePath> {
        self.paths.get(&location)
    }

    /// The limit of what comes over the link of this location.
    pub(crate) fn link(&self) -> &ConcurrencyLimit {
        &self.link
    }

    /// The limit of what is fetched for parents.
    pub(crate) fn behind_parents(&self) -> &ConcurrencyLimit {
        &self.behind_parents
    }

    /// An attempt was sent.
    pub(crate) fn attempt_sent(&mut self, source_location: Option<LocationId>, source_use: SourceUse) {
        for limit in self.limits_of(source_location, source_use) {
            limit.fill_sent();
        }
    }

    /// An attempt ended.
    pub(crate) fn attempt_ended(&mut self, source_location: Option<LocationId>, source_use: SourceUse) {
        for limit in self.limits_of(source_location, source_use) {
            limit.fill_ended();
        }
    }

    /// Records whether an attempt with a source came in time.
    ///
    /// What strikes the sources of one location alone is a fault on the path from there, not behind them.
    pub(crate) fn record(&mut self, now: Duration, timing: FillTiming) {
        let location = timing.source_location;
        let others_timely = self.paths.iter().any(|(other, path)| *other != location && path.is_timely(now));
        let is_common = timing.status_unreported || !others_timely;
        let is_timely = timing.timeliness == Timeliness::Timely;
        if let Some(path) = self.paths.get_mut(&location) {
            path.record(now, timing.timeliness);
            if is_timely || !is_common {
                path.limit.record(now, timing.timeliness);
            }
        }
        if timing.over_link && (is_timely || is_common) {
            self.link.record(now, timing.timeliness);
        }
        if timing.source_use == SourceUse::Fill && (is_timely || is_common) {
            self.behind_parents.record(now, timing.timeliness);
        }
    }

    /// The limits that an attempt counts towards.
    fn limits_of(
        &mut self,
        source_location: Option<LocationId>,
        source_use: SourceUse,
    ) -> impl Iterator<Item = &mut ConcurrencyLimit> {
        let path = source_location.and_then(|location| self.paths.get_mut(&location));
        let link = (source_use != SourceUse::None).then_some(&mut self.link);
        let behind_parents = (source_use == SourceUse::Fill).then_some(&mut self.behind_parents);
        [path.map(|path| &mut path.limit), link, behind_parents].into_iter().flatten()
    }
}
