//! What is known of one host.

use crate::config::DeploymentConfig;
use crate::decay::DecayingSum;
use crate::endpoints::EndpointEntry;
use crate::health::HostHealth;
use crate::load::HostLoad;
use crate::slow_start::WarmUp;
use std::time::Duration;

/// A listed host with its health, its load and its slow start.
#[derive(Debug)]
pub(crate) struct Host {
    entry: EndpointEntry,
    /// Recent successes and failures.
    pub(crate) health: HostHealth,
    /// What is in flight, and how long hits take.
    pub(crate) load: HostLoad,
    /// Its slow start.
    pub(crate) warm_up: WarmUp,
}

impl Host {
    /// A host that is listed for the first time; `empty` has the memory of the longest deadline.
    pub(crate) fn new(config: &DeploymentConfig, entry: EndpointEntry, empty: DecayingSum) -> Self {
        Host {
            health: HostHealth::new(empty),
            load: HostLoad::new(empty),
            warm_up: WarmUp::new(config, entry.role),
            entry,
        }
    }

    /// The host as it is listed.
    pub(crate) fn entry(&self) -> &EndpointEntry {
        &self.entry
    }

    /// The host is listed anew. What is known of it holds until it restarts.
    pub(crate) fn update(&mut self, entry: EndpointEntry, empty: DecayingSum) {
        if self.entry.started != entry.started {
            self.health = HostHealth::new(empty);
            self.warm_up.on_restart();
        }
        self.entry = entry;
    }

    /// Takes the budget of its slow start as spent.
    pub(crate) fn spend_warm_up_budget(&mut self, config: &DeploymentConfig, now: Duration) {
        self.warm_up.spend_budget(config, &self.entry, now);
    }

    /// The share of its capacity that it has now.
    pub(crate) fn capacity_share(&self, now: Duration) -> f64 {
        self.warm_up.capacity_share(&self.entry, now)
    }

    /// Whether its slow start lets it take work of this many seconds.
    pub(crate) fn has_capacity(&self, config: &DeploymentConfig, work_s: f64, now: Duration) -> bool {
        self.warm_up.has_capacity(config, &self.entry, self.load.in_flight(), work_s, now)
    }

    /// Its load over what its link carries at present.
    pub(crate) fn relative_load(&self, config: &DeploymentConfig, now: Duration) -> f64 {
        self.load.relative_load(config, &self.entry, self.capacity_share(now), now)
    }
}
