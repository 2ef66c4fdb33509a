//! Since when entries of a stream are missing.

use std::collections::VecDeque;
use std::time::Duration;

/// Steps in which the end of a stream advanced over a gap. When full, the newest step takes in what follows.
const MAX_GAP_STEPS: usize = 64;

/// The end of the stream was known to be at least `last` since `since`.
#[derive(Clone, Copy, Debug)]
pub(super) struct GapStep {
    pub last: u64,
    pub since: Duration,
}

/// The steps in which the end of a stream advanced while entries before it were missing.
#[derive(Clone, Debug, Default)]
pub(super) struct GapTracker {
    steps: VecDeque<GapStep>,
}

impl GapTracker {
    /// Since when the oldest missing entry is known.
    pub fn since(&self) -> Option<Duration> {
        self.steps.front().map(|step| step.since)
    }

    /// All entries up to this one are here.
    pub fn on_received(&mut self, received: u64) {
        while self.steps.front().is_some_and(|step| step.last <= received) {
            self.steps.pop_front();
        }
    }

    /// The stream is known to reach this far. Steps closer together than `wait` are one.
    pub fn on_last(&mut self, now: Duration, last: u64, wait: Duration) {
        if self.steps.back().is_some_and(|step| step.last >= last) {
            return;
        }
        let is_full = self.steps.len() >= MAX_GAP_STEPS;
        match self.steps.back_mut() {
            Some(step) if step.since == now || now.saturating_sub(step.since) < wait => step.last = last,
            Some(step) if is_full => *step = GapStep { last, since: now },
            _ => self.steps.push_back(GapStep { last, since: now }),
        }
    }

    /// Removes and returns the oldest step, if it is at least this old.
    pub fn pop_older_than(&mut self, now: Duration, age: Duration) -> Option<GapStep> {
        self.steps.pop_front_if(|step| now.saturating_sub(step.since) >= age)
    }

    /// This process did not run for a while: nobody can have closed the gap meanwhile.
    pub fn shift_timers(&mut self, pause: Duration) {
        for step in &mut self.steps {
            step.since = step.since.saturating_add(pause);
        }
    }
}
