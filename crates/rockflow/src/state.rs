//! What the decisions know, each part with its own module.

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

/// The longest deadline where no class is configured.
const DEFAULT_LONGEST_DEADLINE: Duration = Duration::from_secs(1);

/// All that a decision on a request goes by, besides the request itself.
#[derive(Debug)]
pub(crate) struct RoutingState {
    /// The configuration.
    pub(crate) config: DeploymentConfig,
    /// The time of the last event.
    pub(crate) now: Duration,
    /// The listed hosts.
    pub(crate) endpoints: EndpointTable,
    /// Recent requests by object.
    pub(crate) popularity: Popularity,
    /// Recent purges.
    pub(crate) purges: Purges,
    /// Limits of fills.
    pub(crate) fill_limits: FillLimits,
    classes: Vec<ClassStats>,
    /// The longest deadline of a class, in seconds.
    longest_deadline_s: f64,
}

impl RoutingState {
    /// Nothing is known but the configuration.
    pub(crate) fn new(config: DeploymentConfig) -> Self {
        let longest_deadline =
            config.classes.iter().map(|class| class.deadline).max().unwrap_or(DEFAULT_LONGEST_DEADLINE);
        let long_memory = DecayingSum::new(popularity::memory(longest_deadline));
        let short_memory = DecayingSum::new(longest_deadline);
        RoutingState {
            now: Duration::ZERO,
            endpoints: EndpointTable::new(short_memory),
            popularity: Popularity::new(long_memory, config.max_tracked),
            purges: Purges::new(config.purge_window, config.max_tracked),
            fill_limits: FillLimits::new(short_memory),
            classes: config.classes.iter().map(|class| ClassStats::new(class, long_memory)).collect(),
            longest_deadline_s: short_memory.memory_s(),
            config,
        }
    }

    /// The class of a request.
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

    /// The statistics of a class, to be changed.
    ///
    /// # Panics
    /// If the class is not configured.
    pub(crate) fn class_stats_mut(&mut self, class: ClassId) -> &mut ClassStats {
        &mut self.classes[class.0]
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn apply_endpoint_list(&mut self, scope: ListScope, entries: Vec<EndpointEntry>) {
        for entry in &entries {
            if entry.role != Role::Cache && entry.readiness != Readiness::Gone {
                self.fill_limits.add_source_location(entry.location);
            }
        }
        self.endpoints.apply(&self.config, self.now, scope, entries);
    }

    /// Records that a request arrived, and returns its transfer time.
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

    /// Records that an attempt was sent.
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

    /// Whether the transfer time of a request follows from its size.
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
