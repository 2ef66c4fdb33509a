//! Shared test fixtures: single nodes, and a small fleet in virtual time.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

pub mod fleet;
pub mod node;

pub use fleet::*;
pub use node::*;

use std::time::Duration;

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
pub const PURGE_WINDOW: Duration = Duration::from_millis(8700);
/// Incarnation of every process unless a test sets another: Unix milliseconds at its start.
pub const INCARNATION: u64 = 1_800_000_000_000;

/// A duration in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A duration in seconds.
pub fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
