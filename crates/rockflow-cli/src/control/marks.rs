//! Which of the operators' overrides of hosts have been published, and which are to be. Decides; does no I/O.

use rockflow_dissemination::DesiredState;
use rockflow_operator_config::AdministrativeState;
use std::collections::BTreeMap;

/// The operators' overrides, by host.
pub type Marks = BTreeMap<String, AdministrativeState>;

/// The overrides that apply by what was published.
#[derive(Debug, Default)]
pub struct PublishedMarks(Marks);

impl PublishedMarks {
    /// The desired states of the hosts whose override differs from the published one.
    pub fn changes(&self, wanted: &Marks) -> Vec<(String, DesiredState)> {
        let changed = wanted.iter().filter(|(host, mark)| self.0.get(*host) != Some(mark));
        let changed = changed.map(|(host, mark)| (host.clone(), desired_state(*mark)));
        let withdrawn = self.0.keys().filter(|host| !wanted.contains_key(*host));
        let withdrawn = withdrawn.map(|host| (host.clone(), DesiredState::Listed));
        changed.chain(withdrawn).collect()
    }

    /// Publishes the changes by `send`. Returns false where `send` does: they are to be published later.
    pub fn publish(
        &mut self,
        wanted: &Marks,
        send: impl FnOnce(Vec<(String, DesiredState)>) -> bool,
    ) -> bool {
        let changes = self.changes(wanted);
        let is_sent = changes.is_empty() || send(changes);
        if is_sent {
            self.0.clone_from(wanted);
        }
        is_sent
    }
}

fn desired_state(mark: AdministrativeState) -> DesiredState {
    match mark {
        AdministrativeState::Draining => DesiredState::Draining,
        AdministrativeState::Gone => DesiredState::Gone,
    }
}
