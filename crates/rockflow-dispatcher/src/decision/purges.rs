//! Purges: passed to the decision logic, and kept so that they can be applied again if it restarts after a panic.

use crate::backpressure::{CompletionCallback, MAX_PURGES};
use crate::clock::Clock;
use crate::decision::DecisionActor;
use crate::purge::Purge;
use rockflow::Event;
use std::time::Duration;

/// Number of kept purges below which expired ones are not removed.
const MIN_PRUNE_SIZE: usize = 64;

/// Owns the purges that may still be in effect.
pub(super) struct PurgeLog {
    purges: Vec<Purge>,
    /// Number of purges at which the expired ones are removed.
    prune_threshold: usize,
}

impl PurgeLog {
    pub(super) fn new() -> Self {
        PurgeLog { purges: Vec::new(), prune_threshold: MIN_PRUNE_SIZE }
    }

    /// Removes and returns all purges.
    pub(super) fn take(&mut self) -> Vec<Purge> {
        std::mem::take(&mut self.purges)
    }

    /// Adds purges, and from time to time removes those older than `window`.
    fn extend(&mut self, purges: Vec<Purge>, clock: Clock, window: Duration) {
        self.purges.extend(purges);
        if self.purges.len() >= self.prune_threshold {
            self.prune(clock, window);
            self.prune_threshold = MIN_PRUNE_SIZE.max(2 * self.purges.len());
        }
    }

    /// Removes expired purges. If more than [`MAX_PURGES`] remain, one purge of everything with the most recent
    /// timestamp replaces them all, which bounds memory and purges no less than they did.
    fn prune(&mut self, clock: Clock, window: Duration) {
        self.purges.retain(|purge| purge.purged_at.age(clock) <= window);
        if self.purges.len() <= MAX_PURGES {
            return;
        }
        let timestamps = self.purges.iter().map(|purge| purge.purged_at);
        let most_recent = timestamps.min_by_key(|purged_at| purged_at.age(clock));
        self.purges = most_recent.map(Purge::everything).into_iter().collect();
    }
}

impl DecisionActor {
    /// Applies purges, and calls `done` once the decision logic has handled them.
    pub(super) fn on_purges(&mut self, purges: Vec<Purge>, done: Option<CompletionCallback<()>>) {
        self.apply_purges(purges);
        self.handle_events_then(done);
    }

    /// Queues purges for the decision logic, withdraws the unsent attempts that they cover, and keeps them for a
    /// restart.
    pub(super) fn apply_purges(&mut self, purges: Vec<Purge>) {
        let clock = self.dependencies.clock;
        self.events.extend(purges.iter().map(|purge| Event::Purged {
            object: purge.object,
            group: purge.group,
            age: purge.purged_at.age(clock),
        }));
        // Unsent attempts were decided without these purges.
        self.withdraw_unsent(|_, open_request, _| {
            let (object, group) = (open_request.object(), open_request.group());
            purges.iter().any(|purge| purge.covers(object, group))
        });
        self.purges.extend(purges, clock, self.dependencies.deployment.purge_window);
    }
}
