//! Concurrency limits of fills: by the location of the source, for the link of this location, and for the fetches that
//! parents make.

use crate::concurrency::{is_mostly_timely, ConcurrencyLimit, Timeliness};
use crate::decay::{DecayingSum, MIN_OBSERVATIONS};
use crate::ids::LocationId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limit and timing of the fills from the sources of one location.
#[derive(Debug)]
pub(crate) struct SourcePath {
    limit: ConcurrencyLimit,
    /// Late and timely attempts with a source in this location, also where other causes than the path are likely.
    late: DecayingSum,
    timely: DecayingSum,
}

impl SourcePath {
    fn new(empty_sum: DecayingSum) -> Self {
        SourcePath { limit: ConcurrencyLimit::new(empty_sum), late: empty_sum, timely: empty_sum }
    }

    /// The concurrency limit of fills from this location.
    pub(crate) fn limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    fn record(&mut self, now: Duration, timeliness: Timeliness) {
        match timeliness {
            Timeliness::Late => self.late.add(now, 1.0),
            Timeliness::Timely => self.timely.add(now, 1.0),
        }
    }

    /// Whether there are enough recent fills from this location, and most met their latency objective.
    fn is_timely(&self, now: Duration) -> bool {
        let late = self.late.read(now);
        let timely = self.timely.read(now);
        late + timely >= MIN_OBSERVATIONS && is_mostly_timely(late, timely)
    }
}

/// What an attempt requests from its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SourceUse {
    /// Nothing: the attempt has no source.
    None,
    /// Only an object that the source has cached.
    CachedOnly,
    /// Any object: the source fetches what it has not cached.
    Fill,
}

/// The timing of an attempt with a source, and the limits that it applies to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillTiming {
    /// Whether the attempt met its latency objective.
    pub(crate) timeliness: Timeliness,
    /// The location of the source, which selects the path.
    pub(crate) source_location: LocationId,
    /// Whether the source had the copy cached, so that the timing measures the link of this location alone.
    pub(crate) measures_link: bool,
    /// What the attempt requested from the source.
    pub(crate) source_use: SourceUse,
    /// Whether responses don't report fills. The cause of a late response is then unknown, and it is taken as common to
    /// all paths.
    pub(crate) status_unreported: bool,
}

/// The concurrency limits of fills from this dispatcher.
#[derive(Debug)]
pub(crate) struct FillLimits {
    empty_sum: DecayingSum,
    /// Limits copies that come from any source over the link of this location.
    link: ConcurrencyLimit,
    /// Limits fills that a parent may have to fetch from the origin.
    parent_fetches: ConcurrencyLimit,
    /// The path from each location that had a listed source. Locations of removed sources are kept.
    paths: BTreeMap<LocationId, SourcePath>,
}

impl FillLimits {
    /// No limit in effect and no paths. The time constant of `empty_sum` is the longest deadline.
    pub(crate) fn new(empty_sum: DecayingSum) -> Self {
        FillLimits {
            empty_sum,
            link: ConcurrencyLimit::new(empty_sum),
            parent_fetches: ConcurrencyLimit::new(empty_sum),
            paths: BTreeMap::new(),
        }
    }

    /// Adds the path from a location in which a source is listed.
    pub(crate) fn add_source_location(&mut self, location: LocationId) {
        let empty_sum = self.empty_sum;
        self.paths.entry(location).or_insert_with(|| SourcePath::new(empty_sum));
    }

    /// The path from a location. `None`: no source was ever listed there.
    pub(crate) fn path(&self, location: LocationId) -> Option<&SourcePath> {
        self.paths.get(&location)
    }

    /// The limit of copies over the link of this location.
    pub(crate) fn link(&self) -> &ConcurrencyLimit {
        &self.link
    }

    /// The limit of fills that parents may have to fetch from the origin.
    pub(crate) fn parent_fetches(&self) -> &ConcurrencyLimit {
        &self.parent_fetches
    }

    /// Counts an attempt sent towards all limits that apply to it.
    pub(crate) fn attempt_sent(&mut self, source_location: Option<LocationId>, source_use: SourceUse) {
        for limit in self.limits_of(source_location, source_use) {
            limit.fill_sent();
        }
    }

    /// Removes an ended attempt from all limits that apply to it.
    pub(crate) fn attempt_ended(&mut self, source_location: Option<LocationId>, source_use: SourceUse) {
        for limit in self.limits_of(source_location, source_use) {
            limit.fill_ended();
        }
    }

    /// Records whether an attempt with a source met its latency objective.
    ///
    /// While fills from another location are timely, a late fill counts only towards the limit of its own path. Otherwise
    /// the cause is taken as common to all paths, and only the limits of the link and of the fetches by parents count it.
    /// A timely fill counts towards all limits that apply to it.
    pub(crate) fn record(&mut self, now: Duration, timing: FillTiming) {
        let location = timing.source_location;
        let is_other_path_timely =
            self.paths.iter().any(|(other, path)| *other != location && path.is_timely(now));
        let is_common = timing.status_unreported || !is_other_path_timely;
        let is_timely = timing.timeliness == Timeliness::Timely;
        if let Some(path) = self.paths.get_mut(&location) {
            path.record(now, timing.timeliness);
            if is_timely || !is_common {
                path.limit.record(now, timing.timeliness);
            }
        }
        if timing.measures_link && (is_timely || is_common) {
            self.link.record(now, timing.timeliness);
        }
        if timing.source_use == SourceUse::Fill && (is_timely || is_common) {
            self.parent_fetches.record(now, timing.timeliness);
        }
    }

    /// The limits that apply to an attempt.
    fn limits_of(
        &mut self,
        source_location: Option<LocationId>,
        source_use: SourceUse,
    ) -> impl Iterator<Item = &mut ConcurrencyLimit> {
        let path = source_location.and_then(|location| self.paths.get_mut(&location));
        let link = (source_use != SourceUse::None).then_some(&mut self.link);
        let parent_fetches = (source_use == SourceUse::Fill).then_some(&mut self.parent_fetches);
        [path.map(|path| &mut path.limit), link, parent_fetches].into_iter().flatten()
    }
}
