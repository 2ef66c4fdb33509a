//! Sums that decay exponentially, the basis of every rate that the decisions keep.

use std::time::Duration;

/// The shortest memory of a sum, in seconds.
const MIN_MEMORY_S: f64 = 1e-6;

/// How many observations, decayed, a judgement needs at least.
pub(crate) const MIN_OBSERVATIONS: f64 = 2.0;

/// A sum whose content decays by a factor of e within its memory. It is brought up to date when it is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated: Duration,
    memory_s: f64,
}

impl DecayingSum {
    /// An empty sum with this memory.
    pub(crate) fn new(memory: Duration) -> Self {
        DecayingSum { sum: 0.0, updated: Duration::ZERO, memory_s: memory.as_secs_f64().max(MIN_MEMORY_S) }
    }

    /// An empty sum with the same memory.
    pub(crate) fn emptied(&self) -> Self {
        self.emptied_with_memory_part(1.0)
    }

    /// An empty sum with a part of the memory.
    pub(crate) fn emptied_with_memory_part(&self, part: f64) -> Self {
        DecayingSum { sum: 0.0, updated: Duration::ZERO, memory_s: self.memory_s * part }
    }

    /// The memory in seconds.
    pub(crate) fn memory_s(&self) -> f64 {
        self.memory_s
    }

    /// The sum as decayed by now.
    pub(crate) fn read(&self, now: Duration) -> f64 {
        self.sum * libm::exp(-now.saturating_sub(self.updated).as_secs_f64() / self.memory_s)
    }

    /// Adds an amount. The sum never falls below zero.
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.sum = (self.read(now) + amount).max(0.0);
        self.updated = now;
    }
}
