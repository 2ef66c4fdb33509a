//! What is due by the clock: confirmations, silent sessions, and the state that subscribers wait to see change.

use super::{ManagementService, Shared};
use crate::event::ManagementEvent;
use rockflow_dispatcher::StatusReport;
use rockflow_endpoints::{merge_readiness, EffectiveReadiness};
use rockflow_yang::data;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How often state is compared for subscribers of its changes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// The longest wait between two looks at what is due.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(1);
/// The shortest wait, whatever is due or changes.
const MIN_TIMER_WAIT: Duration = Duration::from_millis(5);

/// The states of the endpoints that subscribers of events were last notified of.
#[derive(Default)]
pub(super) struct EndpointObserver {
    states: BTreeMap<String, EffectiveReadiness>,
    /// The overrides that have run out, with their times.
    expired_overrides: BTreeMap<String, Duration>,
}

impl EndpointObserver {
    /// Forgets the states: what comes next is no change.
    fn reset(&mut self) {
        self.states.clear();
    }

    /// The events since the last call.
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
            // Nothing was known before: the first states are no change.
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
    /// Does what is due by the clock, for ever.
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
        let observation = self.has_observers(&shared).then(|| self.now() + OBSERVATION_INTERVAL);
        let due = shared.datastores.next_deadline().into_iter().chain(observation).min();
        let wait = due.map_or(MAX_TIMER_WAIT, |due| due.saturating_sub(self.now()));
        wait.clamp(MIN_TIMER_WAIT, MAX_TIMER_WAIT)
    }

    fn has_observers(&self, shared: &Shared) -> bool {
        shared.subscriptions.has_on_change() || self.events.receiver_count() > 0
    }

    /// Passes on to subscribers what has changed since the last observation.
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
