//! Slow start: limits the work that this dispatcher sends to a host with a cold cache.

use crate::config::{DeploymentConfig, SlowStart};
use crate::decay::DecayingSum;
use crate::endpoints::{EndpointEntry, Role};
use crate::load::link_capacity;
use std::time::Duration;

/// Maximum of the decaying sum of sent work, as a part of the work that the host tolerates within a window.
/// Up to twice this part can be sent within one window, because the sum decays meanwhile.
const BUDGET_PART: f64 = 0.4;
/// How much each answer raises the limit on attempts in flight at a host in slow start.
const IN_FLIGHT_GAIN: f64 = 0.5;
/// Shortest ramp, in seconds. Prevents a division by zero.
const MIN_RAMP_S: f64 = 1e-6;

/// The slow start of one host.
#[derive(Debug)]
pub(crate) struct WarmUp {
    slow_start: SlowStart,
    /// Work that this dispatcher recently sent to the host, in seconds of transfer time; decays over the window.
    sent_work: DecayingSum,
    answers_since_start: f64,
    /// When the host was last unreachable, which is treated as a restart. `None`: not since its listed start.
    presumed_restart: Option<Duration>,
}

impl WarmUp {
    /// The slow start of a newly listed host, with the settings for its role. Origins have no slow start.
    pub(crate) fn new(config: &DeploymentConfig, role: Role) -> Self {
        let slow_start = if role == Role::Cache { config.cache_slow_start } else { config.parent_slow_start };
        WarmUp {
            slow_start,
            sent_work: DecayingSum::new(slow_start.window),
            answers_since_start: 0.0,
            presumed_restart: None,
        }
    }

    /// Starts anew when discovery lists a restart of the host. Work sent before still counts against the budget.
    pub(crate) fn on_restart(&mut self) {
        self.presumed_restart = None;
        self.answers_since_start = 0.0;
    }

    /// Presumes that an unreachable host has restarted: it may return with a cold cache before discovery lists the
    /// restart.
    ///
    /// One failure suffices, because each dispatcher may send few attempts to a host. A host that was unreachable
    /// without a restart receives little work until the ramp ends.
    pub(crate) fn presume_restart(&mut self, now: Duration) {
        self.presumed_restart = Some(now);
        self.answers_since_start = 0.0;
    }

    /// Counts an answer, which raises the limit on attempts in flight.
    pub(crate) fn record_answer(&mut self) {
        self.answers_since_start += 1.0;
    }

    /// Adds work sent to the host, in seconds of transfer time.
    pub(crate) fn record_sent(&mut self, now: Duration, work_s: f64) {
        self.sent_work.add(now, work_s);
    }

    /// Marks the budget as spent. A restarted dispatcher doesn't know what it sent before and must not spend the budget
    /// twice.
    pub(crate) fn spend_budget(&mut self, config: &DeploymentConfig, entry: &EndpointEntry, now: Duration) {
        let budget = self.budget(config, entry, now).unwrap_or(0.0);
        self.sent_work.add(now, budget);
    }

    /// Share of its full capacity that the host has now: the initial share at its start, 1 after the ramp and for origins.
    pub(crate) fn capacity_share(&self, entry: &EndpointEntry, now: Duration) -> f64 {
        if entry.role == Role::Origin {
            return 1.0;
        }
        let Some(started) = self.started(entry) else { return 1.0 };
        let ramp_s = self.slow_start.ramp.as_secs_f64().max(MIN_RAMP_S);
        let progress = now.saturating_sub(started).as_secs_f64() / ramp_s;
        let initial = self.slow_start.initial_share;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// When the slow start ends. `None`: the host has its full capacity.
    pub(crate) fn ends_at(&self, entry: &EndpointEntry, now: Duration) -> Option<Duration> {
        let started = self.started(entry)?;
        (self.capacity_share(entry, now) < 1.0).then(|| started + self.slow_start.ramp)
    }

    /// Whether this dispatcher may now send the host an attempt of `work_s` seconds of transfer time: within the budget,
    /// and below the limit on attempts in flight, which grows with the answers of the host.
    ///
    /// Where the budget is less than one attempt, dispatchers take turns by their index, for one window each. A host
    /// that is shared by many dispatchers then still receives whole attempts, and the total work stays the same.
    pub(crate) fn has_capacity(
        &self,
        config: &DeploymentConfig,
        entry: &EndpointEntry,
        in_flight: usize,
        work_s: f64,
        now: Duration,
    ) -> bool {
        let Some(budget) = self.budget(config, entry, now) else { return true };
        // The number of turns is a power of two: it changes rarely as the host warms up, and each turn in a longer
        // cycle is also one in a shorter cycle. Otherwise each change would reassign all turns, and most dispatchers
        // would get one in the same window.
        let turn_count = libm::exp2(libm::ceil(libm::log2((work_s / budget).max(1.0))));
        let window_index = (now.as_secs_f64() / self.slow_start.window.as_secs_f64()).floor();
        let turn = window_index + config.dispatcher_index as f64;
        let initial_limit = (self.slow_start.initial_share * link_capacity(config, entry)).max(1.0);
        turn % turn_count < 1.0
            && self.sent_work.read(now) + work_s <= budget * turn_count
            && (in_flight as f64) < initial_limit + IN_FLIGHT_GAIN * self.answers_since_start
    }

    /// The later of the listed start and the presumed restart. `None`: the host started long ago.
    fn started(&self, entry: &EndpointEntry) -> Option<Duration> {
        entry.started.max(self.presumed_restart)
    }

    /// This dispatcher's part of the work that the host tolerates within a window, in seconds of transfer time.
    /// `None`: the host is not in slow start.
    fn budget(&self, config: &DeploymentConfig, entry: &EndpointEntry, now: Duration) -> Option<f64> {
        let capacity_share = self.capacity_share(entry, now);
        let tolerated_s = self.slow_start.overload_multiple
            * capacity_share
            * link_capacity(config, entry)
            * self.slow_start.window.as_secs_f64();
        (capacity_share < 1.0).then_some(BUDGET_PART * tolerated_s)
    }
}
