//! Waiting for a condition, never for a time.

use std::time::{Duration, Instant};

const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Looks again and again; false: it was not so within that time.
pub fn until(patience: Duration, mut there: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + patience;
    loop {
        if there() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(LOOK_EVERY);
    }
}
