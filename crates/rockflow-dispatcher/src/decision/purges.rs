//! Purges: passed to the decisions, and held for decisions that have to restart.

use crate::backpressure::{CompletionCallback, MAX_PURGES};
use crate::clock::Clock;
use crate::decision::DecisionActor;
use crate::purge::Purge;
use rockflow::Event;
use std::time::Duration;

/// Held purges below which it is not checked which have expired.
const MIN_PRUNE_SIZE: usize = 64;

/// Owns the purges that may still be in effect.
pub(super) struct PurgeLog {
    purges: Vec<Purge>,
    /// With so many it is checked which have expired.
    prune_at: usize,
}

impl PurgeLog {
    pub(super) fn new() -> Self {
        PurgeLog { purges: Vec::new(), prune_at: MIN_PRUNE_SIZE }
    }

    pub(super) fn take(&mut self) -> Vec<Purge> {
        std::mem::take(&mut self.purges)
    }

    fn extend(&mut self, purges: Vec<Purge>, clock: Clock, window: Duration) {
        self.purges.extend(purges);
        if self.purges.len() >= self.prune_at {
            self.prune(clock, window);
            self.prune_at = MIN_PRUNE_SIZE.max(2 * self.purges.len());
        }
    }

    /// Forgets purges that have expired. Guards against those without end: one of everything, as young as the youngest,
    /// replaces all past the cap, which is never laxer.
    fn prune(&mut self, clock: Clock, window: Duration) {
        self.purges.retain(|purge| purge.purged_at.age(clock) <= window);
        if self.purges.len() <= MAX_PURGES {
            return;
        }
        let timestamps = self.purges.iter().map(|purge| purge.purged_at);
        let youngest = timestamps.min_by_key(|purged_at| purged_at.age(clock));
        self.purges = youngest.map(Purge::everything).into_iter().collect();
    }
}

impl DecisionActor {
    pub(super) fn on_purges(&mut self, purges: Vec<Purge>, done: Option<CompletionCallback<()>>) {
        self.apply_purges(purges);
        self.decide_then(done);
    }

    pub(super) fn apply_purges(&mut self, purges: Vec<Purge>) {
        let clock = self.dependencies.clock;
        self.events.extend(purges.iter().map(|purge| Event::Purged {
            object: purge.object,
            group: purge.group,
            age: purge.purged_at.age(clock),
        }));
        // What has not been sent was decided without these purges.
        self.withdraw_unsent(|_, open, _| {
            let (object, group) = (open.object(), open.group());
            purges.iter().any(|purge| purge.covers(object, group))
        });
        self.purges.extend(purges, clock, self.dependencies.deployment.purge_window);
    }
}
