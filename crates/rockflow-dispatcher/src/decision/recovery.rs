//! Recovery from a panic of the decisions.

use crate::decision::DecisionActor;
use rockflow::{Dispatcher, Event, ListScope};
use tracing::error;

impl DecisionActor {
    /// Guards against a panic of the decisions that leaves requests without a response: each fails, and the decisions
    /// restart with the endpoint list as it stands and the purges that are in effect. Whoever waits for these is notified
    /// then.
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
