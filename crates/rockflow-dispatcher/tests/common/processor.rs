//! How long the machine withheld its processors from the test.

use rockflow_process_harness::processor_waits;
use std::time::Duration;

/// For how long the threads of this process have waited for a processor in total.
pub(super) fn total_wait() -> Duration {
    processor_waits(std::process::id()).into_values().sum()
}
