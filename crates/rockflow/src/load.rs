//! Load of a host relative to the capacity of its link.

use crate::config::{DeploymentConfig, WeightMeaning};
use crate::decay::DecayingSum;
use crate::endpoints::{EndpointEntry, Role};
use std::time::Duration;

/// Standard deviations by which the attempts in flight from this dispatcher may exceed its even share of a cache's load
/// by chance.
const CHANCE_DEVIATIONS: f64 = 1.0;
/// Time constant of hit durations, as a part of the longest deadline.
const HIT_TIME_CONSTANT_PART: f64 = 0.2;
/// Weight of the prior assumption that hits transfer at full rate, as a part of that time constant.
const HIT_PRIOR_PART: f64 = 0.2;

/// This dispatcher's part of the capacity of a host's link, in simultaneous transfers at full rate. The capacity counts
/// as one transfer where weights don't state it.
pub(crate) fn link_capacity(config: &DeploymentConfig, entry: &EndpointEntry) -> f64 {
    let sharing_dispatchers =
        if entry.role == Role::Cache { config.location_dispatchers } else { config.dispatcher_count };
    let link_transfers =
        if config.weight_meaning == WeightMeaning::LinkCapacity { entry.weight.max(1.0) } else { 1.0 };
    link_transfers / sharing_dispatchers.max(1) as f64
}

/// Load of a host as observed by this dispatcher.
#[derive(Debug)]
pub(crate) struct HostLoad {
    in_flight: usize,
    /// Total duration of recent hits, in seconds.
    hit_seconds: DecayingSum,
    /// What the same hits would have taken at full rate, in seconds.
    hit_transfer_seconds: DecayingSum,
}

impl HostLoad {
    /// A host without load. The time constant of `empty_sum` is the longest deadline.
    pub(crate) fn new(empty_sum: DecayingSum) -> Self {
        let hits = empty_sum.emptied_with_scaled_time_constant(HIT_TIME_CONSTANT_PART);
        HostLoad { in_flight: 0, hit_seconds: hits, hit_transfer_seconds: hits }
    }

    /// Number of attempts from this dispatcher in flight at the host.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Counts an attempt sent to the host.
    pub(crate) fn attempt_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Removes an ended attempt from those in flight.
    pub(crate) fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records how long a hit took and what its transfer takes at full rate, both in seconds.
    pub(crate) fn record_hit(&mut self, now: Duration, seconds: f64, transfer_s: f64) {
        self.hit_seconds.add(now, seconds);
        self.hit_transfer_seconds.add(now, transfer_s);
    }

    /// Estimated transfers in flight, one more attempt included, over the number that the link carries at its present
    /// capacity; 0 where the capacity of the link is unknown.
    ///
    /// Assumes that all dispatchers of the location send alike. An excess of this dispatcher's own attempts that can be
    /// due to chance is subtracted. The load from other dispatchers is measured by how much hits are slowed down.
    pub(crate) fn relative_load(
        &self,
        config: &DeploymentConfig,
        entry: &EndpointEntry,
        capacity_share: f64,
        now: Duration,
    ) -> f64 {
        let capacity = link_capacity(config, entry);
        let others_share = 1.0 - 1.0 / config.location_dispatchers.max(1) as f64;
        // Where this dispatcher's part of the capacity is less than one transfer, a single attempt in flight says
        // nothing about the load from others.
        let chance_deviation = CHANCE_DEVIATIONS * libm::sqrt(others_share) / 2.0 / capacity.min(1.0);
        // Solves x + 2 * chance_deviation * sqrt(x) = attempts for sqrt(x), where x is the number of attempts without
        // the excess that can be due to chance.
        let attempts = (self.in_flight + 1) as f64;
        let lower_bound_root = libm::sqrt(attempts + chance_deviation * chance_deviation) - chance_deviation;
        let hit_seconds = read_with_prior(&self.hit_seconds, now);
        let hit_transfer_seconds = read_with_prior(&self.hit_transfer_seconds, now);
        let slowdown = if others_share > 0.0 { hit_seconds / hit_transfer_seconds } else { 0.0 };
        let capacity_known = if config.weight_meaning == WeightMeaning::LinkCapacity { 1.0 } else { 0.0 };
        let own_load = lower_bound_root * lower_bound_root / (capacity * capacity_share);
        capacity_known * own_load.max(slowdown)
    }
}

/// The decayed sum plus the prior, which keeps the ratio of two sums near 1 while there are few hits.
fn read_with_prior(sum: &DecayingSum, now: Duration) -> f64 {
    sum.read(now) + HIT_PRIOR_PART * sum.time_constant_s()
}
