//! Tracks since when entries of a stream are missing.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of steps that a tracker holds. When it is full, the newest step also covers what follows.
const MAX_GAP_STEPS: usize = 64;

/// An advance of the known end of a stream: since `since`, its last number has been known to be at least `last`.
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
    /// Time at which the oldest missing entry became known; `None` if no entry is known to be missing.
    pub fn since(&self) -> Option<Duration> {
        self.steps.front().map(|step| step.since)
    }

    /// Forgets the steps up to `received`, as all entries up to this number have been received.
    pub fn on_received(&mut self, received: u64) {
        while self.steps.front().is_some_and(|step| step.last <= received) {
            self.steps.pop_front();
        }
    }

    /// Records that the stream is known to reach `last`. Advances that follow each other within `wait` make one step.
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

    /// Removes and returns the oldest step if it is at least `age` old.
    pub fn pop_older_than(&mut self, now: Duration, age: Duration) -> Option<GapStep> {
        self.steps.pop_front_if(|step| now.saturating_sub(step.since) >= age)
    }

    /// Adds a pause of the process to all times, as no entry could be received during the pause.
    pub fn shift_timers(&mut self, pause: Duration) {
        for step in &mut self.steps {
            step.since = step.since.saturating_add(pause);
        }
    }
}
