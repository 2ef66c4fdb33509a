//! The time of a node, and the detection of pauses of its process.

use std::time::Duration;

/// A call that comes later than this after the tick was due shows that the process was paused.
const PAUSE_THRESHOLD_HEARTBEATS: u32 = 2;

/// Time since an arbitrary origin; it never goes backwards.
#[derive(Clone, Debug)]
pub(crate) struct NodeClock {
    heartbeat_interval: Duration,
    started: Duration,
    now: Duration,
    /// When the next tick is due.
    pub next_tick: Duration,
    /// End of the time after a pause in which messages may have waited unread, so that their ages are unreliable.
    unreliable_until: Duration,
}

impl NodeClock {
    /// Creates a clock that starts at `now`.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> NodeClock {
        NodeClock { heartbeat_interval, started: now, now, next_tick: now, unreliable_until: now }
    }

    /// Advances the clock to the time of a call, or leaves it where `now` is earlier than the previous call.
    pub fn advance(&mut self, now: Duration) -> Advance {
        let now = now.max(self.now);
        let delay = now.saturating_sub(self.next_tick.max(self.now));
        self.now = now;
        if delay <= self.heartbeat_interval * PAUSE_THRESHOLD_HEARTBEATS {
            return Advance { now, pause: None };
        }
        self.unreliable_until = now + self.heartbeat_interval;
        self.next_tick = now;
        Advance { now, pause: Some(delay) }
    }

    /// Whether the process was paused shortly before, so that the ages of messages are unreliable.
    pub fn is_unreliable(&self, now: Duration) -> bool {
        now < self.unreliable_until
    }

    /// Time since the node was created.
    pub fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }
}

/// The time of a call, and the pause before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Advance {
    pub now: Duration,
    /// Length of the pause that the call shows; `None` if it came in time.
    pub pause: Option<Duration>,
}
