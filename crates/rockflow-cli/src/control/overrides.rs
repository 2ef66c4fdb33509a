//! Tracks which of the operators' overrides of hosts have been published, and finds those still to be published. Does
//! no I/O.

use rockflow_dissemination::DesiredState;
use rockflow_operator_config::AdministrativeState;
use std::collections::BTreeMap;

/// The operators' administrative overrides, by the host's name.
pub type HostOverrides = BTreeMap<String, AdministrativeState>;

/// The overrides that were published last.
#[derive(Debug, Default)]
pub struct PublishedOverrides(HostOverrides);

impl PublishedOverrides {
    /// The hosts whose override differs from the published one, each with its new desired state. A host whose override
    /// was withdrawn gets the state `Listed`.
    pub fn changes(&self, overrides: &HostOverrides) -> Vec<(String, DesiredState)> {
        let changed = overrides.iter().filter(|(host, state)| self.0.get(*host) != Some(state));
        let changed = changed.map(|(host, state)| (host.clone(), desired_state(*state)));
        let withdrawn = self.0.keys().filter(|host| !overrides.contains_key(*host));
        let withdrawn = withdrawn.map(|host| (host.clone(), DesiredState::Listed));
        changed.chain(withdrawn).collect()
    }

    /// Passes the changes to `send`, if there are any. If `send` returns false, nothing is recorded as published, and
    /// this returns false: the caller has to try again later.
    pub fn publish(
        &mut self,
        overrides: &HostOverrides,
        send: impl FnOnce(Vec<(String, DesiredState)>) -> bool,
    ) -> bool {
        let changes = self.changes(overrides);
        let is_sent = changes.is_empty() || send(changes);
        if is_sent {
            self.0.clone_from(overrides);
        }
        is_sent
    }
}

fn desired_state(state: AdministrativeState) -> DesiredState {
    match state {
        AdministrativeState::Draining => DesiredState::Draining,
        AdministrativeState::Gone => DesiredState::Gone,
    }
}
