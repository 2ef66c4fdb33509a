//! Limits of the bytes that a node sends in answer to requests of other nodes.

use crate::config::NodeConfig;
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// Repairs may use one part in this many of the configured bytes per second.
const REPAIR_RATE_DIVISOR: u64 = 2;
/// Settings tables may use one part in this many of the configured bytes per second.
const TABLE_RATE_DIVISOR: u64 = 4;
/// Unused credit accumulates for at most this long.
const BURST: Duration = Duration::from_secs(10);
/// A control node may send this many times the bytes of a member.
const CONTROL_RATE_MULTIPLIER: u64 = 64;

/// One token bucket for each kind of answer.
#[derive(Clone, Debug)]
pub(crate) struct RateLimits {
    /// Limits entries, snapshots and placements.
    pub repairs: TokenBucket,
    /// Limits settings tables.
    pub tables: TokenBucket,
}

impl RateLimits {
    /// Creates the limits of a node, with full buckets.
    pub fn new(config: &NodeConfig, now: Duration) -> RateLimits {
        let multiplier = if config.control_id.is_some() { CONTROL_RATE_MULTIPLIER } else { 1 };
        let bytes_per_second = u64::from(config.bytes_per_second) * multiplier;
        RateLimits {
            repairs: TokenBucket::new(bytes_per_second / REPAIR_RATE_DIVISOR, BURST, now),
            tables: TokenBucket::new(bytes_per_second / TABLE_RATE_DIVISOR, BURST, now),
        }
    }
}
