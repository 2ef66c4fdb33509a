//! Bytes that may leave.

use std::time::Duration;

const MICROS: u64 = 1_000_000;

/// A bucket of bytes. What is taken from it may leave it in debt once, so that a large frame isn't held back for ever.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Bytes a second.
    bytes_per_second: u64,
    /// What it holds at the most, in bytes times microseconds.
    capacity: i64,
    level: i64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Full at first; it holds what comes in within `burst`.
    pub fn new(bytes_per_second: u64, burst: Duration, now: Duration) -> TokenBucket {
        let capacity = bytes_per_second.saturating_mul(u64::try_from(burst.as_micros()).unwrap_or(u64::MAX));
        let capacity = i64::try_from(capacity).unwrap_or(i64::MAX);
        TokenBucket { bytes_per_second, capacity, level: capacity, refilled_at: now }
    }

    fn fill(&mut self, now: Duration) {
        let gone = now.saturating_sub(self.refilled_at).as_micros();
        let more = u64::try_from(gone).unwrap_or(u64::MAX).saturating_mul(self.bytes_per_second);
        self.level = self.level.saturating_add(i64::try_from(more).unwrap_or(i64::MAX)).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether anything may leave now.
    pub fn has_credit(&mut self, now: Duration) -> bool {
        self.fill(now);
        self.level > 0
    }

    /// Whether more than half of what may leave at once is left.
    pub fn is_half_full(&mut self, now: Duration) -> bool {
        self.fill(now);
        self.level > self.capacity / 2
    }

    pub fn consume(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(MICROS);
        self.level = self.level.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}
