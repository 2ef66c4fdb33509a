//! Slow start: what a host with a cold cache may be sent by this dispatcher.

use crate::config::{DeploymentConfig, SlowStart};
use crate::decay::DecayingSum;
use crate::endpoints::{EndpointEntry, Role};
use crate::load::link_capacity;
use std::time::Duration;

/// The part of the tolerated work that a decaying sum over its window may hold: at most twice that in any window.
const BUDGET_PART: f64 = 0.4;
/// In-flight attempts that a host in slow start gains with each answer.
const IN_FLIGHT_GAIN: f64 = 0.5;
/// The shortest ramp in seconds.
const MIN_RAMP_S: f64 = 1e-6;

/// The slow start of one host.
#[derive(Debug)]
pub(crate) struct WarmUp {
    slow_start: SlowStart,
    /// Transfer time in seconds that this dispatcher sent to the host within the window.
    sent_work: DecayingSum,
    answers_since_start: f64,
    /// When it could not be reached, and is taken to have restarted.
    presumed_restart: Option<Duration>,
}

impl WarmUp {
    /// The slow start of a host of this role.
    pub(crate) fn new(config: &DeploymentConfig, role: Role) -> Self {
        let slow_start = if role == Role::Cache { config.cache_slow_start } else { config.parent_slow_start };
        WarmUp {
            slow_start,
            sent_work: DecayingSum::new(slow_start.window),
            answers_since_start: 0.0,
            presumed_restart: None,
        }
    }

    /// Discovery lists a new start of the host.
    pub(crate) fn on_restart(&mut self) {
        self.presumed_restart = None;
        self.answers_since_start = 0.0;
    }

    /// The host could not be reached: it may come back with a cold cache before discovery lists the restart.
    ///
    /// One failure suffices, as each dispatcher may see little of a host. A host that was merely out of reach gets
    /// little for a while.
    pub(crate) fn presume_restart(&mut self, now: Duration) {
        self.presumed_restart = Some(now);
        self.answers_since_start = 0.0;
    }

    /// The host answered.
    pub(crate) fn record_answer(&mut self) {
        self.answers_since_start += 1.0;
    }

    /// Work was sent to the host, in seconds of transfer time.
    pub(crate) fn record_sent(&mut self, now: Duration, work_s: f64) {
        self.sent_work.add(now, work_s);
    }

    /// Takes the budget as spent: a restarted dispatcher must not spend it a second time.
    pub(crate) fn spend_budget(&mut self, config: &DeploymentConfig, entry: &EndpointEntry, now: Duration) {
        let budget = self.budget(config, entry, now).unwrap_or(0.0);
        self.sent_work.add(now, budget);
    }

    /// The share of its capacity that the host has now, by the configuration and its start.
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

    /// When the slow start ends. None: the host has its whole capacity.
    pub(crate) fn ends_at(&self, entry: &EndpointEntry, now: Duration) -> Option<Duration> {
        let started = self.started(entry)?;
        (self.capacity_share(entry, now) < 1.0).then(|| started + self.slow_start.ramp)
    }

    /// Whether the host can take work of this many seconds from this dispatcher now: within the budget and below a
    /// number in flight that grows with its answers.
    ///
    /// Where the budget is less than an attempt, dispatchers take turns by their index, a window each, so that a
    /// host shared by many still gets whole attempts and their sum stays the same.
    pub(crate) fn has_capacity(
        &self,
        config: &DeploymentConfig,
        entry: &EndpointEntry,
        in_flight: usize,
        work_s: f64,
        now: Duration,
    ) -> bool {
        let Some(budget) = self.budget(config, entry, now) else { return true };
        // Powers of two change seldom as the host warms up, and the turns of fewer are among those of more: else
        // each change would deal them anew, and most dispatchers would get one in the same window.
        let turns = libm::exp2(libm::ceil(libm::log2((work_s / budget).max(1.0))));
        let window = (now.as_secs_f64() / self.slow_start.window.as_secs_f64()).floor();
        let turn = window + config.dispatcher_index as f64;
        let initial_limit = (self.slow_start.initial_share * link_capacity(config, entry)).max(1.0);
        turn % turns < 1.0
            && self.sent_work.read(now) + work_s <= budget * turns
            && (in_flight as f64) < initial_limit + IN_FLIGHT_GAIN * self.answers_since_start
    }

    fn started(&self, entry: &EndpointEntry) -> Option<Duration> {
        entry.started.max(self.presumed_restart)
    }

    /// This dispatcher's part of the work that the host tolerates within a window, in seconds. None: no slow start.
    fn budget(&self, config: &DeploymentConfig, entry: &EndpointEntry, now: Duration) -> Option<f64> {
        let share = self.capacity_share(entry, now);
        let tolerated = self.slow_start.overload_multiple
            * share
            * link_capacity(config, entry)
            * self.slow_start.window.as_secs_f64();
        (share < 1.0).then_some(BUDGET_PART * tolerated)
    }
}
