//! What of the operators' marks has been published, and what is to be. Decides; does no I/O.

use rockflow_dissemination::DesiredState;
use rockflow_operator_config::AdministrativeState;
use std::collections::BTreeMap;

pub type Marks = BTreeMap<String, AdministrativeState>;

/// The marks that are in force by what was published.
#[derive(Debug, Default)]
pub struct Published(Marks);

impl Published {
    /// What is wanted otherwise than it was published.
    pub fn changes(&self, wanted: &Marks) -> Vec<(String, DesiredState)> {
        let news = wanted.iter().filter(|(host, mark)| self.0.get(*host) != Some(mark));
        let news = news.map(|(host, mark)| (host.clone(), as_wanted(*mark)));
        let back = self.0.keys().filter(|host| !wanted.contains_key(*host));
        news.chain(back.map(|host| (host.clone(), DesiredState::Listed))).collect()
    }

    /// Publishes what has changed; false: it found no place, and is to be published still.
    pub fn publish(&mut self, wanted: &Marks, say: impl FnOnce(Vec<(String, DesiredState)>) -> bool) -> bool {
        let changes = self.changes(wanted);
        let said = changes.is_empty() || say(changes);
        if said {
            self.0.clone_from(wanted);
        }
        said
    }
}

fn as_wanted(mark: AdministrativeState) -> DesiredState {
    match mark {
        AdministrativeState::Draining => DesiredState::Draining,
        AdministrativeState::Gone => DesiredState::Gone,
    }
}
