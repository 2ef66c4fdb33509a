//! What the tests set up alike: single nodes, and a small fleet in virtual time.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

pub mod fleet;
pub mod node;

pub use fleet::*;
pub use node::*;

use std::time::Duration;

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
pub const PURGE_WINDOW: Duration = Duration::from_millis(8700);
/// Unix milliseconds at the start of every process, unless a test says otherwise.
pub const INCARNATION: u64 = 1_800_000_000_000;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}
