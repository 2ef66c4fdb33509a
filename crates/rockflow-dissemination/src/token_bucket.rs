//! A limit of the bytes sent per second.

use std::time::Duration;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket of bytes. What is consumed may exceed its level once, so that a large message is not held back for
/// ever.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: u64,
    /// In bytes times microseconds, as is `level`.
    capacity: i64,
    level: i64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket that holds what flows in within `burst`.
    pub fn new(bytes_per_second: u64, burst: Duration, now: Duration) -> TokenBucket {
        let capacity = bytes_per_second.saturating_mul(u64::try_from(burst.as_micros()).unwrap_or(u64::MAX));
        let capacity = i64::try_from(capacity).unwrap_or(i64::MAX);
        TokenBucket { bytes_per_second, capacity, level: capacity, refilled_at: now }
    }

    /// Whether anything may be sent now.
    pub fn has_credit(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.level > 0
    }

    /// Whether more than half of the capacity is left.
    pub fn is_half_full(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.level > self.capacity / 2
    }

    /// Takes bytes from the bucket, also below zero.
    pub fn consume(&mut self, bytes: usize) {
        let tokens = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(MICROS_PER_SECOND);
        self.level = self.level.saturating_sub(i64::try_from(tokens).unwrap_or(i64::MAX));
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = u64::try_from(now.saturating_sub(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let tokens = i64::try_from(elapsed.saturating_mul(self.bytes_per_second)).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(tokens).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
