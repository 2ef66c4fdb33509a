//! A token bucket that limits the bytes sent per second.

use std::time::Duration;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket of bytes. Its level may become negative, so that a message larger than the bucket is still sent.
/// Nothing more is sent until the level is above zero again.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: u64,
    /// In millionths of a byte, as is `level`: bytes per second times microseconds.
    capacity: i64,
    level: i64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket whose capacity is refilled within `burst`.
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

    /// Takes bytes from the bucket; its level may become negative.
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
