//! Load of a cache in relation to the capacity of its link.

use crate::config::{DeploymentConfig, WeightMeaning};
use crate::decay::DecayingSum;
use crate::endpoints::{EndpointEntry, Role};
use std::time::Duration;

/// Standard deviations by which this dispatcher's part of a cache's load may stand out by chance.
const CHANCE_DEVIATIONS: f64 = 1.0;
/// The memory of hit times, as a part of the longest deadline.
const HIT_MEMORY_PART: f64 = 0.2;
/// The part of that memory that is taken as spent on hits at full rate.
const HIT_PRIOR_PART: f64 = 0.2;

/// This dispatcher's part of the transfers at full rate that a host's link fits, one where it is not configured.
pub(crate) fn link_capacity(config: &DeploymentConfig, entry: &EndpointEntry) -> f64 {
    let sharing_dispatchers =
        if entry.role == Role::Cache { config.location_dispatchers } else { config.dispatcher_count };
    let link = if config.weight_meaning == WeightMeaning::LinkCapacity { entry.weight.max(1.0) } else { 1.0 };
    link / sharing_dispatchers.max(1) as f64
}

/// What this dispatcher sees of a host's load.
#[derive(Debug)]
pub(crate) struct HostLoad {
    in_flight: usize,
    /// Seconds that hits took, and the seconds of transfer at full rate in them.
    hit_seconds: DecayingSum,
    hit_transfer_seconds: DecayingSum,
}

impl HostLoad {
    /// No load; `empty` has the memory of the longest deadline.
    pub(crate) fn new(empty: DecayingSum) -> Self {
        let hits = empty.emptied_with_memory_part(HIT_MEMORY_PART);
        HostLoad { in_flight: 0, hit_seconds: hits, hit_transfer_seconds: hits }
    }

    /// Attempts of this dispatcher in flight at the host.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// An attempt was sent.
    pub(crate) fn attempt_sent(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt ended.
    pub(crate) fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records how long a hit took, and its transfer time at full rate, in seconds.
    pub(crate) fn record_hit(&mut self, now: Duration, seconds: f64, transfer_s: f64) {
        self.hit_seconds.add(now, seconds);
        self.hit_transfer_seconds.add(now, transfer_s);
    }

    /// The transfers in flight over what the link carries at present, one attempt to come included; the dispatchers of
    /// the location are taken as alike.
    ///
    /// What chance may have added to this dispatcher's part is taken off. What the others send shows in how long hits
    /// take.
    pub(crate) fn relative_load(
        &self,
        config: &DeploymentConfig,
        entry: &EndpointEntry,
        capacity_share: f64,
        now: Duration,
    ) -> f64 {
        let capacity = link_capacity(config, entry);
        let others_share = 1.0 - 1.0 / config.location_dispatchers.max(1) as f64;
        // Where the part is less than one transfer, one attempt is no sign of what the others send.
        let chance = CHANCE_DEVIATIONS * libm::sqrt(others_share) / 2.0 / capacity.min(1.0);
        let root = libm::sqrt((self.in_flight + 1) as f64 + chance * chance) - chance;
        let hit_seconds = read_with_prior(&self.hit_seconds, now);
        let hit_transfer_seconds = read_with_prior(&self.hit_transfer_seconds, now);
        let slowdown = if others_share > 0.0 { hit_seconds / hit_transfer_seconds } else { 0.0 };
        let known = if config.weight_meaning == WeightMeaning::LinkCapacity { 1.0 } else { 0.0 };
        known * (root * root / (capacity * capacity_share)).max(slowdown)
    }
}

fn read_with_prior(sum: &DecayingSum, now: Duration) -> f64 {
    sum.read(now) + HIT_PRIOR_PART * sum.memory_s()
}
