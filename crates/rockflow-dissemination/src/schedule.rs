//! When heartbeats and acknowledgements are sent.

use std::time::Duration;

/// An acknowledgement is sent at least this often; one heartbeat interval after the previous one where it is requested.
const MAX_ACK_INTERVAL_HEARTBEATS: u32 = 2;
/// One heartbeat in so many carries a digest of all settings.
const HEARTBEATS_PER_DIGEST: u64 = 2;

/// Acknowledgements to the parent.
#[derive(Clone, Debug)]
pub(crate) struct AckSchedule {
    heartbeat_interval: Duration,
    sent_at: Duration,
    requested: bool,
}

impl AckSchedule {
    /// The first one is due after an interval.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> AckSchedule {
        AckSchedule { heartbeat_interval, sent_at: now, requested: false }
    }

    /// Something to report has changed.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Sets the time of the next one.
    pub fn on_sent(&mut self, now: Duration) {
        self.sent_at = now;
        self.requested = false;
    }

    /// When the next one is due.
    pub fn due(&self) -> Duration {
        match self.requested {
            true => self.sent_at + self.heartbeat_interval,
            false => self.sent_at + self.heartbeat_interval * MAX_ACK_INTERVAL_HEARTBEATS,
        }
    }
}

/// Heartbeats to the children.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatSchedule {
    heartbeat_interval: Duration,
    sent_at: Duration,
    sent: u64,
}

impl HeartbeatSchedule {
    /// The first one is due after an interval.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> HeartbeatSchedule {
        HeartbeatSchedule { heartbeat_interval, sent_at: now, sent: 0 }
    }

    /// Sets the time of the next one.
    pub fn on_sent(&mut self, now: Duration) {
        self.sent_at = now;
        self.sent += 1;
    }

    /// How many were sent; rotates what each of them carries.
    pub fn sent(&self) -> usize {
        self.sent as usize
    }

    /// Whether the next one carries a digest of all settings.
    pub fn carries_digest(&self) -> bool {
        self.sent.is_multiple_of(HEARTBEATS_PER_DIGEST)
    }

    /// Whether the previous one is long enough ago to pass on the parent's.
    pub fn may_forward(&self, now: Duration) -> bool {
        now.saturating_sub(self.sent_at) >= self.heartbeat_interval / 2
    }

    /// When a member sends one by itself, where none came that it could pass on.
    pub fn member_due(&self) -> Duration {
        self.sent_at + self.heartbeat_interval * 3 / 2
    }
}
