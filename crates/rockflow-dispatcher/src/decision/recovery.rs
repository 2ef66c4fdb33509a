//! Recovery from a panic of the decision logic.

use crate::decision::DecisionActor;
use rockflow::{Dispatcher, Event, ListScope};
use tracing::error;

impl DecisionActor {
    /// Replaces the decision logic after a panic. All open requests fail, because the new instance does not know
    /// them. It starts with the current endpoint list and the purges in effect; callers that wait for a change of
    /// either are notified once it has handled them.
    pub(super) fn restart_decisions(&mut self) {
        let requests = self.requests.len();
        error!(requests, "decisions panicked: open requests fail and the decisions restart");
        self.events.clear();
        self.requests.fail_all();
        let deployment = self.dependencies.deployment.clone();
        self.dispatcher = Dispatcher::new(deployment, self.dependencies.seed);
        let entries = self.listed_entries();
        self.events.push_back(Event::EndpointsListed { scope: ListScope::Restored, entries });
        let purges = self.purges.take();
        self.apply_purges(purges);
    }
}
