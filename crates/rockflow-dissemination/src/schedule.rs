//! Schedules of heartbeats and acknowledgements.

use std::time::Duration;

/// Longest interval between two acknowledgements. A requested one is due a single heartbeat interval after the last.
const MAX_ACK_INTERVAL_HEARTBEATS: u32 = 2;
/// One heartbeat in this many carries a digest of all settings.
const HEARTBEATS_PER_DIGEST: u64 = 2;

/// Schedule of the acknowledgements to the parent.
#[derive(Clone, Debug)]
pub(crate) struct AckSchedule {
    heartbeat_interval: Duration,
    sent_at: Duration,
    requested: bool,
}

impl AckSchedule {
    /// Creates a schedule as if an acknowledgement had been sent at `now`.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> AckSchedule {
        AckSchedule { heartbeat_interval, sent_at: now, requested: false }
    }

    /// Makes the next acknowledgement due earlier, as there is something new to report.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Records that an acknowledgement was sent at `now`.
    pub fn on_sent(&mut self, now: Duration) {
        self.sent_at = now;
        self.requested = false;
    }

    /// Time at which the next acknowledgement is due.
    pub fn due(&self) -> Duration {
        match self.requested {
            true => self.sent_at + self.heartbeat_interval,
            false => self.sent_at + self.heartbeat_interval * MAX_ACK_INTERVAL_HEARTBEATS,
        }
    }
}

/// Schedule of the heartbeats to the children.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatSchedule {
    heartbeat_interval: Duration,
    sent_at: Duration,
    sent: u64,
}

impl HeartbeatSchedule {
    /// Creates a schedule as if a heartbeat had been sent at `now`.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> HeartbeatSchedule {
        HeartbeatSchedule { heartbeat_interval, sent_at: now, sent: 0 }
    }

    /// Records that a heartbeat was sent to the children at `now`.
    pub fn on_sent(&mut self, now: Duration) {
        self.sent_at = now;
        self.sent += 1;
    }

    /// Number of heartbeats sent, by which the contents of the heartbeats rotate.
    pub fn sent(&self) -> usize {
        self.sent as usize
    }

    /// Whether the next heartbeat carries a digest of all settings.
    pub fn carries_digest(&self) -> bool {
        self.sent.is_multiple_of(HEARTBEATS_PER_DIGEST)
    }

    /// Whether the previous heartbeat is long enough ago for the one just received from the parent to be passed on.
    pub fn may_forward(&self, now: Duration) -> bool {
        now.saturating_sub(self.sent_at) >= self.heartbeat_interval / 2
    }

    /// Time at which a member sends a heartbeat without one from its parent to pass on.
    pub fn member_due(&self) -> Duration {
        self.sent_at + self.heartbeat_interval * 3 / 2
    }
}
