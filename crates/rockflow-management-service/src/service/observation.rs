//! The service's timer: deadlines of confirmed commits and idle sessions, and detection of the state changes
//! that subscribers wait for.

use super::{ManagementService, Shared};
use crate::event::ManagementEvent;
use rockflow_dispatcher::StatusReport;
use rockflow_endpoints::{merge_readiness, EffectiveReadiness};
use rockflow_yang::data;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval at which the state is compared for subscribers to changes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two checks of the deadlines.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two checks, which limits the load that frequent deadlines or changes cause.
const MIN_TIMER_WAIT: Duration = Duration::from_millis(5);

/// Detects changes of endpoints and expired overrides, for subscribers to events.
#[derive(Default)]
pub(super) struct EndpointObserver {
    /// The effective readiness of each endpoint at the last observation; empty before the first one.
    states: BTreeMap<String, EffectiveReadiness>,
    /// The expired overrides already reported, by endpoint name, with their expiry times.
    expired_overrides: BTreeMap<String, Duration>,
}

impl EndpointObserver {
    /// Clears the known states, so that the next observation reports no changes.
    fn reset(&mut self) {
        self.states.clear();
    }

    /// Returns the events since the last call.
    fn observe(&mut self, status: &StatusReport, now: Duration) -> Vec<ManagementEvent> {
        let mut events = self.observe_states(effective_states(status, now));
        for (host, entry) in &status.operator_overrides {
            let Some(expiry) = entry.expires_at.filter(|expiry| *expiry <= now) else { continue };
            let reported = self.expired_overrides.insert(host.clone(), expiry);
            if reported != Some(expiry) {
                events.push(ManagementEvent::OverrideExpired { host: host.clone() });
            }
        }
        self.expired_overrides.retain(|host, _| status.operator_overrides.contains_key(host));
        events
    }

    fn observe_states(&mut self, states: BTreeMap<String, EffectiveReadiness>) -> Vec<ManagementEvent> {
        if self.states.is_empty() {
            // The first observation is the baseline and reports no changes.
            self.states = states.clone();
        }
        let mut events = Vec::new();
        let names: BTreeSet<_> = states.keys().chain(self.states.keys()).collect();
        for name in names {
            let now = states.get(name).copied();
            if now != self.states.get(name).copied() {
                events.push(ManagementEvent::EndpointChanged { name: name.clone(), now });
            }
        }
        self.states = states;
        events
    }
}

impl ManagementService {
    /// Runs the timer in an endless loop.
    pub async fn run(&self) {
        loop {
            let wait = self.timer_wait();
            let _ = tokio::time::timeout(wait, self.reschedule.notified()).await;
            let now = self.now();
            {
                let mut shared = self.lock();
                shared.datastores.on_tick(now);
                let _ = self.process_notifications(&mut shared);
            }
            self.observe_state().await;
        }
    }

    fn timer_wait(&self) -> Duration {
        let shared = self.lock();
        let next_observation = self.has_observers(&shared).then(|| self.now() + OBSERVATION_INTERVAL);
        let deadline = shared.datastores.next_deadline().into_iter().chain(next_observation).min();
        let wait = deadline.map_or(MAX_TIMER_WAIT, |deadline| deadline.saturating_sub(self.now()));
        wait.clamp(MIN_TIMER_WAIT, MAX_TIMER_WAIT)
    }

    fn has_observers(&self, shared: &Shared) -> bool {
        shared.subscriptions.has_on_change() || self.events.receiver_count() > 0
    }

    /// Notifies subscribers of what has changed since the last observation.
    async fn observe_state(&self) {
        {
            let mut shared = self.lock();
            if !shared.subscriptions.has_on_change() {
                shared.subscriptions.last_state = None;
            }
            if !self.has_observers(&shared) {
                shared.endpoints.reset();
                return;
            }
        }
        let status = self.status().await.unwrap_or_default();
        let now = self.now();
        let mut shared = self.lock();
        self.publish_value_changes(&mut shared, &status, now);
        for event in shared.endpoints.observe(&status, now) {
            let _ = self.events.send((now, event));
        }
    }

    fn publish_value_changes(&self, shared: &mut Shared, status: &StatusReport, now: Duration) {
        let state = self.operational_state(shared, status, now);
        let subscriptions = &mut shared.subscriptions;
        let last_state = subscriptions.last_state.as_ref();
        let changes = last_state.map(|last| data::diff(last, &state)).unwrap_or_default();
        subscriptions.last_state = Some(state);
        if changes.is_empty() {
            return;
        }
        for active in subscriptions.active.values_mut() {
            active.subscription.record_changes(&changes);
            active.wake.notify_one();
        }
    }
}

fn effective_states(status: &StatusReport, now: Duration) -> BTreeMap<String, EffectiveReadiness> {
    let mut states = BTreeMap::new();
    for entry in &status.discovered {
        let operator = status.operator_overrides.get(&entry.name);
        let control = status.control_overrides.get(&entry.name);
        if let Some(state) = merge_readiness(Some(entry.entry.readiness), operator, control, now) {
            states.insert(entry.name.clone(), state);
        }
    }
    states
}
