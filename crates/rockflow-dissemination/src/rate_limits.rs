//! Limits of what a node sends in answer to others.

use crate::config::NodeConfig;
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// Repairs take this part of the configured bytes per second.
const REPAIR_RATE_DIVISOR: u64 = 2;
/// Tables of settings take this part of the configured bytes per second.
const TABLE_RATE_DIVISOR: u64 = 4;
/// Unused credit is kept for this long.
const BURST: Duration = Duration::from_secs(10);
/// A control node may send this multiple of a member's bytes.
const CONTROL_RATE_MULTIPLIER: u64 = 64;

/// One bucket for each kind of answer.
#[derive(Clone, Debug)]
pub(crate) struct RateLimits {
    /// Entries, snapshots and placements.
    pub repairs: TokenBucket,
    /// Tables of settings.
    pub tables: TokenBucket,
}

impl RateLimits {
    /// Limits with their whole burst available.
    pub fn new(config: &NodeConfig, now: Duration) -> RateLimits {
        let multiplier = if config.control_id.is_some() { CONTROL_RATE_MULTIPLIER } else { 1 };
        let bytes_per_second = u64::from(config.bytes_per_second) * multiplier;
        RateLimits {
            repairs: TokenBucket::new(bytes_per_second / REPAIR_RATE_DIVISOR, BURST, now),
            tables: TokenBucket::new(bytes_per_second / TABLE_RATE_DIVISOR, BURST, now),
        }
    }
}
