//! The time of a node, and how it notices that its process did not run for a while.

use std::time::Duration;

/// A call later than this after it was due shows that the process was stopped meanwhile.
const PAUSE_THRESHOLD_HEARTBEATS: u32 = 2;

/// Time since an arbitrary origin; it never goes back.
#[derive(Clone, Debug)]
pub(crate) struct NodeClock {
    heartbeat_interval: Duration,
    started: Duration,
    now: Duration,
    /// When the next tick is due.
    pub next_tick: Duration,
    /// Until then messages may have waited unread for long, and their ages can't be relied on.
    unreliable_until: Duration,
}

impl NodeClock {
    /// A clock that starts now.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> NodeClock {
        NodeClock { heartbeat_interval, started: now, now, next_tick: now, unreliable_until: now }
    }

    /// Takes the time of a call: at least that of the call before.
    pub fn advance(&mut self, now: Duration) -> Advance {
        let now = now.max(self.now);
        let late = now.saturating_sub(self.next_tick.max(self.now));
        self.now = now;
        if late <= self.heartbeat_interval * PAUSE_THRESHOLD_HEARTBEATS {
            return Advance { now, pause: None };
        }
        self.unreliable_until = now + self.heartbeat_interval;
        self.next_tick = now;
        Advance { now, pause: Some(late) }
    }

    /// Whether the process did not run for a while just before.
    pub fn is_unreliable(&self, now: Duration) -> bool {
        now < self.unreliable_until
    }

    /// Time since the node was created.
    pub fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }
}

/// The time of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Advance {
    pub now: Duration,
    /// The process did not run for this long.
    pub pause: Option<Duration>,
}
