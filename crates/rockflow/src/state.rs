//! The state that routing decisions are based on. Each part has its own module.

use crate::class_stats::{ClassStats, TransferEstimate};
use crate::config::{Class, DeploymentConfig};
use crate::decay::DecayingSum;
use crate::endpoint_table::EndpointTable;
use crate::endpoints::{EndpointEntry, ListScope, Readiness, Role};
use crate::event::Request;
use crate::freshness::Purges;
use crate::ids::ClassId;
use crate::popularity::{self, Popularity};
use crate::request::{AttemptState, OpenRequest};
use crate::source_path::FillLimits;
use std::time::Duration;

/// Used as the longest deadline if no class is configured.
const DEFAULT_LONGEST_DEADLINE: Duration = Duration::from_secs(1);

/// Everything that a routing decision depends on, apart from the request.
#[derive(Debug)]
pub(crate) struct RoutingState {
    /// The configuration of the deployment, fixed from the start.
    pub(crate) config: DeploymentConfig,
    /// The latest time of the events so far; never goes back.
    pub(crate) now: Duration,
    /// The listed hosts with their health, load and slow start.
    pub(crate) endpoints: EndpointTable,
    /// Counts of recent requests by part of an object.
    pub(crate) popularity: Popularity,
    /// Purges recent enough that older copies may still be cached.
    pub(crate) purges: Purges,
    /// Concurrency limits of fills.
    pub(crate) fill_limits: FillLimits,
    /// Statistics of the classes, by [`ClassId`].
    classes: Vec<ClassStats>,
    /// The longest deadline of all classes, in seconds.
    longest_deadline_s: f64,
}

impl RoutingState {
    /// The state at the start of a dispatcher: a configuration, no hosts and no observations.
    pub(crate) fn new(config: DeploymentConfig) -> Self {
        let longest_deadline =
            config.classes.iter().map(|class| class.deadline).max().unwrap_or(DEFAULT_LONGEST_DEADLINE);
        let popularity_sum = DecayingSum::new(popularity::memory(longest_deadline));
        let deadline_sum = DecayingSum::new(longest_deadline);
        RoutingState {
            now: Duration::ZERO,
            endpoints: EndpointTable::new(deadline_sum),
            popularity: Popularity::new(popularity_sum, config.max_tracked),
            purges: Purges::new(config.purge_window, config.max_tracked),
            fill_limits: FillLimits::new(deadline_sum),
            classes: config.classes.iter().map(|class| ClassStats::new(class, popularity_sum)).collect(),
            longest_deadline_s: deadline_sum.time_constant_s(),
            config,
        }
    }

    /// The configuration of the class of a request.
    pub(crate) fn class(&self, open: &OpenRequest) -> &Class {
        self.class_stats(open.request.class).class()
    }

    /// The statistics of a class.
    ///
    /// # Panics
    /// If the class is not configured.
    pub(crate) fn class_stats(&self, class: ClassId) -> &ClassStats {
        &self.classes[class.0]
    }

    /// Mutable access to the statistics of a class.
    ///
    /// # Panics
    /// If the class is not configured.
    pub(crate) fn class_stats_mut(&mut self, class: ClassId) -> &mut ClassStats {
        &mut self.classes[class.0]
    }

    /// Applies an update of the endpoint list, and adds fill limits for new source locations.
    pub(crate) fn apply_endpoint_list(&mut self, scope: ListScope, entries: Vec<EndpointEntry>) {
        for entry in &entries {
            if entry.role != Role::Cache && entry.readiness != Readiness::Gone {
                self.fill_limits.add_source_location(entry.location);
            }
        }
        self.endpoints.apply(&self.config, self.now, scope, entries);
    }

    /// Records the arrival of a request, and returns its estimated transfer time.
    pub(crate) fn record_request(&mut self, request: &Request) -> TransferEstimate {
        let now = self.now;
        let transfer = self.transfer_time(request);
        let is_known = self.is_transfer_known(request);
        let class = self.class_stats_mut(request.class);
        if is_known {
            class.record_transfer(now, transfer.expected_s);
        }
        class.record_received(now, transfer.expected_s);
        self.popularity.record(now, request);
        transfer
    }

    /// Counts an attempt sent in the load and slow start of its host, the slow start of its source, and the fill limits.
    pub(crate) fn record_attempt_sent(&mut self, class: ClassId, attempt: &AttemptState) {
        let now = self.now;
        let mean_s = self.class_stats(class).transfer_estimate(now).expected_s;
        self.fill_limits.attempt_sent(attempt.source_location, attempt.source_use());
        if let Some(host) = self.endpoints.get_mut(attempt.attempt.host) {
            host.load.attempt_sent();
            host.warm_up.record_sent(now, mean_s);
        }
        if let Some(source) = attempt.attempt.source.and_then(|id| self.endpoints.get_mut(id)) {
            source.warm_up.record_sent(now, mean_s);
        }
    }

    /// Whether the transfer time of a request can be computed from its size and the configured transfer rate.
    pub(crate) fn is_transfer_known(&self, request: &Request) -> bool {
        request.size_kb > 0.0 && self.config.stream_kb_per_s > 0.0
    }

    fn transfer_time(&self, request: &Request) -> TransferEstimate {
        if self.is_transfer_known(request) {
            let seconds = (request.size_kb / self.config.stream_kb_per_s).min(self.longest_deadline_s);
            return TransferEstimate { expected_s: seconds, usual_max_s: seconds };
        }
        self.class_stats(request.class).transfer_estimate(self.now)
    }
}
