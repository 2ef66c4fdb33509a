//! The state of one listed host.

use crate::config::DeploymentConfig;
use crate::decay::DecayingSum;
use crate::endpoints::EndpointEntry;
use crate::health::HostHealth;
use crate::load::HostLoad;
use crate::slow_start::WarmUp;
use std::time::Duration;

/// A listed host with its health, load and slow start, as observed by this dispatcher.
#[derive(Debug)]
pub(crate) struct Host {
    entry: EndpointEntry,
    /// Recent successes and failures, reset when the host restarts.
    pub(crate) health: HostHealth,
    /// Attempts in flight and durations of hits. A restart of the host doesn't reset it.
    pub(crate) load: HostLoad,
    /// Slow start state, which starts anew when the host restarts.
    pub(crate) warm_up: WarmUp,
}

impl Host {
    /// A host that is listed for the first time. The time constant of `empty_sum` is the longest deadline.
    pub(crate) fn new(config: &DeploymentConfig, entry: EndpointEntry, empty_sum: DecayingSum) -> Self {
        Host {
            health: HostHealth::new(empty_sum),
            load: HostLoad::new(empty_sum),
            warm_up: WarmUp::new(config, entry.role),
            entry,
        }
    }

    /// The entry for this host in the latest endpoint list.
    pub(crate) fn entry(&self) -> &EndpointEntry {
        &self.entry
    }

    /// Replaces the entry of the host. Health and slow start are reset if its start time changed.
    pub(crate) fn update(&mut self, entry: EndpointEntry, empty_sum: DecayingSum) {
        if self.entry.started != entry.started {
            self.health = HostHealth::new(empty_sum);
            self.warm_up.on_restart();
        }
        self.entry = entry;
    }

    /// Marks the slow start budget of this dispatcher as spent.
    pub(crate) fn spend_warm_up_budget(&mut self, config: &DeploymentConfig, now: Duration) {
        self.warm_up.spend_budget(config, &self.entry, now);
    }

    /// Share of its full capacity that the host has now; below 1 in slow start.
    pub(crate) fn capacity_share(&self, now: Duration) -> f64 {
        self.warm_up.capacity_share(&self.entry, now)
    }

    /// Whether slow start allows an attempt of `work_s` seconds of transfer time now.
    pub(crate) fn has_capacity(&self, config: &DeploymentConfig, work_s: f64, now: Duration) -> bool {
        self.warm_up.has_capacity(config, &self.entry, self.load.in_flight(), work_s, now)
    }

    /// Load relative to the present capacity of the link, one more attempt included; 1 is the full capacity.
    pub(crate) fn relative_load(&self, config: &DeploymentConfig, now: Duration) -> f64 {
        self.load.relative_load(config, &self.entry, self.capacity_share(now), now)
    }
}
